"""Gauges of an entry host, updated every few seconds."""

from typing import TYPE_CHECKING

import trio

from berylshift.store.eras import FIRST_ERA

if TYPE_CHECKING:
    from berylshift.entry_application import EntryApplication

GAUGE_SECONDS = 5.0


async def report_gauges(app: "EntryApplication") -> None:
    """Update the gauges periodically until cancelled."""
    while True:
        set_gauges(app)
        await trio.sleep(GAUGE_SECONDS)


def set_gauges(app: "EntryApplication") -> None:
    """Set each gauge to its current value."""
    gauge, table = app.telemetry.gauge, app.routes.table
    version = 0 if table is None else table.version
    gauge("routes_version", "Version in force.", version)
    gauge("replicas", "Replicas listed.", len(app.replicas))
    gauge("in_flight", "Requests under way.", app.handler.in_flight)
    hosts = app.load_loop.known_hosts or 0
    gauge("hosts_known", "Hosts that share limits.", hosts)
    gauge("collects", "Role taken.", app.peers.is_collector)
    gauge("follows", "Role taken.", app.store_watch.reads_feeds)
    era = app.store_watch.eras.current or FIRST_ERA
    gauge("store_era", "Era of the store.", era)
    gauge("quarantined", "Requests held back.", len(app.quarantine))
    gauge("replicas_throttled", "By their own word.", len(app.throttle))
    tasks = app.leader_tasks
    gauge("usage_reported", "Windows of usage sent.", tasks.windows_reported)
    gauge("usage_given_up", "Windows of usage missed.", tasks.windows_given_up)
    gauge("connections_opened", "To replicas.", app.ports.client.opened)

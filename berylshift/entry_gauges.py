"""Gauges of an entry host, updated every few seconds."""

from typing import TYPE_CHECKING

import trio

from berylshift.ids import ServiceName
from berylshift.messages.replicas import EnginePhase
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
    gauge("routes_version", "Version of the routes in force.", version)
    gauge("replicas", "Replicas listed in the directory.", len(app.replicas))
    gauge(
        "replicas_suspected",
        "Replicas that appear to be gone while the store can't be read.",
        len(app.replicas.suspects),
    )
    updates = app.replica_updates
    gauge(
        "replica_updates_applied",
        "Changes of the replica list applied that other hosts sent.",
        updates.applied_links,
    )
    gauge(
        "replica_update_gaps",
        "Times that changes sent by other hosts didn't continue the replica list.",
        updates.gaps,
    )
    gauge(
        "loop_failures",
        "Times that a loop of the process failed and was started again.",
        app.ports.supervisor.failures.total(),
    )
    gauge("in_flight", "Requests in flight.", app.handler.in_flight)
    hosts = app.load_loop.known_hosts or 0
    gauge("hosts_known", "Hosts among which limits are divided.", hosts)
    gauge(
        "collects",
        "1 if this host aggregates its domain's load.",
        app.peers.is_collector,
    )
    gauge(
        "follows",
        "1 if this host reads the store's feeds.",
        app.store_watch.reads_feeds,
    )
    era = app.store_watch.eras.current or FIRST_ERA
    gauge("store_era", "Era of the store.", era)
    _set_quarantine_gauges(app)
    gauge(
        "replicas_throttled",
        "Rate limits and back-offs set by replicas.",
        len(app.throttle),
    )
    factors = app.replica_speeds.known_factors()
    gauge(
        "replica_speeds_known",
        "Replicas whose speed is stated or learned.",
        len(factors),
    )
    gauge(
        "replica_time_factor_min",
        "Smallest lasting time factor of a replica; 1 is usual.",
        min(factors, default=1.0),
    )
    gauge(
        "replica_time_factor_max",
        "Largest lasting time factor of a replica; 1 is usual.",
        max(factors, default=1.0),
    )
    gauge(
        "handles_untrusted",
        "Prefill engines whose KV handles probably expire before they are fetched.",
        len(app.handle_losses.untrusted(app.ports.clock.monotonic())),
    )
    gauge(
        "services_short",
        "Services that are short of prefill capacity, as this host sees it.",
        app.fair_queueing.short_services,
    )
    gauge(
        "prompts_waiting_for_share",
        "Prompts that were queued behind others for their customer's share.",
        app.fair_queueing.waiting_prompts,
    )
    gauge(
        "prefix_fetches",
        "Requests for which an engine was to fetch a cached prefix.",
        app.fetch_results.sent,
    )
    gauge(
        "prefix_fetches_failed",
        "Prefix fetches that took as long as prefilling.",
        app.fetch_results.failed,
    )
    tasks = app.leader_tasks
    gauge("usage_reported", "Usage windows reported.", tasks.windows_reported)
    gauge(
        "usage_given_up",
        "Usage windows given up; one that was sent unanswered may have been reported.",
        tasks.windows_given_up,
    )
    gauge(
        "connections_opened", "Connections opened to replicas.", app.ports.client.opened
    )
    _set_memory_gauges(app)
    _set_path_gauges(app)
    _set_datagram_gauges(app)
    if table is not None:
        for service in table.services.values():
            if service.engine is not None:
                _set_capacity_gauges(app, service.name)


def _set_quarantine_gauges(app: "EntryApplication") -> None:
    """Set the gauges of requests and prompt blocks that crash replicas."""
    gauge = app.telemetry.gauge
    gauge(
        "quarantined",
        "Requests quarantined for crashing replicas.",
        len(app.quarantine),
    )
    gauge(
        "requests_in_crashes",
        "Requests that ran at one replica as it crashed.",
        app.quarantine.count_observed(),
    )
    blocks = app.quarantine.blocks
    gauge(
        "prompt_blocks_held",
        "Prompt blocks under which replicas crashed, and that are held or tried.",
        len(blocks),
    )
    gauge(
        "prompt_block_refusals",
        "Times that a request was refused for a block of its prompt.",
        blocks.refused,
    )


def _set_memory_gauges(app: "EntryApplication") -> None:
    """Set the gauges of what is held for callers."""
    gauge, memory = app.telemetry.gauge, app.request_memory
    gauge(
        "request_body_bytes_in_memory",
        "Bytes of all request bodies in memory, ended requests included.",
        memory.body_bytes_in_memory,
    )
    for name, pool in memory.pools():
        text = name.replace("_", " ")
        gauge(f"{name}_held_bytes", f"Memory held for {text}.", pool.held_bytes)
        gauge(f"{name}_limit_bytes", f"Most memory held for {text}.", pool.limit_bytes)
        gauge(f"{name}_refused", f"Requests refused, memory of {text}.", pool.refused)


def _set_datagram_gauges(app: "EntryApplication") -> None:
    """Set the gauges of what hosts ask and tell each other one by one."""
    gauge, origins = app.telemetry.gauge, app.origins
    if app.queue_loop is not None:
        gauge("queue_queries", "Queries for engines' queues.", app.queue_loop.asked)
        gauge(
            "queue_queries_unanswered",
            "Queries for engines' queues that some registrar did not answer in time.",
            app.queue_loop.unanswered,
        )
        gauge(
            "queue_prefills_registered",
            "Open prefills of the engines that this host is the registrar of.",
            len(app.queue_loop.register),
        )
    if origins is not None:
        gauge("origins_told", "Streams whose origin was told.", origins.told)
        gauge("origins_held", "Streams whose origin is known.", len(origins.records))
        gauge(
            "origins_not_found",
            "Streams that callers resumed and whose origin was not found.",
            origins.not_found,
        )
        gauge(
            "origins_inferred",
            "Streams that callers resumed with no record, at the only version known.",
            origins.inferred,
        )
    for service, versions in app.replicas.count_versions().items():
        app.telemetry.service_gauge(
            "software_versions",
            "Software versions of the replicas that take work.",
            service,
            EnginePhase.NONE,
            len(versions),
        )


def _set_path_gauges(app: "EntryApplication") -> None:
    """Set the gauges of connections to replicas."""
    gauge, paths = app.telemetry.gauge, app.paths
    paths.states.retain_listed()
    gauge(
        "replicas_not_reached",
        "Replicas that this host's last attempt to connect did not reach.",
        len(app.ports.client.unreached),
    )
    gauge(
        "replica_paths_lost",
        "Replicas that other hosts reach and this one does not.",
        len(paths.states),
    )
    gauge(
        "late_responses",
        "Responses to earlier requests that replicas sent and that were discarded.",
        app.ports.client.late_responses,
    )
    gauge(
        "tunnels_used",
        "Connections to replicas opened through other hosts.",
        paths.dialer.tunnels_opened,
    )
    gauge(
        "tunnels_served",
        "Connections to replicas opened for other hosts.",
        paths.tunnel_server.opened,
    )


def _set_capacity_gauges(app: "EntryApplication", service: ServiceName) -> None:
    """Set the capacity of a service's engines in each phase."""
    pool = app.replicas.pool(service)
    for phase, engines in (
        (EnginePhase.PREFILL, pool.prefill_engines),
        (EnginePhase.DECODE, pool.decode_engines),
    ):
        app.telemetry.service_gauge(
            "engine_capacity",
            "Capacity of the usable engines, in engines of the mean speed.",
            service,
            phase,
            sum(1 / app.capacity.lasting_factor(rep) for rep in engines),
        )

"""Serves the native API: application on real sockets and clients."""

import logging
import random

import trio

from berylshift.application import Addresses, Application, Ports
from berylshift.clock import LoopClock, boot_seconds
from berylshift.connection.admin import Admin
from berylshift.connection.datagram_tag import MAX_DATAGRAM_BYTES
from berylshift.connection.engine_client import HttpEngineClient
from berylshift.connection.http_client import HttpClient
from berylshift.connection.http_server import HttpServer
from berylshift.connection.listeners import bound_address, open_listener
from berylshift.connection.peer_codec import PeerCodec
from berylshift.connection.peer_link import UdpPeerLink
from berylshift.connection.peer_views import HttpPeerViews
from berylshift.connection.service_client import HttpServiceClient
from berylshift.connection.target_dial import TargetDial
from berylshift.metrics import make_metrics
from berylshift.settings import Credentials, Settings
from berylshift.signals import watch_signals
from berylshift.store.http import (
    HttpHostList,
    HttpObjectStore,
    HttpTableService,
    HttpWeightStore,
)
from berylshift.supervision import RestartingSupervisor

logger = logging.getLogger(__name__)


def make_ports(cfg: Settings, creds: Credentials, link: UdpPeerLink) -> Ports:
    """Return the real dependencies, over HTTP and UDP."""
    seconds = cfg.targets.connect_timeout
    client = HttpClient(connect_seconds=seconds)
    target_dial = TargetDial()
    targets = HttpClient(target_dial.dial, seconds, may_reuse=target_dial.may_reuse)
    store, timeout = cfg.platform, cfg.platform.timeout
    return Ports(
        clock=LoopClock(),
        boot_clock=boot_seconds,
        rng=random.Random(),
        metrics=make_metrics(cfg.observability.statsd),
        table_service=HttpTableService(client, store.table, timeout),
        objects=HttpObjectStore(client, store.objects, timeout),
        hosts=HttpHostList(client, store.hosts, timeout),
        weights=HttpWeightStore(client, store.weights, timeout),
        engines=HttpEngineClient(targets, cfg.targets.credential),
        services=HttpServiceClient(targets, cfg.targets.credential),
        link=link,
        peer_views=HttpPeerViews(client, creds.cluster_key),
        target_dial=target_dial,
        break_silent=targets.break_silent,
        supervisor=RestartingSupervisor(),
    )


async def open_peer_port(
    address: str, link: UdpPeerLink
) -> tuple[trio.SocketListener, str]:
    """Bind TCP and UDP to one ``IP:PORT``; return the listener and the address.

    With port 0, TCP chooses the port: connections hold many more ports than datagrams.
    """
    listener = open_listener(address)
    return listener, await link.bind(bound_address(listener))


async def serve(cfg: Settings, creds: Credentials) -> None:
    """Serve until SIGTERM, then shut down gracefully."""
    max_digest_bytes = min(
        MAX_DATAGRAM_BYTES, cfg.peers.byte_budget // (2 * cfg.peers.fanout)
    )
    link = UdpPeerLink(PeerCodec(creds.cluster_key), max_digest_bytes)
    tunnel_listener, peer_address = await open_peer_port(cfg.host.peer_address, link)
    listener = open_listener(cfg.host.address)
    admin_listener = open_listener(cfg.host.admin_address)
    addresses = Addresses(peer_address, bound_address(admin_listener))
    app = Application(cfg, make_ports(cfg, creds, link), addresses, creds.callers)
    app.paths.use_key(creds.cluster_key)
    admin = HttpServer(Admin(app, creds.cluster_key).handle)
    stop = trio.Event()
    app.on_start()
    async with trio.open_nursery() as nursery:
        await nursery.start(watch_signals, _reject_reload, stop)
        nursery.start_soon(app.run)
        nursery.start_soon(admin.serve, admin_listener)
        nursery.start_soon(app.server.serve, listener)
        nursery.start_soon(app.paths.tunnel_server.serve, tunnel_listener)
        await stop.wait()
        await app.on_shutdown()
        nursery.cancel_scope.cancel()
    link.close()
    app.on_stop()


def _reject_reload(cause: str) -> None:
    """Log that a host with the native API can't reload its settings."""
    logger.warning("settings are read at start only", extra={"cause": cause})

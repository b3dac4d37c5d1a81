"""Serves the platform's routes: entry application on real sockets and clients."""

import logging
import random
from collections.abc import Callable

import trio

from berylshift.clock import LoopClock, boot_seconds
from berylshift.connection.datagram_tag import MAX_DATAGRAM_BYTES
from berylshift.connection.http_client import HttpClient
from berylshift.connection.listeners import open_listener
from berylshift.connection.load_codec import LoadCodec
from berylshift.connection.origin_codec import OriginCodec
from berylshift.connection.peer_link import UdpPeerLink
from berylshift.connection.queue_codec import QueueCodec
from berylshift.connection.target_client import TargetClient
from berylshift.entry_application import EntryApplication, EntryPorts
from berylshift.log import RecordCounter
from berylshift.platform.codec import PlatformCodec
from berylshift.platform.contracts import announces_contention
from berylshift.platform.engines import PlatformEngines
from berylshift.platform.leader_calls import PlatformLeaderCalls
from berylshift.platform.own_tables import (
    PlatformBlockCrashes,
    PlatformCheckpoints,
    PlatformCrashes,
    PlatformHosts,
    PlatformLeases,
    PlatformScaling,
    PlatformUsage,
)
from berylshift.platform.store import PlatformDirectory
from berylshift.process.queues.queue_loop import queue_address
from berylshift.process.streams.origin_loop import origin_address
from berylshift.reload import SettingsFile
from berylshift.settings import Settings
from berylshift.signals import watch_signals
from berylshift.store.client import StoreClient
from berylshift.supervision import RestartingSupervisor
from berylshift.utils import split_address


def make_entry_ports(
    cfg: Settings,
    make_link: Callable[[LoadCodec], UdpPeerLink],
    make_queue_link: Callable[[QueueCodec], UdpPeerLink],
    make_origin_link: Callable[[OriginCodec], UdpPeerLink],
) -> EntryPorts:
    """Return the real dependencies of an entry host."""
    connect = cfg.targets.connect_timeout
    store = StoreClient(
        HttpClient(connect_seconds=cfg.directory.timeout),
        cfg.directory.address,
        cfg.directory.timeout,
    )
    codec = PlatformCodec()
    client = TargetClient(connect, read_id=codec.response_id)
    leader_calls = PlatformLeaderCalls(
        HttpClient(connect_seconds=cfg.duties.timeout),
        cfg.duties.address,
        cfg.duties.timeout,
    )
    return EntryPorts(
        clock=LoopClock(),
        rng=random.Random(),
        directory=PlatformDirectory(store),
        codec=codec,
        client=client,
        leases=PlatformLeases(store),
        engines=PlatformEngines(client, cfg.targets.report_timeout),
        boot_clock=boot_seconds,
        hosts=PlatformHosts(store),
        checkpoints=PlatformCheckpoints(store),
        crashes=PlatformCrashes(store),
        block_crashes=PlatformBlockCrashes(store),
        usage_rows=PlatformUsage(store),
        usage_reporting=leader_calls,
        scale_ordering=leader_calls,
        scale_rows=PlatformScaling(store),
        make_link=lambda key: make_link(LoadCodec(key)),
        announces_contention=announces_contention,
        make_queue_link=lambda key: make_queue_link(QueueCodec(key)),
        make_origin_link=lambda key: make_origin_link(OriginCodec(key)),
        supervisor=RestartingSupervisor(),
    )


async def _open_datagram_socket(address: str) -> trio.socket.SocketType:
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await sock.bind(split_address(address))
    return sock


async def serve_entry(cfg: Settings, path: str) -> None:
    """Serve the platform's routes until SIGTERM, then shut down gracefully."""
    listener = open_listener(cfg.host.address)
    status_listener = open_listener(cfg.entry.status_address)
    tunnel_listener = open_listener(cfg.host.peer_address)
    sock = await _open_datagram_socket(cfg.host.peer_address)
    queue_sock = await _open_datagram_socket(queue_address(cfg.host.peer_address))
    origin_sock = await _open_datagram_socket(origin_address(cfg.host.peer_address))
    ports = make_entry_ports(
        cfg,
        lambda codec: UdpPeerLink(codec, MAX_DATAGRAM_BYTES, sock),
        lambda codec: UdpPeerLink(codec, MAX_DATAGRAM_BYTES, queue_sock),
        lambda codec: UdpPeerLink(codec, MAX_DATAGRAM_BYTES, origin_sock),
    )
    app = EntryApplication(cfg, ports)
    logging.getLogger().addHandler(RecordCounter(app.telemetry.count_record))
    settings_file = SettingsFile(path, cfg, app.apply_settings)
    stop = trio.Event()
    app.on_start()
    async with trio.open_nursery() as nursery:
        await nursery.start(watch_signals, settings_file.reload, stop)
        nursery.start_soon(app.run)
        nursery.start_soon(app.status_server.serve, status_listener)
        nursery.start_soon(app.server.serve, listener)
        nursery.start_soon(app.paths.tunnel_server.serve, tunnel_listener)
        if cfg.entry.metrics_address:
            metrics_listener = open_listener(cfg.entry.metrics_address)
            nursery.start_soon(app.status_server.serve, metrics_listener)
        nursery.start_soon(ports.supervisor.run, "settings", settings_file.watch)
        await stop.wait()
        await app.on_shutdown()
        nursery.cancel_scope.cancel()
    app.on_stop()

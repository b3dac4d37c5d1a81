"""The daemon ``berylshiftd``: reads settings, wires the application, serves."""

import logging
import random
import socket
import sys
from collections.abc import Callable

import trio
from cleo.application import Application as CommandLine
from cleo.commands.command import Command
from cleo.helpers import option
from returns.result import Failure, Success

from berylshift import __version__
from berylshift.application import Addresses, Application, Ports
from berylshift.clock import LoopClock, boot_seconds
from berylshift.connection.admin import Admin
from berylshift.connection.datagram_tag import LARGEST_DATAGRAM
from berylshift.connection.engine_client import HttpEngineClient
from berylshift.connection.http_client import HttpClient
from berylshift.connection.http_server import HttpServer
from berylshift.connection.load_codec import LoadCodec
from berylshift.connection.peer_codec import PeerCodec
from berylshift.connection.peer_link import UdpPeerLink
from berylshift.connection.peer_tables import HttpPeerTables
from berylshift.connection.service_client import HttpServiceClient
from berylshift.connection.target_client import TargetClient
from berylshift.entry_application import EntryApplication, EntryPorts
from berylshift.log import init_logging
from berylshift.metrics import make_metrics
from berylshift.platform.engines import PlatformEngines
from berylshift.platform.exchange import PlatformLanguage
from berylshift.platform.store import (
    PlatformDirectory,
    PlatformHosts,
    PlatformLeases,
)
from berylshift.reload import SettingsFile
from berylshift.settings import (
    Credentials,
    Settings,
    read_credentials,
    read_settings,
)
from berylshift.signals import ignore_early_reloads, watch_signals
from berylshift.store.calls import StoreCalls
from berylshift.store.http import (
    HttpHostList,
    HttpObjectStore,
    HttpTableService,
    HttpWeightStore,
)
from berylshift.utils import split_address

logger = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
BACKLOG = 1024


def open_listener(address: str) -> trio.SocketListener:
    """Listen on ``IP:PORT``; a successor on this host may share the port."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setblocking(False)
    sock.bind(split_address(address))
    sock.listen(BACKLOG)
    return trio.SocketListener(trio.socket.from_stdlib_socket(sock))


def bound_address(listener: trio.SocketListener) -> str:
    """Return the ``IP:PORT`` that a listener is bound to."""
    host, port = listener.socket.getsockname()
    return f"{host}:{port}"


def make_ports(cfg: Settings, creds: Credentials, link: UdpPeerLink) -> Ports:
    """Return the real outside, by HTTP and UDP."""
    client = HttpClient(connect_seconds=cfg.targets.connect_timeout)
    store, timeout = cfg.platform, cfg.platform.timeout
    return Ports(
        clock=LoopClock(),
        rng=random.Random(),
        metrics=make_metrics(cfg.observability.statsd),
        table_service=HttpTableService(client, store.table, timeout),
        objects=HttpObjectStore(client, store.objects, timeout),
        hosts=HttpHostList(client, store.hosts, timeout),
        weights=HttpWeightStore(client, store.weights, timeout),
        engines=HttpEngineClient(client, cfg.targets.credential),
        services=HttpServiceClient(client, cfg.targets.credential),
        link=link,
        peer_tables=HttpPeerTables(client, creds.cluster_key),
    )


async def serve(cfg: Settings, creds: Credentials) -> None:
    """Serve until SIGTERM, then shut down gracefully."""
    most = min(LARGEST_DATAGRAM, cfg.peers.byte_budget // (2 * cfg.peers.fanout))
    link = UdpPeerLink(PeerCodec(creds.cluster_key), most)
    peer_address = await link.bind(cfg.host.peer_address)
    listener = open_listener(cfg.host.address)
    admin_listener = open_listener(cfg.host.admin_address)
    addresses = Addresses(peer_address, bound_address(admin_listener))
    app = Application(cfg, make_ports(cfg, creds, link), addresses, creds.callers)
    admin = HttpServer(Admin(app, creds.cluster_key).handle)
    stop = trio.Event()
    app.on_start()
    async with trio.open_nursery() as nursery:
        await nursery.start(watch_signals, _no_reload, stop)
        nursery.start_soon(app.run)
        nursery.start_soon(admin.serve, admin_listener)
        nursery.start_soon(app.server.serve, listener)
        await stop.wait()
        await app.on_shutdown()
        nursery.cancel_scope.cancel()
    link.close()
    app.on_stop()


def make_entry_ports(
    cfg: Settings, link_of: Callable[[LoadCodec], UdpPeerLink]
) -> EntryPorts:
    """Return the platform as an entry host meets it."""
    connect = cfg.targets.connect_timeout
    calls = StoreCalls(
        HttpClient(connect_seconds=cfg.directory.timeout),
        cfg.directory.address,
        cfg.directory.timeout,
    )
    client = TargetClient(connect)
    return EntryPorts(
        clock=LoopClock(),
        rng=random.Random(),
        directory=PlatformDirectory(calls),
        language=PlatformLanguage(),
        client=client,
        leases=PlatformLeases(calls),
        engines=PlatformEngines(client, cfg.targets.report_timeout),
        boot_clock=boot_seconds,
        hosts=PlatformHosts(calls),
        make_link=lambda key: link_of(LoadCodec(key)),
    )


async def serve_entry(cfg: Settings, path: str) -> None:
    """Serve the platform's routes until SIGTERM, then shut down gracefully."""
    listener = open_listener(cfg.host.address)
    status_listener = open_listener(cfg.entry.status_address)
    sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
    await sock.bind(split_address(cfg.host.peer_address))
    ports = make_entry_ports(
        cfg, lambda codec: UdpPeerLink(codec, LARGEST_DATAGRAM, sock)
    )
    app = EntryApplication(cfg, ports)
    settings_file = SettingsFile(path, cfg, app.adopt)
    stop = trio.Event()
    app.on_start()
    async with trio.open_nursery() as nursery:
        await nursery.start(watch_signals, settings_file.reload, stop)
        nursery.start_soon(app.run)
        nursery.start_soon(app.status_server.serve, status_listener)
        nursery.start_soon(app.server.serve, listener)
        if cfg.entry.metrics_address:
            metrics_listener = open_listener(cfg.entry.metrics_address)
            nursery.start_soon(app.status_server.serve, metrics_listener)
        nursery.start_soon(settings_file.watch)
        await stop.wait()
        await app.on_shutdown()
        nursery.cancel_scope.cancel()
    app.on_stop()


def _no_reload(cause: str) -> None:
    """Note a wish that this kind of daemon can't fulfil."""
    logger.warning("settings are read at start only", extra={"cause": cause})


class ServeCommand(Command):
    """The daemon's one command."""

    name = "serve"
    description = "Serve callers' requests until SIGTERM."
    options = [
        option("config", "c", "The settings file.", flag=False),
        option("check", None, "Only check the settings."),
    ]

    def handle(self) -> int:
        """Read the settings, then serve."""
        path = self.option("config")
        if not path:
            self.line_error("--config FILE.ini is needed")
            return EXIT_BAD_SETTINGS
        match read_settings(path):
            case Failure(faults):
                return self._report(faults)
            case Success(cfg):
                return self._serve(cfg, path)
        return EXIT_BAD_SETTINGS

    def _serve(self, cfg: Settings, path: str) -> int:
        if cfg.directory.kind == "platform":
            return self._serve_entry(cfg, path)
        match read_credentials(cfg.host.credentials):
            case Failure(fault):
                return self._report([fault])
            case Success(creds):
                if self.option("check"):
                    self.line("settings are right")
                    return EXIT_OK
                init_logging(cfg.observability.log_level, cfg.host.name)
                trio.run(serve, cfg, creds)
        return EXIT_OK

    def _serve_entry(self, cfg: Settings, path: str) -> int:
        if self.option("check"):
            self.line("settings are right")
            return EXIT_OK
        init_logging(cfg.observability.log_level, cfg.host.name)
        trio.run(serve_entry, cfg, path)
        return EXIT_OK

    def _report(self, faults: list) -> int:
        for fault in faults:
            sys.stderr.write(f"{fault}\n")
        return EXIT_BAD_SETTINGS


def main() -> None:
    """Run the daemon."""
    ignore_early_reloads()
    command = ServeCommand()
    cli = CommandLine("berylshiftd", __version__)
    cli.add(command)
    # The library has no public way to a program of one command.
    cli._default_command = command.name
    cli._single_command = True
    sys.exit(cli.run())


if __name__ == "__main__":
    main()

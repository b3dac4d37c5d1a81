"""Command-line programs of the stand-ins: ``python -m berylshift.stand_ins NAME``.

Each prints ``listening IP:PORT`` once it accepts connections, and exits on SIGTERM.
"""

import os
import signal
import sys

import msgspec
import trio
from cleo.application import Application as CommandLine
from cleo.commands.command import Command
from cleo.helpers import option

from berylshift.clock import LoopClock
from berylshift.connection.http_server import Handler, HttpServer
from berylshift.connection.listeners import bound_address, open_listener
from berylshift.messages.replicas import EnginePhase
from berylshift.stand_ins.engine_costs import EngineCosts
from berylshift.stand_ins.engine_runner import EngineRunner
from berylshift.stand_ins.engine_server import EngineServer
from berylshift.stand_ins.entry_replica import EntryReplica, PermissiveFleetState
from berylshift.stand_ins.fake_engine import FakeEngine
from berylshift.stand_ins.fake_platform import FakePlatform, PlatformScript
from berylshift.stand_ins.fake_service import FakeService
from berylshift.stand_ins.platform_server import PlatformServer
from berylshift.stand_ins.service_server import ServiceServer
from berylshift.stand_ins.store_server import StoreServer

EXIT_BAD_INPUT = 2
# Exit code of a replica that a request has crashed.
EXIT_CRASHED = 70
ADDRESS = option("address", "a", "IP:PORT to listen on.", flag=False)
NAME = option("name", None, "The stand-in's name.", flag=False, default="engine-1")


async def serve(address: str, make_handler, *background) -> None:
    """Serve HTTP until SIGTERM, next to the tasks in ``background``."""
    listener = open_listener(address)
    async with trio.open_nursery() as nursery:
        handler: Handler = make_handler(bound_address(listener))
        nursery.start_soon(HttpServer(handler).serve, listener)
        for task in background:
            nursery.start_soon(task)
        sys.stdout.write(f"listening {bound_address(listener)}\n")
        sys.stdout.flush()
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                nursery.cancel_scope.cancel()
                return


async def serve_connections(address: str, make_connection_handler) -> None:
    """Serve raw connections until SIGTERM."""
    listener = open_listener(address)
    async with trio.open_nursery() as nursery:
        server = make_connection_handler(bound_address(listener))
        nursery.start_soon(trio.serve_listeners, server, [listener])
        sys.stdout.write(f"listening {bound_address(listener)}\n")
        sys.stdout.flush()
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                nursery.cancel_scope.cancel()
                return


class StoreCommand(Command):
    """Runs the store whose feeds the entry hosts read."""

    name = "store"
    description = "The platform's store: rows, conditions, feeds."
    options = [ADDRESS]

    def handle(self) -> int:
        """Serve until SIGTERM."""
        store = StoreServer()
        trio.run(serve, self.option("address"), lambda _: store.handle)
        return 0


class ReplicaCommand(Command):
    """Runs one replica of the platform."""

    name = "replica"
    description = "A replica that speaks the platform's protocol."
    options = [
        ADDRESS,
        NAME,
        option("phase", None, "prefill, decode or nothing.", flag=False, default=""),
        option("crashes-on", None, "Crash on a request with this path.", flag=False),
    ]

    def handle(self) -> int:
        """Serve until SIGTERM, or until a request crashes the process."""
        phase = EnginePhase(self.option("phase"))
        instance = self.option("name")
        fleet_state = PermissiveFleetState(on_crash=lambda: os._exit(EXIT_CRASHED))
        if self.option("crashes-on"):
            fleet_state.crash_paths.add(self.option("crashes-on"))
        trio.run(
            serve_connections,
            self.option("address"),
            lambda address: EntryReplica(instance, address, fleet_state, phase).serve,
        )
        return 0


class PlatformCommand(Command):
    """Runs the platform."""

    name = "platform"
    description = "Table service, object store, host list and weight store."
    options = [
        ADDRESS,
        option("writes", None, "Writes a second.", flag=False, default="300"),
        option("reads", None, "Reads a second.", flag=False, default="2000"),
    ]

    def handle(self) -> int:
        """Serve until SIGTERM."""
        script = PlatformScript(
            writes_per_second=float(self.option("writes")),
            reads_per_second=float(self.option("reads")),
        )
        fake = FakePlatform(LoopClock(), script)
        server = PlatformServer(fake)
        trio.run(serve, self.option("address"), lambda _: server.handle)
        return 0


def parse_costs(assignments: list[str]) -> EngineCosts:
    """Return the cost model with ``NAME=VALUE`` assignments applied."""
    values = dict(assignment.split("=", 1) for assignment in assignments)
    unknown = set(values) - set(EngineCosts.__dataclass_fields__)
    if unknown:
        raise ValueError(f"unknown names: {', '.join(sorted(unknown))}")
    return msgspec.convert(values, EngineCosts, strict=False)


class EngineCommand(Command):
    """Runs an engine."""

    name = "engine"
    description = "A model engine with a simple cost model."
    options = [
        ADDRESS,
        NAME,
        option("model", None, "The model served.", flag=False, default="match-note"),
        option("ignores-old", None, "Accept orders with a stale order number."),
        option(
            "cost", None, "NAME=VALUE of the cost model.", flag=False, multiple=True
        ),
    ]

    def handle(self) -> int:
        """Serve until SIGTERM."""
        try:
            cost = parse_costs(self.option("cost"))
        except (ValueError, msgspec.ValidationError) as exc:
            known = ", ".join(EngineCosts.__dataclass_fields__)
            self.line_error(f"--cost takes NAME=VALUE ({exc}); there are {known}")
            return EXIT_BAD_INPUT
        rejects_stale_orders = not self.option("ignores-old")
        engine = FakeEngine(
            self.option("name"), "", cost, rejects_stale_orders, self.option("model")
        )
        runner = EngineRunner(engine)

        def make_handler(address: str) -> Handler:
            engine.address = address
            return EngineServer(runner).handle

        trio.run(serve, self.option("address"), make_handler, runner.run)
        return 0


class ServiceCommand(Command):
    """Runs a replica of a plain service."""

    name = "service"
    description = "A plain service that counts each confirmation it ran."
    options = [ADDRESS, NAME]

    def handle(self) -> int:
        """Serve until SIGTERM."""
        server = ServiceServer(FakeService(self.option("name")))
        trio.run(serve, self.option("address"), lambda _: server.handle)
        return 0


def main() -> None:
    """Run the command line."""
    cli = CommandLine("berylshift-stand-in")
    commands = (PlatformCommand(), EngineCommand(), ServiceCommand())
    for command in (*commands, StoreCommand(), ReplicaCommand()):
        cli.add(command)
    sys.exit(cli.run())


if __name__ == "__main__":
    main()

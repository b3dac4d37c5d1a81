"""The demonstration on the platform's protocol: hosts, a store, engines, a service.

All are separate processes. One host gets SIGTERM, one engine is killed, the routes
change, and the store comes back from an older copy while 240 requests run. Prints one
JSON object as its last line; exits 1 unless nothing was lost, doubled or cut.
"""

import random
import signal
import sys
import tempfile
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

import msgspec
import trio

from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.platform import names
from berylshift.stand_ins.entry_replica import RUNS_PATH
from berylshift.stand_ins.store_server import RESTORE_PATH
from berylshift.tools.processes import Programs

REQUESTS = 240
SECONDS = 10.0
HOSTS = 3
SEED = 1
READY_SECONDS = 20.0
READY_POLL_SECONDS = 0.05
PIECES = 6
# How old the copy is from which the store comes back, and when it is whole again.
OLDER_SECONDS = 1.5
AGAIN_SECONDS = 1.0
SITE = "shop.example"
# Keys of the one customer; each request shows one of them.
KEYS = ("demonstration-key-1", "demonstration-key-2")
SETTINGS = """[host]
name = {name}
domain = domain-1
address = 127.0.0.1:{base}
peer_address = 127.0.0.1:{peer}
[directory]
kind = platform
address = {store}
[entry]
status_address = 127.0.0.1:{status}
ready_path = /ready
grace = 8
reading_share = 0
"""


class Kind(StrEnum):
    """What a request asks for."""

    NOTE = "note"
    LOOK = "look"
    BOOK = "book"


class End(StrEnum):
    """How a request ended for its caller."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CUT = "cut"
    WRONG = "wrong"


@dataclass
class Summary:
    """What the demonstration shows."""

    requests: int = 0
    complete: int = 0
    not_run: int = 0
    unknown: int = 0
    lost: int = 0
    doubled: int = 0
    cut: int = 0


@dataclass
class Host:
    """One entry host's addresses."""

    name: str
    address: str
    status: str
    serving: bool = True


@dataclass
class EntryDemo:
    """The running parts."""

    directory: Path
    programs: Programs
    client: HttpClient = field(default_factory=HttpClient)
    store: str = ""
    hosts: list[Host] = field(default_factory=list)
    replicas: dict[str, str] = field(default_factory=dict)
    ends: list[End] = field(default_factory=list)
    version: int = 1
    keys: tuple[str, ...] = KEYS
    host_ready_seconds: float = 0.0

    async def start(self, hosts: int = HOSTS) -> None:
        """Start store, replicas and hosts; return once the hosts are ready."""
        self.store = (await self.programs.start_stand_in("store", "store")).address
        await self._start_replica("plain-1", "desk", "")
        await self._start_replica("plain-2", "desk", "")
        for name, phase in (("read-1", "prefill"), ("read-2", "prefill")):
            await self._start_replica(name, "writer", phase)
        for name in ("answer-1", "answer-2"):
            await self._start_replica(name, "writer", "decode")
        await self.put_routes()
        started = trio.current_time()
        for number in range(hosts):
            await self.start_host(number)
        with trio.fail_after(READY_SECONDS):
            for host in self.hosts:
                while not await self.is_ready(host):
                    await trio.sleep(READY_POLL_SECONDS)
        self.host_ready_seconds = trio.current_time() - started

    async def _start_replica(self, name: str, service: str, phase: str) -> None:
        program = await self.programs.start_stand_in(
            name, "replica", "--name", name, "--phase", phase
        )
        self.replicas[name] = program.address
        entry = {
            "service": service,
            "address": program.address,
            "zone": "domain-1",
            "version": "v1",
            "batch_slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "phase": phase,
        }
        await self._write(names.REPLICA_TABLE, name, entry)

    async def start_host(self, number: int) -> Host:
        """Start a host's process; return its addresses."""
        name = f"entry-{number + 1}"
        ports = [await _free_port() for _ in range(3)]
        text = SETTINGS.format(
            name=name, base=ports[0], peer=ports[1], status=ports[2], store=self.store
        )
        path = self.directory / f"{name}.ini"
        path.write_text(text, encoding="utf-8")
        await self.programs.start(name, "berylshift.daemon", "--config", str(path))
        host = Host(name, f"127.0.0.1:{ports[0]}", f"127.0.0.1:{ports[2]}")
        self.hosts.append(host)
        return host

    async def is_ready(self, host: Host) -> bool:
        """Return whether a host says that it takes callers."""
        out = Outgoing(host.status, "GET", "/ready", {}, reuse=False)
        try:
            async with self.client.request(out) as resp:
                return resp.status == 200
        except ConnectionLayerError:
            return False

    async def put_routes(self) -> None:
        """Write the next version of the routes."""
        self.version += 1
        await self._write_routes()

    async def _write_routes(self) -> None:
        kinds = {
            Kind.NOTE: ("streaming", "writer", 1),
            Kind.LOOK: ("idempotent", "desk", 2),
            Kind.BOOK: ("non_idempotent", "desk", 1),
        }
        routes = [
            {
                "name": kind,
                "host": SITE,
                "prefix": f"/{kind}/",
                "route_kind": word,
                "timeout_ms": 5000,
                "target_latency_ms": 500,
                "service": service,
                "max_attempts": attempts,
                "session_affinity": kind is Kind.NOTE,
            }
            for kind, (word, service, attempts) in kinds.items()
        ]
        services = [{"name": "desk"}, {"name": "writer"}]
        config = {
            "version": self.version,
            "routes": routes,
            "services": services,
        }
        if self.keys:
            customer = {"name": "demonstration", "api_keys": list(self.keys)}
            config["tenants"] = [customer]
        await self._write(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, config)

    async def _write(self, table: str, key: str, value: object) -> None:
        row = {"table": table, "key": key, "value": msgspec.json.encode(value)}
        await self._transact({"write": [row]})

    async def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        await self._transact({"remove": [{"table": table, "key": key}]})

    async def _transact(self, body: object) -> None:
        data = msgspec.json.encode(body)
        out = Outgoing(self.store, "POST", names.ROWS_TX, {}, data, reuse=False)
        async with self.client.request(out) as resp:
            await resp.read()

    # Callers

    def shown_key(self) -> dict[str, str]:
        """Return the header by which a caller shows one of its customer's keys."""
        if not self.keys:
            return {}
        return {names.AUTHORIZATION.decode(): f"Bearer {random.choice(self.keys)}"}

    async def ask(self, request: str, kind: Kind) -> None:
        """Send a request to a host that takes new ones, and judge the answer."""
        headers = {
            "host": SITE,
            names.ATTEMPT_ID.decode(): request,
            names.TIME_LEFT_MS.decode(): "5000",
        }
        headers |= self.shown_key()
        if kind is Kind.NOTE:
            headers[names.TOKEN_COUNTS.decode()] = "3000,80"
            headers[names.PREFIX_BLOCKS.decode()] = "a1:2000,ff:1000"
            headers["x-pieces"] = str(PIECES)
        host = random.choice([host for host in self.hosts if host.serving])
        out = Outgoing(host.address, "POST", f"/{kind}/x", headers, b"{}", reuse=False)
        try:
            async with self.client.request(out) as resp:
                body = await resp.read()
                self.ends.append(_judge(request, kind, resp.status, body))
        except ConnectionLayerError:
            self.ends.append(End.CUT)

    async def runs(self) -> list[str]:
        """Return what ran at the plain service, by request."""
        found: list[str] = []
        for name in ("plain-1", "plain-2"):
            out = Outgoing(self.replicas[name], "GET", RUNS_PATH, {}, reuse=False)
            async with self.client.request(out) as resp:
                found += msgspec.json.decode(await resp.read(), type=list[str])
        return found

    async def trouble(self) -> None:
        """Stop a host, kill an engine, change the routes."""
        await trio.sleep(SECONDS * 0.25)
        self.programs.signal(self.hosts[1].name, signal.SIGTERM)
        await trio.sleep(1.0)
        self.hosts[1].serving = False
        await trio.sleep(SECONDS * 0.15)
        self.programs.signal("read-2", signal.SIGKILL)
        await trio.sleep(SECONDS * 0.1)
        await self.remove(names.REPLICA_TABLE, "read-2")
        await self.put_routes()
        await trio.sleep(SECONDS * 0.1)
        await self._restore_store()

    async def _restore_store(self) -> None:
        """Have the store come back older; what is not the hosts' is written again."""
        path = f"{RESTORE_PATH}?seconds={OLDER_SECONDS}"
        out = Outgoing(self.store, "POST", path, {}, reuse=False)
        async with self.client.request(out) as resp:
            await resp.read()
        await trio.sleep(AGAIN_SECONDS)
        await self._write_routes()
        await self.remove(names.REPLICA_TABLE, "read-2")


def _judge(request: str, kind: Kind, status: int, body: bytes) -> End:
    if status in (429, 503):
        return End.NOT_RUN
    if status != 200:
        return End.UNKNOWN
    wanted = f"body of {request}".encode()
    if kind is Kind.NOTE:
        wanted = b"".join(
            b"id: %d\ndata: piece-%d\n\n" % (n, n) for n in range(1, PIECES + 1)
        )
    return End.COMPLETE if body == wanted else End.WRONG


async def _free_port() -> int:
    """Return a port that the kernel says is free."""
    sock = trio.socket.socket()
    await sock.bind(("127.0.0.1", 0))
    port = sock.getsockname()[1]
    sock.close()
    return port


async def run_demo(directory: Path) -> Summary:
    """Start everything, play the requests, end everything."""
    rng = random.Random(SEED)
    async with trio.open_nursery() as nursery:
        programs = Programs(directory, nursery)
        demo = EntryDemo(directory, programs)
        try:
            await demo.start()
            nursery.start_soon(demo.trouble)
            async with trio.open_nursery() as asking:
                for number in range(REQUESTS):
                    kind = rng.choice(list(Kind))
                    asking.start_soon(demo.ask, f"{kind}-{number}", kind)
                    await trio.sleep(SECONDS / REQUESTS)
            summary = _summary(demo.ends, await demo.runs())
            nursery.cancel_scope.cancel()
        finally:
            await programs.end_all()
    return summary


def _summary(ends: list[End], runs: list[str]) -> Summary:
    booked = [request for request in runs if request.startswith(Kind.BOOK)]
    return Summary(
        requests=REQUESTS,
        complete=ends.count(End.COMPLETE),
        not_run=ends.count(End.NOT_RUN),
        unknown=ends.count(End.UNKNOWN),
        lost=REQUESTS - len(ends) + ends.count(End.WRONG),
        doubled=len(booked) - len(set(booked)),
        cut=ends.count(End.CUT),
    )


def main() -> None:
    """Run the demonstration."""
    with tempfile.TemporaryDirectory(prefix="berylshift-demo-") as name:
        summary = trio.run(run_demo, Path(name))
    sys.stdout.write(msgspec.json.encode(summary).decode() + "\n")
    sys.exit(1 if summary.lost + summary.doubled + summary.cut else 0)


if __name__ == "__main__":
    main()

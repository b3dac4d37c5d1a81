"""The processes of the demonstration: platform, targets and entry hosts."""

import random
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from returns.result import Success

from berylshift.clock import LoopClock
from berylshift.connection.http_client import HttpClient
from berylshift.connection.listeners import bound_address, open_listener
from berylshift.ids import ChangeId
from berylshift.process.limits.store_budget import StoreBudget
from berylshift.replay.trace import EventKind, TraceEvent
from berylshift.store.batch import TableGate
from berylshift.store.http import HttpObjectStore, HttpTableService
from berylshift.tools.processes import Programs
from berylshift.version.changelog import TableLog
from berylshift.version.diff import Edit
from berylshift.version.rows import OrderCheck, Row, RowKind
from berylshift.version.table_csv import with_cell

ENGINES = 4
REPLICAS = 2
DAEMONS = 3
DOMAINS = 4
FLEET = "nestwatch"
MODEL = "match-note"
SERVICE = "booking"
CUSTOMERS = ("hobart", "launceston")
SEED = 20


def free_address() -> str:
    """Return a loopback address whose port the kernel says is free."""
    listener = open_listener("127.0.0.1:0")
    address = bound_address(listener)
    listener.socket.close()
    return address


@dataclass
class DemoFleet:
    """The processes of the demonstration."""

    directory: Path
    programs: Programs
    engine_count: int = ENGINES
    daemon_count: int = DAEMONS
    platform: str = ""
    engines: list[str] = field(default_factory=list)
    replicas: list[str] = field(default_factory=list)
    entries: list[str] = field(default_factory=list)

    async def start(self) -> None:
        """Start platform, targets and entry hosts."""
        self.platform = (
            await self.programs.start_stand_in("platform", "platform")
        ).address
        for number in range(1, self.engine_count + 1):
            name = f"engine-{number}"
            args = ("engine", "--name", name, "--model", MODEL)
            self.engines.append(
                (await self.programs.start_stand_in(name, *args)).address
            )
        for number in range(1, REPLICAS + 1):
            name = f"{SERVICE}-{number}"
            started = await self.programs.start_stand_in(
                name, "service", "--name", name
            )
            self.replicas.append(started.address)
        await self.table_log().commit(
            Edit(0, self._rows(), []), ChangeId("demo-1"), "demo", ""
        )
        self._write_credentials()
        for number in range(1, self.daemon_count + 1):
            await self._start_daemon(f"host-{number}", number)

    def table_log(self) -> TableLog:
        """Return the operators' table in the platform."""
        client = HttpClient()
        rng = random.Random(SEED)
        gate = TableGate(
            HttpTableService(client, self.platform, 2.0),
            LoopClock(),
            StoreBudget(100, rng),
            StoreBudget(100, rng),
            0.0,
            1,
        )
        return TableLog(gate, HttpObjectStore(client, self.platform, 2.0))

    def _rows(self) -> list[Row]:
        rows = []
        for number, address in enumerate(self.engines):
            name, domain = f"engine-{number + 1}", f"domain-{number % DOMAINS + 1}"
            rows.append(
                Row(
                    RowKind.ENGINE,
                    name,
                    serves=MODEL,
                    address=address,
                    domain=domain,
                    orders=OrderCheck.REFUSES,
                )
            )
            rows.append(Row(RowKind.ROUTE, name, fleet=FLEET))
        for number, address in enumerate(self.replicas):
            name, domain = f"{SERVICE}-{number + 1}", f"domain-{number % DOMAINS + 1}"
            rows.append(
                Row(
                    RowKind.SERVICE,
                    name,
                    serves=SERVICE,
                    address=address,
                    domain=domain,
                )
            )
            rows.append(Row(RowKind.ROUTE, name, fleet=FLEET))
        return rows

    def _write_credentials(self) -> None:
        callers = {
            f"token-{name}": {"customer": name, "fleet": FLEET} for name in CUSTOMERS
        }
        data = {"callers": callers, "cluster_key": f"{random.getrandbits(128):032x}"}
        path = self.directory / "credentials.json"
        path.touch(mode=0o600)
        path.write_bytes(msgspec.json.encode(data))

    async def _start_daemon(self, name: str, number: int) -> None:
        address = free_address()
        text = f"""[host]
name = {name}
domain = domain-{number}
address = {address}
admin_address = {free_address()}
peer_address = 127.0.0.1:0
credentials = {self.directory / "credentials.json"}

[platform]
table = {self.platform}
objects = {self.platform}
hosts = {self.platform}
weights = {self.platform}

[shutdown]
balancer_notice = 2
"""
        path = self.directory / f"{name}.ini"
        path.write_text(text, encoding="utf-8")
        await self.programs.start(name, "berylshift.daemon", "--config", str(path))
        self.entries.append(address)

    async def apply_event(self, event: TraceEvent) -> None:
        """Bring an event of the demonstration about."""
        sys.stdout.write(f"{event.at_ms / 1000:5.1f} s  {event.event} {event.who}\n")
        sys.stdout.flush()
        if event.event is EventKind.KILL and event.who.startswith("engine"):
            self.programs.signal(event.who, signal.SIGKILL)
        elif event.event is EventKind.DRAIN:
            self.programs.signal(event.who, signal.SIGTERM)
        elif event.event is EventKind.EDIT:
            await self._edit(event)

    async def _edit(self, event: TraceEvent) -> None:
        log = self.table_log()
        table = await log.load()
        row = next(row for row in table.rows.values() if row.target == event.who)
        changed = with_cell(row, event.column, event.value).unwrap()
        edit = Edit(table.version, [changed], [])
        done = await log.commit(edit, ChangeId("demo-2"), "demo", "")
        if not isinstance(done, Success):
            raise RuntimeError(f"the demonstration's edit was refused: {done}")

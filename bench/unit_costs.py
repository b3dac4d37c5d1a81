"""Costs per unit (host, target, row, entry, call) for docs/CAPACITY.md."""

import random
import statistics
import time
import tracemalloc
from collections.abc import Callable

import msgspec
import trio
import trio.testing

from bench.report import print_rows
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.connection.http_server import HttpServer
from berylshift.connection.peer_codec import PeerCodec
from berylshift.ids import ChangeId, HostName, Incarnation, TableVersion
from berylshift.process.engine_state.load_view import LoadView, Share
from berylshift.process.engine_state.prefix_index import PrefixIndex
from berylshift.process.membership.digest import Digest, Echo
from berylshift.process.membership.members import Membership, make_incarnation
from berylshift.targets import LoadReport, Role
from berylshift.tests.support import engine_row, route_row
from berylshift.version.table import Change, Table

REPEATS = 5
ROWS = 10_000
HOSTS = 370
TARGETS = 60
PREFIXES = 20_000
CALLS = 400


def _median_us(task: Callable[[], None], count: int) -> float:
    times = []
    for _ in range(REPEATS):
        start = time.perf_counter()
        for _ in range(count):
            task()
        times.append((time.perf_counter() - start) / count * 1e6)
    return round(statistics.median(times), 1)


def _bytes_per_item(make: Callable[[], object], count: int) -> int:
    tracemalloc.start()
    items = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del items
    return size // count


def _digest(shares: int) -> Digest:
    me = make_incarnation(HostName("host-1"), 1, 1)
    entries = [Share(f"engine-{i}", "nestwatch", i, i * 100) for i in range(shares)]
    echo = Echo(HostName("host-2"), me, 5)
    return Digest(HostName("host-1"), me, 9, 5, 0.5, echoes=[echo], shares=entries)


def _rows() -> list:
    rows = []
    for number in range(1, ROWS // 2 + 1):
        address = f"10.{number // 60000}.{number // 250}.{number % 250}:8000"
        rows.append(engine_row(f"engine-{number}", address=address))
        rows.append(route_row(f"engine-{number}"))
    return rows


def _table_change_us() -> float:
    table = Table(TableVersion(1), _rows())
    row = route_row("engine-1", weight=7)
    change = Change(TableVersion(2), ChangeId("c"), "op", "", [row], [])

    def task() -> None:
        changed = table.apply(change)
        changed.candidates("nestwatch", "match-note")

    return _median_us(task, 3)


def _http_call_us() -> float:
    report = msgspec.json.encode(LoadReport(Incarnation("e/1"), 1.0, Role.MIXED))

    async def handle(req, responder) -> None:
        await responder.full(200, {"content-type": "application/json"}, report)

    async def run() -> float:
        async with trio.open_nursery() as nursery:

            async def dial(address):
                client_end, server_end = trio.testing.memory_stream_pair()
                nursery.start_soon(HttpServer(handle).serve_stream, server_end)
                return client_end

            client = HttpClient(dial)
            start = time.perf_counter()
            for _ in range(CALLS):
                out = Outgoing("a:1", "GET", "/v1/load", {})
                async with client.request(out) as resp:
                    msgspec.json.decode(await resp.read(), type=LoadReport)
            call_us = (time.perf_counter() - start) / CALLS * 1e6
            nursery.cancel_scope.cancel()
        return call_us

    # Client and server both run here; the client takes about half of the time.
    return round(statistics.median(trio.run(run) for _ in range(REPEATS)), 1)


def _membership() -> Membership:
    me = make_incarnation(HostName("host-0"), 1, 1)
    members = Membership(HostName("host-0"), me, 5.0, random.Random(1))
    for number in range(1, HOSTS):
        name = HostName(f"host-{number}")
        digest = Digest(name, make_incarnation(name, 1, 1), 1, 5)
        members.receive(digest, 1.0)
        for sequence in range(64):
            members.record_send(name, sequence, 1.0)
    return members


def _load_view() -> LoadView:
    load = LoadView(8000.0)
    for number in range(TARGETS):
        for attempt in range(20):
            load.record_sent(f"engine-{number}", f"a{number}.{attempt}", "f", 100, 1.0)
    return load


def _prefixes() -> PrefixIndex:
    index = PrefixIndex()
    for number in range(PREFIXES):
        index.record_sent("engine-1", ((64, number * 7919),))
    return index


def main() -> None:
    """Print the cost per unit."""
    codec = PeerCodec("key")
    digest = _digest(20)
    data = codec.encode(digest)
    rows = [
        ("datagram of 20 shares: bytes", len(data)),
        ("datagram of 0 shares: bytes", len(codec.encode(_digest(0)))),
        ("datagram: us to encode", _median_us(lambda: codec.encode(digest), 200)),
        ("datagram: us to decode", _median_us(lambda: codec.decode(data), 200)),
        ("table change at 10,000 rows: us", _table_change_us()),
        ("table: bytes a row", _bytes_per_item(lambda: Table(1, _rows()), ROWS)),
        ("load report over HTTP, both ends: us", _http_call_us()),
        ("membership: bytes a host", _bytes_per_item(_membership, HOSTS)),
        (
            "load view: bytes a target with 20 attempts",
            _bytes_per_item(_load_view, TARGETS),
        ),
        ("prefix index: bytes an entry", _bytes_per_item(_prefixes, PREFIXES)),
    ]
    print_rows([{"what": what, "value": value} for what, value in rows])

"""Costs of single steps: a routing decision, a relayed chunk, memory."""

import os
import random
import statistics
import subprocess
import sys
import time

import h11
import msgspec

from bench.report import print_rows
from berylshift.ids import Incarnation, TableVersion
from berylshift.process.control.demand_meter import DemandMeter
from berylshift.process.control.plans import Plans
from berylshift.process.engine_state.cost_model import CostModel
from berylshift.process.engine_state.health import Health
from berylshift.process.engine_state.load_view import LoadView
from berylshift.process.engine_state.prefix_index import PrefixIndex, prefix_hashes
from berylshift.request.router import LeastLateness, RoutingContext, WorkItem
from berylshift.settings import PolicySettings
from berylshift.stand_ins.text import make_prompt
from berylshift.targets import EngineChunk, LoadReport, Role
from berylshift.tests.support import FLEET, MODEL
from berylshift.version.rows import OrderCheck, Row, RowKind
from berylshift.version.table import Table

SIZES = (10, 100, 1600)
DECISIONS = 3000
CHUNKS = 20000
COALESCED = 8
REPEATS = 5


def _knowledge(size: int) -> tuple[RoutingContext, Table]:
    rows = []
    for number in range(size):
        name = f"engine-{number + 1}"
        address = f"10.{number // 250}.{number % 250}.1:8000"
        rows.append(
            Row(
                RowKind.ENGINE,
                name,
                serves=MODEL,
                address=address,
                domain="d",
                orders=OrderCheck.REFUSES,
            )
        )
        rows.append(Row(RowKind.ROUTE, name, fleet=FLEET))
    load = LoadView(8000.0)
    for row in rows[::2]:
        report = LoadReport(Incarnation("e/1"), 1.0, Role.MIXED, running=5)
        load.note_report(row.name, report, 0.0)
    cost = CostModel(PolicySettings())
    know = RoutingContext(
        load, Health(), cost, PrefixIndex(), Plans(), DemandMeter(), random.Random(1)
    )
    return know, Table(TableVersion(1), rows)


def _decision_us(size: int) -> float:
    know, table = _knowledge(size)
    router = LeastLateness(know, 1.0, 8000.0)
    prefixes = prefix_hashes(make_prompt("p", "1", 2000, 100))
    items = [
        WorkItem(f"r{i}", "c", FLEET, MODEL, 2000, 100, prefixes, 20.0)
        for i in range(DECISIONS)
    ]
    router.choose(items[0], table, 1.0)
    best = []
    for _ in range(REPEATS):
        start = time.perf_counter()
        for item in items:
            router.choose(item, table, 1.0)
        best.append((time.perf_counter() - start) / DECISIONS * 1e6)
    return statistics.median(best)


def _relay_us(tokens: int) -> float:
    """Return the time to read one engine chunk and write it to the caller."""
    line = msgspec.json.encode(EngineChunk("r1.1", 0, ["1234"] * tokens)) + b"\n"
    decoder = msgspec.json.Decoder(EngineChunk)
    client = h11.Connection(h11.CLIENT)
    client.send(h11.Request(method="GET", target="/", headers=[("host", "h")]))
    client.send(h11.EndOfMessage())
    client.receive_data(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
    client.next_event()
    server = h11.Connection(h11.SERVER)
    server.receive_data(b"GET / HTTP/1.1\r\nhost: h\r\n\r\n")
    server.next_event()
    server.next_event()
    head = h11.Response(status_code=200, headers=[("transfer-encoding", "chunked")])
    server.send(head)
    framed = f"{len(line):x}\r\n".encode() + line + b"\r\n"
    start = time.perf_counter()
    for _ in range(CHUNKS):
        client.receive_data(framed)
        data = bytes(client.next_event().data)
        chunk = decoder.decode(data.strip())
        text = "".join(chunk.texts)
        event = msgspec.json.encode({"id": "r", "choices": [{"text": text}]})
        server.send(h11.Data(data=b"data: " + event + b"\n\n"))
    return (time.perf_counter() - start) / CHUNKS * 1e6


def _idle_kb() -> int:
    """Return the resident memory of a process that has all of the daemon loaded."""
    code = "import berylshift.serve_native;print(open('/proc/self/status').read())"
    out = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    line = next(ln for ln in out.stdout.splitlines() if ln.startswith("VmRSS"))
    return int(line.split()[1])


def main() -> None:
    """Print the costs."""
    times = {size: _decision_us(size) for size in SIZES}
    rows = [
        {"what": f"routing decision, {size} replicas", "us": round(us, 1)}
        for size, us in times.items()
    ]
    ratio = times[SIZES[-1]] / times[SIZES[0]]
    rows.append({"what": "ratio of the last to the first", "us": round(ratio, 2)})
    one, many = _relay_us(1), _relay_us(COALESCED)
    rows.append({"what": "relayed chunk of 1 token", "us": round(one, 1)})
    rows.append({"what": f"relayed chunk of {COALESCED} tokens", "us": round(many, 1)})
    rows.append({"what": "resident KB, daemon's modules loaded", "us": _idle_kb()})
    rows.append({"what": "processors", "us": os.cpu_count() or 0})
    print_rows(rows)

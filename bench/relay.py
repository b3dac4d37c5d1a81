"""Cost of a relayed request and event, memory and start of an entry host.

Real processes: one host, the store and replicas as stand-ins, callers in this process.
"""

import tempfile
from pathlib import Path

import trio

from bench.report import print_rows
from bench.usage import processor_seconds, resident_kb
from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.http_client import Outgoing
from berylshift.platform import names
from berylshift.tools.demo_entry import SITE, EntryDemo, Kind
from berylshift.tools.processes import Programs

REQUESTS = 1000
STREAMS = 60
FEW_PIECES = 10
MANY_PIECES = 110
OPEN_STREAMS = 200
# Pieces of the streams that stay open: 0.05 s each, longer than the measurement.
OPEN_PIECES = 400
SETTLE_SECONDS = 4.0
HOST = "entry-1"
PROMPT = {names.TOKEN_COUNTS.decode(): "3000,80"}
PROMPT[names.PREFIX_BLOCKS.decode()] = "a1:2000,ff:1000"


def _request(demo: EntryDemo, kind: Kind, number: int, pieces: int = 0) -> Outgoing:
    headers = {
        "host": SITE,
        names.ATTEMPT_ID.decode(): f"{kind}-{number}-{pieces}",
        names.TIME_LEFT_MS.decode(): "60000",
    }
    headers |= demo.shown_key()
    if pieces:
        headers |= {**PROMPT, "x-pieces": str(pieces)}
    return Outgoing(demo.hosts[0].address, "POST", f"/{kind}/x", headers, b"{}")


async def _ask(demo: EntryDemo, out: Outgoing) -> None:
    try:
        async with demo.client.request(out) as resp:
            async for _ in resp.chunks():
                pass
    except ConnectionLayerError:
        return


async def _plain_us(demo: EntryDemo, pid: int) -> float:
    """Return microseconds of processor time for a plain request."""
    before = processor_seconds(pid)
    for number in range(REQUESTS):
        await _ask(demo, _request(demo, Kind.LOOK, number))
    return (processor_seconds(pid) - before) / REQUESTS * 1e6


async def _streams_seconds(demo: EntryDemo, pid: int, pieces: int) -> float:
    """Return processor seconds of some streams of so many pieces."""
    before = processor_seconds(pid)
    async with trio.open_nursery() as nursery:
        for number in range(STREAMS):
            out = _request(demo, Kind.NOTE, number, pieces)
            nursery.start_soon(_ask, demo, out)
            await trio.sleep(0.01)
    return processor_seconds(pid) - before


async def _open_streams_kb(demo: EntryDemo, pid: int) -> int:
    """Return the resident memory with many streams open."""
    async with trio.open_nursery() as nursery:
        for number in range(OPEN_STREAMS):
            out = _request(demo, Kind.NOTE, number, OPEN_PIECES)
            nursery.start_soon(_ask, demo, out)
        await trio.sleep(SETTLE_SECONDS)
        size = resident_kb(pid)
        nursery.cancel_scope.cancel()
    return size


async def _measure(demo: EntryDemo) -> list[dict]:
    start = trio.current_time()
    await demo.start(hosts=1)
    ready = trio.current_time() - start
    pid = demo.programs.running[HOST].process.pid
    idle = resident_kb(pid)
    plain = await _plain_us(demo, pid)
    keys, demo.keys = demo.keys, ()
    await demo.put_routes()
    await trio.sleep(SETTLE_SECONDS)
    unkeyed = await _plain_us(demo, pid)
    demo.keys = keys
    await demo.put_routes()
    await trio.sleep(SETTLE_SECONDS)
    plain = min(plain, await _plain_us(demo, pid))
    few = await _streams_seconds(demo, pid, FEW_PIECES)
    many = await _streams_seconds(demo, pid, MANY_PIECES)
    event = (many - few) / STREAMS / (MANY_PIECES - FEW_PIECES) * 1e6
    stream = few / STREAMS * 1e6 - event * FEW_PIECES
    loaded = await _open_streams_kb(demo, pid)
    return [
        {"what": "relayed plain request, us of processor time", "value": round(plain)},
        {"what": "the same without customers' keys, us", "value": round(unkeyed)},
        {"what": "relayed prompt, read apart, us", "value": round(stream)},
        {"what": "relayed event, us", "value": round(event)},
        {"what": "resident KB, idle", "value": idle},
        {"what": f"resident KB, {OPEN_STREAMS} streams open", "value": loaded},
        {"what": "programs started and host ready, s", "value": round(ready, 2)},
        {"what": "of these the host, s", "value": round(demo.host_ready_seconds, 2)},
    ]


async def _run(directory: Path) -> list[dict]:
    async with trio.open_nursery() as nursery:
        programs = Programs(directory, nursery)
        try:
            return await _measure(EntryDemo(directory, programs))
        finally:
            await programs.end_all()
            nursery.cancel_scope.cancel()


def main() -> None:
    """Print the costs."""
    with tempfile.TemporaryDirectory(prefix="berylshift-bench-") as name:
        print_rows(trio.run(_run, Path(name)))

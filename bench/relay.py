"""CPU time of relayed requests and events, and memory and startup of an entry host.

One host, a stand-in store and stand-in replicas run as processes; the callers run in
this process.
"""

import tempfile
from pathlib import Path

import trio

from bench.process_stats import read_cpu_seconds, resident_kb
from bench.report import print_rows
from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.http_client import Outgoing
from berylshift.platform import names
from berylshift.tools.demo_entry import SITE, EntryDemo, Kind
from berylshift.tools.processes import Programs

REQUESTS = 1000
STREAMS = 60
SHORT_STREAM_EVENTS = 10
LONG_STREAM_EVENTS = 110
OPEN_STREAMS = 200
# At 0.05 s per event, these streams outlast the measurement.
OPEN_STREAM_EVENTS = 400
SETTLE_SECONDS = 4.0
HOST = "entry-1"
PROMPT = {names.TOKEN_COUNTS.decode(): "3000,80"}
PROMPT[names.PREFIX_BLOCKS.decode()] = "a1:2000,ff:1000"


def _request(demo: EntryDemo, kind: Kind, number: int, events: int = 0) -> Outgoing:
    headers = {
        "host": SITE,
        names.ATTEMPT_ID.decode(): f"{kind}-{number}-{events}",
        names.TIME_LEFT_MS.decode(): "60000",
    }
    headers |= demo.auth_header()
    if events:
        headers |= {**PROMPT, "x-pieces": str(events)}
    return Outgoing(demo.hosts[0].address, "POST", f"/{kind}/x", headers, b"{}")


async def _send(demo: EntryDemo, out: Outgoing) -> None:
    try:
        async with demo.client.request(out) as resp:
            async for _ in resp.chunks():
                pass
    except ConnectionLayerError:
        return


async def _plain_us(demo: EntryDemo, pid: int) -> float:
    """Return the host's CPU microseconds per plain request."""
    before = read_cpu_seconds(pid)
    for number in range(REQUESTS):
        await _send(demo, _request(demo, Kind.LOOKUP, number))
    return (read_cpu_seconds(pid) - before) / REQUESTS * 1e6


async def _streams_seconds(demo: EntryDemo, pid: int, events: int) -> float:
    """Return the host's CPU seconds for streams with ``events`` events each."""
    before = read_cpu_seconds(pid)
    async with trio.open_nursery() as nursery:
        for number in range(STREAMS):
            out = _request(demo, Kind.NOTE, number, events)
            nursery.start_soon(_send, demo, out)
            await trio.sleep(0.01)
    return read_cpu_seconds(pid) - before


async def _open_streams_kb(demo: EntryDemo, pid: int) -> int:
    """Return the host's resident memory with many streams open."""
    async with trio.open_nursery() as nursery:
        for number in range(OPEN_STREAMS):
            out = _request(demo, Kind.NOTE, number, OPEN_STREAM_EVENTS)
            nursery.start_soon(_send, demo, out)
        await trio.sleep(SETTLE_SECONDS)
        resident = resident_kb(pid)
        nursery.cancel_scope.cancel()
    return resident


async def _measure(demo: EntryDemo) -> list[dict]:
    start = trio.current_time()
    await demo.start(hosts=1)
    startup_seconds = trio.current_time() - start
    pid = demo.programs.running[HOST].process.pid
    idle_kb = resident_kb(pid)
    plain_us = await _plain_us(demo, pid)
    keys, demo.keys = demo.keys, ()
    await demo.put_routes()
    await trio.sleep(SETTLE_SECONDS)
    keyless_us = await _plain_us(demo, pid)
    demo.keys = keys
    await demo.put_routes()
    await trio.sleep(SETTLE_SECONDS)
    plain_us = min(plain_us, await _plain_us(demo, pid))
    short_seconds = await _streams_seconds(demo, pid, SHORT_STREAM_EVENTS)
    long_seconds = await _streams_seconds(demo, pid, LONG_STREAM_EVENTS)
    event_us = (
        (long_seconds - short_seconds)
        / STREAMS
        / (LONG_STREAM_EVENTS - SHORT_STREAM_EVENTS)
        * 1e6
    )
    stream_us = short_seconds / STREAMS * 1e6 - event_us * SHORT_STREAM_EVENTS
    loaded_kb = await _open_streams_kb(demo, pid)
    return [
        {
            "what": "relayed plain request, us of processor time",
            "value": round(plain_us),
        },
        {"what": "the same without customers' keys, us", "value": round(keyless_us)},
        {"what": "relayed prompt, read apart, us", "value": round(stream_us)},
        {"what": "relayed event, us", "value": round(event_us)},
        {"what": "resident KB, idle", "value": idle_kb},
        {"what": f"resident KB, {OPEN_STREAMS} streams open", "value": loaded_kb},
        {
            "what": "programs started and host ready, s",
            "value": round(startup_seconds, 2),
        },
        {"what": "of these the host, s", "value": round(demo.host_ready_seconds, 2)},
    ]


async def _run(directory: Path) -> list[dict]:
    async with trio.open_nursery() as nursery:
        programs = Programs(directory, nursery)
        try:
            return await _measure(EntryDemo(directory, programs))
        finally:
            await programs.stop_all()
            nursery.cancel_scope.cancel()


def main() -> None:
    """Print the measured costs."""
    with tempfile.TemporaryDirectory(prefix="berylshift-bench-") as name:
        print_rows(trio.run(_run, Path(name)))

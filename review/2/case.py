"""Shows a host that keeps the bodies of open requests until it exceeds its memory.

The platform kills a process that exceeds its memory, and its callers get no answer.
"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from replica import Replica  # noqa: E402
from world import BROKEN, HELD, Consumer, World, has_trouble, run  # noqa: E402

# Of the sheet: `memory_mb`, and requests closed without an answer that are tolerated.
MEMORY_MB = 300
TOLERATED = 3
# `burst`: x 1.9 for 14 s, at these times.
USUAL_CONSUMERS, BURST_X, BURST_SECONDS = 13, 1.9, 14.0
BURSTS_AT = (15.0, 30.0)
SECONDS = 50.0
CHECK_SECONDS, RESTART_SECONDS = 0.05, 0.5
WORK_SECONDS = 2.0
BODY_BYTES = 1_500_000
SERVICE = "bookdesk"
ROUTE = {
    "name": "dossier-upload",
    "host": "shop.example",
    "prefix": "/upload/",
    "route_kind": "non_idempotent",
    "timeout_ms": 8000,
    "target_latency_ms": 6000,
    "priority": 2,
    "service": SERVICE,
    "max_attempts": 1,
}


async def enforce_memory(world, host):
    """Kill the host's process if it exceeds its memory, and start it again."""
    peak = 0
    while True:
        await asyncio.sleep(CHECK_SECONDS)
        used = host.memory_mb()
        if used > peak:
            peak = used
            world.note("peak memory", "", host.name, f"{used:.0f} MiB")
        if used > MEMORY_MB:
            world.note(
                "killed: memory over the limit", "", host.name, f"{used:.0f} MiB"
            )
            host.signal(signal.SIGKILL)
            host.proc.wait()
            await asyncio.sleep(RESTART_SECONDS)
            host.start()


async def upload(world, host, until):
    """Upload documents one after the other on one connection."""
    consumer = Consumer(world, host)
    body = b"d" * BODY_BYTES
    while world.now() < until:
        _, status, _ = await consumer.ask("POST /upload/x", [], body, 8000)
        if not status:
            await asyncio.sleep(2)
    consumer.close()


def lost_requests(world):
    """Return the requests from kept connections that ran and were not answered."""
    found = []
    for ident, records in world.by_id.items():
        events = {record[1] for record in records}
        kept = any(item[1] == "sent" and item[4] == "kept" for item in records)
        if kept and "run" in events and "closed without an answer" in events:
            found.append(ident)
    return found


async def case(world):
    """Send uploads, and more of them for a while; return the verdict."""
    for number in range(4):
        replica = Replica(world, f"i-{number}", SERVICE, "zone-a", work=WORK_SECONDS)
        await world.add(replica)
    await world.start([ROUTE], [{"name": SERVICE, "max_connections": 110}])
    host = world.hosts[0]
    world.spawn(enforce_memory(world, host))
    begun = world.now()
    for _ in range(USUAL_CONSUMERS):
        world.spawn(upload(world, host, begun + SECONDS))
        await asyncio.sleep(WORK_SECONDS / USUAL_CONSUMERS)
    for at in BURSTS_AT if has_trouble() else ():
        await asyncio.sleep(begun + at - world.now())
        world.note("burst", more=f"x {BURST_X}")
        for _ in range(int((BURST_X - 1) * USUAL_CONSUMERS)):
            world.spawn(upload(world, host, begun + at + BURST_SECONDS))
            await asyncio.sleep(0.05)
    await asyncio.sleep(begun + SECONDS + 9 - world.now())
    lost = lost_requests(world)
    kills = [record for record in world.records if record[1].startswith("killed")]
    peaks = [record for record in world.records if record[1] == "peak memory"]
    answered = sum(record[1] == "answered" for record in world.records)
    print(f"peak {peaks[-1][4]}, {answered} answered, {len(kills)} kills,", end=" ")
    print(f"{len(lost)} passed on from kept connections and not answered")
    return BROKEN if len(lost) > TOLERATED else HELD


if __name__ == "__main__":
    run(case, lambda: World(["zone-a"]), Path(__file__).with_name("record.txt"))

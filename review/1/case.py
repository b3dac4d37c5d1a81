"""Shows a stream that may not be repeated and runs at two engines.

Engines lose KV handles, and some send an answer a second time, late.
"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from replica import Replica  # noqa: E402
from world import BROKEN, HELD, Consumer, World, has_trouble, run  # noqa: E402

SERVICE = "judge-models"
SECONDS = 88.0
PER_SECOND = 200.0
# Zone, phase, and how long work takes in percent of the usual time.
ENGINES = (
    ("zone-a", "prefill", 70),
    ("zone-b", "prefill", 70),
    ("zone-a", "prefill", 170),
    ("zone-b", "prefill", 70),
    ("zone-a", "decode", 70),
    ("zone-b", "decode", 170),
)
# `garble`, how "extra late": share 0.6, x 0.03, for_s 5.0.
GARBLE_SHARE, GARBLE_X, GARBLE_SECONDS, GARBLE_PAUSE = 0.6, 0.03, 5.0, 5.0
# `handle_short`: share 0.35, for_s at most 4.0.
SHORT_SHARE, SHORT_SECONDS, SHORT_PAUSE = 0.35, 0.8, 0.7
# Promises that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
ROUTE = {
    "name": "contract-risk-check",
    "host": "shop.example",
    "prefix": "/check/",
    "route_kind": "streaming",
    "timeout_ms": 5528,
    "target_latency_ms": 663,
    "priority": 2,
    "service": SERVICE,
    "max_attempts": 1,
    "session_affinity": True,
    "target_itl_ms": 200,
}
MODEL = {
    "name": SERVICE,
    "max_connections": 770,
    "engine": {
        "batch_slots": 64,
        "kv_capacity": 534448,
        "kv_bytes": 163840,
        "bandwidth_mbps": 1900000,
    },
}


def make_engine(world, number):
    """Return one engine; it states how long work takes there."""
    zone, phase, percent = ENGINES[number]
    name, work = f"i-{number}", 0.03 * percent / 100
    engine = Replica(world, name, SERVICE, zone, work=work, phase=phase)
    engine.load_suffix = f",{percent}"
    return engine


async def garble(engines, rng):
    """Let some engines send a part of their answers again, late."""
    count = int(GARBLE_SHARE * len(engines))
    while True:
        decode = [engine for engine in engines if engine.phase == "decode"]
        prefill = [engine for engine in engines if engine.phase == "prefill"]
        rng.shuffle(prefill)
        for engine in (decode + prefill)[:count]:
            engine.extra = GARBLE_X
        await asyncio.sleep(GARBLE_SECONDS)
        for engine in engines:
            engine.extra = 0.0
        await asyncio.sleep(GARBLE_PAUSE)


async def shorten_handles(engines):
    """Let the handles of some engines lapse at once."""
    count, first = int(SHORT_SHARE * len(engines)), 0
    while True:
        prefill = [engine for engine in engines if engine.phase == "prefill"]
        for number in range(count):
            prefill[(first + number) % len(prefill)].lapses = True
        first += count
        await asyncio.sleep(SHORT_SECONDS)
        for engine in engines:
            engine.lapses = False
        await asyncio.sleep(SHORT_PAUSE)


async def ask(world, rng):
    """Send one request on a connection of its own."""
    consumer = Consumer(world, rng.choice(world.hosts))
    shared, own = rng.randrange(30), rng.getrandbits(32)
    prompt = [
        ("berylshift-model", "m"),
        ("berylshift-token-count", "14600,80"),
        ("berylshift-prefix-hash", f"5c1e07a2:8000,{shared:08x}:4100,{own:08x}:2500"),
    ]
    await consumer.ask("POST /check/x", prompt, b"y" * 3000, ROUTE["timeout_ms"])
    consumer.close()


def broken_requests(world):
    """Return the requests that ran twice, or ran and were said not to have run."""
    found = {}
    for ident, records in world.by_id.items():
        runs = [record for record in records if record[1] == "run"]
        statuses = [int(item[4]) for item in records if item[1] == "answered"]
        if len(runs) > 1:
            found[ident] = "TWICE"
        elif runs and set(statuses) & set(NOT_RUN_STATUSES):
            found[ident] = "REFUSED"
    return found


async def case(world):
    """Send requests under trouble; return the verdict."""
    rng = random.Random(1)
    for number in range(len(ENGINES)):
        await world.add(make_engine(world, number))
    await world.start([ROUTE], [MODEL])
    await asyncio.sleep(2)
    engines = list(world.replicas.values())
    if has_trouble():
        world.spawn(garble(engines, rng))
        world.spawn(shorten_handles(engines))
    end = world.now() + SECONDS
    while world.now() < end:
        world.spawn(ask(world, rng))
        await asyncio.sleep(1 / PER_SECOND)
    await asyncio.sleep(ROUTE["timeout_ms"] / 1000 + 1)
    found = broken_requests(world)
    requests = sum(record[1] == "sent" for record in world.records)
    refusals = sum(record[1] == "refused" for record in world.records)
    print(f"{requests} requests, {refusals} refusals, broken: {found or 'none'}")
    for ident in found:
        for record in world.by_id[ident]:
            print("  ", *record)
    return BROKEN if found else HELD


if __name__ == "__main__":
    zones = ("zone-a", "zone-a", "zone-b")
    run(case, lambda: World(zones), Path(__file__).with_name("record.txt"))

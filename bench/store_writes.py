"""Store writes per confirmation with and without batching, on a virtual clock."""

import random

import trio
import trio.testing

from bench.report import print_rows
from berylshift.clock import LoopClock
from berylshift.process.limits.store_budget import StoreBudget
from berylshift.stand_ins.fake_platform import (
    FakePlatform,
    MemoryPlatform,
    PlatformScript,
)
from berylshift.store.batch import TableGate
from berylshift.store.interfaces import (
    ABSENT,
    Condition,
    PlatformError,
    Write,
    as_raw,
)

HOSTS = 9
DURATION_SECONDS = 20.0
TABLE_WRITES_PER_SECOND = 300.0
HOST_WRITES_PER_SECOND = 30.0
SERVICE_SECONDS = 0.02
CONFIRMATIONS_PER_SECOND = (10, 100, 400)
DEADLINE_SECONDS = 5.0


async def _run(rate: int, batched: bool) -> dict:
    clock = LoopClock()
    fake = FakePlatform(
        clock, PlatformScript(writes_per_second=TABLE_WRITES_PER_SECOND)
    )
    max_rows = 50 if batched else 1
    gates = []
    for host in range(HOSTS):
        budgets = [
            StoreBudget(HOST_WRITES_PER_SECOND, random.Random(host)) for _ in range(2)
        ]
        window_seconds = 0.005 if batched else 0.0
        gates.append(
            TableGate(MemoryPlatform(fake), clock, *budgets, window_seconds, max_rows)
        )
    insert_seconds: list[float] = []
    failed = []

    async def confirm(number: int) -> None:
        gate, key = gates[number % HOSTS], f"confirm/c/{number}"
        start = trio.current_time()
        try:
            with trio.fail_after(DEADLINE_SECONDS):
                await gate.put_row(Condition(key, ABSENT), Write(key, as_raw(1)))
            insert_seconds.append(trio.current_time() - start)
            await trio.sleep(SERVICE_SECONDS)
            await gate.put_row(Condition(key, 1), Write(key, as_raw(2)))
        except (PlatformError, trio.TooSlowError):
            failed.append(number)

    async with trio.open_nursery() as nursery:
        for gate in gates:
            nursery.start_soon(gate.run)
        rng = random.Random(rate)
        async with trio.open_nursery() as calls:
            for number in range(int(rate * DURATION_SECONDS)):
                calls.start_soon(confirm, number)
                await trio.sleep(rng.expovariate(rate))
        nursery.cancel_scope.cancel()
    insert_seconds.sort()
    inserted = len(insert_seconds)
    return {
        "confirmations_per_s": rate,
        "batched": batched,
        "writes_per_confirmation": round(fake.transactions / max(1, inserted), 3),
        "insert_p95_ms": round(1000 * insert_seconds[int(inserted * 0.95)], 1)
        if inserted
        else 0,
        "refused_for_the_store": len(failed),
        "throttled_by_the_table": fake.throttled,
    }


def main() -> None:
    """Print one row per rate, without and with batching."""
    rows = []
    for rate in CONFIRMATIONS_PER_SECOND:
        for batched in (False, True):
            clock = trio.testing.MockClock(autojump_threshold=0)
            rows.append(trio.run(_run, rate, batched, clock=clock))
    print_rows(rows)

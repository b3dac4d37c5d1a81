"""Time from an accepted table edit to in force on all of nine hosts, virtual."""

import random
import statistics

import trio
import trio.testing

from bench.report import print_rows
from berylshift.ids import ChangeId
from berylshift.replay.determinism import seed_scheduler
from berylshift.replay.virtual_fleet import FleetSpec, VirtualWorld
from berylshift.tests.support import route_row
from berylshift.tests.world import small_rows
from berylshift.version.diff import Edit

EDITS = 30
OUTAGE_SECONDS = 5.0
LOOK_SECONDS = 0.01


async def _run(outage: bool, read_by_one: bool) -> dict:
    times = []
    async with trio.open_nursery() as nursery:
        world = VirtualWorld(FleetSpec(hosts=9), small_rows(), nursery)
        await world.start()
        rng = random.Random(5)
        for number in range(1, EDITS + 1):
            await trio.sleep(5 + rng.random())
            times.append(await _edit(world, number, outage, read_by_one))
        nursery.cancel_scope.cancel()
    return {
        "store_outage_after_commit": outage,
        "read_by_one_host_before": read_by_one,
        "edits": len(times),
        "median_s": round(statistics.median(times), 2),
        "worst_s": round(max(times), 2),
    }


async def _edit(
    world: VirtualWorld, number: int, outage: bool, read_by_one: bool
) -> float:
    edit = Edit(number, [route_row("engine-1", weight=number)], [])
    done = await world.table_log().commit(edit, ChangeId(f"e{number}"), "op", "")
    version = done.unwrap().change.version
    start = trio.current_time()
    if read_by_one:
        await world.hosts["host-1"].app.follower._read_store()
    if outage:
        world.platform.script.down = True
    while any(h.app.holder.table.version < version for h in world.hosts.values()):
        await trio.sleep(LOOK_SECONDS)
        if trio.current_time() - start > OUTAGE_SECONDS:
            world.platform.script.down = False
    world.platform.script.down = False
    return trio.current_time() - start


def main() -> None:
    """Print one row a case."""
    rows = []
    for outage, read_by_one in ((False, False), (True, True), (True, False)):
        seed_scheduler(1)
        clock = trio.testing.MockClock(autojump_threshold=0)
        rows.append(trio.run(_run, outage, read_by_one, clock=clock))
    print_rows(rows)

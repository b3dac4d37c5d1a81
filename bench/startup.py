"""Processor time of an entry host from its start until it is ready."""

import statistics
import tempfile
from pathlib import Path

import trio

from bench.process_stats import processor_seconds, resident_kb
from bench.report import print_rows
from berylshift.tools.demo_entry import READY_SECONDS, EntryDemo
from berylshift.tools.processes import Programs

STARTS = 20
POLL_SECONDS = 0.01


async def _run(directory: Path) -> list[dict]:
    used, resident = [], []
    async with trio.open_nursery() as nursery:
        programs = Programs(directory, nursery)
        demo = EntryDemo(directory, programs)
        try:
            await demo.start(hosts=0)
            for number in range(STARTS):
                host = await demo.start_host(number)
                pid = programs.running[host.name].process.pid
                with trio.fail_after(READY_SECONDS):
                    while not await demo.is_ready(host):
                        await trio.sleep(POLL_SECONDS)
                used.append(processor_seconds(pid))
                resident.append(resident_kb(pid))
                await programs.stop(host.name)
        finally:
            await programs.stop_all()
    return [
        {
            "starts": STARTS,
            "processor_s_median": round(statistics.median(used), 3),
            "processor_s_worst": round(max(used), 3),
            "resident_kb_worst": max(resident),
        }
    ]


def main() -> None:
    """Print what a start takes."""
    with tempfile.TemporaryDirectory(prefix="berylshift-bench-") as name:
        print_rows(trio.run(_run, Path(name)))

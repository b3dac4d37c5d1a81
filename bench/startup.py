"""CPU time of an entry host from its start until it is ready."""

import statistics
import tempfile
from pathlib import Path

import trio

from bench.process_stats import read_cpu_seconds, resident_kb
from bench.report import print_rows
from berylshift.tools.demo_entry import READY_SECONDS, EntryDemo
from berylshift.tools.processes import Programs

STARTS = 20
POLL_SECONDS = 0.01


async def _run(directory: Path) -> list[dict]:
    cpu_seconds, resident = [], []
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
                cpu_seconds.append(read_cpu_seconds(pid))
                resident.append(resident_kb(pid))
                await programs.stop(host.name)
        finally:
            await programs.stop_all()
    return [
        {
            "starts": STARTS,
            "processor_s_median": round(statistics.median(cpu_seconds), 3),
            "processor_s_worst": round(max(cpu_seconds), 3),
            "resident_kb_worst": max(resident),
        }
    ]


def main() -> None:
    """Print the CPU time and memory of a start."""
    with tempfile.TemporaryDirectory(prefix="berylshift-bench-") as name:
        print_rows(trio.run(_run, Path(name)))

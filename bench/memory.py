"""Resident memory of a daemon process, idle and with 500 open streams."""

import tempfile
from pathlib import Path

import msgspec
import trio

from bench.process_stats import resident_kb
from bench.report import print_rows
from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.replay.http_fleet import HttpBalancer
from berylshift.stand_ins.text import make_prompt
from berylshift.tools.demo_fleet import CUSTOMERS, MODEL, DemoFleet
from berylshift.tools.processes import Programs

STREAMS = 500
OUTPUT_TOKENS = 2000
SETTLE_SECONDS = 12.0


async def _stream(client: HttpClient, entry: str, number: int) -> None:
    prompt = make_prompt("f", str(number), 100, OUTPUT_TOKENS)
    body = {"model": MODEL, "prompt": prompt, "max_tokens": OUTPUT_TOKENS}
    headers = {
        "authorization": f"Bearer token-{CUSTOMERS[0]}",
        "berylshift-deadline-ms": "290000",
    }
    data = msgspec.json.encode({**body, "stream": True})
    out = Outgoing(entry, "POST", "/v1/completions", headers, data, reuse=False)
    try:
        async with client.request(out) as resp:
            async for _ in resp.chunks():
                pass
    except ConnectionLayerError:
        return


async def _run(directory: Path) -> list[dict]:
    async with trio.open_nursery() as nursery:
        programs = Programs(directory, nursery)
        try:
            fleet = DemoFleet(directory, programs, engine_count=8, host_count=1)
            await fleet.start()
            client = HttpClient(connect_seconds=10.0)
            balancer = HttpBalancer(client, fleet.entries)
            with trio.fail_after(30):
                await balancer.wait_until_ready(1)
            await trio.sleep(3)
            pid = programs.running["host-1"].process.pid
            idle_kb = resident_kb(pid)
            for number in range(STREAMS):
                nursery.start_soon(_stream, client, fleet.entries[0], number)
            await trio.sleep(SETTLE_SECONDS)
            loaded_kb = resident_kb(pid)
        finally:
            await programs.stop_all()
            nursery.cancel_scope.cancel()
    return [
        {"daemon": "idle", "resident_kb": idle_kb},
        {"daemon": f"{STREAMS} open streams", "resident_kb": loaded_kb},
    ]


def main() -> None:
    """Print the resident memory of both cases."""
    with tempfile.TemporaryDirectory(prefix="berylshift-bench-") as name:
        print_rows(trio.run(_run, Path(name)))

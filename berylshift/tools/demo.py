"""Replays a trace with events against a small fleet in separate processes.

Prints one JSON object as its last line; exits 1 if any request was lost, run twice
or cut off.
"""

import random
import signal
import sys
import tempfile
from pathlib import Path

import msgspec
import trio

from berylshift.connection.http_client import HttpClient
from berylshift.replay.http_fleet import HttpBalancer, HttpFleet
from berylshift.replay.result import ReplayResult
from berylshift.replay.runner import replay_trace
from berylshift.replay.trace import (
    EventKind,
    Expect,
    Kind,
    Trace,
    TraceEvent,
    TraceRequest,
)
from berylshift.tools.demo_fleet import (
    CUSTOMERS,
    FLEET,
    HOSTS,
    MODEL,
    SEED,
    SERVICE,
    DemoFleet,
)
from berylshift.tools.processes import Programs

REQUESTS = 240
TRACE_SECONDS = 15.0
START_SECONDS = 30.0


def make_trace() -> Trace:
    """Return a trace of streams, lookups and confirmations, with three events."""
    rng = random.Random(SEED)
    requests = []
    for number in range(REQUESTS):
        at_ms = int(number * TRACE_SECONDS * 1000 / REQUESTS)
        customer = rng.choice(CUSTOMERS)
        draw = rng.random()
        if draw < 0.5:
            request = TraceRequest(
                at_ms=at_ms,
                caller=f"parent-{number}",
                customer=customer,
                fleet=FLEET,
                kind=Kind.MODEL,
                model=MODEL,
                prefix=f"family-{rng.randrange(12)}",
                prompt_tokens=rng.randint(300, 1500),
                output_tokens=rng.randint(40, 160),
                deadline_ms=20000,
            )
        else:
            request = TraceRequest(
                at_ms=at_ms,
                caller=f"parent-{number}",
                customer=customer,
                fleet=FLEET,
                kind=Kind.SERVICE,
                service=SERVICE,
                deadline_ms=5000,
                idempotent=draw < 0.75,
            )
        requests.append(request)
    events = [
        TraceEvent(4000, EventKind.DRAIN, "host-2"),
        TraceEvent(6000, EventKind.KILL, "engine-3"),
        TraceEvent(8000, EventKind.EDIT, "engine-1", column="weight", value="50"),
    ]
    expect = Expect(lost=0, doubled=0, cut=0)
    return Trace("demo", expect, requests, events)


async def run_demo(directory: Path) -> ReplayResult:
    """Start the fleet, replay the trace, then stop all processes."""
    async with trio.open_nursery() as nursery:
        programs = Programs(directory, nursery)
        try:
            fleet = DemoFleet(directory, programs)
            await fleet.start()
            client = HttpClient()
            balancer = HttpBalancer(client, fleet.entries)
            with trio.fail_after(START_SECONDS):
                await balancer.wait_until_ready(HOSTS)
            nursery.start_soon(balancer.run)
            tokens = {name: f"token-{name}" for name in CUSTOMERS}
            replay = HttpFleet(
                client, balancer, tokens, fleet.engines, fleet.replicas, fleet
            )
            return await replay_trace(make_trace(), replay)
        except Exception:
            _print_logs(directory)
            raise
        finally:
            await programs.stop_all()
            nursery.cancel_scope.cancel()


async def _run_until_interrupted(directory: Path) -> ReplayResult | None:
    """Run the demonstration; SIGINT and SIGTERM stop it and all its processes."""
    result = None
    async with trio.open_nursery() as nursery:

        async def cancel_on_signal() -> None:
            with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
                async for _ in signals:
                    nursery.cancel_scope.cancel()

        nursery.start_soon(cancel_on_signal)
        result = await run_demo(directory)
        nursery.cancel_scope.cancel()
    return result


def main() -> None:
    """Run the demonstration."""
    with tempfile.TemporaryDirectory(prefix="berylshift-demo-") as name:
        result = trio.run(_run_until_interrupted, Path(name))
        if result is None:
            sys.stdout.write("interrupted\n")
            sys.exit(130)
        violations = result.lost + result.doubled + result.cut
        for detail in result.details:
            sys.stdout.write(f"incomplete: {detail}\n")
        if violations:
            _print_logs(Path(name))
    fields = (
        "requests",
        "complete",
        "not_run",
        "unknown",
        "lost",
        "doubled",
        "cut",
        "goodput",
        "role_changes",
    )
    summary = {key: getattr(result, key) for key in fields}
    sys.stdout.write(msgspec.json.encode(summary).decode() + "\n")
    sys.exit(1 if violations else 0)


def _print_logs(directory: Path) -> None:
    for path in sorted(directory.glob("host-*.log")):
        tail = path.read_text(encoding="utf-8").splitlines()[-20:]
        sys.stdout.write("\n".join([f"== {path.name}", *tail, ""]))


if __name__ == "__main__":
    main()

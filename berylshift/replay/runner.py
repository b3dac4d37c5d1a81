"""Replays a trace: sends each request and applies each event at its time."""

from collections.abc import Callable
from typing import Protocol

import trio

from berylshift.replay.result import ReplayResult, RequestResult, ResultCounter
from berylshift.replay.trace import Trace, TraceEvent, TraceRequest

Progress = Callable[[], None]


class TargetCounts:
    """Counts read from the targets after a replay."""

    def __init__(self, doubled: int, wrong_outcomes: int, role_changes: int):
        """Store the counts; ``wrong_outcomes`` counts calls whose outcome was false."""
        self.doubled = doubled
        self.wrong_outcomes = wrong_outcomes
        self.role_changes = role_changes


class ReplayedFleet(Protocol):
    """The fleet that a trace is replayed against."""

    async def send(self, number: int, request: TraceRequest) -> RequestResult:
        """Send one request as its caller does."""

    async def apply_event(self, event: TraceEvent) -> None:
        """Apply an event of the trace."""

    async def close(self) -> TargetCounts:
        """Return the targets' own counts after all requests have ended."""


async def replay_trace(
    trace: Trace, fleet: ReplayedFleet, progress: Progress = lambda: None
) -> ReplayResult:
    """Replay a trace and return its result."""
    counter = ResultCounter()
    start = trio.current_time()

    async def send_request(number: int, request: TraceRequest) -> None:
        counter.add(await fleet.send(number, request))
        progress()

    async def apply_events() -> None:
        for event in trace.events:
            await trio.sleep_until(start + event.at_ms / 1000)
            await fleet.apply_event(event)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(apply_events)
        for number, request in enumerate(trace.requests):
            await trio.sleep_until(start + request.at_ms / 1000)
            nursery.start_soon(send_request, number, request)
    counts = await fleet.close()
    return counter.result(
        trace.name,
        trace.expect,
        counts.doubled,
        counts.wrong_outcomes,
        counts.role_changes,
    )

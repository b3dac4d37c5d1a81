"""Plays a trace: each request and event at its time."""

from collections.abc import Callable
from typing import Protocol

import trio

from berylshift.replay.result import ReplayResult, RequestResult, Tally
from berylshift.replay.trace import Trace, TraceEvent, TraceRequest

Progress = Callable[[], None]


class BookCounts:
    """Counts read from the targets after a replay."""

    def __init__(self, doubled: int, wrongly_told: int, role_changes: int):
        """Keep the counts; ``wrongly_told`` counts outcomes that are not true."""
        self.doubled = doubled
        self.wrongly_told = wrongly_told
        self.role_changes = role_changes


class ReplayedFleet(Protocol):
    """What a trace is played against."""

    async def send(self, number: int, request: TraceRequest) -> RequestResult:
        """Send one request as its caller would."""

    async def act(self, event: TraceEvent) -> None:
        """Bring an event about."""

    async def close(self) -> BookCounts:
        """Return the targets' own counts, once all requests have ended."""


async def play(
    trace: Trace, fleet: ReplayedFleet, progress: Progress = lambda: None
) -> ReplayResult:
    """Play a trace and return its result."""
    tally = Tally()
    start = trio.current_time()

    async def one(number: int, request: TraceRequest) -> None:
        tally.add(await fleet.send(number, request))
        progress()

    async def events() -> None:
        for event in trace.events:
            await trio.sleep_until(start + event.at_ms / 1000)
            await fleet.act(event)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(events)
        for number, request in enumerate(trace.requests):
            await trio.sleep_until(start + request.at_ms / 1000)
            nursery.start_soon(one, number, request)
    counts = await fleet.close()
    return tally.result(
        trace.name,
        trace.expect,
        counts.doubled,
        counts.wrongly_told,
        counts.role_changes,
    )

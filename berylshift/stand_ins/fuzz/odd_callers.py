"""Callers that send what the grammar draws, and what must be true of it."""

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress

import trio

from berylshift.stand_ins.entry_replica import EntryReplica, Fault
from berylshift.stand_ins.fuzz.grammar import SHARED_ID, draw, requests_in, statuses_in
from berylshift.stand_ins.soak.checks import NOT_RUN_STATUSES

PREFIX = "odd-"
READ_BYTES = 65536
CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


class OddCallers:
    """Sends examples by number, each on a connection of its own."""

    def __init__(
        self,
        connect: Callable[[], Awaitable[trio.abc.Stream]],
        make_rng: Callable[[int], random.Random],
        patience_seconds: float,
    ):
        """Draw each example with the random numbers of ``make_rng``."""
        self._connect = connect
        self._make_rng = make_rng
        self._patience_seconds = patience_seconds
        self.count = 0
        self.open: dict[int, bytes] = {}
        self.statuses: Counter[int] = Counter()
        self._examples: dict[bytes, bytes] = {}
        self._max_runs: Counter[tuple[bytes, bytes]] = Counter()
        self._not_run: dict[bytes, int] = {}

    async def run(self, max_count: float = float("inf")) -> None:
        """Send one example after the other, up to a number that all tasks share."""
        while self.count < max_count:
            self.count += 1
            number = self.count
            rng = self._make_rng(number)
            self.open[number] = data = draw(rng, f"{PREFIX}{number}")
            for req in requests_in(data):
                self._examples[req.id] = data
                if req.body is not None:
                    self._max_runs[req.id, req.body] += req.max_runs
            with suppress(*CONNECTION_ERRORS):
                stream = await self._connect()
                self._note(data, await self._exchange(stream, rng, data))
            del self.open[number]

    def _note(self, data: bytes, received: bytes) -> None:
        """Record the answers to an example."""
        sent = requests_in(data)
        statuses = statuses_in(received, sent)
        self.statuses.update(statuses)
        for req, status in zip(sent, statuses, strict=False):
            if status in NOT_RUN_STATUSES and req.id not in (b"", SHARED_ID):
                self._not_run[req.id] = status

    async def _exchange(
        self, stream: trio.abc.Stream, rng: random.Random, data: bytes
    ) -> bytes:
        """Send bytes in parts; return what was received in the meantime and later."""
        received = bytearray()
        try:
            with trio.move_on_after(self._patience_seconds):
                async with trio.open_nursery() as nursery:
                    scope = nursery.cancel_scope
                    nursery.start_soon(self._read, stream, received, scope)
                    await self._send(stream, rng, data, scope)
        finally:
            await trio.aclose_forcefully(stream)
        return bytes(received)

    async def _send(
        self,
        stream: trio.abc.Stream,
        rng: random.Random,
        data: bytes,
        scope: trio.CancelScope,
    ) -> None:
        with suppress(*CONNECTION_ERRORS):
            while data:
                size = rng.choice((1, 7, 100, 5000, len(data)))
                await stream.send_all(data[:size])
                data = data[size:]
                await trio.sleep(rng.choice((0, 0, 0.001, 0.2)))
            if rng.random() < 0.3:
                scope.cancel()
            elif rng.random() < 0.5:
                await stream.send_eof()

    async def _read(
        self, stream: trio.abc.Stream, received: bytearray, scope: trio.CancelScope
    ) -> None:
        with suppress(*CONNECTION_ERRORS):
            while data := await stream.receive_some(READ_BYTES):
                received += data
        scope.cancel()

    def violations(self, ran: Counter[tuple[bytes, bytes]]) -> list[str]:
        """Return what is wrong with the runs of odd requests, by id and body."""
        found = [
            f"ran {count} times, {self._max_runs[key]} allowed: {self.show(key[0])}"
            for key, count in ran.items()
            if count > self._max_runs[key]
        ]
        ids = {attempt for attempt, _ in ran}
        return found + [
            f"status {status}, but it ran: {self.show(attempt)}"
            for attempt, status in self._not_run.items()
            if attempt in ids
        ]

    def show(self, attempt: bytes) -> str:
        """Return an id and the example that had it."""
        return f"{attempt!r} of {self._examples.get(attempt, b'no example')!r}"


def runs_of_odd(
    replicas: list[EntryReplica], sound_prefix: str
) -> Counter[tuple[bytes, bytes]]:
    """Count the runs of requests that are not of sound callers, by id and body."""
    return Counter(
        (run.request.encode("latin-1"), run.body)
        for replica in replicas
        for run in replica.runs
        if not run.request.startswith(sound_prefix)
    )


def use_stream_script(replicas: list[EntryReplica]) -> None:
    """Let replicas send streams of four events, whatever a request asks for."""
    events = tuple(b"id: %d\ndata: piece-%d\n\n" % (n, n) for n in range(1, 5))

    def script(headers: dict[bytes, bytes]) -> tuple[bytes | Fault, ...]:
        return events

    for replica in replicas:
        replica.stream_script = script

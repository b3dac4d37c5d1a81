"""Runs a fake engine on the event loop and delivers its streams to readers."""

from collections.abc import AsyncIterator

import trio

from berylshift.stand_ins.engine_stream import Stream, StreamState
from berylshift.stand_ins.fake_engine import FakeEngine
from berylshift.targets import EngineCall, EngineChunk, TargetBrokenError


class EngineRunner:
    """Advances one engine with the event loop's clock."""

    def __init__(self, engine: FakeEngine):
        """Run ``engine``."""
        self.engine = engine
        self._wakeup = trio.Event()

    async def run(self) -> None:
        """Run the engine until cancelled."""
        while True:
            at = self.engine.next_event()
            with trio.move_on_at(float("inf") if at is None else at):
                await self._wakeup.wait()
            self._wakeup = trio.Event()
            self.engine.advance(trio.current_time())

    def notify(self) -> None:
        """Reschedule the engine after a call has changed its state."""
        self._wakeup.set()

    def submit(self, call: EngineCall) -> "StreamReader":
        """Submit an attempt to the engine; raise ``TargetRefusedError``."""
        reader = StreamReader()
        reader.stream = self.engine.submit(call, trio.current_time(), reader.wake)
        self.notify()
        return reader

    def cancel(self, call: EngineCall) -> None:
        """Cancel an attempt."""
        self.engine.cancel(call.attempt, trio.current_time())
        self.notify()


class StreamReader:
    """Yields a stream's chunks as they are produced."""

    def __init__(self) -> None:
        """Start without a stream; the engine sets it on submission."""
        self.stream: Stream | None = None
        self._ready = trio.Event()

    def wake(self) -> None:
        """Signal that chunks or the end of the stream may be available."""
        self._ready.set()

    async def batches(self) -> AsyncIterator[list[EngineChunk]]:
        """Yield batches of chunks until the end; raise ``TargetBrokenError``."""
        stream = self.stream
        while True:
            chunks, stream.outbox = stream.outbox, []
            if chunks:
                yield chunks
                continue
            if stream.state is StreamState.ENDED:
                return
            if stream.state is StreamState.CUT:
                raise TargetBrokenError("engine cut the stream")
            await self._ready.wait()
            self._ready = trio.Event()

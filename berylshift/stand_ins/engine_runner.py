"""Runs a fake engine on the event loop and lets readers follow their streams."""

from collections.abc import AsyncIterator

import trio

from berylshift.stand_ins.engine_stream import Stream, StreamState
from berylshift.stand_ins.fake_engine import FakeEngine
from berylshift.targets import EngineCall, EngineChunk, TargetBrokenError


class EngineRunner:
    """Moves one engine along with the loop's clock."""

    def __init__(self, engine: FakeEngine):
        """Run ``engine``."""
        self.engine = engine
        self._poke = trio.Event()

    async def run(self) -> None:
        """Run the engine until cancelled."""
        while True:
            at = self.engine.next_event()
            with trio.move_on_at(float("inf") if at is None else at):
                await self._poke.wait()
            self._poke = trio.Event()
            self.engine.advance(trio.current_time())

    def poke(self) -> None:
        """Have the engine looked at again: something came in."""
        self._poke.set()

    def submit(self, call: EngineCall) -> "StreamReader":
        """Give the engine an attempt; raise ``TargetRefusedError``."""
        reader = StreamReader()
        reader.stream = self.engine.submit(call, trio.current_time(), reader.wake)
        self.poke()
        return reader

    def cancel(self, call: EngineCall) -> None:
        """Stop an attempt."""
        self.engine.cancel(call.attempt, trio.current_time())
        self.poke()


class StreamReader:
    """Gives a stream's chunks as they come."""

    def __init__(self) -> None:
        """Start with nothing to read."""
        self.stream: Stream | None = None
        self._ready = trio.Event()

    def wake(self) -> None:
        """Note that there may be something to read."""
        self._ready.set()

    async def batches(self) -> AsyncIterator[list[EngineChunk]]:
        """Yield what has come, until the end; raise ``TargetBrokenError``."""
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

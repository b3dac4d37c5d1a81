"""The target protocols over in-memory fakes, as seen from one host."""

from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager

import trio

from berylshift.ids import AttemptId
from berylshift.stand_ins.engine_runner import EngineRunner, StreamReader
from berylshift.stand_ins.fake_service import FakeService
from berylshift.stand_ins.network import Network
from berylshift.targets import (
    CacheEvent,
    EngineCall,
    EngineChunk,
    LoadReport,
    Order,
    ServiceCall,
    ServiceResponse,
    TargetBrokenError,
    TargetNotReachedError,
    TargetRefusedError,
)


class MemoryEngines:
    """Engine client of one host, over fake engines by address."""

    def __init__(self, host: str, runners: dict[str, EngineRunner], network: Network):
        """Reach ``runners`` from ``host`` over ``network``."""
        self._host = host
        self._runners = runners
        self._network = network

    async def _reach(self, address: str) -> EngineRunner:
        runner = self._runners.get(address)
        name = runner.engine.name if runner else address
        link_is_open = await self._network.hop(self._host, name)
        if runner is None or not link_is_open or not runner.engine.alive:
            raise TargetNotReachedError(name)
        return runner

    @asynccontextmanager
    async def generate(
        self, address: str, call: EngineCall
    ) -> AsyncIterator[AsyncIterator[list[EngineChunk]]]:
        """Start an attempt and yield its batches of chunks."""
        runner = await self._reach(address)
        if call.kv is not None:
            source = self._runners.get(call.kv.address)
            if source is None or source.engine.export_kv(call.kv.handle) is None:
                raise TargetRefusedError("source engine has no such KV cache")
        reader = runner.submit(call)
        try:
            yield self._batches(reader, runner.engine.name)
        finally:
            if not self._network.is_cut(self._host, runner.engine.name):
                runner.cancel(call)

    async def _batches(
        self, reader: StreamReader, engine: str
    ) -> AsyncIterator[list[EngineChunk]]:
        batches = reader.batches()
        async with aclosing(batches):
            async for chunks in batches:
                await self._network.wait_open(self._host, engine)
                yield chunks

    async def connect(self, address: str) -> None:
        """Open a connection."""
        await self._reach(address)

    async def cancel(self, address: str, attempt: AttemptId) -> None:
        """Cancel an attempt."""
        try:
            runner = await self._reach(address)
        except TargetNotReachedError:
            return
        runner.engine.cancel(attempt, trio.current_time())
        runner.notify()

    async def report(self, address: str) -> LoadReport:
        """Return the engine's load report."""
        runner = await self._reach(address)
        return runner.engine.report(trio.current_time())

    async def order(self, address: str, order: Order) -> None:
        """Send an order to the engine."""
        runner = await self._reach(address)
        runner.engine.order(order, trio.current_time())
        runner.notify()
        if not await self._network.hop(runner.engine.name, self._host):
            raise TargetBrokenError("connection lost before the response")

    async def cache_events(self, address: str, after: int) -> list[CacheEvent]:
        """Return the cache events after a sequence number."""
        runner = await self._reach(address)
        return runner.engine.cache.events(after, trio.current_time())


class MemoryServices:
    """Service client of one host, over fake replicas by address."""

    def __init__(self, host: str, replicas: dict[str, FakeService], network: Network):
        """Reach ``replicas`` from ``host`` over ``network``."""
        self._host = host
        self._replicas = replicas
        self._network = network

    async def connect(self, address: str) -> None:
        """Open a connection."""
        replica = self._replicas.get(address)
        name = replica.name if replica else address
        link_is_open = await self._network.hop(self._host, name)
        if replica is None or not link_is_open or not replica.alive:
            raise TargetNotReachedError(name)

    async def call(self, address: str, call: ServiceCall) -> ServiceResponse:
        """Run a call and return its answer."""
        replica = self._replicas.get(address)
        name = replica.name if replica else address
        if not await self._network.hop(self._host, name) or replica is None:
            raise TargetNotReachedError(name)
        if not replica.alive:
            raise TargetNotReachedError(name)
        answer = replica.run(call)
        await trio.sleep(replica.script.seconds)
        lost = replica.take_lost_answer() or not replica.alive
        if lost or not await self._network.hop(name, self._host):
            raise TargetBrokenError("connection lost before the response")
        return answer

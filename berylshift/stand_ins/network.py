"""A simulated network: latency, cut links, paused endpoints."""

from dataclasses import dataclass, field

import trio

LATENCY_SECONDS = 0.001


@dataclass
class Network:
    """Links between endpoints, named by host, engine, replica or ``store``."""

    latency_seconds: float = LATENCY_SECONDS
    cuts: set[frozenset[str]] = field(default_factory=set)
    paused: dict[str, trio.Event] = field(default_factory=dict)
    _changed: trio.Event = field(default_factory=trio.Event)

    def cut(self, one: str, other: str) -> None:
        """Cut the link between two endpoints."""
        self.cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Restore a cut link."""
        self.cuts.discard(frozenset((one, other)))
        self._changed.set()
        self._changed = trio.Event()

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether a link is cut."""
        return frozenset((one, other)) in self.cuts

    def pause(self, name: str) -> None:
        """Pause an endpoint: its next action waits until it is resumed."""
        self.paused.setdefault(name, trio.Event())

    def resume(self, name: str) -> None:
        """Resume a paused endpoint."""
        event = self.paused.pop(name, None)
        if event is not None:
            event.set()

    async def wait_resumed(self, name: str) -> None:
        """Wait while an endpoint is paused."""
        while name in self.paused:
            await self.paused[name].wait()

    async def hop(self, one: str, other: str) -> bool:
        """Travel from one endpoint to another; return whether the link is open."""
        await self.wait_resumed(one)
        await trio.sleep(self.latency_seconds)
        if self.is_cut(one, other):
            return False
        await self.wait_resumed(other)
        return True

    async def wait_open(self, one: str, other: str) -> None:
        """Wait while a link is cut or an endpoint paused, as an open stream does."""
        while self.is_cut(one, other):
            await self._changed.wait()
        await self.wait_resumed(one)
        await self.wait_resumed(other)

"""A network in memory: latency, cut links, paused hosts."""

from dataclasses import dataclass, field

import trio

LATENCY_SECONDS = 0.001


@dataclass
class Network:
    """Who can reach whom; ends are named by host, engine, replica or ``store``."""

    latency: float = LATENCY_SECONDS
    cuts: set[frozenset[str]] = field(default_factory=set)
    paused: dict[str, trio.Event] = field(default_factory=dict)
    _changed: trio.Event = field(default_factory=trio.Event)

    def cut(self, one: str, other: str) -> None:
        """Cut the link between two ends."""
        self.cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Heal a link."""
        self.cuts.discard(frozenset((one, other)))
        self._changed.set()
        self._changed = trio.Event()

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether a link is cut."""
        return frozenset((one, other)) in self.cuts

    def pause(self, name: str) -> None:
        """Pause an end: whatever it does next waits."""
        self.paused.setdefault(name, trio.Event())

    def resume(self, name: str) -> None:
        """Let a paused end go on."""
        event = self.paused.pop(name, None)
        if event is not None:
            event.set()

    async def awake(self, name: str) -> None:
        """Wait while an end is paused."""
        while name in self.paused:
            await self.paused[name].wait()

    async def hop(self, one: str, other: str) -> bool:
        """Take the way from one end to another; return whether it is open."""
        await self.awake(one)
        await trio.sleep(self.latency)
        if self.is_cut(one, other):
            return False
        await self.awake(other)
        return True

    async def wait_open(self, one: str, other: str) -> None:
        """Wait while a link is cut or its ends are paused, as a stream does."""
        while self.is_cut(one, other):
            await self._changed.wait()
        await self.awake(one)
        await self.awake(other)

"""A caller whose request crashes each replica that runs it, among other callers."""

import itertools
from dataclasses import dataclass, field

import trio

from berylshift.stand_ins.entry_replica import EntryReplica
from berylshift.tests.entry_world import EntryWorld, Reply, prompt_headers

# A crashed replica restarts after this long; its old entry expires a little later.
RESTART_SECONDS = 3.0
ENTRY_TTL_SECONDS = 3.3
# The platform's limit on how long connected hosts may take to learn of a crash.
STABLE_SECONDS = 3.0
# After so many crashes a request may only be sent so many times more.
MAX_CRASHES = 3
MAX_SENDS_AFTER = 3


@dataclass
class CrashScenario:
    """The events of one run; times in seconds of the virtual clock."""

    world: EntryWorld
    path: str
    method: str = "POST"
    headers: tuple[tuple[bytes, bytes], ...] = ()
    sends: list[float] = field(default_factory=list)
    bad_replies: list[Reply] = field(default_factory=list)
    replies: list[Reply] = field(default_factory=list)

    async def bad_caller(self, pause: float, seconds: float, hosts: int) -> None:
        """Send the crashing request repeatedly, to each host in turn."""
        end = trio.current_time() + seconds
        for number in itertools.count():
            if trio.current_time() >= end:
                return
            reply = await self.world.ask(
                self.path,
                f"bad-{number}",
                host=number % hosts,
                method=self.method,
                headers=self.headers,
            )
            self.bad_replies.append(reply)
            await trio.sleep(pause)

    async def other_callers(self, path: str, pause: float, seconds: float) -> None:
        """Start other callers, each with a request of its own."""
        async with trio.open_nursery() as nursery:
            for number in range(int(seconds / pause)):
                nursery.start_soon(self._other_caller, path, number)
                await trio.sleep(pause)

    async def _other_caller(self, path: str, number: int) -> None:
        host = number % len(self.world.hosts)
        headers = prompt_headers(block=f"{number:x}")
        reply = await self.world.ask(
            f"{path}{number}", f"good-{number}", host=host, headers=headers
        )
        self.replies.append(reply)

    async def watch_sends(self) -> None:
        """Record when the crashing request reaches a replica, until cancelled."""
        seen: dict[EntryReplica, int] = {}
        while True:
            for replica in self.world.replicas.values():
                new = replica.arrivals[seen.get(replica, 0) :]
                bad = [request for request in new if request.startswith("bad-")]
                self.sends += [trio.current_time()] * len(bad)
                seen[replica] = len(replica.arrivals)
            await trio.sleep(0.01)

    @property
    def crashes(self) -> int:
        """Return how many replicas crashed during the request."""
        return len(self.world.fleet_state.crashes)

    @property
    def sends_after(self) -> int:
        """Return the sends that hosts should have prevented."""
        if self.crashes < MAX_CRASHES:
            return 0
        quarantined_at = (
            self.world.fleet_state.crashes[MAX_CRASHES - 1].at + STABLE_SECONDS
        )
        return sum(at > quarantined_at for at in self.sends)

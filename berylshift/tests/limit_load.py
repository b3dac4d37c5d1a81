"""Callers at several hosts, and what replicas get that name a limit."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

import trio

from berylshift.stand_ins.entry_replica import EntryReplica
from berylshift.tests.entry_world import EntryWorld, Reply, prompt_headers

# The platform's bound: in any window a replica gets no more than so many times what
# its limit allows, and so many requests more.
WINDOW_SECONDS = 4.0
MOST_TIMES = 1.5
MOST_MORE = 5
# How long a host that was told may go on as before.
NOTICE_SECONDS = 0.5
SEED = 5
SERVED = 200


def most_allowed(limit: float) -> float:
    """Return how many requests a replica may get in a window."""
    return MOST_TIMES * limit * WINDOW_SECONDS + MOST_MORE


def most_from_told(replica: EntryReplica) -> int:
    """Return the most requests in a window, of hosts that knew of the limit."""
    told = replica.told_limit
    times = [
        call.at
        for call in replica.calls
        if call.at >= told.get(call.host, float("inf")) + NOTICE_SECONDS
    ]
    return max((_window(times, end) for end in times), default=0)


def _window(times: list[float], end: float) -> int:
    return sum(end - WINDOW_SECONDS < at <= end for at in times)


@dataclass
class LimitPlay:
    """What callers got; ``shares``: how the callers divide among the hosts."""

    world: EntryWorld
    shares: Sequence[int]
    replies: list[Reply] = field(default_factory=list)
    # Seconds until the slowest caller that was not served had its answer.
    longest_refusal: float = 0.0

    async def callers(self, path: str, per_second: float, seconds: float) -> None:
        """Have so many callers a second come, each with a request of its own."""
        rng = random.Random(SEED)
        hosts = range(len(self.world.hosts))
        async with trio.open_nursery() as nursery:
            for number in range(int(per_second * seconds)):
                host = rng.choices(hosts, self.shares)[0]
                nursery.start_soon(self._caller, f"{path}{number}", number, host)
                await trio.sleep(rng.expovariate(per_second))

    async def _caller(self, path: str, number: int, host: int) -> None:
        headers = prompt_headers(part=f"{number:x}") if path[1] in "nb" else ()
        began = trio.current_time()
        reply = await self.world.ask(path, f"r{number}", host=host, headers=headers)
        self.replies.append(reply)
        if reply.status != SERVED:
            took = trio.current_time() - began
            self.longest_refusal = max(self.longest_refusal, took)

    @property
    def served(self) -> int:
        """Return how many callers got a whole answer."""
        return sum(reply.status == SERVED and reply.whole for reply in self.replies)

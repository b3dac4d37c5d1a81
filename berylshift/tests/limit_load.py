"""Requests at several hosts, and what reaches the replicas that state a limit."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

import trio

from berylshift.stand_ins.entry_replica import EntryReplica
from berylshift.tests.entry_world import EntryWorld, Reply, prompt_headers

# The platform's bound: in any window a replica gets at most this multiple of what its
# limit allows, and this number of requests more.
WINDOW_SECONDS = 4.0
MAX_LIMIT_FACTOR = 1.5
MAX_EXTRA_REQUESTS = 5
# How long a host may ignore a limit after it was stated to it.
NOTICE_SECONDS = 0.5
SEED = 5
HTTP_OK = 200


def max_allowed(limit: float) -> float:
    """Return how many requests a replica may get in a window."""
    return MAX_LIMIT_FACTOR * limit * WINDOW_SECONDS + MAX_EXTRA_REQUESTS


def max_from_informed(replica: EntryReplica) -> int:
    """Return the most requests in a window, from hosts that knew of the limit."""
    informed_at = replica.rate_limit_sent_at
    times = [
        call.at
        for call in replica.calls
        if call.at >= informed_at.get(call.host, float("inf")) + NOTICE_SECONDS
    ]
    return max((_count_in_window(times, end) for end in times), default=0)


def _count_in_window(times: list[float], end: float) -> int:
    return sum(end - WINDOW_SECONDS < at <= end for at in times)


@dataclass
class LimitLoad:
    """Sends requests; ``shares`` is how they are divided among the hosts."""

    world: EntryWorld
    shares: Sequence[int]
    replies: list[Reply] = field(default_factory=list)
    # Seconds until the slowest refusal.
    longest_refusal_seconds: float = 0.0

    async def run(self, path: str, requests_per_second: float, seconds: float) -> None:
        """Send so many different requests a second for ``seconds``."""
        rng = random.Random(SEED)
        hosts = range(len(self.world.hosts))
        async with trio.open_nursery() as nursery:
            for number in range(int(requests_per_second * seconds)):
                host = rng.choices(hosts, self.shares)[0]
                nursery.start_soon(self._send, f"{path}{number}", number, host)
                await trio.sleep(rng.expovariate(requests_per_second))

    async def _send(self, path: str, number: int, host: int) -> None:
        headers = prompt_headers(block=f"{number:x}") if path[1] in "nb" else ()
        began = trio.current_time()
        reply = await self.world.ask(path, f"r{number}", host=host, headers=headers)
        self.replies.append(reply)
        if reply.status != HTTP_OK:
            duration = trio.current_time() - began
            self.longest_refusal_seconds = max(self.longest_refusal_seconds, duration)

    @property
    def served(self) -> int:
        """Return how many requests got a complete response."""
        return sum(reply.status == HTTP_OK and reply.whole for reply in self.replies)

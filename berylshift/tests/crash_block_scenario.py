"""Requests with a prompt block that crashes engines, among sound ones."""

import random
from collections import defaultdict
from dataclasses import dataclass, field

import trio

from berylshift.platform import names
from berylshift.stand_ins.entry_replica import EntryReplica
from berylshift.tests.entry_world import EntryWorld, Reply

# A crashed engine restarts after this long; its old entry expires a little later.
RESTART_SECONDS = 4.0
ENTRY_TTL_SECONDS = 3.3
# The platform's bounds: how many crashes a block may cause, how long hosts in touch may
# take to learn of the last one, and what they may send afterwards.
MAX_CRASHES = 5
STABLE_SECONDS = 3.0
MAX_SENDS_AFTER = 3
SOUND_PER_SECOND = 20
DEADLY_PER_SECOND = 4
COMMON_BLOCK = "a1"
SESSIONS = 12
SOURCES = 5
DEADLY_BLOCK = "dead"


def sound_blocks(number: int) -> list[str]:
    """Return the shared blocks of a sound prompt."""
    return [COMMON_BLOCK, f"5e{number % SESSIONS:x}", f"70{number % SOURCES:x}"]


def headers_for(
    blocks: list[str], number: int, pieces: int = 4
) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers of a prompt with ``blocks`` and a last one of its own."""
    text = ",".join(f"{block}:1000" for block in blocks) + f",{0xF0000 + number:x}:500"
    return (
        (names.MODEL, b"m"),
        (names.TOKEN_COUNTS, b"%d,80" % (1000 * len(blocks) + 500)),
        (names.PREFIX_BLOCKS, text.encode()),
        (b"x-pieces", b"%d" % pieces),
    )


@dataclass
class CrashBlockScenario:
    """One run; times in seconds of the virtual clock.

    ``place``: where the deadly block stands among the shared ones, ``None``: anywhere.
    """

    world: EntryWorld
    seed: int = 1
    place: int | None = 2
    blocks: tuple[str, ...] = (DEADLY_BLOCK,)
    # Events of deadly streams; they end before the crash if replicas respond meanwhile.
    deadly_pieces: int = 4
    # Hosts by number that are not in touch before a time.
    out_until: dict[int, float] = field(default_factory=dict)
    sends: dict[str, list[tuple[float, int]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    first_tries: list[tuple[float, bool]] = field(default_factory=list)
    refused: int = 0
    bad_replies: list[Reply] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Make the blocks deadly."""
        self.rng = random.Random(self.seed)
        self.hosts_of: dict[str, int] = {}
        self.world.fleet_state.crash_blocks.update(self.blocks)

    async def sound_callers(self, seconds: float) -> None:
        """Start sound requests, each tried once more at another host."""
        async with trio.open_nursery() as nursery:
            for number in range(int(seconds * SOUND_PER_SECOND)):
                nursery.start_soon(self._sound_caller, number)
                await trio.sleep(1 / SOUND_PER_SECOND)

    async def _sound_caller(self, number: int) -> None:
        host = self.rng.randrange(len(self.world.host_nurseries))
        headers = headers_for(sound_blocks(self.rng.randrange(1000)), number)
        began = trio.current_time()
        reply = await self._ask(f"good-{number}", host, headers)
        is_served = reply.status == 200 and bool(reply.body)
        self.first_tries.append((began, is_served))
        self.refused += reply.status == 503
        if not (is_served and reply.whole):
            other = (host + 1) % len(self.world.host_nurseries)
            await self._ask(f"good-{number}-again", other, headers)

    async def deadly_callers(self, seconds: float) -> None:
        """Start requests with a deadly block, each tried once more elsewhere."""
        async with trio.open_nursery() as nursery:
            for number in range(int(seconds * DEADLY_PER_SECOND)):
                block = self.blocks[number % len(self.blocks)]
                nursery.start_soon(self._deadly_caller, number, block)
                await trio.sleep(1 / DEADLY_PER_SECOND)

    async def _deadly_caller(self, number: int, block: str) -> None:
        blocks = sound_blocks(self.rng.randrange(1000))
        place = self.rng.randrange(3) if self.place is None else self.place
        blocks.insert(place, block)
        headers = headers_for(blocks, 50_000 + number, self.deadly_pieces)
        host = self.rng.randrange(len(self.world.host_nurseries))
        for attempt in range(2):
            name = f"bad-{block}-{number}-{attempt}"
            reply = await self._ask(name, host, headers)
            self.bad_replies.append(reply)
            host = (host + 1) % len(self.world.host_nurseries)

    async def _ask(self, name: str, host: int, headers) -> Reply:
        self.hosts_of[name] = host
        return await self.world.ask("/note/x", name, host=host, headers=headers)

    async def watch_sends(self) -> None:
        """Record when deadly requests reach a replica, until cancelled."""
        seen: dict[EntryReplica, int] = {}
        while True:
            for replica in list(self.world.replicas.values()):
                for name in replica.arrivals[seen.get(replica, 0) :]:
                    if name.startswith("bad-"):
                        send = (trio.current_time(), self.hosts_of[name])
                        self.sends[name.split("-")[1]].append(send)
                seen[replica] = len(replica.arrivals)
            await trio.sleep(0.01)

    @property
    def crashes(self) -> list[float]:
        """Return when replicas crashed."""
        return [crash.at for crash in self.world.fleet_state.crashes]

    @property
    def decided_at(self) -> float:
        """Return the time of the fifth crash, or of the last one."""
        return self.crashes[:MAX_CRASHES][-1]

    def sends_after(self, block: str) -> int:
        """Return the sends of hosts in touch that the bound counts."""
        if len(self.crashes) < MAX_CRASHES * len(self.blocks):
            return 0
        bound = self.crashes[MAX_CRASHES * len(self.blocks) - 1] + STABLE_SECONDS
        return sum(
            at > max(bound, self.out_until.get(host, 0.0))
            for at, host in self.sends[block]
        )

    def served_share(self, begin: float, end: float) -> float:
        """Return the share of sound first tries of a time that began an answer."""
        tries = [served for at, served in self.first_tries if begin <= at < end]
        return sum(tries) / len(tries)

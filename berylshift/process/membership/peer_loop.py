"""The loop that tells peers of this process and takes in what they say."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import trio

from berylshift.clock import Clock
from berylshift.process.control.demand_meter import DemandMeter
from berylshift.process.control.plans import Plans
from berylshift.process.knowledge.load import LoadView
from berylshift.process.limits.customer_limits import CustomerLimits
from berylshift.process.membership.digest import NO_STORE_AGE, Digest
from berylshift.process.membership.members import Membership
from berylshift.process.quarantine.quarantine import Quarantine
from berylshift.process.table.follower import TableFollower, TableHolder
from berylshift.settings import PeerSettings
from berylshift.store.interfaces import HostEntry
from berylshift.version.freshness import Freshness

REPLIES_KEPT = 64
Receive = Callable[[Digest], None]


class PeerLink(Protocol):
    """Carries digests between hosts; any of them may be lost."""

    async def send(self, address: str, digest: Digest) -> None:
        """Send a digest."""

    async def receive(self, take: Receive) -> None:
        """Give each digest that comes to ``take``."""


@dataclass
class PeerParts:
    """What the peers' loop works with."""

    cfg: PeerSettings
    members: Membership
    link: PeerLink
    fresh: Freshness
    load: LoadView
    limits: CustomerLimits
    follower: TableFollower
    holder: TableHolder
    meter: DemandMeter
    plans: Plans
    quarantine: Quarantine
    clock: Clock


class PeerLoop:
    """Tells peers of this process and takes in what they say."""

    def __init__(self, parts: PeerParts):
        """Work with ``parts``."""
        self._parts = parts
        self.leaving = False
        self._replies: deque[HostEntry] = deque(maxlen=REPLIES_KEPT)
        self._wake = trio.Event()

    def take(self, digest: Digest) -> None:
        """Take a peer's digest."""
        parts = self._parts
        now = parts.clock.monotonic()
        if not parts.members.is_news(digest):
            parts.members.dropped += 1
            return
        word = parts.members.received(digest, now)
        if word is not None:
            parts.fresh.peer_confirmed(word)
        parts.load.peer_shares(digest.host, digest.shares, now)
        parts.limits.peer_demand(digest.host, digest.demands, now)
        parts.meter.update_peer(digest.host, digest.mixes, now)
        # Each host tells few others: what is news here is told on.
        parts.quarantine.heard(digest.crashes, digest.finished, now, is_near=True)
        peer = parts.members.peers[digest.host]
        if peer.entry is None:
            return
        parts.follower.peer_has(
            peer.entry.admin_address, digest.table_version, digest.plan_version
        )
        if not digest.is_reply:
            self._replies.append(peer.entry)
            self._wake.set()

    async def run(self) -> None:
        """Tell some peers each interval, and answer the others, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._answer)
            await self._tell_in_turn()

    def _count_hosts(self, now: float) -> None:
        """Tell the parts how many hosts there are, and how many of them speak."""
        parts = self._parts
        size = parts.members.size()
        in_sight = len(parts.members.live(now)) - 1
        asked = parts.cfg.fanout * parts.cfg.silent_after / parts.cfg.interval
        connected = in_sight + 1 > min(size, asked) / 2
        parts.fresh.hosts = size
        parts.limits.set_hosts(size, connected, in_sight)
        parts.meter.set_hosts(size, in_sight)

    async def _answer(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._replies:
                await self._tell(self._replies.popleft(), is_reply=True)

    async def _tell_in_turn(self) -> None:
        parts = self._parts
        while True:
            now = parts.clock.monotonic()
            self._count_hosts(now)
            for entry in parts.members.pick(parts.cfg.fanout):
                parts.fresh.peer_asked(entry.host, now)
                await self._tell(entry, is_reply=False)
            await trio.sleep(parts.cfg.interval)

    async def _tell(self, entry: HostEntry, is_reply: bool) -> None:
        parts = self._parts
        now = parts.clock.monotonic()
        if entry.host not in parts.members.peers:
            return
        sequence = parts.members.next_sequence()
        digest = Digest(
            host=parts.members.host,
            incarnation=parts.members.incarnation,
            sequence=sequence,
            table_version=parts.holder.table.version,
            store_age=min(NO_STORE_AGE, parts.fresh.store_age(now)),
            leaving=self.leaving,
            is_reply=is_reply,
            echoes=parts.members.echo(entry.host),
            shares=parts.load.shares(),
            demands=parts.limits.demands(now),
            plan_version=parts.plans.total,
            mixes=parts.meter.local_rates(now),
            crashes=list(parts.quarantine.reports(now)),
            finished=list(parts.quarantine.finishes(now)),
        )
        parts.members.note_sent(entry.host, sequence, now)
        await parts.link.send(entry.peer_address, digest)

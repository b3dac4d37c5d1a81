"""The loop that exchanges digests with peers."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import trio

from berylshift.clock import Clock
from berylshift.process.control.demand_meter import DemandMeter
from berylshift.process.control.plans import Plans
from berylshift.process.engine_state.load_view import LoadView
from berylshift.process.limits.customer_limits import CustomerLimits
from berylshift.process.membership.digest import MAX_STORE_AGE_SECONDS, Digest
from berylshift.process.membership.members import Membership
from berylshift.process.quarantine.quarantine import Quarantine
from berylshift.process.table.table_follower import TableFollower, TableHolder
from berylshift.settings import PeerSettings
from berylshift.store.interfaces import HostEntry
from berylshift.version.freshness import Freshness

MAX_QUEUED_REPLIES = 64
DigestHandler = Callable[[Digest], None]


class PeerLink(Protocol):
    """Carries digests between hosts; any of them may be lost."""

    async def send(self, address: str, digest: Digest) -> None:
        """Send a digest."""

    async def receive(self, on_message: DigestHandler) -> None:
        """Call ``on_message`` with each digest that arrives."""


@dataclass
class PeerDependencies:
    """What the peer loop works with.

    ``boot_clock`` gives the times of queries; it runs while the host is suspended.
    """

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
    boot_clock: Callable[[], float]


class PeerLoop:
    """Sends digests to peers and applies those that they send."""

    def __init__(self, deps: PeerDependencies):
        """Work with ``deps``."""
        self._deps = deps
        self.leaving = False
        self._replies: deque[HostEntry] = deque(maxlen=MAX_QUEUED_REPLIES)
        self._wake = trio.Event()

    def on_digest(self, digest: Digest) -> None:
        """Apply a peer's digest and queue the reply to it."""
        deps = self._deps
        now = deps.clock.monotonic()
        if not deps.members.is_new(digest):
            deps.members.dropped_count += 1
            return
        confirmation = deps.members.receive(digest, now)
        if confirmation is not None:
            deps.fresh.note_peer_confirmation(confirmation)
        deps.load.record_peer_shares(digest.host, digest.shares, now)
        deps.limits.record_peer_demand(digest.host, digest.demands, now)
        deps.meter.update_peer(digest.host, digest.mixes, now)
        # Each host sends to few others, so whatever is new here is passed on.
        deps.quarantine.merge(digest.crashes, digest.finished, now, is_own_domain=True)
        deps.quarantine.blocks.merge(digest.blocks, now, is_own_domain=True)
        peer = deps.members.peers[digest.host]
        if peer.entry is None:
            return
        deps.follower.record_peer_versions(
            peer.entry.admin_address, digest.table_version, digest.plan_version
        )
        if not digest.is_reply:
            self._replies.append(peer.entry)
            self._wake.set()

    async def run(self) -> None:
        """Send to some peers each interval, and reply to others, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_replies)
            await self._send_in_turn()

    def _update_host_counts(self, now: float) -> None:
        """Pass on how many hosts there are, and how many of them are live."""
        deps = self._deps
        host_count = deps.members.host_count()
        live_peers = len(deps.members.live_hosts(now)) - 1
        asked = deps.cfg.fanout * deps.cfg.silent_after / deps.cfg.interval
        is_connected = live_peers + 1 > min(host_count, asked) / 2
        deps.fresh.host_count = host_count
        deps.limits.set_hosts(host_count, is_connected, live_peers)
        deps.meter.set_hosts(host_count, live_peers)

    async def _send_replies(self) -> None:
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            while self._replies:
                await self._send(self._replies.popleft(), is_reply=True)

    async def _send_in_turn(self) -> None:
        deps = self._deps
        while True:
            self._update_host_counts(deps.clock.monotonic())
            for entry in deps.members.next_peers(deps.cfg.fanout):
                deps.fresh.note_peer_query(entry.host, deps.boot_clock())
                await self._send(entry, is_reply=False)
            await trio.sleep(deps.cfg.interval)

    async def _send(self, entry: HostEntry, is_reply: bool) -> None:
        deps = self._deps
        now, sent_at = deps.clock.monotonic(), deps.boot_clock()
        if entry.host not in deps.members.peers:
            return
        sequence = deps.members.next_sequence()
        digest = Digest(
            host=deps.members.host,
            incarnation=deps.members.incarnation,
            sequence=sequence,
            table_version=deps.holder.table.version,
            store_age_seconds=min(MAX_STORE_AGE_SECONDS, deps.fresh.store_age(sent_at)),
            leaving=self.leaving,
            is_reply=is_reply,
            echoes=deps.members.echoes_for(entry.host),
            shares=deps.load.shares(),
            demands=deps.limits.demands(now),
            plan_version=deps.plans.total,
            mixes=deps.meter.local_rates(now),
            crashes=list(deps.quarantine.take_reports(now)),
            finished=list(deps.quarantine.pending_completions(now)),
            blocks=list(deps.quarantine.blocks.take_reports(now)),
        )
        deps.members.record_send(entry.host, sequence, sent_at)
        await deps.link.send(entry.peer_address, digest)

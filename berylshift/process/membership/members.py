"""Membership: which peers are live, their last digests, and whom to send to next."""

import random
from collections import deque
from dataclasses import dataclass, field

import xxhash

from berylshift.ids import HostName, Incarnation
from berylshift.process.membership.digest import Digest, Echo
from berylshift.store.interfaces import HostEntry, HostState
from berylshift.version.freshness import PeerConfirmation

MAX_SENT_TIMES = 64
MAX_PAST_INCARNATIONS = 8


@dataclass
class Peer:
    """State of a peer; times in monotonic seconds.

    ``sent_at`` holds the send times of recent datagrams to it, by sequence number, on
    the clock of the view's freshness.
    """

    entry: HostEntry | None = None
    incarnation: Incarnation = Incarnation("")
    sequence: int = 0
    received_at: float = float("-inf")
    digest: Digest | None = None
    sent_at: dict[int, float] = field(default_factory=dict)
    past_incarnations: deque[Incarnation] = field(
        default_factory=lambda: deque(maxlen=MAX_PAST_INCARNATIONS)
    )


@dataclass
class Membership:
    """Peers of this process; synchronous, fed with datagrams and host lists.

    A peer counts as live until ``silent_after_seconds`` after its last datagram.
    """

    host: HostName
    incarnation: Incarnation
    silent_after_seconds: float
    rng: random.Random
    peers: dict[HostName, Peer] = field(default_factory=dict)
    dropped_count: int = 0
    sequence: int = 0
    _round: list[HostName] = field(default_factory=list)

    def update_host_list(self, entries: list[HostEntry]) -> None:
        """Apply the platform's host list.

        Entries are added and replaced, and listed peers that are no longer on the list
        are removed. A peer that was never listed stays, since the list lags behind.
        """
        listed = {entry.host for entry in entries}
        for entry in entries:
            if entry.host == self.host:
                continue
            peer = self.peers.setdefault(entry.host, Peer())
            peer.entry = entry
        for host in [host for host in self.peers if host not in listed]:
            if self.peers[host].entry is not None:
                del self.peers[host]

    def receive(self, digest: Digest, now: float) -> PeerConfirmation | None:
        """Apply a datagram; return the peer's table version if it echoes a request.

        A late datagram, or one of a replaced process, would restore outdated
        acknowledgements, loads and versions. Both are dropped.
        """
        if not self.is_new(digest):
            self.dropped_count += 1
            return None
        peer = self.peers.setdefault(digest.host, Peer())
        if peer.incarnation != digest.incarnation:
            self._replace_incarnation(peer, digest.incarnation)
        peer.sequence = digest.sequence
        peer.digest = digest
        peer.received_at = now
        return self._confirmation_in(peer, digest)

    def is_new(self, digest: Digest) -> bool:
        """Return whether a datagram is later than all known ones of its host."""
        if digest.host == self.host:
            return False
        peer = self.peers.get(digest.host)
        return peer is None or self._is_newer(peer, digest)

    def _is_newer(self, peer: Peer, digest: Digest) -> bool:
        """Return whether a datagram is later than all known ones of a peer.

        The host list lags, and wall clocks may be stepped back, so neither alone tells
        which of two incarnations is the later one. An incarnation that another one has
        replaced is never accepted again.
        """
        incarnation = digest.incarnation
        if incarnation == peer.incarnation:
            return digest.sequence > peer.sequence
        if incarnation in peer.past_incarnations:
            return False
        if peer.entry is not None and peer.entry.incarnation == incarnation:
            return True
        known = peer.incarnation
        if not known and peer.entry is not None:
            known = peer.entry.incarnation
        return not known or _start_ms(incarnation) > _start_ms(known)

    def _replace_incarnation(self, peer: Peer, incarnation: Incarnation) -> None:
        """Set a peer's incarnation and record those that it replaces."""
        replaced = [peer.incarnation]
        if peer.entry is not None:
            replaced.append(peer.entry.incarnation)
        peer.past_incarnations.extend(
            item for item in replaced if item and item != incarnation
        )
        peer.incarnation = incarnation

    def _confirmation_in(self, peer: Peer, digest: Digest) -> PeerConfirmation | None:
        for echo in digest.echoes:
            if echo.host != self.host or echo.incarnation != self.incarnation:
                continue
            asked_at = peer.sent_at.get(echo.sequence)
            if asked_at is not None:
                return PeerConfirmation(
                    peer=digest.host,
                    asked_at=asked_at,
                    version=digest.table_version,
                    store_age=digest.store_age_seconds,
                    plan=digest.plan_version,
                )
        return None

    def entries(self) -> list[HostEntry]:
        """Return the peers' entries in the latest host list."""
        return [peer.entry for peer in self.peers.values() if peer.entry is not None]

    def next_sequence(self) -> int:
        """Return the sequence number of the next datagram."""
        self.sequence += 1
        return self.sequence

    def record_send(self, host: HostName, sequence: int, at: float) -> None:
        """Record when a datagram was sent to a peer, for when it is echoed."""
        sent_at = self.peers[host].sent_at
        sent_at[sequence] = at
        while len(sent_at) > MAX_SENT_TIMES:
            del sent_at[next(iter(sent_at))]

    def echoes_for(self, host: HostName) -> list[Echo]:
        """Return the echo of a peer's last datagram, if there was one."""
        peer = self.peers[host]
        if not peer.incarnation:
            return []
        return [Echo(host, peer.incarnation, peer.sequence)]

    def next_peers(self, fanout: int) -> list[HostEntry]:
        """Return the peers to send to now: all in turn, each round reshuffled."""
        known = {
            host: peer.entry
            for host, peer in self.peers.items()
            if peer.entry is not None
        }
        picked: list[HostEntry] = []
        for _ in range(min(fanout, len(known))):
            if not self._round:
                self._round = self.rng.sample(sorted(known), len(known))
            host = self._round.pop()
            if host in known and known[host] not in picked:
                picked.append(known[host])
        return picked

    def live_hosts(self, now: float) -> list[HostName]:
        """Return this host and the peers that have sent a datagram recently."""
        live_peers = [
            host
            for host, peer in self.peers.items()
            if now - peer.received_at <= self.silent_after_seconds
        ]
        return [self.host, *live_peers]

    def rank(self, name: str) -> int:
        """Return this host's rank among the live hosts for a named task, 0 first.

        By rendezvous hashing: each task has its own order, and a host that is removed
        only changes the ranks of the hosts behind it.
        """
        own_score = _rendezvous_score(name, self.host)
        live = [
            host
            for host, peer in self.peers.items()
            if peer.entry is not None and peer.entry.state is HostState.LIVE
        ]
        return sum(_rendezvous_score(name, host) > own_score for host in live)

    def host_count(self) -> int:
        """Return the number of hosts on the list that aren't leaving, and this one."""
        listed = sum(
            peer.entry is not None and peer.entry.state is HostState.LIVE
            for peer in self.peers.values()
        )
        return 1 + listed

    def is_replaced(self, host: HostName, incarnation: Incarnation) -> bool:
        """Return whether an incarnation is known to have been replaced.

        It is replaced when the host list has a later one for its host, or when this
        process has received datagrams of a later one. Silence proves nothing, since the
        process may be paused.
        """
        if host == self.host:
            return incarnation != self.incarnation
        peer = self.peers.get(host)
        if peer is None:
            return False
        is_later = _start_ms(peer.incarnation) > _start_ms(incarnation)
        listed = peer.entry is not None and peer.entry.incarnation != incarnation
        received = (
            bool(peer.incarnation) and peer.incarnation != incarnation and is_later
        )
        return received or (
            listed and _start_ms(peer.entry.incarnation) > _start_ms(incarnation)
        )


def make_incarnation(host: HostName, started_ms: int, salt: int) -> Incarnation:
    """Return a unique name for this process."""
    return Incarnation(f"{host}/{started_ms:015d}/{salt:08x}")


def host_of(incarnation: Incarnation) -> HostName:
    """Return the host of an incarnation."""
    return HostName(incarnation.rpartition("/")[0].rpartition("/")[0])


def _rendezvous_score(name: str, host: HostName) -> int:
    return xxhash.xxh64_intdigest(f"{name}|{host}".encode())


def _start_ms(incarnation: Incarnation) -> int:
    parts = incarnation.split("/")
    return int(parts[1]) if len(parts) == 3 and parts[1].isdigit() else 0

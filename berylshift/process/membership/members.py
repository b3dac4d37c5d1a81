"""Membership: which peers live, what they last said, and whom to tell next."""

import random
from collections import deque
from dataclasses import dataclass, field

import xxhash

from berylshift.ids import HostName, Incarnation
from berylshift.process.membership.digest import Digest, Echo
from berylshift.store.interfaces import HostEntry, HostState
from berylshift.version.freshness import PeerWord

SENT_KEPT = 64
FORMER_KEPT = 8


@dataclass
class Peer:
    """What is known of a peer; times in monotonic seconds."""

    entry: HostEntry | None = None
    incarnation: Incarnation = Incarnation("")
    sequence: int = 0
    heard_at: float = float("-inf")
    digest: Digest | None = None
    sent: dict[int, float] = field(default_factory=dict)
    former: deque[Incarnation] = field(
        default_factory=lambda: deque(maxlen=FORMER_KEPT)
    )


@dataclass
class Membership:
    """Peers of this process; sync, fed with datagrams and host lists."""

    host: HostName
    incarnation: Incarnation
    silent_after: float
    rng: random.Random
    peers: dict[HostName, Peer] = field(default_factory=dict)
    dropped: int = 0
    sequence: int = 0
    _round: list[HostName] = field(default_factory=list)

    def listed(self, entries: list[HostEntry]) -> None:
        """Take the platform's list; it lags, so it only adds and renames."""
        named = {entry.host for entry in entries}
        for entry in entries:
            if entry.host == self.host:
                continue
            peer = self.peers.setdefault(entry.host, Peer())
            peer.entry = entry
        for host in [host for host in self.peers if host not in named]:
            if self.peers[host].entry is not None:
                del self.peers[host]

    def received(self, digest: Digest, now: float) -> PeerWord | None:
        """Take a datagram; return its word on the table, if it is a new one.

        A late datagram, or one of a process that was replaced, would bring back
        what is over: acks, loads, versions. Both are dropped.
        """
        if not self.is_news(digest):
            self.dropped += 1
            return None
        peer = self.peers.setdefault(digest.host, Peer())
        if peer.incarnation != digest.incarnation:
            self._follow(peer, digest.incarnation)
        peer.sequence = digest.sequence
        peer.digest = digest
        peer.heard_at = now
        return self._word(peer, digest)

    def is_news(self, digest: Digest) -> bool:
        """Return whether a datagram is later than all that its host said."""
        if digest.host == self.host:
            return False
        peer = self.peers.get(digest.host)
        return peer is None or self._is_newer(peer, digest)

    def _is_newer(self, peer: Peer, digest: Digest) -> bool:
        """Return whether a datagram follows all that its host is known to have said.

        The host list lags, and calendars may be stepped back, so neither alone
        tells which of two incarnations is the later one. One that was followed by
        another is never taken again.
        """
        incarnation = digest.incarnation
        if incarnation == peer.incarnation:
            return digest.sequence > peer.sequence
        if incarnation in peer.former:
            return False
        if peer.entry is not None and peer.entry.incarnation == incarnation:
            return True
        known = peer.incarnation
        if not known and peer.entry is not None:
            known = peer.entry.incarnation
        return not known or _started(incarnation) > _started(known)

    def _follow(self, peer: Peer, incarnation: Incarnation) -> None:
        """Note which incarnations a new one puts an end to."""
        former = [peer.incarnation]
        if peer.entry is not None:
            former.append(peer.entry.incarnation)
        peer.former.extend(item for item in former if item and item != incarnation)
        peer.incarnation = incarnation

    def _word(self, peer: Peer, digest: Digest) -> PeerWord | None:
        for echo in digest.echoes:
            if echo.host != self.host or echo.incarnation != self.incarnation:
                continue
            asked_at = peer.sent.get(echo.sequence)
            if asked_at is not None:
                return PeerWord(
                    peer=digest.host,
                    asked_at=asked_at,
                    version=digest.table_version,
                    store_age=digest.store_age,
                    plan=digest.plan_version,
                )
        return None

    def entries(self) -> list[HostEntry]:
        """Return the peers as the platform's list named them last."""
        return [peer.entry for peer in self.peers.values() if peer.entry is not None]

    def next_sequence(self) -> int:
        """Return the number of the next datagram."""
        self.sequence += 1
        return self.sequence

    def note_sent(self, host: HostName, sequence: int, now: float) -> None:
        """Note when a datagram went to a peer; its echo dates the answer."""
        sent = self.peers[host].sent
        sent[sequence] = now
        while len(sent) > SENT_KEPT:
            del sent[next(iter(sent))]

    def echo(self, host: HostName) -> list[Echo]:
        """Return the echo of a peer's last datagram."""
        peer = self.peers[host]
        if not peer.incarnation:
            return []
        return [Echo(host, peer.incarnation, peer.sequence)]

    def pick(self, fanout: int) -> list[HostEntry]:
        """Return the peers to tell now: all in turn, each round in a new order."""
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

    def live(self, now: float) -> list[HostName]:
        """Return the peers heard of lately, and this host."""
        heard = [
            host
            for host, peer in self.peers.items()
            if now - peer.heard_at <= self.silent_after
        ]
        return [self.host, *heard]

    def rank(self, name: str) -> int:
        """Return this host's place for some duty among the live ones.

        By rendezvous hash: each duty has its own order, and a host that goes
        changes only its own places.
        """
        mine = _score(name, self.host)
        live = [
            host
            for host, peer in self.peers.items()
            if peer.entry is not None and peer.entry.state is HostState.LIVE
        ]
        return sum(_score(name, host) > mine for host in live)

    def size(self) -> int:
        """Return how many hosts there are, by the list, leaving ones not counted."""
        listed = sum(
            peer.entry is not None and peer.entry.state is HostState.LIVE
            for peer in self.peers.values()
        )
        return 1 + listed

    def gone(self, host: HostName, incarnation: Incarnation) -> bool:
        """Return whether an incarnation is known to be over.

        It is over when the host list names another one for its host, or this
        process has heard another, later one itself. Silence proves nothing: the
        process may be paused.
        """
        if host == self.host:
            return incarnation != self.incarnation
        peer = self.peers.get(host)
        if peer is None:
            return False
        later = _started(peer.incarnation) > _started(incarnation)
        listed = peer.entry is not None and peer.entry.incarnation != incarnation
        heard = bool(peer.incarnation) and peer.incarnation != incarnation and later
        return heard or (
            listed and _started(peer.entry.incarnation) > _started(incarnation)
        )


def make_incarnation(host: HostName, started_ms: int, salt: int) -> Incarnation:
    """Return a name for this process that no other process ever had."""
    return Incarnation(f"{host}/{started_ms:015d}/{salt:08x}")


def host_of(incarnation: Incarnation) -> HostName:
    """Return the host that an incarnation ran on."""
    return HostName(incarnation.rpartition("/")[0].rpartition("/")[0])


def _score(name: str, host: HostName) -> int:
    return xxhash.xxh64_intdigest(f"{name}|{host}".encode())


def _started(incarnation: Incarnation) -> int:
    parts = incarnation.split("/")
    return int(parts[1]) if len(parts) == 3 and parts[1].isdigit() else 0

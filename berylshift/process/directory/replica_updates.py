"""Changes of the replica feed that hosts learn from each other's digests.

A host that reads the feed for others sends each change as a link: the revisions between
which the list was the same before, the revision after it, and the entries that differ.
A receiver whose own list was the same at one of these revisions, in the same era, has
the list of the later revision once it applies the link. This needs no clock: a link
that is delayed, repeated or sent by a host that was suspended either continues the
receiver's list or is ignored. How old a list is follows from the store's status alone.
"""

from collections import OrderedDict
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

import msgspec
import xxhash

from berylshift.ids import ReplicaName, Revision, StoreEra
from berylshift.messages.load_digest import Scope
from berylshift.messages.replica_updates import (
    ReplicaLink,
    ReplicaPiece,
    RevisionRange,
    shared_texts,
)
from berylshift.messages.replicas import Replica, ReplicaChanges

# Bytes of the pieces in one digest. A datagram holds 1,400; load entries need some of
# the others.
MAX_DIGEST_BYTES = 600
MAX_PIECE_BYTES = MAX_DIGEST_BYTES
# Upper bounds of what a piece, an entry and a text take beside the texts themselves.
PIECE_BYTES = 48
ENTRY_BYTES = 28
TEXT_BYTES = 8
# A larger change is not sent: at five digests a second it would take longer than a
# read by every host. Neither is one with an entry that is larger than a piece, which
# would hold back all later changes. Hosts read such changes from the store.
MAX_PIECES = 48
# A piece is sent three times, so that the loss of single datagrams leaves no gap.
MAX_SENDS = 3
REPEAT_SECONDS = 0.3
# What found no room for this long is no longer sent.
SEND_SECONDS = 6.0
# Links that are incomplete, or don't continue the list, are dropped after this long.
# It exceeds the time for which pieces are sent, so that none is forwarded twice.
KEEP_SECONDS = 20.0
MAX_KEPT_LINKS = 256

LinkKey = tuple[int, RevisionRange, Revision, int]


@dataclass
class _Outgoing:
    """A piece for digests of ``scopes``, and how often those of each have held it."""

    piece: ReplicaPiece
    scopes: Collection[Scope]
    added_at: float
    sends: dict[Scope, int] = field(default_factory=dict)
    sent_at: dict[Scope, float] = field(default_factory=dict)

    def is_due(self, scope: Scope, now: float) -> bool:
        """Return whether a digest of a scope should hold the piece."""
        if scope not in self.scopes:
            return False
        if now - self.added_at > SEND_SECONDS:
            return False
        if self.sends.get(scope, 0) >= MAX_SENDS:
            return False
        return now - self.sent_at.get(scope, float("-inf")) >= REPEAT_SECONDS


@dataclass
class _Incoming:
    """The pieces of a link that have arrived."""

    at: float
    pieces: dict[int, ReplicaPiece] = field(default_factory=dict)


class ReplicaUpdates:
    """Links to send, and links received; times in monotonic seconds."""

    def __init__(self, host: str = "", is_used: Callable[[], bool] = lambda: False):
        """Send as ``host``; nothing is sent or received unless ``is_used()``."""
        self._origin = xxhash.xxh32_intdigest(host.encode())
        self._is_used = is_used
        # The entries as the store listed them at the revisions in ``_rows_range``.
        self._rows: dict[ReplicaName, Replica] = {}
        self._rows_at: tuple[StoreEra, Revision] | None = None
        self._outgoing: list[_Outgoing] = []
        self._incoming: OrderedDict[LinkKey, _Incoming] = OrderedDict()
        self._on_links: Callable[[], None] = lambda: None
        self.applied_links = 0
        self.gaps = 0

    def subscribe(self, on_links: Callable[[], None]) -> None:
        """Call ``on_links`` when a link may be ready to be applied."""
        self._on_links = on_links

    # Sending

    def record_read(
        self,
        changes: ReplicaChanges,
        start: RevisionRange | None,
        is_sender: bool,
        now: float,
    ) -> None:
        """Record a read of the store by this host.

        ``start`` is the range of the list before. Heartbeats, which change nothing but
        the revision of an entry, are left out of the link.
        """
        if changes.whole:
            self._rows = {rep.name: rep for rep in changes.put}
            self._rows_at = (changes.era, changes.revision)
            return
        if not (changes.put or changes.removed):
            return
        if not self._continues(start):
            self._rows_at = None
            return
        put = tuple(
            rep
            for rep in (*changes.put, *changes.passed)
            if not _is_same(self._rows.get(rep.name), rep)
        )
        known = self._rows.keys() | {rep.name for rep in put}
        removed = tuple(name for name in changes.removed if name in known)
        self._update_rows(changes.put, changes.removed)
        self._rows_at = (changes.era, changes.revision)
        if is_sender and changes.revision > start.until and self._is_used():
            link = ReplicaLink(self._origin, start, changes.revision, put, removed)
            pieces = cut(link)
            if len(pieces) <= MAX_PIECES:
                self._queue(pieces, tuple(Scope), now)

    def _continues(self, start: RevisionRange | None) -> bool:
        """Return whether the recorded entries are those of a range."""
        if start is None or self._rows_at is None:
            return False
        return self._rows_at == (start.era, start.since)

    def _update_rows(
        self, put: tuple[Replica, ...], removed: tuple[ReplicaName, ...]
    ) -> None:
        for replica in put:
            self._rows[replica.name] = replica
        for name in removed:
            self._rows.pop(name, None)

    def _queue(
        self, pieces: tuple[ReplicaPiece, ...], scopes: Collection[Scope], now: float
    ) -> None:
        self._outgoing = [
            each for each in self._outgoing if now - each.added_at <= SEND_SECONDS
        ]
        if all(piece_bytes(piece) <= MAX_PIECE_BYTES for piece in pieces):
            self._outgoing += [_Outgoing(piece, scopes, now) for piece in pieces]

    def has_updates(self, scope: Scope, now: float) -> bool:
        """Return whether a digest of a scope should hold pieces."""
        return any(each.is_due(scope, now) for each in self._outgoing)

    def bytes_to_send(self, scope: Scope, now: float) -> int:
        """Return how many bytes the pieces in the next digest of a scope take."""
        return sum(piece_bytes(each.piece) for each in self._next(scope, now))

    def take_pieces(self, scope: Scope, now: float) -> tuple[ReplicaPiece, ...]:
        """Return the pieces for a digest of a scope, and count them as sent."""
        found = self._next(scope, now)
        for each in found:
            each.sends[scope] = each.sends.get(scope, 0) + 1
            each.sent_at[scope] = now
        return tuple(each.piece for each in found)

    def _next(self, scope: Scope, now: float) -> list[_Outgoing]:
        """Return the pieces for the next digest: those sent least often, oldest first.

        A receiver can't apply a link before the ones that precede it.
        """
        due = [each for each in self._outgoing if each.is_due(scope, now)]
        due.sort(key=lambda each: each.sends.get(scope, 0))
        found, left = [], MAX_DIGEST_BYTES
        for each in due:
            left -= piece_bytes(each.piece)
            if left < 0:
                break
            found.append(each)
        return found

    # Receiving

    def receive(
        self, pieces: tuple[ReplicaPiece, ...], scopes: Collection[Scope], now: float
    ) -> None:
        """Record the pieces of a digest, to be forwarded in digests of ``scopes``.

        It is called for each digest: a status may make an earlier link applicable.
        """
        if not self._is_used():
            return
        for piece in pieces:
            self._receive(piece, scopes, now)
        if self._incoming:
            self._drop_old(now)
            self._on_links()

    def _receive(
        self, piece: ReplicaPiece, scopes: Collection[Scope], now: float
    ) -> None:
        if piece.link.origin == self._origin or piece.index >= piece.count:
            return
        incoming = self._incoming.setdefault(_key(piece), _Incoming(now))
        if piece.index not in incoming.pieces:
            incoming.pieces[piece.index] = piece
            if scopes:
                self._queue((piece,), scopes, now)

    def _drop_old(self, now: float) -> None:
        while self._incoming:
            key, incoming = next(iter(self._incoming.items()))
            is_old = now - incoming.at > KEEP_SECONDS
            if not is_old and len(self._incoming) <= MAX_KEPT_LINKS:
                return
            del self._incoming[key]

    def next_link(self, known: RevisionRange | None) -> ReplicaLink | None:
        """Return a complete link that continues the list of a range of revisions."""
        if known is None:
            return None
        for key, incoming in self._incoming.items():
            _, start, to, count = key
            if to <= known.until or not start.overlaps(known):
                continue
            if len(incoming.pieces) == count:
                return _joined([incoming.pieces[index] for index in range(count)])
        return None

    def has_gap(self, known: RevisionRange | None) -> bool:
        """Return whether a later link of the era arrived that can't be applied yet."""
        return known is not None and any(
            start.era == known.era and start.since > known.until
            for _, start, _, _ in self._incoming
        )

    def record_applied(self, link: ReplicaLink, start: RevisionRange) -> None:
        """Record that this host has applied a link to the list of a range."""
        self.applied_links += 1
        if not self._continues(start):
            self._rows_at = None
            return
        self._update_rows(link.put, link.removed)
        self._rows_at = (start.era, link.to)


def cut(link: ReplicaLink) -> tuple[ReplicaPiece, ...]:
    """Return a link in pieces that fit a digest."""
    parts = [_Part()]
    for change in (*link.put, *link.removed):
        if not parts[-1].add(change):
            parts.append(_Part())
            parts[-1].add(change)
    return tuple(
        ReplicaPiece(
            msgspec.structs.replace(
                link, put=tuple(part.put), removed=tuple(part.removed)
            ),
            index,
            len(parts),
        )
        for index, part in enumerate(parts)
    )


def piece_bytes(piece: ReplicaPiece) -> int:
    """Return an upper bound of the bytes that a piece takes in a digest."""
    part = _Part(limit=float("inf"))
    for change in (*piece.link.put, *piece.link.removed):
        part.add(change)
    return part.size


class _Part:
    """The changes in one piece, and an upper bound of the bytes they take."""

    def __init__(self, limit: float = MAX_PIECE_BYTES):
        self.put: list[Replica] = []
        self.removed: list[ReplicaName] = []
        self.size = PIECE_BYTES
        self._limit = limit
        self._texts: set[str] = set()

    def add(self, change: Replica | ReplicaName) -> bool:
        """Add a change, unless it doesn't fit beside those that the part has."""
        if isinstance(change, Replica):
            texts = set(shared_texts(change)) - self._texts
            size = ENTRY_BYTES + _bytes_in(change.name, change.address)
            size += TEXT_BYTES * len(texts) + _bytes_in(*texts)
        else:
            texts, size = set(), TEXT_BYTES + _bytes_in(change)
        if self.size + size > self._limit and (self.put or self.removed):
            return False
        self.size += size
        self._texts |= texts
        if isinstance(change, Replica):
            self.put.append(change)
        else:
            self.removed.append(change)
        return True


def _bytes_in(*texts: str) -> int:
    return sum(len(text.encode()) for text in texts)


def _joined(pieces: list[ReplicaPiece]) -> ReplicaLink:
    return msgspec.structs.replace(
        pieces[0].link,
        put=tuple(rep for piece in pieces for rep in piece.link.put),
        removed=tuple(name for piece in pieces for name in piece.link.removed),
    )


def _key(piece: ReplicaPiece) -> LinkKey:
    link = piece.link
    return (link.origin, link.start, link.to, piece.count)


def _is_same(former: Replica | None, replica: Replica) -> bool:
    """Return whether two entries differ at most in their revision."""
    if former is None:
        return False
    return msgspec.structs.replace(former, revision=replica.revision) == replica

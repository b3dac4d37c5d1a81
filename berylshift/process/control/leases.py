"""Leases of pools, without a trusted clock.

The holder counts its term from before it sent the last renewal that is known to
have taken effect, on its own monotonic clock. A contender takes over only after it
has itself watched the row stand still for a whole term and a margin. So two
processes never both believe that they hold a lease, whatever their calendars say,
as long as their monotonic clocks run at rates within margin / term of each other.
A paused holder wakes with its term over. See docs/design/leases-and-orders.md.
"""

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from berylshift.ids import Epoch, Incarnation, PoolName
from berylshift.store.interfaces import ABSENT

NOBODY = Incarnation("")


class LeaseRow(msgspec.Struct, frozen=True):
    """The lease of a pool; ``counter`` rises with each renewal."""

    holder: Incarnation
    epoch: Epoch
    counter: int


class EpochRow(msgspec.Struct, frozen=True):
    """Changes only when a lease changes hands: what orders are checked against."""

    epoch: Epoch
    holder: Incarnation


def lease_key(pool: PoolName) -> str:
    """Return the table key of a pool's lease."""
    return f"lease/{pool}"


def epoch_key(pool: PoolName) -> str:
    """Return the table key of a pool's epoch."""
    return f"epoch/{pool}"


class LeaseAct(Enum):
    """What to do about a lease now."""

    READ = "read"
    ACQUIRE = "acquire"
    RENEW = "renew"


class WriteEnd(Enum):
    """How a write of a lease or journal row ended."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    LOST = "lost"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True)
class LeaseWrite:
    """A write that was sent, to be matched with its end or with a later read."""

    row: LeaseRow
    sent_at: float


@dataclass
class Lease:
    """One process's view of one pool's lease; times in monotonic seconds."""

    pool: PoolName
    me: Incarnation
    term: float
    margin: float
    row: LeaseRow | None = None
    revision: int = ABSENT
    epoch_revision: int = ABSENT
    _held_from: float | None = None
    _unsure: LeaseWrite | None = None
    _still_since: float | None = field(default=None)
    _known: bool = False

    def holds(self, now: float) -> Epoch | None:
        """Return the epoch held, or ``None``."""
        if self._held_from is None or self.row is None:
            return None
        if now >= self._held_from + self.term - self.margin:
            return None
        return self.row.epoch

    def next_act(self, now: float, rank: int, step: float) -> LeaseAct:
        """Return what to do; ``rank`` 0 tries first, others ``step`` s later each."""
        if self._unsure is not None or not self._known:
            return LeaseAct.READ
        if self.row is not None and self.row.holder == self.me:
            return LeaseAct.RENEW if self.holds(now) is not None else LeaseAct.READ
        if self._free(now, rank * step):
            return LeaseAct.ACQUIRE
        return LeaseAct.READ

    def _free(self, now: float, delay: float) -> bool:
        """Return whether nobody can hold the lease any more."""
        if self._still_since is None:
            return False
        stood = now - self._still_since
        if self.row is None or self.row.holder == NOBODY:
            return stood >= delay
        return stood >= self.term + self.margin + delay

    def write(self, act: LeaseAct) -> LeaseRow:
        """Return the row to be written."""
        if act is LeaseAct.RENEW:
            return LeaseRow(self.me, self.row.epoch, self.row.counter + 1)
        epoch = Epoch(self.row.epoch + 1) if self.row else Epoch(1)
        counter = self.row.counter + 1 if self.row else 1
        return LeaseRow(self.me, epoch, counter)

    def released(self) -> LeaseRow:
        """Return the row that gives the lease up; the lease is given up here first."""
        self._held_from = None
        return LeaseRow(NOBODY, self.row.epoch, self.row.counter + 1)

    def read_done(
        self, row: LeaseRow | None, revision: int, epoch_revision: int, now: float
    ) -> None:
        """Take the rows as read; ``now`` is when the answer came."""
        if not self._known or row != self.row:
            # A row that moved was alive: the watch starts again, from the answer.
            self._still_since = now
        self._known = True
        self.row, self.revision = row, revision
        self.epoch_revision = epoch_revision
        self._settle_unsure()
        if row is None or row.holder != self.me:
            self._held_from = None

    def _settle_unsure(self) -> None:
        """Find a write whose answer was lost, now that the row is known."""
        unsure, self._unsure = self._unsure, None
        mine = self.row is not None and self.row.holder == self.me
        if unsure is not None and unsure.row == self.row and mine:
            self._held_from = unsure.sent_at

    def wrote(
        self, row: LeaseRow, end: WriteEnd, sent_at: float, acquired: bool
    ) -> None:
        """Take the end of a write that was sent at ``sent_at``."""
        match end:
            case WriteEnd.COMMITTED:
                self.row = row
                self.revision += 1
                self.epoch_revision += acquired
                # A released lease is written by us, too, and held by nobody.
                self._held_from = sent_at if row.holder == self.me else None
                self._still_since = sent_at
            case WriteEnd.LOST:
                self._unsure = LeaseWrite(row, sent_at)
            case WriteEnd.CONFLICT:
                self._known = False
            case WriteEnd.UNAVAILABLE:
                pass

"""Leases of pools that do not rely on synchronized clocks.

The holder counts its term on its own monotonic clock, from just before it sent the
last renewal that is known to be committed. A contender takes over only after it has
observed an unchanged row for a full term plus a margin. Two processes therefore
never both consider themselves the holder, whatever their wall clocks show, as long
as the rates of their monotonic clocks differ by less than margin / term. A holder
that was paused finds its term expired. See docs/design/leases-and-orders.md.
"""

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from berylshift.ids import Epoch, Incarnation, PoolName
from berylshift.store.interfaces import ABSENT

NO_HOLDER = Incarnation("")


class LeaseRow(msgspec.Struct, frozen=True):
    """The lease of a pool; ``counter`` rises with each renewal."""

    holder: Incarnation
    epoch: Epoch
    counter: int


class EpochRow(msgspec.Struct, frozen=True):
    """Changes only with the holder; plans and orders are written on condition of it."""

    epoch: Epoch
    holder: Incarnation


def lease_key(pool: PoolName) -> str:
    """Return the table key of a pool's lease."""
    return f"lease/{pool}"


def epoch_key(pool: PoolName) -> str:
    """Return the table key of a pool's epoch."""
    return f"epoch/{pool}"


class LeaseAction(Enum):
    """The next operation on a lease row."""

    READ = "read"
    ACQUIRE = "acquire"
    RENEW = "renew"


class WriteOutcome(Enum):
    """Outcome of a write of a lease or journal row; ``LOST``: no answer arrived."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    LOST = "lost"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True)
class LeaseWrite:
    """A write whose outcome is unknown; a later read of the row shows it."""

    row: LeaseRow
    sent_at: float


@dataclass
class Lease:
    """One process's view of one pool's lease; times in monotonic seconds."""

    pool: PoolName
    incarnation: Incarnation
    term_seconds: float
    margin_seconds: float
    row: LeaseRow | None = None
    revision: int = ABSENT
    epoch_revision: int = ABSENT
    _held_from: float | None = None
    _unconfirmed: LeaseWrite | None = None
    _unchanged_since: float | None = field(default=None)
    _is_current: bool = False

    def holds(self, now: float) -> Epoch | None:
        """Return the epoch held, or ``None``."""
        if self._held_from is None or self.row is None:
            return None
        if now >= self._held_from + self.term_seconds - self.margin_seconds:
            return None
        return self.row.epoch

    def next_action(self, now: float, rank: int, step_seconds: float) -> LeaseAction:
        """Return the next operation; rank 0 acquires first.

        Each further rank waits ``step_seconds`` longer.
        """
        if self._unconfirmed is not None or not self._is_current:
            return LeaseAction.READ
        if self.row is not None and self.row.holder == self.incarnation:
            return (
                LeaseAction.RENEW if self.holds(now) is not None else LeaseAction.READ
            )
        if self._is_free(now, rank * step_seconds):
            return LeaseAction.ACQUIRE
        return LeaseAction.READ

    def _is_free(self, now: float, delay_seconds: float) -> bool:
        """Return whether no process can still hold the lease."""
        if self._unchanged_since is None:
            return False
        unchanged_seconds = now - self._unchanged_since
        if self.row is None or self.row.holder == NO_HOLDER:
            return unchanged_seconds >= delay_seconds
        return (
            unchanged_seconds >= self.term_seconds + self.margin_seconds + delay_seconds
        )

    def next_row(self, action: LeaseAction) -> LeaseRow:
        """Return the row that acquires or renews the lease."""
        if action is LeaseAction.RENEW:
            return LeaseRow(self.incarnation, self.row.epoch, self.row.counter + 1)
        epoch = Epoch(self.row.epoch + 1) if self.row else Epoch(1)
        counter = self.row.counter + 1 if self.row else 1
        return LeaseRow(self.incarnation, epoch, counter)

    def release_row(self) -> LeaseRow:
        """Stop holding the lease and return the row that releases it."""
        self._held_from = None
        return LeaseRow(NO_HOLDER, self.row.epoch, self.row.counter + 1)

    def on_read(
        self, row: LeaseRow | None, revision: int, epoch_revision: int, now: float
    ) -> None:
        """Record the rows that were read; ``now`` is when the answer arrived."""
        if not self._is_current or row != self.row:
            # A changed row was renewed: the wait starts over, from this answer.
            self._unchanged_since = now
        self._is_current = True
        self.row, self.revision = row, revision
        self.epoch_revision = epoch_revision
        self._resolve_unconfirmed()
        if row is None or row.holder != self.incarnation:
            self._held_from = None

    def _resolve_unconfirmed(self) -> None:
        """Check in the row just read whether an unconfirmed write took effect."""
        unconfirmed, self._unconfirmed = self._unconfirmed, None
        is_own = self.row is not None and self.row.holder == self.incarnation
        if unconfirmed is not None and unconfirmed.row == self.row and is_own:
            self._held_from = unconfirmed.sent_at

    def on_write(
        self, row: LeaseRow, outcome: WriteOutcome, sent_at: float, acquired: bool
    ) -> None:
        """Record the outcome of a write that was sent at ``sent_at``."""
        match outcome:
            case WriteOutcome.COMMITTED:
                self.row = row
                self.revision += 1
                self.epoch_revision += acquired
                # A release is a write of this process too, but leaves no holder.
                self._held_from = sent_at if row.holder == self.incarnation else None
                self._unchanged_since = sent_at
            case WriteOutcome.LOST:
                self._unconfirmed = LeaseWrite(row, sent_at)
            case WriteOutcome.CONFLICT:
                self._is_current = False
            case WriteOutcome.UNAVAILABLE:
                pass

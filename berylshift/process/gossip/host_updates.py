"""Which hosts' records digests hold, for hosts that know them at older addresses."""

from dataclasses import dataclass, field

from berylshift.messages.load_digest import Scope
from berylshift.process.targets.speed_gossip import ORIGINS, Origin
from berylshift.store.host_rows import HostRecord

# How often digests of a scope hold the sender's own record.
OWN_SECONDS = 1.0
# A collector forwards a record in two digests of each scope, as one may be lost. What
# found no room for this long is left to the hosts' own reads of the rows.
TIMES_FORWARDED = 2
FORWARD_SECONDS = 5.0
# All hosts read the rows within this time.
READ_BY_ALL_SECONDS = 40.0
# Records that one digest forwards; with their names they take up to 80 bytes each.
MAX_FORWARDED = 8


@dataclass
class _Update:
    """A record that another host told, and the digests of each scope that held it."""

    record: HostRecord
    origin: Origin
    learned_at: float
    sent: dict[Scope, int] = field(default_factory=dict)


class HostUpdates:
    """The records that one host sends; times in seconds."""

    def __init__(self) -> None:
        """Start without records."""
        self._own: HostRecord | None = None
        self._own_sent_at: dict[Scope, float] = {}
        self._updates: dict[str, _Update] = {}

    def set_own(self, record: HostRecord) -> None:
        """Send this host's record from now on."""
        self._own = record
        self.resend_own()

    def resend_own(self) -> None:
        """Send this host's record in the next digests, as others may not know it."""
        self._own_sent_at.clear()

    def add(self, record: HostRecord, origin: Origin, now: float) -> None:
        """Forward a record that was news to this host."""
        self._updates[record.host] = _Update(record, origin, now)

    def add_read(self, record: HostRecord, now: float) -> None:
        """Forward a record of this domain that was read from the store.

        All hosts have read those that are older than the time between two reads.
        """
        own = self._own
        if own is None or own.era != record.era:
            return
        if own.joined_ms - record.joined_ms < READ_BY_ALL_SECONDS * 1000:
            self.add(record, Origin.DOMAIN, now)

    def count_to_forward(self, scope: Scope, now: float) -> int:
        """Return how many records of others the next digest of a scope holds."""
        return len(self._due(scope, now))

    def take(self, scope: Scope, now: float) -> tuple[HostRecord, ...]:
        """Return the records for the next digest, and count them as sent."""
        due = self._due(scope, now)
        for update in due:
            update.sent[scope] = update.sent.get(scope, 0) + 1
        return (*self._take_own(scope, now), *(update.record for update in due))

    def _take_own(self, scope: Scope, now: float) -> tuple[HostRecord, ...]:
        sent_at = self._own_sent_at.get(scope, float("-inf"))
        if self._own is None or now - sent_at < OWN_SECONDS:
            return ()
        self._own_sent_at[scope] = now
        return (self._own,)

    def _due(self, scope: Scope, now: float) -> list[_Update]:
        """Return the updates to send, those that were sent least often first."""
        self._updates = {
            host: update
            for host, update in self._updates.items()
            if now - update.learned_at < FORWARD_SECONDS
        }
        due = [
            update
            for update in self._updates.values()
            if update.origin in ORIGINS[scope]
            and update.sent.get(scope, 0) < TIMES_FORWARDED
        ]
        due.sort(key=lambda update: update.sent.get(scope, 0))
        return due[:MAX_FORWARDED]

"""Which updates on replicas' rate limits a host sends to the others, and how long."""

from dataclasses import dataclass

from berylshift.messages.load_digest import LimitUpdate

# A limit is sent for this long: in two aggregates of a collector, or in several digests
# of a host that sends to all others itself. Nobody repeats that a limit was lifted, so
# that is sent for longer.
SEND_SECONDS = 0.5
LIFTED_SEND_SECONDS = 2.0
# How often a limit still in force is sent again, for hosts that have since started, or
# were suspended or partitioned.
RESEND_SECONDS = 2.0
# Ages are sent in tenths of a second, and datagrams take some milliseconds: an update
# that is newer by less than this is the same one.
AGE_TOLERANCE_SECONDS = 0.3
# Updates in one digest.
MAX_UPDATES = 8


@dataclass
class _Limit:
    """The newest limit of a replica, when it was stated, and since when it is sent.

    ``is_own``: the replica stated it to this host.
    """

    requests_per_second: float | None
    stated_at: float
    sent_since: float
    is_own: bool

    def is_due(self, now: float) -> bool:
        """Return whether it is to be sent now."""
        seconds = (
            LIFTED_SEND_SECONDS if self.requests_per_second is None else SEND_SECONDS
        )
        return now - self.sent_since < seconds


class LimitGossip:
    """Limits by the short hashes of instances; times in seconds."""

    def __init__(self) -> None:
        """Start without limits."""
        self._limits: dict[int, _Limit] = {}

    def record_own(
        self, target: int, requests_per_second: float | None, now: float
    ) -> None:
        """Record what a replica stated to this host; ``None``: no limit any more."""
        self._note(target, requests_per_second, now, now, is_own=True)

    def receive(self, update: LimitUpdate, now: float) -> bool:
        """Record another host's update; return whether it is newer than the known."""
        limit, at = self._limits.get(update.target), now - update.age_seconds
        if limit is not None and at <= limit.stated_at + AGE_TOLERANCE_SECONDS:
            return False
        self._note(update.target, update.requests_per_second, at, now, is_own=False)
        return True

    def _note(
        self,
        target: int,
        requests_per_second: float | None,
        stated_at: float,
        now: float,
        is_own: bool,
    ) -> None:
        """Store a newer limit; send it if it begins or ends, or is due for a resend."""
        limit = self._limits.get(target)
        changes = limit is None or (limit.requests_per_second is None) != (
            requests_per_second is None
        )
        since = now
        if (
            limit is not None
            and not changes
            and now - limit.sent_since < RESEND_SECONDS
        ):
            since = limit.sent_since
        self._limits[target] = _Limit(requests_per_second, stated_at, since, is_own)

    def updates_to_send(self, now: float, own_only: bool) -> tuple[LimitUpdate, ...]:
        """Return the updates for the next digest, the newest first.

        ``own_only``: without what other hosts sent.
        """
        due = [
            LimitUpdate(target, limit.requests_per_second, now - limit.stated_at)
            for target, limit in self._limits.items()
            if limit.is_due(now) and (limit.is_own or not own_only)
        ]
        return tuple(sorted(due, key=lambda update: update.age_seconds)[:MAX_UPDATES])

    def forget(self, target: int) -> None:
        """Remove a replica that is gone."""
        self._limits.pop(target, None)

"""What the other hosts are told of replicas' rate limits, and for how long."""

from dataclasses import dataclass

from berylshift.messages.load_digest import LimitUpdate

# A limit is told for this long: in two sums of a collector, or in several digests of a
# host that tells all others itself. Its end is told longer: nobody repeats it.
TOLD_SECONDS = 0.5
END_TOLD_SECONDS = 2.0
# How often a limit that still holds is told again, for hosts that have started, stood
# still or were cut off since.
AGAIN_SECONDS = 2.0
# Ages are told in tenths of a second, and datagrams take some milliseconds: a word that
# is newer by less is the same.
SAME_SECONDS = 0.3
# Limits told in one digest.
MOST_TOLD = 8


@dataclass
class _Word:
    """The newest word of a replica, when it gave it, and since when it is told.

    ``is_own``: it was given to this host.
    """

    per_second: float | None
    at: float
    told_since: float
    is_own: bool

    def is_due(self, now: float) -> bool:
        """Return whether it is to be told now."""
        seconds = END_TOLD_SECONDS if self.per_second is None else TOLD_SECONDS
        return now - self.told_since < seconds


class LimitNews:
    """Words by the short hashes of instances; times in seconds."""

    def __init__(self) -> None:
        """Start knowing none."""
        self._words: dict[int, _Word] = {}

    def given(self, target: int, per_second: float | None, now: float) -> None:
        """Note a replica's word to this host; ``None``: it names no limit any more."""
        self._note(target, per_second, now, now, is_own=True)

    def heard(self, told: LimitUpdate, now: float) -> bool:
        """Return whether another host tells something newer than what is known."""
        word, at = self._words.get(told.target), now - told.age_seconds
        if word is not None and at <= word.at + SAME_SECONDS:
            return False
        self._note(told.target, told.requests_per_second, at, now, is_own=False)
        return True

    def _note(
        self,
        target: int,
        per_second: float | None,
        at: float,
        now: float,
        is_own: bool,
    ) -> None:
        """Take a newer word over; tell it if it says something else, or again."""
        word = self._words.get(target)
        changes = word is None or (word.per_second is None) != (per_second is None)
        since = now
        if word is not None and not changes and now - word.told_since < AGAIN_SECONDS:
            since = word.told_since
        self._words[target] = _Word(per_second, at, since, is_own)

    def to_tell(self, now: float, own_alone: bool) -> tuple[LimitUpdate, ...]:
        """Return what the next digest tells, the newest words first.

        ``own_alone``: without what other hosts told.
        """
        due = [
            LimitUpdate(target, word.per_second, now - word.at)
            for target, word in self._words.items()
            if word.is_due(now) and (word.is_own or not own_alone)
        ]
        return tuple(sorted(due, key=lambda told: told.age_seconds)[:MOST_TOLD])

    def forget(self, target: int) -> None:
        """Drop a replica that is gone."""
        self._words.pop(target, None)

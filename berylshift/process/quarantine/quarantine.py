"""Requests under which replicas end, kept from ending more of them.

A request that crashes whatever runs it (a query of death) comes again, at any host: its
caller retries. A host that forgets it with its try sends it to the next replica, which
ends with all that runs there. So each host keeps which replicas broke off under which
request, tells the others, and holds back a request under which two have ended.

All that ran on a replica that ended is suspect, and one of it did it. What tells them
apart: most of it never runs on two that end; what finishes anywhere crashes nothing;
and a replica that goes on answering has not ended.
"""

from collections import OrderedDict
from collections.abc import Iterable

from berylshift.ids import Fingerprint, InstanceId
from berylshift.messages.fingerprint import head_in
from berylshift.messages.load_digest import CrashReport, target_hash
from berylshift.messages.replicas import ENTRY_TTL_HEARTBEATS
from berylshift.process.quarantine.crash_ledger import CrashLedger
from berylshift.process.quarantine.crash_news import TOLD_SECONDS, CrashKey, CrashNews
from berylshift.process.quarantine.crash_record import (
    PROVEN_SECONDS,
    SUSPECT_CRASHES,
    Crash,
    CrashRecord,
)

# What finished this lately stands beside the cause: callers that ask for the same thing
# would be refused together else, at each end of a replica.
FINISHED_SECONDS = 60.0
# A replica that answers a request sent this soon after it broke off has not ended: it
# takes seconds to start again.
ALIVE_SECONDS = 1.5
# A replica has ended once it broke off under so many requests: one alone may be a
# connection that was reset.
ENDED_REQUESTS = 2
# For how many heartbeats that is believed: by then its entry has lapsed, or it is there
# again under its name.
ENDED_HEARTBEATS = 3
# Bounds on this process's memory; of more, the oldest are forgotten. Requests that are
# held back are kept apart, so that many harmless ones can't push them out.
MOST_NOTED = 4096
MOST_HELD = 1024
MOST_FINISHED = 4096


class Quarantine:
    """What this host knows; times in seconds on the monotonic clock."""

    def __init__(self, heartbeat: float, told_seconds: float = TOLD_SECONDS) -> None:
        """Start knowing nothing; replicas tell that they live each ``heartbeat``.

        News is told for ``told_seconds``.
        """
        self._lapse_seconds = ENTRY_TTL_HEARTBEATS * heartbeat
        self._ended_seconds = ENDED_HEARTBEATS * heartbeat
        self._noted: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()
        self._held: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()
        self._finished: OrderedDict[Fingerprint, float] = OrderedDict()
        self._under: dict[int, set[Fingerprint]] = {}
        self._news = CrashNews(self._held_reports, told_seconds)
        self.ledger = CrashLedger()

    def __len__(self) -> int:
        """Return how many requests two replicas or more ended under."""
        return len(self._held)

    # What this host sees

    def broke_off(self, request: Fingerprint, instance: InstanceId, now: float) -> int:
        """Note that a replica broke off while it had a request.

        Return how many replicas ended under the request by now.
        """
        if self._finished_lately(request, now):
            return 0
        target = target_hash(instance)
        self._note(request, target, now)
        self._news.crashed(request, target, now, is_near=True)
        self._have_written(request)
        return self.crashes(request)

    def finished(self, request: Fingerprint, now: float) -> None:
        """Note that a request ran to its end: it crashes nothing."""
        self._clear(request, now, is_near=True)

    def lives(self, instance: InstanceId, now: float) -> None:
        """Note that a replica took a connection after it had broken off."""
        self.answered(instance, now, None)

    def answered(
        self, instance: InstanceId, sent_at: float, listed_at: float | None
    ) -> None:
        """Note that a replica answered what was sent to it at ``sent_at``.

        ``listed_at``: as of when the store is known to list it, by this very start. An
        answer seconds after a replica broke off may be of its next start.
        """
        target = target_hash(instance)
        for request in list(self._under.get(target, ())):
            crash = self._record(request).crashes[target]
            if self._outlived(crash, sent_at, listed_at):
                crash.void = True
                self.ledger.drop((request, target))
                self._sort(request)

    def _outlived(self, crash: Crash, sent_at: float, listed_at: float | None) -> bool:
        """Return whether a replica that answered did not end when it broke off."""
        if sent_at <= crash.at:
            return False
        if sent_at <= crash.at + ALIVE_SECONDS:
            return True
        return listed_at is not None and listed_at > crash.at + self._lapse_seconds

    # What is decided

    def wait(self, request: Fingerprint, now: float, begun: bool = False) -> float:
        """Return for how many seconds a request is held back; 0: it may go out.

        One whose answer has ``begun`` is not held back while it is only suspect.
        """
        record = self._held.get(request)
        if record is None or (begun and not record.is_proven):
            return 0.0
        return max(0.0, record.held_until - now)

    @property
    def has_suspects(self) -> bool:
        """Return whether a replica broke off under any request."""
        return bool(self._under)

    def has_ended(self, instance: InstanceId, now: float) -> bool:
        """Return whether a replica is known to have ended, though it may be listed."""
        target, found = target_hash(instance), 0
        for request in self._under.get(target, ()):
            record = self._record(request)
            if record is None or not record.has_ended(target):
                continue
            found += now - record.crashes[target].at < self._ended_seconds
            if found >= ENDED_REQUESTS:
                return True
        return False

    def crashes(self, request: Fingerprint) -> int:
        """Return how many replicas ended under a request."""
        record = self._record(request)
        return 0 if record is None else record.count

    def age_of(self, key: CrashKey, now: float) -> float:
        """Return how long ago a replica ended under a request; 0 if not known."""
        request, target = key
        record = self._record(request)
        crash = None if record is None else record.crashes.get(target)
        return 0.0 if crash is None else now - crash.at

    def may_hold(self, head: int) -> bool:
        """Return whether a request is held back that begins with such a head."""
        return any(head_in(request) == head for request in self._held)

    # What hosts tell each other

    def heard(
        self,
        crashes: Iterable[CrashReport],
        finished: Iterable[Fingerprint],
        now: float,
        is_near: bool,
    ) -> None:
        """Take over what another host tells; ``is_near``: of its own domain's hosts.

        Only what is news here is told on, so that it goes round once.
        """
        for request in finished:
            self._clear(request, now, is_near)
        for report in crashes:
            self._hear(report, now, is_near)

    def _hear(self, report: CrashReport, now: float, is_near: bool) -> None:
        at = now - report.age
        outlived = report.age >= PROVEN_SECONDS
        if outlived or self._finished_lately(report.request, now):
            return
        if self._knows(report.request, report.target, at):
            return
        self._note(report.request, report.target, at)
        self._news.crashed(report.request, report.target, now, is_near)

    def _knows(self, request: Fingerprint, target: int, at: float) -> bool:
        """Return whether that a replica broke off at a time is no news.

        One that turned out to live may end later.
        """
        record = self._record(request)
        crash = None if record is None else record.crashes.get(target)
        if crash is None:
            return False
        return not crash.void or at <= crash.at + ALIVE_SECONDS

    def reports(self, now: float, near_alone: bool = False) -> tuple[CrashReport, ...]:
        """Return what the next digest tells of replicas that broke off."""
        self._forget_old(now)
        due = self._news.take_crashes(now, near_alone)
        found = [(request, target, self._record(request)) for request, target in due]
        return tuple(
            CrashReport(request, target, now - record.crashes[target].at)
            for request, target, record in found
            if record is not None and record.has_ended(target)
        )

    def reports_due(self, now: float, near_alone: bool = False) -> int:
        """Return how many reports the next digest has, at the most."""
        return self._news.crashes_due(now, near_alone)

    def has_news(self, now: float) -> bool:
        """Return whether the other hosts are to be told of anything."""
        return bool(self.reports_due(now) or self.finishes(now))

    def finishes(self, now: float, near_alone: bool = False) -> tuple[Fingerprint, ...]:
        """Return the suspects that ran to their end, for the other hosts."""
        return self._news.finishes_due(now, near_alone)

    def _held_reports(self) -> list[tuple[Fingerprint, int]]:
        """Return what hosts that missed it have to hear again, the newest first."""
        return [
            (request, target)
            for request, record in reversed(self._held.items())
            for target in record.crashes
            if record.has_ended(target)
        ]

    # Records

    def _clear(self, request: Fingerprint, now: float, is_near: bool) -> None:
        """Forget what was held against a request, and believe no older word of it.

        Hosts that have not heard yet go on telling that it is held back.
        """
        self._finished[request] = now
        self._finished.move_to_end(request)
        if len(self._finished) > MOST_FINISHED:
            self._finished.popitem(last=False)
        if self._drop(request):
            self._news.finished(request, now, is_near)

    def _record(self, request: Fingerprint) -> CrashRecord | None:
        return self._held.get(request) or self._noted.get(request)

    def _note(self, request: Fingerprint, target: int, at: float) -> None:
        record = self._record(request)
        if record is None:
            record = self._noted[request] = CrashRecord()
        record.crashes[target] = Crash(at)
        self._under.setdefault(target, set()).add(request)
        self._sort(request)
        for records, most in ((self._noted, MOST_NOTED), (self._held, MOST_HELD)):
            if len(records) > most:
                self._drop(next(iter(records)))

    def _sort(self, request: Fingerprint) -> None:
        """Keep a record among those of its kind, as the newest."""
        record = self._noted.pop(request, None) or self._held.pop(request)
        is_held = record.count >= SUSPECT_CRASHES
        (self._held if is_held else self._noted)[request] = record

    def _drop(self, request: Fingerprint) -> bool:
        """Forget a record; return whether there was one."""
        record = self._noted.pop(request, None) or self._held.pop(request, None)
        if record is None:
            return False
        for target in record.crashes:
            self.ledger.drop((request, target))
            self._under[target].discard(request)
            if not self._under[target]:
                del self._under[target]
        return True

    def _have_written(self, request: Fingerprint) -> None:
        """Keep a request that is held back in the store.

        The host that sees the replica end writes what all hosts have seen: of one end
        many hosts hear, and few see it.
        """
        record = self._held.get(request)
        if record is None:
            return
        for target in record.crashes:
            if record.has_ended(target):
                self.ledger.put((request, target))

    def _finished_lately(self, request: Fingerprint, now: float) -> bool:
        at = self._finished.get(request)
        return at is not None and now - at < FINISHED_SECONDS

    def _forget_old(self, now: float) -> None:
        """Drop records, the oldest of each kind first, that say nothing any more."""
        for records in (self._noted, self._held):
            while records:
                request, record = next(iter(records.items()))
                if now - record.last_at < PROVEN_SECONDS:
                    break
                self._drop(request)

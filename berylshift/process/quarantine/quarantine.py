"""Quarantine of requests that crash the replicas that run them.

A request that crashes any replica (a query of death) is retried by its caller, at any
host. A host that forgets it after each attempt sends it to the next replica, which
crashes along with everything that runs there. So each host records which replicas
crashed while they ran a request, shares that with the other hosts, and quarantines a
request during which two replicas have crashed.

Every request that ran on a crashed replica is suspect, and one of them is the cause.
Three observations tell them apart: most requests never run on two replicas that crash;
a request that completes anywhere crashes nothing; and a replica that keeps responding
has not crashed.
"""

from collections import OrderedDict
from collections.abc import Iterable

from berylshift.ids import Fingerprint, InstanceId
from berylshift.messages.fingerprint import head_hash_of
from berylshift.messages.load_digest import CrashReport, target_hash
from berylshift.messages.replicas import ENTRY_TTL_HEARTBEATS
from berylshift.process.quarantine.block_quarantine import BlockQuarantine
from berylshift.process.quarantine.block_record import BlockCrash
from berylshift.process.quarantine.crash_gossip import (
    GOSSIP_SECONDS,
    CrashGossip,
    CrashKey,
)
from berylshift.process.quarantine.crash_record import (
    MIN_SUSPECT_CRASHES,
    PROVEN_QUARANTINE_SECONDS,
    Crash,
    CrashRecord,
)
from berylshift.process.quarantine.crash_row_queue import CrashRowQueue

# A request that completed this recently is not the cause of a crash. Otherwise all
# callers that ask for the same resource would be refused at each replica crash.
COMPLETED_EXEMPT_SECONDS = 60.0
# A replica that responds to a request sent this soon after its connection broke has not
# crashed: a restart takes seconds.
SURVIVED_SECONDS = 1.5
# A replica counts as crashed once connections broke under this many requests. A single
# one may be a connection reset.
MIN_BROKEN_REQUESTS = 2
# For how many heartbeats a replica counts as crashed: by then its entry has expired, or
# it is up again under its name.
CRASHED_HEARTBEATS = 3
# Memory bounds; beyond them the oldest records are dropped. Quarantined requests are
# stored separately, so that many harmless ones can't evict them.
MAX_OBSERVED = 4096
MAX_QUARANTINED = 1024
MAX_COMPLETED = 4096


class Quarantine:
    """Crash records of one host; times in seconds on the monotonic clock."""

    retention_seconds = PROVEN_QUARANTINE_SECONDS

    def __init__(
        self, heartbeat_seconds: float, gossip_seconds: float = GOSSIP_SECONDS
    ) -> None:
        """Start without records; replicas send heartbeats every ``heartbeat_seconds``.

        Updates are sent to other hosts for ``gossip_seconds``.
        """
        self._entry_ttl_seconds = ENTRY_TTL_HEARTBEATS * heartbeat_seconds
        self._crashed_seconds = CRASHED_HEARTBEATS * heartbeat_seconds
        self._observed: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()
        self._quarantined: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()
        self._completed: OrderedDict[Fingerprint, float] = OrderedDict()
        self._requests_by_target: dict[int, set[Fingerprint]] = {}
        self._gossip = CrashGossip(self._quarantined_keys, gossip_seconds)
        self.row_queue = CrashRowQueue()
        self.blocks = BlockQuarantine(gossip_seconds)

    def __len__(self) -> int:
        """Return how many requests have crashed two replicas or more."""
        return len(self._quarantined)

    def count_observed(self) -> int:
        """Return how many requests have crashed a single replica."""
        return len(self._observed)

    # Events at this host

    def record_crash(
        self, request: Fingerprint, instance: InstanceId, now: float
    ) -> int:
        """Record that the connection to a replica broke while it ran a request.

        Return how many replicas have crashed during the request so far.
        """
        if self._completed_recently(request, now):
            return 0
        target = target_hash(instance)
        self._add_crash(request, target, now)
        self._gossip.add_crash(request, target, now, is_own_domain=True)
        self._queue_rows(request)
        return self.crash_count(request)

    def record_completion(self, request: Fingerprint, now: float) -> None:
        """Record that a request completed, which shows that it crashes nothing."""
        self._clear(request, now, is_own_domain=True)

    def record_reconnect(self, instance: InstanceId, now: float) -> None:
        """Record that a replica accepted a connection after another one broke."""
        self.record_response(instance, now, None)

    def record_response(
        self, instance: InstanceId, sent_at: float, listed_at: float | None
    ) -> None:
        """Record that a replica responded to a request that was sent at ``sent_at``.

        ``listed_at``: the time as of which the store is known to list this very start
        of the replica. A response seconds after a crash may come from its next start.
        """
        target = target_hash(instance)
        self.blocks.record_life(target, sent_at)
        for request in list(self._requests_by_target.get(target, ())):
            crash = self._record(request).crashes[target]
            if self._survived(crash, sent_at, listed_at):
                crash.is_retracted = True
                self.row_queue.drop((request, target))
                self._reclassify(request)
        self.blocks.retract_crash(
            target, lambda crash: self._survived(crash, sent_at, listed_at)
        )

    def _survived(
        self, crash: Crash | BlockCrash, sent_at: float, listed_at: float | None
    ) -> bool:
        """Return whether a response shows that the replica did not crash."""
        if sent_at <= crash.at:
            return False
        if sent_at <= crash.at + SURVIVED_SECONDS:
            return True
        return listed_at is not None and listed_at > crash.at + self._entry_ttl_seconds

    # Queries

    def remaining_seconds(
        self, request: Fingerprint, now: float, response_started: bool = False
    ) -> float:
        """Return how long a request stays quarantined; 0: it may be sent.

        A request whose response has started is let through while it is only suspect.
        """
        record = self._quarantined.get(request)
        if record is None or (response_started and not record.is_proven):
            return 0.0
        return max(0.0, record.quarantined_until - now)

    @property
    def has_suspects(self) -> bool:
        """Return whether a crash is recorded for any request or prompt block."""
        return bool(self._requests_by_target) or self.blocks.has_suspects

    def has_crashed(self, instance: InstanceId, now: float) -> bool:
        """Return whether a replica is known to have crashed, even if still listed."""
        target, broken_requests = target_hash(instance), 0
        for request in self._requests_by_target.get(target, ()):
            record = self._record(request)
            if record is None or not record.has_crashed(target):
                continue
            broken_requests += now - record.crashes[target].at < self._crashed_seconds
            if broken_requests >= MIN_BROKEN_REQUESTS:
                return True
        return False

    def crash_count(self, request: Fingerprint) -> int:
        """Return how many replicas have crashed during a request."""
        record = self._record(request)
        return 0 if record is None else record.crash_count

    def crash_age_seconds(self, key: CrashKey, now: float) -> float:
        """Return the seconds since a replica crashed during a request; 0: unknown."""
        request, target = key
        record = self._record(request)
        crash = None if record is None else record.crashes.get(target)
        return 0.0 if crash is None else now - crash.at

    def may_be_quarantined(self, head: int) -> bool:
        """Return whether any quarantined request has this hash of its head."""
        return any(head_hash_of(request) == head for request in self._quarantined)

    # Exchange with other hosts

    def merge(
        self,
        crashes: Iterable[CrashReport],
        completed: Iterable[Fingerprint],
        now: float,
        is_own_domain: bool,
    ) -> None:
        """Merge what another host has sent.

        ``is_own_domain``: it comes from a host of this failure domain. Only what is new
        here is passed on, so that each update makes a single round.
        """
        for request in completed:
            self._clear(request, now, is_own_domain)
        for report in crashes:
            self._merge_report(report, now, is_own_domain)

    def restore(self, reports: Iterable[CrashReport], now: float) -> None:
        """Merge the crashes of earlier processes, which the store kept."""
        self.merge(reports, (), now, is_own_domain=False)

    def _merge_report(
        self, report: CrashReport, now: float, is_own_domain: bool
    ) -> None:
        at = now - report.age_seconds
        is_expired = report.age_seconds >= PROVEN_QUARANTINE_SECONDS
        if is_expired or self._completed_recently(report.request, now):
            return
        if self._is_known(report.request, report.target, at):
            return
        self._add_crash(report.request, report.target, at)
        self._gossip.add_crash(report.request, report.target, now, is_own_domain)

    def _is_known(self, request: Fingerprint, target: int, at: float) -> bool:
        """Return whether a crash at a given time is already recorded.

        A replica whose crash was retracted may crash later.
        """
        record = self._record(request)
        crash = None if record is None else record.crashes.get(target)
        if crash is None:
            return False
        return not crash.is_retracted or at <= crash.at + SURVIVED_SECONDS

    def take_reports(
        self, now: float, own_domain_only: bool = False
    ) -> tuple[CrashReport, ...]:
        """Return the crash reports for the next digest."""
        self._expire(now)
        keys = self._gossip.take_crashes(now, own_domain_only)
        records = [(request, target, self._record(request)) for request, target in keys]
        return tuple(
            CrashReport(request, target, now - record.crashes[target].at)
            for request, target, record in records
            if record is not None and record.has_crashed(target)
        )

    def count_pending_reports(self, now: float, own_domain_only: bool = False) -> int:
        """Return the maximum number of crash reports in the next digest."""
        return self._gossip.count_pending_crashes(now, own_domain_only)

    def has_updates(self, now: float) -> bool:
        """Return whether there is anything to send to the other hosts."""
        return bool(
            self.count_pending_reports(now)
            or self.pending_completions(now)
            or self.blocks.count_pending_reports(now)
        )

    def pending_completions(
        self, now: float, own_domain_only: bool = False
    ) -> tuple[Fingerprint, ...]:
        """Return the suspect requests that completed, for the other hosts."""
        return self._gossip.pending_completions(now, own_domain_only)

    def _quarantined_keys(self) -> list[tuple[Fingerprint, int]]:
        """Return the crashes to resend to hosts that missed them, the newest first."""
        return [
            (request, target)
            for request, record in reversed(self._quarantined.items())
            for target in record.crashes
            if record.has_crashed(target)
        ]

    # Records

    def _clear(self, request: Fingerprint, now: float, is_own_domain: bool) -> None:
        """Remove the record of a completed request and reject older reports of it.

        Hosts that haven't received the completion keep sending that it is quarantined.
        """
        self._completed[request] = now
        self._completed.move_to_end(request)
        if len(self._completed) > MAX_COMPLETED:
            self._completed.popitem(last=False)
        if self._remove(request):
            self._gossip.add_completion(request, now, is_own_domain)

    def _record(self, request: Fingerprint) -> CrashRecord | None:
        return self._quarantined.get(request) or self._observed.get(request)

    def _add_crash(self, request: Fingerprint, target: int, at: float) -> None:
        record = self._record(request)
        if record is None:
            record = self._observed[request] = CrashRecord()
        record.crashes[target] = Crash(at)
        self._requests_by_target.setdefault(target, set()).add(request)
        self._reclassify(request)
        for records, max_records in (
            (self._observed, MAX_OBSERVED),
            (self._quarantined, MAX_QUARANTINED),
        ):
            if len(records) > max_records:
                self._remove(next(iter(records)))

    def _reclassify(self, request: Fingerprint) -> None:
        """Move a record to the observed or the quarantined ones, as the newest."""
        record = self._observed.pop(request, None) or self._quarantined.pop(request)
        is_quarantined = record.crash_count >= MIN_SUSPECT_CRASHES
        (self._quarantined if is_quarantined else self._observed)[request] = record

    def _remove(self, request: Fingerprint) -> bool:
        """Remove a record; return whether there was one."""
        record = self._observed.pop(request, None) or self._quarantined.pop(
            request, None
        )
        if record is None:
            return False
        for target in record.crashes:
            self.row_queue.drop((request, target))
            self._requests_by_target[target].discard(request)
            if not self._requests_by_target[target]:
                del self._requests_by_target[target]
        return True

    def _queue_rows(self, request: Fingerprint) -> None:
        """Queue the rows of a quarantined request for the store.

        The host that observes a crash writes the crashes that all hosts observed: many
        hosts receive the report of a crash, but few observe it themselves.
        """
        record = self._quarantined.get(request)
        if record is None:
            return
        for target in record.crashes:
            if record.has_crashed(target):
                self.row_queue.put((request, target))

    def _completed_recently(self, request: Fingerprint, now: float) -> bool:
        at = self._completed.get(request)
        return at is not None and now - at < COMPLETED_EXEMPT_SECONDS

    def _expire(self, now: float) -> None:
        """Remove records that have expired, the oldest of each kind first."""
        for records in (self._observed, self._quarantined):
            while records:
                request, record = next(iter(records.items()))
                if now - record.last_crash_at < PROVEN_QUARANTINE_SECONDS:
                    break
                self._remove(request)

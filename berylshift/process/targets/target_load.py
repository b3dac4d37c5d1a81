"""What this process sent to each replica, and what the replica last reported."""

from collections.abc import Callable
from dataclasses import dataclass, field

from berylshift.ids import InstanceId
from berylshift.messages.load_digest import LoadEntry, Urgency, target_hash
from berylshift.messages.routed import ReportedLoad

# A report loses weight with its age; at this age it has none.
REPORT_TTL_SECONDS = 1.5
# A replica that failed for seconds is tried again within seconds, and a single bad
# response has little effect.
FAILURE_HALF_LIFE_SECONDS = 2.0
MIN_FAILURE = 0.1
SEVERE_FAILURE = 1.0
MILD_FAILURE = 0.5
# Refusals in a row that count; more say nothing new.
MAX_REFUSALS = 5


@dataclass
class TargetLoad:
    """One replica, seen from this process."""

    in_flight: int = 0
    prefill_tokens: list[int] = field(default_factory=lambda: [0, 0, 0])
    report: ReportedLoad | None = None
    report_at: float = 0.0
    sent_since_report: int = 0
    failure: float = 0.0
    failure_at: float = 0.0
    refusals: int = 0
    refused_at: float = 0.0

    def failures(self, now: float) -> float:
        """Return the weight of recent failures; 1.0 is one severe failure just now."""
        if not self.failure:
            return 0.0
        age = now - self.failure_at
        return self.failure * 0.5 ** (age / FAILURE_HALF_LIFE_SECONDS)

    def refusals_in_a_row(self, now: float) -> float:
        """Return the refusals since the last success, weighted by their age."""
        if not self.refusals:
            return 0.0
        age = now - self.refused_at
        return self.refusals * 0.5 ** (age / FAILURE_HALF_LIFE_SECONDS)

    def report_weight(self, now: float) -> float:
        """Return the weight of the last report, from 1 when new down to 0."""
        if self.report is None:
            return 0.0
        return max(0.0, 1.0 - (now - self.report_at) / REPORT_TTL_SECONDS)

    def waiting(self, now: float) -> float:
        """Return the queued requests of the last report, weighted by its age."""
        if self.report is None:
            return 0.0
        return self.report.waiting * self.report_weight(now)

    def is_full(self, now: float) -> bool:
        """Return whether a recent report shows that requests wait there."""
        if self.report is None or now - self.report_at >= REPORT_TTL_SECONDS:
            return False
        return self.report.waiting > 0 or self.report.running >= self.report.slots

    def running(self, now: float) -> float:
        """Return the requests that run there, at least those of this process."""
        if self.report is None:
            return float(self.in_flight)
        reported = self.report.running * self.report_weight(now)
        return max(float(self.in_flight), reported + self.sent_since_report)


class TargetLoads:
    """The load of all replicas."""

    def __init__(self, on_work: Callable[[], None] = lambda: None) -> None:
        """Start empty; call ``on_work`` with each request sent."""
        self._loads: dict[InstanceId, TargetLoad] = {}
        self._on_work = on_work

    def of(self, instance: InstanceId) -> TargetLoad:
        """Return a replica's load, an empty one at first."""
        load = self._loads.get(instance)
        if load is None:
            load = self._loads[instance] = TargetLoad()
        return load

    def record_sent(self, instance: InstanceId, tokens: int, urgency: Urgency) -> None:
        """Record a request sent, with ``tokens`` that still need prefill."""
        load = self.of(instance)
        load.in_flight += 1
        load.sent_since_report += 1
        load.prefill_tokens[urgency] += tokens
        self._on_work()

    def record_prefilled(
        self, instance: InstanceId, tokens: int, urgency: Urgency
    ) -> None:
        """Record that the prefill of a prompt's ``tokens`` is done."""
        self.of(instance).prefill_tokens[urgency] -= tokens

    def entries(self, now: float) -> tuple[LoadEntry, ...]:
        """Return this process's open requests, for the other hosts."""
        return tuple(
            LoadEntry(
                target_hash(instance),
                load.in_flight,
                (
                    load.prefill_tokens[0],
                    load.prefill_tokens[1],
                    load.prefill_tokens[2],
                ),
                _rounded(load.failures(now)),
            )
            for instance, load in self._loads.items()
            if load.in_flight or load.failures(now) > MIN_FAILURE
        )

    def record_ended(self, instance: InstanceId) -> None:
        """Record that a request there has ended."""
        self.of(instance).in_flight -= 1

    def record_report(
        self, instance: InstanceId, report: ReportedLoad, now: float
    ) -> None:
        """Store the load that a replica reported."""
        load = self.of(instance)
        load.report = report
        load.report_at = now
        load.sent_since_report = 0

    def record_failure(self, instance: InstanceId, weight: float, now: float) -> None:
        """Record a failure that is the replica's fault."""
        load = self.of(instance)
        load.failure = load.failures(now) + weight
        load.failure_at = now

    def record_success(self, instance: InstanceId, now: float) -> None:
        """Record a good response, which halves the weight of earlier failures."""
        load = self.of(instance)
        load.failure = load.failures(now) / 2
        load.failure_at = now
        load.refusals = 0

    def clear_failures(self, instance: InstanceId) -> None:
        """Drop failures that were not the replica's fault."""
        self.of(instance).failure = 0.0

    def record_refusal(self, instance: InstanceId, now: float) -> None:
        """Record that a replica refused a request without running it."""
        load = self.of(instance)
        load.refusals = min(MAX_REFUSALS, load.refusals + 1)
        load.refused_at = now

    def forget(self, instance: InstanceId) -> None:
        """Remove a replica that is gone, unless it has requests in flight.

        Each start of a replica has its own instance name; without removal those of a
        year would fill the memory.
        """
        load = self._loads.get(instance)
        if load is not None and not load.in_flight:
            del self._loads[instance]

    def __len__(self) -> int:
        """Return how many replicas are tracked."""
        return len(self._loads)


def _rounded(failures: float) -> float:
    """Return failures rounded to eighths: finer steps would change each digest."""
    return round(failures * 8) / 8

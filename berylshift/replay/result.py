"""Counts of a replay, and their check against the expected outcome."""

from collections import Counter
from enum import Enum

import msgspec
from ddsketch import DDSketch

from berylshift.replay.trace import Expect

FIRST_TOKEN_QUANTILE = 0.95
MAX_DETAILS = 50


class CallerOutcome(Enum):
    """Outcome of one request as its caller sees it."""

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    LOST = "lost"
    CUT = "cut"


class RequestResult(msgspec.Struct, frozen=True):
    """Outcome of one request; times in seconds from its start."""

    outcome: CallerOutcome
    duration_seconds: float
    in_time: bool
    first_token_seconds: float | None = None
    detail: str = ""


class ReplayResult(msgspec.Struct, frozen=True):
    """Result of one trace; goodput is the fraction of requests completed in time."""

    trace: str
    requests: int
    complete: int
    not_run: int
    unknown: int
    lost: int
    doubled: int
    cut: int
    late: int
    goodput: float
    first_token_p95: float
    role_changes: int
    unmet: list[str] = []
    # Why requests did not complete, the first MAX_DETAILS of them.
    details: list[str] = []


class ResultCounter:
    """Aggregates the results of a replay's requests."""

    def __init__(self) -> None:
        """Start empty."""
        self.outcomes: Counter[CallerOutcome] = Counter()
        self.in_time = 0
        self.first_tokens = DDSketch(0.01)
        self.details: list[str] = []

    def add(self, result: RequestResult) -> None:
        """Count one request."""
        self.outcomes[result.outcome] += 1
        self.in_time += result.in_time and result.outcome is CallerOutcome.COMPLETE
        if result.first_token_seconds is not None:
            self.first_tokens.add(result.first_token_seconds)
        if result.outcome is CallerOutcome.COMPLETE:
            return
        if len(self.details) < MAX_DETAILS:
            self.details.append(f"{result.outcome.value}: {result.detail}")

    def result(
        self,
        trace: str,
        expect: Expect,
        doubled: int,
        wrong_outcomes: int,
        role_changes: int,
    ) -> ReplayResult:
        """Return the result; the three counts are read from the targets."""
        total = sum(self.outcomes.values())
        p95 = self.first_tokens.get_quantile_value(FIRST_TOKEN_QUANTILE)
        result = ReplayResult(
            trace=trace,
            requests=total,
            complete=self.outcomes[CallerOutcome.COMPLETE],
            not_run=self.outcomes[CallerOutcome.NOT_RUN],
            unknown=self.outcomes[CallerOutcome.UNKNOWN],
            lost=self.outcomes[CallerOutcome.LOST] + wrong_outcomes,
            doubled=doubled,
            cut=self.outcomes[CallerOutcome.CUT],
            late=self.outcomes[CallerOutcome.COMPLETE] - self.in_time,
            goodput=round(self.in_time / total, 4) if total else 0.0,
            first_token_p95=round(p95 or 0.0, 3),
            role_changes=role_changes,
            details=self.details,
        )
        return msgspec.structs.replace(result, unmet=_unmet(result, expect))


def _unmet(result: ReplayResult, expect: Expect) -> list[str]:
    unmet = []
    for name in ("lost", "doubled", "cut"):
        expected = getattr(expect, name)
        if expected is not None and getattr(result, name) != expected:
            unmet.append(f"{name} is {getattr(result, name)}, expected {expected}")
    if expect.goodput_min is not None and result.goodput < expect.goodput_min:
        unmet.append(f"goodput is {result.goodput}, expected {expect.goodput_min}")
    max_changes = expect.role_changes_max
    if max_changes is not None and result.role_changes > max_changes:
        unmet.append(f"role changes are {result.role_changes}, expected {max_changes}")
    return unmet

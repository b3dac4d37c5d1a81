"""What a replay counts, and the check against the stated outcome."""

from collections import Counter
from enum import Enum

import msgspec
from ddsketch import DDSketch

from berylshift.replay.trace import Expect

QUANTILE = 0.95


class Fate(Enum):
    """What became of one request, as its caller sees it."""

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    LOST = "lost"
    CUT = "cut"


class RequestResult(msgspec.Struct, frozen=True):
    """One request's end; times in seconds from its start."""

    fate: Fate
    took: float
    in_time: bool
    first_token: float | None = None
    detail: str = ""


class ReplayResult(msgspec.Struct, frozen=True):
    """One trace's result; goodput is the share of requests done in time."""

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


class Tally:
    """Adds up the results of a replay."""

    def __init__(self) -> None:
        """Start empty."""
        self.fates: Counter[Fate] = Counter()
        self.in_time = 0
        self.first_tokens = DDSketch(0.01)
        self.details: list[str] = []

    def add(self, result: RequestResult) -> None:
        """Count one request."""
        self.fates[result.fate] += 1
        self.in_time += result.in_time and result.fate is Fate.COMPLETE
        if result.first_token is not None:
            self.first_tokens.add(result.first_token)
        if result.fate in (Fate.LOST, Fate.CUT):
            self.details.append(result.detail)

    def result(
        self, trace: str, expect: Expect, doubled: int, lost: int, role_changes: int
    ) -> ReplayResult:
        """Return the result; two counts come from the services themselves."""
        total = sum(self.fates.values())
        p95 = self.first_tokens.get_quantile_value(QUANTILE)
        result = ReplayResult(
            trace=trace,
            requests=total,
            complete=self.fates[Fate.COMPLETE],
            not_run=self.fates[Fate.NOT_RUN],
            unknown=self.fates[Fate.UNKNOWN],
            lost=self.fates[Fate.LOST] + lost,
            doubled=doubled,
            cut=self.fates[Fate.CUT],
            late=self.fates[Fate.COMPLETE] - self.in_time,
            goodput=round(self.in_time / total, 4) if total else 0.0,
            first_token_p95=round(p95 or 0.0, 3),
            role_changes=role_changes,
        )
        return msgspec.structs.replace(result, unmet=_unmet(result, expect))


def _unmet(result: ReplayResult, expect: Expect) -> list[str]:
    found = []
    for name in ("lost", "doubled", "cut"):
        wanted = getattr(expect, name)
        if wanted is not None and getattr(result, name) != wanted:
            found.append(f"{name} is {getattr(result, name)}, expected {wanted}")
    if expect.goodput_min is not None and result.goodput < expect.goodput_min:
        found.append(f"goodput is {result.goodput}, expected {expect.goodput_min}")
    most = expect.role_changes_max
    if most is not None and result.role_changes > most:
        found.append(f"role changes are {result.role_changes}, expected {most}")
    return found

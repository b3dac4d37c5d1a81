"""Summarizes the log lines of many requests: outcomes, latencies, attempts, seconds."""

import re
import statistics
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from datetime import datetime

import msgspec

from berylshift.tools.log_reader import LogLine

ENDED = "request ended"
REFUSED = "turned away"
ANSWERED = "answered"
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
NUMBER_PATTERN = re.compile(r"\d+(\.\d+)?")
PREFILL = "read"
MS_SUFFIX = "ms"
UPPER_QUANTILE = 0.95


class LoggedAttempt(msgspec.Struct, frozen=True):
    """One attempt from a request's log line; sizes are in tokens.

    ``ended_ms`` counts from the request's arrival.
    """

    instance: str
    is_prefill: bool
    reason: str
    outcome: str
    predicted_ms: float
    tokens: int
    recomputed_tokens: int
    slo_status: str
    ended_ms: float


class LoggedRequest(msgspec.Struct, frozen=True):
    """One request that has ended."""

    second: int
    route: str
    outcome: str
    detail: str
    total_ms: float
    first_ms: float | None
    attempts: tuple[LoggedAttempt, ...]

    @property
    def wait_ms(self) -> float:
        """Return the time to a stream's first event, or to the whole response."""
        return self.total_ms if self.first_ms is None else self.first_ms


class SummaryTable(msgspec.Struct, frozen=True):
    """A titled table of text cells."""

    title: str
    columns: list[str]
    rows: list[list[str]]


def read_requests(lines: Iterable[LogLine]) -> list[LoggedRequest]:
    """Return the requests that ended; lines without a valid time are skipped."""
    found = []
    first: datetime | None = None
    for line in lines:
        if line.message not in (ENDED, REFUSED):
            continue
        try:
            at = datetime.strptime(line.time, TIME_FORMAT)
        except ValueError:
            continue
        first = min(first, at) if first else at
        found.append((at, line))
    return [
        _parse_request(int((at - first).total_seconds()), line) for at, line in found
    ]


def _parse_request(second: int, line: LogLine) -> LoggedRequest:
    values = line.values
    refused = line.message == REFUSED
    return LoggedRequest(
        second=second,
        route=str(values.get("route", "-")),
        outcome=line.message if refused else str(values.get("outcome")),
        detail=_detail(values, "reason" if refused else "detail"),
        total_ms=float(values.get("ms") or 0.0),
        first_ms=values.get("first_ms"),
        attempts=tuple(_parse_attempts(values.get("sends", ()))),
    )


def _detail(values: Mapping[str, object], key: str) -> str:
    """Return why a request ended, with the source of the timeout if one ended it."""
    detail, source = str(values.get(key, "")), values.get("bound")
    return f"{detail} ({source})" if source else detail


def _parse_attempts(texts: Iterable[str]) -> Iterable[LoggedAttempt]:
    """Yield the attempts; entries of another form (an exhausted budget) are skipped."""
    for text in texts:
        words = text.split()
        values = dict(word.split("=", 1) for word in words if "=" in word)
        plain = [word for word in words if "=" not in word]
        if "predicted" not in values or not plain[-1].endswith(MS_SUFFIX):
            continue
        is_prefill = plain[1] == PREFILL
        start = 2 if is_prefill else 1
        yield LoggedAttempt(
            instance=plain[0],
            is_prefill=is_prefill,
            reason=plain[start],
            outcome=" ".join(plain[start + 1 : -1]),
            predicted_ms=_parse_ms(values["predicted"]),
            tokens=int(values.get("tokens", 0)),
            recomputed_tokens=int(values.get("again", 0)),
            slo_status=values.get("standing", "-"),
            ended_ms=_parse_ms(plain[-1]),
        )


def _parse_ms(text: str) -> float:
    return float(text.removesuffix(MS_SUFFIX))


def summarize(requests: list[LoggedRequest]) -> list[SummaryTable]:
    """Return tables of outcomes, refusals, attempts, prefills and seconds."""
    return [
        _outcomes(requests),
        _failures(requests),
        _attempt_table(requests),
        _prefills(requests),
        _seconds(requests),
    ]


def _outcomes(requests: list[LoggedRequest]) -> SummaryTable:
    rows = []
    for route, group in _group_by(requests, lambda req: req.route):
        counts = Counter(req.outcome for req in group)
        waits = [req.wait_ms for req in group if req.outcome == ANSWERED]
        outcomes = ", ".join(f"{name} {count}" for name, count in counts.most_common())
        rows.append([route, str(len(group)), outcomes, *_quantiles(waits)])
    columns = ["route", "requests", "outcomes", "wait p50 ms", "p95", "most"]
    return SummaryTable("Outcomes and waits by route", columns, rows)


def _failures(requests: list[LoggedRequest]) -> SummaryTable:
    counts = Counter(
        (req.route, req.outcome, NUMBER_PATTERN.sub("N", req.detail))
        for req in requests
        if req.outcome != ANSWERED
    )
    rows = [[*key, str(count)] for key, count in counts.most_common()]
    columns = ["route", "outcome", "why", "requests"]
    return SummaryTable("Not answered, by reason", columns, rows)


def _attempt_table(requests: list[LoggedRequest]) -> SummaryTable:
    attempts = [(req.route, attempt) for req in requests for attempt in req.attempts]
    counts = Counter(
        (
            route,
            PREFILL if attempt.is_prefill else "answer",
            attempt.reason,
            attempt.slo_status,
            attempt.outcome,
        )
        for route, attempt in attempts
    )
    rows = [[*key, str(count)] for key, count in counts.most_common()]
    columns = ["route", "to", "there because", "standing", "ended", "sends"]
    return SummaryTable("Sends", columns, rows)


def _prefills(requests: list[LoggedRequest]) -> SummaryTable:
    """Return prefilled tokens, and the predicted to actual time of first prefills."""
    rows = []
    for route, group in _group_by(requests, lambda req: req.route):
        prefills = [
            attempt for req in group for attempt in req.attempts if attempt.is_prefill
        ]
        firsts = [
            req.attempts[0]
            for req in group
            if req.attempts and req.attempts[0].is_prefill
        ]
        if not prefills:
            continue
        ratios = [
            attempt.predicted_ms / max(1.0, attempt.ended_ms) for attempt in firsts
        ]
        recomputed = sum(attempt.recomputed_tokens for attempt in prefills)
        tokens = sum(attempt.tokens for attempt in prefills)
        row = [route, str(len(prefills)), str(tokens), str(recomputed)]
        rows.append([*row, *_quantiles(ratios, digits=2)])
    columns = ["route", "readings", "tokens", "of shared parts anew"]
    columns += ["predicted/real p50", "p95", "most"]
    return SummaryTable("Prompts read apart", columns, rows)


def _seconds(requests: list[LoggedRequest]) -> SummaryTable:
    rows = []
    for second, group in _group_by(requests, lambda req: req.second):
        answered = [req for req in group if req.outcome == ANSWERED]
        late = sum(
            any(attempt.slo_status == "late" for attempt in req.attempts)
            for req in group
        )
        waits = _quantiles([req.wait_ms for req in answered])
        counts = [str(len(group)), str(len(answered)), str(late)]
        rows.append([str(second), *counts, *waits])
    columns = ["second", "requests", "answered", "late", "wait p50 ms", "p95", "most"]
    return SummaryTable("By second of the first line", columns, rows)


def _group_by(
    requests: list[LoggedRequest], key: Callable[[LoggedRequest], str | int]
) -> list[tuple[str | int, list[LoggedRequest]]]:
    groups: dict[str | int, list[LoggedRequest]] = defaultdict(list)
    for req in requests:
        groups[key(req)].append(req)
    return sorted(groups.items())


def _quantiles(values: list[float], digits: int = 0) -> list[str]:
    """Return the median, the 95% quantile and the maximum, as text."""
    if not values:
        return ["-", "-", "-"]
    ordered = sorted(values)
    upper = ordered[int(UPPER_QUANTILE * (len(ordered) - 1))]
    quantiles = (statistics.median(ordered), upper, ordered[-1])
    return [f"{value:.{digits}f}" for value in quantiles]

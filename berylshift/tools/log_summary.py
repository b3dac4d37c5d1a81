"""Sums up the log lines of many requests: outcomes, waits, sends, seconds."""

import re
import statistics
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Mapping
from datetime import datetime

import msgspec

from berylshift.tools.log_reader import LogLine

ENDED = "request ended"
TURNED_AWAY = "turned away"
ANSWERED = "answered"
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
NUMBER = re.compile(r"\d+(\.\d+)?")
READ = "read"
MS = "ms"
HIGH = 0.95


class LoggedSend(msgspec.Struct, frozen=True):
    """One send as a request's line tells it; times in milliseconds, sizes in tokens.

    ``ended`` counts from the request's arrival.
    """

    instance: str
    reads: bool
    reason: str
    end: str
    predicted: float
    tokens: int
    again: int
    standing: str
    ended: float


class LoggedRequest(msgspec.Struct, frozen=True):
    """One request that has ended; times in milliseconds."""

    second: int
    route: str
    outcome: str
    detail: str
    ms: float
    first_ms: float | None
    sends: tuple[LoggedSend, ...]

    @property
    def wait(self) -> float:
        """Return the time to a stream's first event, or to the whole answer."""
        return self.ms if self.first_ms is None else self.first_ms


class SummaryTable(msgspec.Struct, frozen=True):
    """One table: a title, the names of its columns, its rows."""

    title: str
    columns: list[str]
    rows: list[list[str]]


def read_requests(lines: Iterable[LogLine]) -> list[LoggedRequest]:
    """Return the requests that ended; lines without a time are passed over."""
    found = []
    first: datetime | None = None
    for line in lines:
        if line.message not in (ENDED, TURNED_AWAY):
            continue
        try:
            at = datetime.strptime(line.time, TIME_FORMAT)
        except ValueError:
            continue
        first = min(first, at) if first else at
        found.append((at, line))
    return [_request(int((at - first).total_seconds()), line) for at, line in found]


def _request(second: int, line: LogLine) -> LoggedRequest:
    values = line.values
    refused = line.message == TURNED_AWAY
    return LoggedRequest(
        second=second,
        route=str(values.get("route", "-")),
        outcome=line.message if refused else str(values.get("outcome")),
        detail=_why(values, "reason" if refused else "detail"),
        ms=float(values.get("ms") or 0.0),
        first_ms=values.get("first_ms"),
        sends=tuple(_sends(values.get("sends", ()))),
    )


def _why(values: Mapping[str, object], key: str) -> str:
    """Return why a request ended, and whose time was up where that ended it."""
    detail, bound = str(values.get(key, "")), values.get("bound")
    return f"{detail} ({bound})" if bound else detail


def _sends(texts: Iterable[str]) -> Iterable[LoggedSend]:
    """Yield the sends; a text of another form (a spent budget) is none."""
    for text in texts:
        words = text.split()
        values = dict(word.split("=", 1) for word in words if "=" in word)
        plain = [word for word in words if "=" not in word]
        if "predicted" not in values or not plain[-1].endswith(MS):
            continue
        reads = plain[1] == READ
        start = 2 if reads else 1
        yield LoggedSend(
            instance=plain[0],
            reads=reads,
            reason=plain[start],
            end=" ".join(plain[start + 1 : -1]),
            predicted=_milliseconds(values["predicted"]),
            tokens=int(values.get("tokens", 0)),
            again=int(values.get("again", 0)),
            standing=values.get("standing", "-"),
            ended=_milliseconds(plain[-1]),
        )


def _milliseconds(text: str) -> float:
    return float(text.removesuffix(MS))


def summarize(requests: list[LoggedRequest]) -> list[SummaryTable]:
    """Return the tables that say where requests went wrong."""
    return [
        _outcomes(requests),
        _refusals(requests),
        _send_table(requests),
        _readings(requests),
        _seconds(requests),
    ]


def _outcomes(requests: list[LoggedRequest]) -> SummaryTable:
    rows = []
    for route, group in _by(requests, lambda req: req.route):
        counts = Counter(req.outcome for req in group)
        waits = [req.wait for req in group if req.outcome == ANSWERED]
        named = ", ".join(f"{name} {count}" for name, count in counts.most_common())
        rows.append([route, str(len(group)), named, *_quantiles(waits)])
    columns = ["route", "requests", "outcomes", "wait p50 ms", "p95", "most"]
    return SummaryTable("Outcomes and waits by route", columns, rows)


def _refusals(requests: list[LoggedRequest]) -> SummaryTable:
    counts = Counter(
        (req.route, req.outcome, NUMBER.sub("N", req.detail))
        for req in requests
        if req.outcome != ANSWERED
    )
    rows = [[*key, str(count)] for key, count in counts.most_common()]
    columns = ["route", "outcome", "why", "requests"]
    return SummaryTable("Not answered, by reason", columns, rows)


def _send_table(requests: list[LoggedRequest]) -> SummaryTable:
    sends = [(req.route, send) for req in requests for send in req.sends]
    counts = Counter(
        (route, READ if send.reads else "answer", send.reason, send.standing, send.end)
        for route, send in sends
    )
    rows = [[*key, str(count)] for key, count in counts.most_common()]
    columns = ["route", "to", "there because", "standing", "ended", "sends"]
    return SummaryTable("Sends", columns, rows)


def _readings(requests: list[LoggedRequest]) -> SummaryTable:
    """Return tokens read, and how predicted and real times of first reads compare."""
    rows = []
    for route, group in _by(requests, lambda req: req.route):
        reads = [send for req in group for send in req.sends if send.reads]
        firsts = [req.sends[0] for req in group if req.sends and req.sends[0].reads]
        if not reads:
            continue
        ratios = [send.predicted / max(1.0, send.ended) for send in firsts]
        again = sum(send.again for send in reads)
        tokens = sum(send.tokens for send in reads)
        row = [route, str(len(reads)), str(tokens), str(again)]
        rows.append([*row, *_quantiles(ratios, digits=2)])
    columns = ["route", "readings", "tokens", "of shared parts anew"]
    columns += ["predicted/real p50", "p95", "most"]
    return SummaryTable("Prompts read apart", columns, rows)


def _seconds(requests: list[LoggedRequest]) -> SummaryTable:
    rows = []
    for second, group in _by(requests, lambda req: req.second):
        answered = [req for req in group if req.outcome == ANSWERED]
        late = sum(any(s.standing == "late" for s in req.sends) for req in group)
        waits = _quantiles([req.wait for req in answered])
        counts = [str(len(group)), str(len(answered)), str(late)]
        rows.append([str(second), *counts, *waits])
    columns = ["second", "requests", "answered", "late", "wait p50 ms", "p95", "most"]
    return SummaryTable("By second of the first line", columns, rows)


def _by(
    requests: list[LoggedRequest], key: Callable[[LoggedRequest], str | int]
) -> list[tuple[str | int, list[LoggedRequest]]]:
    groups: dict[str | int, list[LoggedRequest]] = defaultdict(list)
    for req in requests:
        groups[key(req)].append(req)
    return sorted(groups.items())


def _quantiles(values: list[float], digits: int = 0) -> list[str]:
    """Return the median, the 95% quantile and the largest value, as text."""
    if not values:
        return ["-", "-", "-"]
    ordered = sorted(values)
    high = ordered[int(HIGH * (len(ordered) - 1))]
    found = (statistics.median(ordered), high, ordered[-1])
    return [f"{value:.{digits}f}" for value in found]

"""Parses hosts' logs and selects the lines that explain one request."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field

# Keys that the formatted line already shows or that every line repeats.
OMITTED_KEYS = frozenset({"asctime", "levelname", "name", "message", "host", "request"})
# Messages that report a change of a host's state; the latest one of each before a line
# describes the state at that time.
STATE_MESSAGES = (
    "routes in force",
    "replicas changed",
    "replicas gone",
    "store lost",
    "store regained",
    "settings reloaded",
    "engine ordered",
    "replicas ordered",
    "started",
    "leaving",
)


@dataclass(frozen=True)
class LogLine:
    """One log line; ``time`` is the wall-clock time as the host wrote it."""

    time: str
    host: str
    message: str
    values: dict = field(default_factory=dict)

    def format(self) -> str:
        """Return the line in a human-readable form."""
        values = " ".join(
            f"{key}={value}"
            for key, value in self.values.items()
            if key not in OMITTED_KEYS
        )
        return f"{self.time[-12:]}  {self.host}  {self.message}: {values}"


def read_lines(lines: Iterable[str]) -> list[LogLine]:
    """Return the JSON log lines among ``lines``; text before the JSON is ignored."""
    parsed = []
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(record, dict) and "message" in record:
            line = LogLine(
                str(record.get("asctime", "")),
                str(record.get("host", "")),
                str(record["message"]),
                record,
            )
            parsed.append(line)
    return parsed


def explain(lines: list[LogLine], request: str) -> list[str]:
    """Return a request's own log lines and the state of its host at that time.

    The other attempts of the same request, on all hosts, follow.
    """
    own = [line for line in lines if line.values.get("request") == request]
    output = [line.format() for line in own]
    for line in own:
        output += [
            f"  before: {previous.format()}" for previous in _state_before(lines, line)
        ]
    output += [f"  same: {line.format()}" for line in _other_attempts(lines, own)]
    return output


def _other_attempts(lines: list[LogLine], own: list[LogLine]) -> list[LogLine]:
    """Return the lines of other attempts of the same request, oldest first."""
    attempt_ids = {line.values.get("same") for line in own} - {None}
    found = [line for line in lines if line.values.get("same") in attempt_ids]
    return sorted((line for line in found if line not in own), key=lambda ln: ln.time)


def _state_before(lines: list[LogLine], own: LogLine) -> list[LogLine]:
    """Return the host's latest state changes before a line, also per named replica."""
    latest: dict[str, LogLine] = {}
    instances = {attempt.split()[0] for attempt in own.values.get("sends", [])}
    for line in lines:
        if line.host != own.host or line.time > own.time:
            continue
        if line.message not in STATE_MESSAGES:
            continue
        mentioned = [name for name in instances if name in json.dumps(line.values)]
        for name in mentioned:
            latest[f"{line.message} {name}"] = line
        latest[line.message] = line
    unique = {id(line): line for line in latest.values()}
    return sorted(unique.values(), key=lambda line: line.time)

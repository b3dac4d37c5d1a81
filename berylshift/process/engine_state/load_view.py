"""The load view: the estimated load of each target, from reports and own records.

A report describes a moment in the past. The requests that this process and its peers
have sent since then are added: without them, the busiest engine may appear idle, and
all hosts would send their requests to it at once.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, field

import msgspec

from berylshift.ids import AttemptId, FleetName, HostName, Incarnation, TargetName
from berylshift.targets import LoadReport, Role

MAX_EVENTS_KEPT = 256
PEER_EXPIRY_SECONDS = 6.0


class Share(msgspec.Struct, frozen=True):
    """One host's open attempts at a target for a fleet."""

    target: TargetName
    fleet: FleetName
    streams: int
    prefill_tokens: int


@dataclass
class OpenAttempt:
    """An attempt of this process that has not ended."""

    fleet: FleetName
    prefill_tokens: int
    sent_at: float
    first_token_at: float | None = None


@dataclass(frozen=True)
class Estimate:
    """A target's estimated current load."""

    role: Role
    streams: float
    prefill_tokens: float
    report_age_seconds: float


@dataclass
class _Target:
    report: LoadReport | None = None
    reported_at: float = float("-inf")
    open: dict[AttemptId, OpenAttempt] = field(default_factory=dict)
    sent: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_EVENTS_KEPT)
    )
    ended: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_EVENTS_KEPT))
    unprefilled_tokens: int = 0
    peers: dict[tuple[HostName, FleetName], tuple[float, Share]] = field(
        default_factory=dict
    )


class LoadView:
    """Loads of all targets; ``prefill_rate`` is the reference rate in tokens/s."""

    def __init__(self, prefill_rate: float):
        """Start without data."""
        self._prefill_rate = prefill_rate
        self._targets: dict[TargetName, _Target] = defaultdict(_Target)
        self.roles_version = 0

    # Updates

    def record_report(
        self, target: TargetName, report: LoadReport, asked_at: float
    ) -> None:
        """Apply a report; its age counts back from when it was requested."""
        state = self._targets[target]
        reported_at = asked_at - report.age
        if reported_at >= state.reported_at or self._restarted(state, report):
            self.roles_version += _role(state.report) is not _role(report)
            state.report, state.reported_at = report, reported_at

    def _restarted(self, state: _Target, report: LoadReport) -> bool:
        return state.report is None or state.report.incarnation != report.incarnation

    def record_sent(
        self,
        target: TargetName,
        attempt: AttemptId,
        fleet: FleetName,
        prefill_tokens: int,
        now: float,
    ) -> None:
        """Record that an attempt is sent."""
        state = self._targets[target]
        state.open[attempt] = OpenAttempt(fleet, prefill_tokens, now)
        state.sent.append((now, prefill_tokens))
        state.unprefilled_tokens += prefill_tokens

    def record_first_token(
        self, target: TargetName, attempt: AttemptId, now: float
    ) -> None:
        """Record that an attempt's prefill has completed."""
        state = self._targets[target]
        item = state.open.get(attempt)
        if item is not None and item.first_token_at is None:
            item.first_token_at = now
            state.unprefilled_tokens -= item.prefill_tokens

    def record_ended(self, target: TargetName, attempt: AttemptId, now: float) -> None:
        """Record that an attempt has ended, with whatever outcome."""
        state = self._targets[target]
        item = state.open.pop(attempt, None)
        if item is None:
            return
        state.ended.append(now)
        if item.first_token_at is None:
            state.unprefilled_tokens -= item.prefill_tokens

    def record_peer_shares(
        self, peer: HostName, shares: list[Share], received_at: float
    ) -> None:
        """Apply a peer's own open attempts."""
        for share in shares:
            self._targets[share.target].peers[peer, share.fleet] = (received_at, share)

    def forget(self, target: TargetName) -> None:
        """Drop the state of a target that was removed from the table."""
        state = self._targets.get(target)
        if state is not None and not state.open:
            del self._targets[target]

    # Queries

    def report(self, target: TargetName) -> LoadReport | None:
        """Return the latest report."""
        state = self._targets.get(target)
        return state.report if state else None

    def report_age_seconds(self, target: TargetName, now: float) -> float:
        """Return the seconds since the moment that the latest report describes."""
        state = self._targets.get(target)
        return now - state.reported_at if state else float("inf")

    def open_here(self, target: TargetName) -> int:
        """Return how many attempts of this process are open at a target."""
        state = self._targets.get(target)
        return len(state.open) if state else 0

    def fleet_streams(self, target: TargetName, fleet: FleetName, now: float) -> int:
        """Return a fleet's open attempts at a target, of this process and its peers."""
        state = self._targets[target]
        own = sum(item.fleet == fleet for item in state.open.values())
        peers = sum(
            share.streams
            for share in _current_shares(state, now)
            if share.fleet == fleet
        )
        return own + peers

    def incarnation(self, target: TargetName) -> Incarnation | None:
        """Return the incarnation of a target in its latest report."""
        state = self._targets.get(target)
        report = None if state is None else state.report
        return None if report is None else report.incarnation

    def role(self, target: TargetName) -> Role:
        """Return a target's role; unknown while it accepts no requests."""
        state = self._targets.get(target)
        return _role(state.report) if state else Role.MIXED

    def estimate(self, target: TargetName, now: float) -> Estimate:
        """Return the estimated current load of a target."""
        state = self._targets[target]
        shares = _current_shares(state, now)
        streams = len(state.open) + sum(share.streams for share in shares)
        prefill = state.unprefilled_tokens + sum(
            share.prefill_tokens for share in shares
        )
        role = _role(state.report)
        if state.report is not None:
            streams = max(streams, self._reported_streams(state))
            prefill = max(prefill, self._reported_prefill(state, now))
        return Estimate(role, streams, prefill, now - state.reported_at)

    def _reported_streams(self, state: _Target) -> float:
        sent = sum(at >= state.reported_at for at, _ in state.sent)
        ended = sum(at >= state.reported_at for at in state.ended)
        return max(0, state.report.running + state.report.waiting + sent - ended)

    def _reported_prefill(self, state: _Target, now: float) -> float:
        sent = sum(tokens for at, tokens in state.sent if at >= state.reported_at)
        done = (now - state.reported_at) * self._prefill_rate
        return max(0.0, state.report.prefill_tokens + sent - done)

    def shares(self) -> list[Share]:
        """Return this process's own open attempts, for its peers."""
        sums_by_key: dict[tuple[TargetName, FleetName], list[int]] = {}
        for target, state in self._targets.items():
            for item in state.open.values():
                sums = sums_by_key.setdefault((target, item.fleet), [0, 0])
                sums[0] += 1
                sums[1] += item.prefill_tokens if item.first_token_at is None else 0
        return [
            Share(target, fleet, streams, prefill)
            for (target, fleet), (streams, prefill) in sums_by_key.items()
        ]


def _role(report: LoadReport | None) -> Role:
    """Return the role to route by; an engine that is changing accepts no requests."""
    if report is None:
        return Role.MIXED
    return Role.UNKNOWN if report.changing else report.role


def _current_shares(state: _Target, now: float) -> list[Share]:
    return [
        share for at, share in state.peers.values() if now - at <= PEER_EXPIRY_SECONDS
    ]

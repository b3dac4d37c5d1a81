"""The load view: what this process knows of each target's load, and from when.

A report tells of a moment that is past. Work sent since then, by this process
and by its peers, is added: without it the busiest engine looks idle, and every
host sends its work there at once.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, field

import msgspec

from berylshift.ids import AttemptId, FleetName, HostName, Incarnation, TargetName
from berylshift.targets import LoadReport, Role

SENT_KEPT = 256
PEER_SECONDS = 6.0


class Share(msgspec.Struct, frozen=True):
    """One host's open work at a target for a fleet; prefill in tokens."""

    target: TargetName
    fleet: FleetName
    streams: int
    prefill_tokens: int


@dataclass
class OpenAttempt:
    """An attempt of this process that has not ended; sizes in tokens."""

    fleet: FleetName
    prefill_tokens: int
    sent_at: float
    first_token_at: float | None = None


@dataclass(frozen=True)
class Estimate:
    """A target's load now, as far as known; ``report_age`` in seconds."""

    role: Role
    streams: float
    prefill_tokens: float
    report_age: float


@dataclass
class _Target:
    report: LoadReport | None = None
    taken_at: float = float("-inf")
    open: dict[AttemptId, OpenAttempt] = field(default_factory=dict)
    sent: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=SENT_KEPT)
    )
    ended: deque[float] = field(default_factory=lambda: deque(maxlen=SENT_KEPT))
    unserved: int = 0
    peers: dict[tuple[HostName, FleetName], tuple[float, Share]] = field(
        default_factory=dict
    )


class LoadView:
    """Loads of all targets; ``prefill_rate`` is the reference rate in tokens/s."""

    def __init__(self, prefill_rate: float):
        """Start knowing nothing."""
        self._prefill_rate = prefill_rate
        self._targets: dict[TargetName, _Target] = defaultdict(_Target)
        self.roles_version = 0

    # What comes in

    def reported(self, target: TargetName, report: LoadReport, asked_at: float) -> None:
        """Take a report; its age counts from before it was asked for."""
        state = self._targets[target]
        taken_at = asked_at - report.age
        if taken_at >= state.taken_at or self._restarted(state, report):
            self.roles_version += _role(state.report) is not _role(report)
            state.report, state.taken_at = report, taken_at

    def _restarted(self, state: _Target, report: LoadReport) -> bool:
        return state.report is None or state.report.incarnation != report.incarnation

    def sent(
        self,
        target: TargetName,
        attempt: AttemptId,
        fleet: FleetName,
        prefill_tokens: int,
        now: float,
    ) -> None:
        """Note an attempt that goes out."""
        state = self._targets[target]
        state.open[attempt] = OpenAttempt(fleet, prefill_tokens, now)
        state.sent.append((now, prefill_tokens))
        state.unserved += prefill_tokens

    def first_token(self, target: TargetName, attempt: AttemptId, now: float) -> None:
        """Note that an attempt's prefill is over."""
        state = self._targets[target]
        item = state.open.get(attempt)
        if item is not None and item.first_token_at is None:
            item.first_token_at = now
            state.unserved -= item.prefill_tokens

    def ended(self, target: TargetName, attempt: AttemptId, now: float) -> None:
        """Note the end of an attempt, whatever it was."""
        state = self._targets[target]
        item = state.open.pop(attempt, None)
        if item is None:
            return
        state.ended.append(now)
        if item.first_token_at is None:
            state.unserved -= item.prefill_tokens

    def peer_shares(self, peer: HostName, shares: list[Share], heard_at: float) -> None:
        """Take a peer's word of its own open work."""
        for share in shares:
            self._targets[share.target].peers[peer, share.fleet] = (heard_at, share)

    def forget(self, target: TargetName) -> None:
        """Drop what is known of a target that left the table."""
        state = self._targets.get(target)
        if state is not None and not state.open:
            del self._targets[target]

    # What is asked

    def report(self, target: TargetName) -> LoadReport | None:
        """Return the newest report."""
        state = self._targets.get(target)
        return state.report if state else None

    def report_age(self, target: TargetName, now: float) -> float:
        """Return the age in seconds of the newest report's own moment."""
        state = self._targets.get(target)
        return now - state.taken_at if state else float("inf")

    def open_here(self, target: TargetName) -> int:
        """Return how many attempts of this process are open there."""
        state = self._targets.get(target)
        return len(state.open) if state else 0

    def fleet_streams(self, target: TargetName, fleet: FleetName, now: float) -> int:
        """Return a fleet's open attempts there, of this process and its peers."""
        state = self._targets[target]
        own = sum(item.fleet == fleet for item in state.open.values())
        peers = sum(
            share.streams for share in _fresh(state, now) if share.fleet == fleet
        )
        return own + peers

    def incarnation(self, target: TargetName) -> Incarnation | None:
        """Return which start of a target reported last."""
        state = self._targets.get(target)
        report = None if state is None else state.report
        return None if report is None else report.incarnation

    def role(self, target: TargetName) -> Role:
        """Return a target's role; unknown while it takes no work."""
        state = self._targets.get(target)
        return _role(state.report) if state else Role.MIXED

    def estimate(self, target: TargetName, now: float) -> Estimate:
        """Return the load there now."""
        state = self._targets[target]
        shares = _fresh(state, now)
        streams = len(state.open) + sum(share.streams for share in shares)
        prefill = state.unserved + sum(share.prefill_tokens for share in shares)
        role = _role(state.report)
        if state.report is not None:
            streams = max(streams, self._reported_streams(state))
            prefill = max(prefill, self._reported_prefill(state, now))
        return Estimate(role, streams, prefill, now - state.taken_at)

    def _reported_streams(self, state: _Target) -> float:
        since = sum(at >= state.taken_at for at, _ in state.sent)
        gone = sum(at >= state.taken_at for at in state.ended)
        return max(0, state.report.running + state.report.waiting + since - gone)

    def _reported_prefill(self, state: _Target, now: float) -> float:
        since = sum(tokens for at, tokens in state.sent if at >= state.taken_at)
        done = (now - state.taken_at) * self._prefill_rate
        return max(0.0, state.report.prefill_tokens + since - done)

    def shares(self) -> list[Share]:
        """Return this process's own open work, for its peers."""
        found: dict[tuple[TargetName, FleetName], list[int]] = {}
        for target, state in self._targets.items():
            for item in state.open.values():
                sums = found.setdefault((target, item.fleet), [0, 0])
                sums[0] += 1
                sums[1] += item.prefill_tokens if item.first_token_at is None else 0
        return [
            Share(target, fleet, streams, prefill)
            for (target, fleet), (streams, prefill) in found.items()
        ]


def _role(report: LoadReport | None) -> Role:
    """Return the role to route by; an engine in mid-change takes no work."""
    if report is None:
        return Role.MIXED
    return Role.UNKNOWN if report.changing else report.role


def _fresh(state: _Target, now: float) -> list[Share]:
    return [share for at, share in state.peers.values() if now - at <= PEER_SECONDS]

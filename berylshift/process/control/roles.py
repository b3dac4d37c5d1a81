"""Role planning: whether an engine of a pool should change its role.

Loads are measured in engines: a prefill load of 2.0 keeps two engines busy with
prefill. A mixed engine serves both kinds of work, a specialized one only its own.
"""

import math
from dataclasses import dataclass, field
from typing import Protocol

from berylshift.ids import TargetName
from berylshift.settings import PolicySettings
from berylshift.targets import Role

STREAMS_PER_ENGINE = 64
SLOW_AVERAGE_SECONDS = 240.0
GAIN_HORIZON_SECONDS = 300.0
MAX_ON_TIME_UTILIZATION = 0.85
MIN_CONSECUTIVE_DECISIONS = 3
DRAIN_SECONDS = 8.0
BISECTION_STEPS = 30
MAX_UTILIZATION = 64.0


@dataclass(frozen=True)
class EngineState:
    """An engine as the planner sees it."""

    name: TargetName
    role: Role
    seconds_since_change: float
    movable: bool


@dataclass(frozen=True)
class PoolState:
    """A pool's engines and its demand in tokens per second."""

    engines: tuple[EngineState, ...]
    prefill_rate: float
    decode_rate: float
    moving: int


@dataclass(frozen=True)
class RoleChange:
    """A role change to begin, and the reason for it."""

    engine: TargetName
    role: Role
    reason: str


class RolePlanner(Protocol):
    """Plans the role changes of one pool."""

    def decide(self, state: PoolState, now: float) -> RoleChange | None:
        """Return a change to begin now, or ``None``."""


@dataclass(frozen=True)
class Loads:
    """Demand, in engines kept busy."""

    prefill: float
    decode: float


def loads(state: PoolState, cfg: PolicySettings) -> Loads:
    """Return a pool's demand in engines, from the configured engine rates."""
    step = cfg.step_base + cfg.step_per_stream * STREAMS_PER_ENGINE
    decode_rate = STREAMS_PER_ENGINE / step
    return Loads(state.prefill_rate / cfg.prefill_rate, state.decode_rate / decode_rate)


def count_roles(state: PoolState) -> dict[Role, int]:
    """Return how many engines have each role."""
    return {role: sum(engine.role is role for engine in state.engines) for role in Role}


def utilization(load: Loads, counts: dict[Role, int]) -> float:
    """Return the lowest utilization per engine at which the engines carry the load."""
    low, high = 0.0, MAX_UTILIZATION
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        rest = max(0.0, load.prefill - counts[Role.PREFILL] * middle)
        rest += max(0.0, load.decode - counts[Role.DECODE] * middle)
        if rest <= counts[Role.MIXED] * middle:
            high = middle
        else:
            low = middle
    return high


class FixedRoles:
    """Baseline: roles never change."""

    def decide(self, state: PoolState, now: float) -> RoleChange | None:
        """Return no change."""
        return None


class ThresholdRoles:
    """Baseline: split engines by the current prefill/decode mix, without hysteresis."""

    def __init__(self, cfg: PolicySettings):
        """Use the rates and bounds of ``cfg``."""
        self._cfg = cfg

    def decide(self, state: PoolState, now: float) -> RoleChange | None:
        """Return the next change towards the split that matches the mix."""
        load = loads(state, self._cfg)
        total_load = load.prefill + load.decode
        total = len(state.engines)
        if total_load <= 0 or total < 2 or not _may_move(state, self._cfg):
            return None
        desired_prefill = min(
            total - 1, max(1, round(total * load.prefill / total_load))
        )
        counts = count_roles(state)
        if counts[Role.PREFILL] < desired_prefill:
            role = Role.PREFILL
        elif counts[Role.DECODE] < total - desired_prefill:
            role = Role.DECODE
        else:
            return None
        for engine in state.engines:
            surplus = engine.role is not role and (
                engine.role is Role.MIXED or counts[engine.role] > 1
            )
            if engine.movable and surplus:
                return RoleChange(
                    engine.name, role, f"mix calls for {desired_prefill} prefill"
                )
        return None


@dataclass
class HysteresisRoles:
    """Changes a role only if the expected gain exceeds the cost of the change.

    Mixed engines serve both kinds of work, so routing absorbs short load swings. A
    change must pay by the current demand and by its slow average, in several
    consecutive decisions, and its engine must have kept its role for the dwell time.
    """

    cfg: PolicySettings
    _slow: Loads | None = None
    _slow_at: float = 0.0
    _candidate: tuple[Role, Role] | None = None
    _consecutive: int = 0
    decisions: list[str] = field(default_factory=list)

    def decide(self, state: PoolState, now: float) -> RoleChange | None:
        """Return a change whose gain exceeds its cost, or ``None``."""
        current = loads(state, self.cfg)
        slow = self._average(current, now)
        if not _may_move(state, self.cfg):
            return None
        change = self._best(state, current, slow)
        kind = (change[0].role, change[1]) if change else None
        self._consecutive = (
            self._consecutive + 1 if kind and kind == self._candidate else 1
        )
        self._candidate = kind
        if change is None or self._consecutive < MIN_CONSECUTIVE_DECISIONS:
            return None
        self._candidate = None
        engine, role, gain, cost = change
        reason = f"gains {gain:.1f} engine-seconds for {cost:.1f}"
        return RoleChange(engine.name, role, reason)

    def _average(self, current: Loads, now: float) -> Loads:
        if self._slow is None:
            self._slow = current
        weight = 1 - math.exp(-(now - self._slow_at) / SLOW_AVERAGE_SECONDS)
        self._slow_at = now
        old = self._slow
        self._slow = Loads(
            old.prefill + weight * (current.prefill - old.prefill),
            old.decode + weight * (current.decode - old.decode),
        )
        return self._slow

    def _best(self, state: PoolState, current: Loads, slow: Loads):
        counts = count_roles(state)
        best = None
        for engine in state.engines:
            if not engine.movable or engine.seconds_since_change < self.cfg.dwell:
                continue
            for role in (Role.MIXED, Role.PREFILL, Role.DECODE):
                if role is engine.role:
                    continue
                after = {**counts, engine.role: counts[engine.role] - 1}
                after[role] += 1
                gain = min(
                    _gain(load, counts, after, GAIN_HORIZON_SECONDS)
                    for load in (current, slow)
                )
                cost = self.cfg.churn_price * (self.cfg.change_seconds + DRAIN_SECONDS)
                if gain > cost and (best is None or gain > best[2]):
                    best = (engine, role, gain, cost)
        return best


def _gain(
    load: Loads, before: dict[Role, int], after: dict[Role, int], seconds: float
) -> float:
    """Return the engine-seconds of work kept on time over ``seconds``."""
    total_load = load.prefill + load.decode
    saved = _late_share(utilization(load, before)) - _late_share(
        utilization(load, after)
    )
    return saved * total_load * seconds


def _late_share(utilized: float) -> float:
    """Return the share of the work that is late at a utilization."""
    if utilized <= MAX_ON_TIME_UTILIZATION:
        return 0.0
    return 1 - MAX_ON_TIME_UTILIZATION / utilized


def _may_move(state: PoolState, cfg: PolicySettings) -> bool:
    """Return whether one more engine may be moving without overloading the rest."""
    max_moving = max(1, int(len(state.engines) * cfg.away_share))
    return state.moving < max_moving and len(state.engines) > 1


def make_planner(name: str, cfg: PolicySettings) -> RolePlanner:
    """Return the planner with the name given in the settings."""
    if name == "fixed":
        return FixedRoles()
    if name == "threshold":
        return ThresholdRoles(cfg)
    return HysteresisRoles(cfg)

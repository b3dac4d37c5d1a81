"""Role planning: whether an engine should change its role now.

Loads are in engines: a prefill load of 2.0 keeps two engines busy with prefill. A
mixed engine takes either; a specialized one only its own kind.
"""

import math
from dataclasses import dataclass, field
from typing import Protocol

from berylshift.ids import TargetName
from berylshift.settings import PolicySettings
from berylshift.targets import Role

ENGINE_STREAMS = 64
SLOW_SECONDS = 240.0
HOLD_SECONDS = 300.0
LOSS_STARTS_AT = 0.85
PERSIST_DECISIONS = 3
DRAIN_SECONDS = 8.0
SEARCH_STEPS = 30
HIGHEST_UTILIZATION = 64.0


@dataclass(frozen=True)
class EngineState:
    """An engine as the planner sees it; ``rested`` seconds since its last change."""

    name: TargetName
    role: Role
    rested: float
    movable: bool


@dataclass(frozen=True)
class PoolState:
    """A pool's engines and its demand in tokens a second."""

    engines: tuple[EngineState, ...]
    prefill_rate: float
    decode_rate: float
    moving: int


@dataclass(frozen=True)
class RoleChange:
    """A change to be made, and why."""

    engine: TargetName
    role: Role
    reason: str


class RolePlanner(Protocol):
    """Decides about role changes of one pool."""

    def decide(self, state: PoolState, now: float) -> RoleChange | None:
        """Return a change to begin now, or ``None``."""


@dataclass(frozen=True)
class Loads:
    """Demand in engines."""

    prefill: float
    decode: float


def loads(state: PoolState, cfg: PolicySettings) -> Loads:
    """Return a pool's demand in engines, by the cost model's rates."""
    step = cfg.step_base + cfg.step_per_stream * ENGINE_STREAMS
    decode_rate = ENGINE_STREAMS / step
    return Loads(state.prefill_rate / cfg.prefill_rate, state.decode_rate / decode_rate)


def count_roles(state: PoolState) -> dict[Role, int]:
    """Return how many engines have each role."""
    return {role: sum(engine.role is role for engine in state.engines) for role in Role}


def utilization(load: Loads, counts: dict[Role, int]) -> float:
    """Return the least share of each engine's time that carries the load."""
    low, high = 0.0, HIGHEST_UTILIZATION
    for _ in range(SEARCH_STEPS):
        middle = (low + high) / 2
        rest = max(0.0, load.prefill - counts[Role.PREFILL] * middle)
        rest += max(0.0, load.decode - counts[Role.DECODE] * middle)
        if rest <= counts[Role.MIXED] * middle:
            high = middle
        else:
            low = middle
    return high


class FixedRoles:
    """Baseline: roles stay as they are."""

    def decide(self, state: PoolState, now: float) -> RoleChange | None:
        """Return no change."""
        return None


class ThresholdRoles:
    """Baseline: specialize by the current mix, with no hysteresis."""

    def __init__(self, cfg: PolicySettings):
        """Take rates and bounds from ``cfg``."""
        self._cfg = cfg

    def decide(self, state: PoolState, now: float) -> RoleChange | None:
        """Return the next change towards the split that the mix calls for."""
        load = loads(state, self._cfg)
        whole = load.prefill + load.decode
        total = len(state.engines)
        if whole <= 0 or total < 2 or not _may_move(state, self._cfg):
            return None
        wanted = min(total - 1, max(1, round(total * load.prefill / whole)))
        counts = count_roles(state)
        if counts[Role.PREFILL] < wanted:
            role = Role.PREFILL
        elif counts[Role.DECODE] < total - wanted:
            role = Role.DECODE
        else:
            return None
        for engine in state.engines:
            surplus = engine.role is not role and (
                engine.role is Role.MIXED or counts[engine.role] > 1
            )
            if engine.movable and surplus:
                return RoleChange(engine.name, role, f"mix calls for {wanted} prefill")
        return None


@dataclass
class HysteresisRoles:
    """Changes a role only where what it gains outweighs what it costs.

    Routing absorbs short swings first: mixed engines take either kind of work. A
    change must pay by the fast and by the slow average, several times running, and
    its engine must have rested for its dwell time.
    """

    cfg: PolicySettings
    _slow: Loads | None = None
    _slow_at: float = 0.0
    _candidate: tuple[Role, Role] | None = None
    _times: int = 0
    decisions: list[str] = field(default_factory=list)

    def decide(self, state: PoolState, now: float) -> RoleChange | None:
        """Return a change that pays, or ``None``."""
        fast = loads(state, self.cfg)
        slow = self._average(fast, now)
        if not _may_move(state, self.cfg):
            return None
        change = self._best(state, fast, slow)
        kind = (change[0].role, change[1]) if change else None
        self._times = self._times + 1 if kind and kind == self._candidate else 1
        self._candidate = kind
        if change is None or self._times < PERSIST_DECISIONS:
            return None
        self._candidate = None
        engine, role, gain, cost = change
        reason = f"gains {gain:.1f} engine-seconds for {cost:.1f}"
        return RoleChange(engine.name, role, reason)

    def _average(self, fast: Loads, now: float) -> Loads:
        if self._slow is None:
            self._slow = fast
        weight = 1 - math.exp(-(now - self._slow_at) / SLOW_SECONDS)
        self._slow_at = now
        old = self._slow
        self._slow = Loads(
            old.prefill + weight * (fast.prefill - old.prefill),
            old.decode + weight * (fast.decode - old.decode),
        )
        return self._slow

    def _best(self, state: PoolState, fast: Loads, slow: Loads):
        counts = count_roles(state)
        best = None
        for engine in state.engines:
            if not engine.movable or engine.rested < self.cfg.dwell:
                continue
            for role in (Role.MIXED, Role.PREFILL, Role.DECODE):
                if role is engine.role:
                    continue
                after = {**counts, engine.role: counts[engine.role] - 1}
                after[role] += 1
                gain = min(
                    _gain(load, counts, after, HOLD_SECONDS) for load in (fast, slow)
                )
                cost = self.cfg.churn_price * (self.cfg.change_seconds + DRAIN_SECONDS)
                if gain > cost and (best is None or gain > best[2]):
                    best = (engine, role, gain, cost)
        return best


def _gain(
    load: Loads, before: dict[Role, int], after: dict[Role, int], seconds: float
) -> float:
    """Return the engine-seconds of work that are saved over ``seconds``."""
    whole = load.prefill + load.decode
    saved = _loss(utilization(load, before)) - _loss(utilization(load, after))
    return saved * whole * seconds


def _loss(used: float) -> float:
    """Return the share of the work that comes late at a utilization."""
    if used <= LOSS_STARTS_AT:
        return 0.0
    return 1 - LOSS_STARTS_AT / used


def _may_move(state: PoolState, cfg: PolicySettings) -> bool:
    """Return whether one more engine may be away without starving the rest."""
    most = max(1, int(len(state.engines) * cfg.away_share))
    return state.moving < most and len(state.engines) > 1


def make_planner(name: str, cfg: PolicySettings) -> RolePlanner:
    """Return the planner that the settings name."""
    if name == "fixed":
        return FixedRoles()
    if name == "threshold":
        return ThresholdRoles(cfg)
    return HysteresisRoles(cfg)

"""The choice of a target for a request, and its refusal where none will do."""

import random
from dataclasses import dataclass, replace
from typing import Protocol

import msgspec
from returns.result import Failure, Result, Success

from berylshift.ids import (
    CustomerName,
    FleetName,
    PoolName,
    RequestId,
    TargetName,
    WorkName,
)
from berylshift.process.control.mix_meter import MixMeter
from berylshift.process.control.plans import Plans
from berylshift.process.engine_state.cost_model import CostModel, Prediction
from berylshift.process.engine_state.health import Health
from berylshift.process.engine_state.load_view import Estimate, LoadView
from berylshift.process.engine_state.prefix_index import Prefixes, PrefixIndex
from berylshift.request.messages import Reason, Weighed
from berylshift.request.pool import Picker, Pool, Pools
from berylshift.targets import Role
from berylshift.version.rows import Row
from berylshift.version.table import Candidate, Table

FIRST_SAMPLE = 2
FULL_SAMPLE = 8
PREFILL_WEIGHT = 8.0
OWN_BONUS = 0.2
SHORT_RETRY_AFTER = 1.0
LONGEST_RETRY_AFTER = 30.0


class WorkItem(msgspec.Struct, frozen=True):
    """What is to be placed; sizes in tokens, ``remaining`` seconds to the deadline."""

    request: RequestId
    customer: CustomerName
    fleet: FleetName
    work: WorkName
    prompt_tokens: int
    output_tokens: int
    prefixes: Prefixes
    remaining: float
    exclude: frozenset[TargetName] = frozenset()
    prefer: TargetName | None = None
    must_place: bool = False


@dataclass(frozen=True)
class Plan:
    """Where a request goes; with ``prefill_on`` its prefill is done there first."""

    target: Row
    prediction: Prediction
    prefill_tokens: int
    weighed: list[Weighed]
    reason: str
    prefill_on: Row | None = None
    output_tokens: int = 0
    is_own: bool = False
    load: Estimate | None = None


class Refusal(msgspec.Struct, frozen=True):
    """Why a request is not placed, and when to come back (seconds)."""

    reason: Reason
    retry_after: float
    weighed: list[Weighed] = []


class Router(Protocol):
    """Chooses targets."""

    def choose(self, item: WorkItem, table: Table, now: float) -> Result[Plan, Refusal]:
        """Return where ``item`` goes, or why it is refused."""


@dataclass
class Knowledge:
    """What all routers look at."""

    load: LoadView
    health: Health
    cost: CostModel
    prefixes: PrefixIndex
    plans: Plans
    meter: MixMeter
    rng: random.Random

    def __post_init__(self) -> None:
        """Prepare the pools."""
        self.pools = Pools(self.load)

    def usable(self, found: Candidate, item: WorkItem, now: float) -> bool:
        """Return whether a candidate may take this item now."""
        name = found.row.name
        if name in item.exclude or self.plans.is_moving(name):
            return False
        if not self.health.is_usable(name, now):
            return False
        if not found.limit:
            return True
        return self.load.fleet_streams(name, item.fleet, now) < found.limit

    def prefill_inflow(self, pool: Pool, work: WorkName, now: float) -> float:
        """Return what each engine of a pool gets to prefill, in tokens a second."""
        takers = pool.pickers[Role.MIXED].size + pool.pickers[Role.PREFILL].size
        return self.meter.total(PoolName(work), now).prefill_rate / max(1, takers)

    def sample(
        self, picker: Picker, item: WorkItem, count: int, now: float
    ) -> list[Candidate]:
        """Return up to ``count`` usable candidates, and the prefix's own."""
        drawn = picker.sample(self.rng, count)
        if item.prefixes:
            own = picker.by_prefix(item.prefixes[0][1])
            if own is not None and own not in drawn:
                drawn.append(own)
        usable = [found for found in drawn if self.usable(found, item, now)]
        if usable:
            return usable
        # All that were drawn are out: look at every one, which is rare.
        rest = [found for found in picker.candidates if self.usable(found, item, now)]
        return rest[:count]


def no_target(pool: Pool) -> Refusal:
    """Return the refusal of a pool none of whose targets is usable."""
    if not pool.size:
        return Refusal(Reason.NO_TARGET, LONGEST_RETRY_AFTER)
    return Refusal(Reason.AT_LIMIT, SHORT_RETRY_AFTER)


class LeastLateness:
    """Chooses the least predicted end among few samples, and refuses late ones."""

    def __init__(self, know: Knowledge, slack: float, prefill_rate: float):
        """Refuse what is predicted to take over ``slack`` times the time left.

        ``prefill_rate`` is an engine's, in tokens a second.
        """
        self._know = know
        self._slack = slack
        self._prefill_rate = prefill_rate

    def choose(self, item: WorkItem, table: Table, now: float) -> Result[Plan, Refusal]:
        """Return the plan with the least predicted end."""
        pool = self._know.pools.get(table, item.fleet, item.work)
        again = self._same_again(pool, item, now)
        if again is not None:
            return Success(again)
        for count in (FIRST_SAMPLE, FULL_SAMPLE):
            plans = self._plans(pool, item, count, now)
            if not plans:
                return Failure(no_target(pool))
            weighed = [_weighed(plan) for plan in plans]
            best = min(plans, key=lambda plan: self._score(plan, item))
            late = best.prediction.end - item.remaining * self._slack
            if late <= 0 or item.must_place:
                return Success(_with(best, weighed, "least predicted end"))
        wait = min(LONGEST_RETRY_AFTER, max(SHORT_RETRY_AFTER, late))
        return Failure(Refusal(Reason.TOO_LATE, wait, weighed))

    def _same_again(self, pool: Pool, item: WorkItem, now: float) -> Plan | None:
        """Return the plan to resume on the engine that holds the prompt."""
        if item.prefer is None:
            return None
        found = pool.pickers[Role.MIXED].named(item.prefer)
        if found is None or not self._know.usable(found, item, now):
            return None
        inflow = self._know.prefill_inflow(pool, item.work, now)
        return _with(
            self._whole(found, item, inflow, None, now), [], "resume on the same engine"
        )

    def _score(self, plan: Plan, item: WorkItem) -> float:
        """Return a plan's predicted end plus what its prefill costs the others.

        Prefill holds up every stream of a mixed engine. The prefix's own engine
        gets a small bonus, so that a prefix that is cached nowhere yet is not
        prefilled on each engine in turn.
        """
        held_up = PREFILL_WEIGHT * plan.prefill_tokens / self._prefill_rate
        end = plan.prediction.end + held_up
        return end * (1 - OWN_BONUS) if plan.is_own else end

    def _plans(self, pool: Pool, item: WorkItem, count: int, now: float) -> list[Plan]:
        know = self._know
        mixed = know.sample(pool.pickers[Role.MIXED], item, count, now)
        prefill = know.sample(pool.pickers[Role.PREFILL], item, count, now)
        decode = know.sample(pool.pickers[Role.DECODE], item, count, now)
        inflow = know.prefill_inflow(pool, item.work, now)
        picker = pool.pickers[Role.MIXED]
        own = picker.by_prefix(item.prefixes[0][1]) if item.prefixes else None
        plans = [self._whole(found, item, inflow, own, now) for found in mixed]
        if prefill and decode:
            plans.append(self._split(prefill, decode, item, now))
        return plans

    def _whole(
        self,
        found: Candidate,
        item: WorkItem,
        inflow: float,
        own: Candidate | None,
        now: float,
    ) -> Plan:
        know = self._know
        name = found.row.name
        load = know.load.estimate(name, now)
        cached = know.prefixes.cached_tokens(name, item.prefixes)
        prefill = max(1, item.prompt_tokens - cached)
        prediction = know.cost.predict(load, prefill, item.output_tokens, inflow)
        return Plan(
            found.row,
            prediction,
            prefill,
            [],
            "",
            output_tokens=item.output_tokens,
            is_own=found is own,
            load=load,
        )

    def _split(
        self,
        prefill: list[Candidate],
        decode: list[Candidate],
        item: WorkItem,
        now: float,
    ) -> Plan:
        """Return the best plan of prefill on one engine and decode on another."""
        cost = self._know.cost
        first = min(
            (self._prefill_part(found, item, now) for found in prefill),
            key=lambda part: part[1],
        )
        source, ready, tokens = first
        ready += cost.transfer_seconds(item.prompt_tokens)
        ends = [
            (cost.decode_seconds(load, item.output_tokens, 0.0), found.row, load)
            for found in decode
            for load in [self._know.load.estimate(found.row.name, now)]
        ]
        seconds, target, load = min(ends, key=lambda end: end[0])
        prediction = Prediction(ready, ready + seconds)
        return Plan(
            target,
            prediction,
            tokens,
            [],
            "",
            prefill_on=source.row,
            output_tokens=item.output_tokens,
            load=load,
        )

    def _prefill_part(
        self, found: Candidate, item: WorkItem, now: float
    ) -> tuple[Candidate, float, int]:
        name = found.row.name
        cached = self._know.prefixes.cached_tokens(name, item.prefixes)
        tokens = max(1, item.prompt_tokens - cached)
        load = self._know.load.estimate(name, now)
        return found, self._know.cost.prefill_seconds(load, tokens), tokens


def _weighed(plan: Plan) -> Weighed:
    return Weighed(
        target=plan.target.name,
        first_token=round(plan.prediction.first_token, 3),
        end=round(plan.prediction.end, 3),
        streams=plan.load.streams,
        prefill_tokens=round(plan.load.prefill_tokens),
        prefill_on=plan.prefill_on.name if plan.prefill_on else TargetName(""),
    )


def _with(plan: Plan, weighed: list[Weighed], reason: str) -> Plan:
    return replace(plan, weighed=weighed, reason=reason)


class ReplicaChooser:
    """Chooses a replica of a plain service: the less busy of two samples."""

    def __init__(self, know: Knowledge):
        """Look at the loads in ``know``."""
        self._know = know

    def choose(self, item: WorkItem, table: Table, now: float) -> Result[Plan, Refusal]:
        """Return the replica with the least open work for its weight."""
        pool = self._know.pools.get(table, item.fleet, item.work)
        picker = pool.pickers[Role.MIXED]
        drawn = self._know.sample(picker, item, FIRST_SAMPLE, now)
        if not drawn:
            return Failure(no_target(pool))
        weighed = [
            Weighed(found.row.name, streams=load.streams)
            for found in drawn
            for load in [self._know.load.estimate(found.row.name, now)]
        ]
        loads = zip(weighed, drawn, strict=True)
        _, best = min(loads, key=lambda pair: (pair[0].streams + 1) / pair[1].weight)
        nothing = Prediction(0.0, 0.0)
        return Success(Plan(best.row, nothing, 0, weighed, "least open work"))

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
from berylshift.process.control.demand_meter import DemandMeter
from berylshift.process.control.plans import Plans
from berylshift.process.engine_state.cost_model import CostModel, Prediction
from berylshift.process.engine_state.health import Health
from berylshift.process.engine_state.load_view import Estimate, LoadView
from berylshift.process.engine_state.prefix_index import Prefixes, PrefixIndex
from berylshift.request.candidate_pool import (
    CandidatePool,
    CandidatePoolCache,
    CandidateSampler,
)
from berylshift.request.messages import CandidateEstimate, Reason
from berylshift.targets import Role
from berylshift.version.rows import Row
from berylshift.version.table import Candidate, Table

INITIAL_SAMPLE_SIZE = 2
FULL_SAMPLE_SIZE = 8
PREFILL_COST_FACTOR = 8.0
PREFIX_OWNER_BONUS = 0.2
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 30.0


class WorkItem(msgspec.Struct, frozen=True):
    """What is to be placed; sizes in tokens, ``remaining`` seconds to the deadline."""

    request: RequestId
    customer: CustomerName
    fleet: FleetName
    work: WorkName
    prompt_tokens: int
    output_tokens: int
    prefixes: Prefixes
    remaining_seconds: float
    exclude: frozenset[TargetName] = frozenset()
    prefer: TargetName | None = None
    must_place: bool = False


@dataclass(frozen=True)
class Plan:
    """Where a request goes; with ``prefill_on`` its prefill is done there first."""

    target: Row
    prediction: Prediction
    prefill_tokens: int
    estimates: list[CandidateEstimate]
    reason: str
    prefill_on: Row | None = None
    output_tokens: int = 0
    is_prefix_owner: bool = False
    load: Estimate | None = None


class Refusal(msgspec.Struct, frozen=True):
    """Why a request is not placed, and when to come back (seconds)."""

    reason: Reason
    retry_after: float
    estimates: list[CandidateEstimate] = []


class Router(Protocol):
    """Chooses targets."""

    def choose(self, item: WorkItem, table: Table, now: float) -> Result[Plan, Refusal]:
        """Return where ``item`` goes, or why it is refused."""


@dataclass
class RoutingContext:
    """What all routers look at."""

    load: LoadView
    health: Health
    cost: CostModel
    prefixes: PrefixIndex
    plans: Plans
    meter: DemandMeter
    rng: random.Random

    def __post_init__(self) -> None:
        """Prepare the pools."""
        self.pools = CandidatePoolCache(self.load)

    def usable(self, found: Candidate, item: WorkItem, now: float) -> bool:
        """Return whether a candidate may take this item now."""
        name = found.row.name
        if name in item.exclude or self.plans.is_moving(name):
            return False
        if not self.health.usable(name, now):
            return False
        if not found.limit:
            return True
        return self.load.fleet_streams(name, item.fleet, now) < found.limit

    def prefill_inflow(self, pool: CandidatePool, work: WorkName, now: float) -> float:
        """Return what each engine of a pool gets to prefill, in tokens a second."""
        takers = pool.samplers[Role.MIXED].size + pool.samplers[Role.PREFILL].size
        return self.meter.total(PoolName(work), now).prefill_rate / max(1, takers)

    def sample(
        self, sampler: CandidateSampler, item: WorkItem, count: int, now: float
    ) -> list[Candidate]:
        """Return up to ``count`` usable candidates, and the prefix's own."""
        drawn = sampler.sample(self.rng, count)
        if item.prefixes:
            prefix_owner = sampler.prefix_owner(item.prefixes[0][1])
            if prefix_owner is not None and prefix_owner not in drawn:
                drawn.append(prefix_owner)
        usable = [found for found in drawn if self.usable(found, item, now)]
        if usable:
            return usable
        # All that were drawn are out: look at every one, which is rare.
        rest = [found for found in sampler.candidates if self.usable(found, item, now)]
        return rest[:count]


def no_target(pool: CandidatePool) -> Refusal:
    """Return the refusal of a pool none of whose targets is usable."""
    if not pool.size:
        return Refusal(Reason.NO_TARGET, MAX_RETRY_AFTER_SECONDS)
    return Refusal(Reason.AT_LIMIT, MIN_RETRY_AFTER_SECONDS)


class LeastLateness:
    """Chooses the least predicted end among few samples, and refuses late ones."""

    def __init__(self, context: RoutingContext, slack: float, prefill_rate: float):
        """Refuse what is predicted to take over ``slack`` times the time left.

        ``prefill_rate`` is an engine's, in tokens a second.
        """
        self._context = context
        self._slack = slack
        self._prefill_rate = prefill_rate

    def choose(self, item: WorkItem, table: Table, now: float) -> Result[Plan, Refusal]:
        """Return the plan with the least predicted end."""
        pool = self._context.pools.get(table, item.fleet, item.work)
        resume_plan = self._resume_plan(pool, item, now)
        if resume_plan is not None:
            return Success(resume_plan)
        for count in (INITIAL_SAMPLE_SIZE, FULL_SAMPLE_SIZE):
            plans = self._plans(pool, item, count, now)
            if not plans:
                return Failure(no_target(pool))
            estimates = [_estimate_of(plan) for plan in plans]
            best = min(plans, key=lambda plan: self._score(plan, item))
            late = best.prediction.end - item.remaining_seconds * self._slack
            if late <= 0 or item.must_place:
                return Success(_with_reason(best, estimates, "least predicted end"))
        wait = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, late))
        return Failure(Refusal(Reason.TOO_LATE, wait, estimates))

    def _resume_plan(
        self, pool: CandidatePool, item: WorkItem, now: float
    ) -> Plan | None:
        """Return the plan to resume on the engine that holds the prompt."""
        if item.prefer is None:
            return None
        found = pool.samplers[Role.MIXED].by_name(item.prefer)
        if found is None or not self._context.usable(found, item, now):
            return None
        inflow = self._context.prefill_inflow(pool, item.work, now)
        return _with_reason(
            self._single_engine_plan(found, item, inflow, None, now),
            [],
            "resume on the same engine",
        )

    def _score(self, plan: Plan, item: WorkItem) -> float:
        """Return a plan's predicted end plus what its prefill costs the others.

        Prefill holds up every stream of a mixed engine. The prefix's own engine
        gets a small bonus, so that a prefix that is cached nowhere yet is not
        prefilled on each engine in turn.
        """
        blocked_seconds = PREFILL_COST_FACTOR * plan.prefill_tokens / self._prefill_rate
        end = plan.prediction.end + blocked_seconds
        return end * (1 - PREFIX_OWNER_BONUS) if plan.is_prefix_owner else end

    def _plans(
        self, pool: CandidatePool, item: WorkItem, count: int, now: float
    ) -> list[Plan]:
        context = self._context
        mixed = context.sample(pool.samplers[Role.MIXED], item, count, now)
        prefill = context.sample(pool.samplers[Role.PREFILL], item, count, now)
        decode = context.sample(pool.samplers[Role.DECODE], item, count, now)
        inflow = context.prefill_inflow(pool, item.work, now)
        sampler = pool.samplers[Role.MIXED]
        prefix_owner = (
            sampler.prefix_owner(item.prefixes[0][1]) if item.prefixes else None
        )
        plans = [
            self._single_engine_plan(found, item, inflow, prefix_owner, now)
            for found in mixed
        ]
        if prefill and decode:
            plans.append(self._disaggregated_plan(prefill, decode, item, now))
        return plans

    def _single_engine_plan(
        self,
        found: Candidate,
        item: WorkItem,
        inflow: float,
        prefix_owner: Candidate | None,
        now: float,
    ) -> Plan:
        context = self._context
        name = found.row.name
        load = context.load.estimate(name, now)
        cached = context.prefixes.cached_tokens(name, item.prefixes)
        prefill = max(1, item.prompt_tokens - cached)
        prediction = context.cost.predict(load, prefill, item.output_tokens, inflow)
        return Plan(
            found.row,
            prediction,
            prefill,
            [],
            "",
            output_tokens=item.output_tokens,
            is_prefix_owner=found is prefix_owner,
            load=load,
        )

    def _disaggregated_plan(
        self,
        prefill: list[Candidate],
        decode: list[Candidate],
        item: WorkItem,
        now: float,
    ) -> Plan:
        """Return the best plan of prefill on one engine and decode on another."""
        cost = self._context.cost
        first = min(
            (self._prefill_estimate(found, item, now) for found in prefill),
            key=lambda part: part[1],
        )
        source, ready, tokens = first
        ready += cost.transfer_seconds(item.prompt_tokens)
        ends = [
            (cost.decode_seconds(load, item.output_tokens, 0.0), found.row, load)
            for found in decode
            for load in [self._context.load.estimate(found.row.name, now)]
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

    def _prefill_estimate(
        self, found: Candidate, item: WorkItem, now: float
    ) -> tuple[Candidate, float, int]:
        name = found.row.name
        cached = self._context.prefixes.cached_tokens(name, item.prefixes)
        tokens = max(1, item.prompt_tokens - cached)
        load = self._context.load.estimate(name, now)
        return found, self._context.cost.prefill_seconds(load, tokens), tokens


def _estimate_of(plan: Plan) -> CandidateEstimate:
    return CandidateEstimate(
        target=plan.target.name,
        first_token=round(plan.prediction.first_token, 3),
        end=round(plan.prediction.end, 3),
        streams=plan.load.streams,
        prefill_tokens=round(plan.load.prefill_tokens),
        prefill_on=plan.prefill_on.name if plan.prefill_on else TargetName(""),
    )


def _with_reason(plan: Plan, estimates: list[CandidateEstimate], reason: str) -> Plan:
    return replace(plan, estimates=estimates, reason=reason)


class ReplicaChooser:
    """Chooses a replica of a plain service: the less busy of two samples."""

    def __init__(self, context: RoutingContext):
        """Look at the loads in ``know``."""
        self._context = context

    def choose(self, item: WorkItem, table: Table, now: float) -> Result[Plan, Refusal]:
        """Return the replica with the least open work for its weight."""
        pool = self._context.pools.get(table, item.fleet, item.work)
        sampler = pool.samplers[Role.MIXED]
        drawn = self._context.sample(sampler, item, INITIAL_SAMPLE_SIZE, now)
        if not drawn:
            return Failure(no_target(pool))
        estimates = [
            CandidateEstimate(found.row.name, streams=load.streams)
            for found in drawn
            for load in [self._context.load.estimate(found.row.name, now)]
        ]
        loads = zip(estimates, drawn, strict=True)
        _, best = min(loads, key=lambda pair: (pair[0].streams + 1) / pair[1].weight)
        nothing = Prediction(0.0, 0.0)
        return Success(Plan(best.row, nothing, 0, estimates, "least open work"))

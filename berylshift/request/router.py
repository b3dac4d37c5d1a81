"""Routing: chooses a target for a request, or refuses the request."""

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
from berylshift.request.messages import CandidateEstimate, Reason
from berylshift.scheduling.candidate_pool import (
    CandidatePool,
    CandidatePoolCache,
    CandidateSampler,
)
from berylshift.targets import Role
from berylshift.version.rows import Row
from berylshift.version.table import Candidate, Table

# Candidates drawn at first, and again if none of those can meet the deadline.
INITIAL_SAMPLE_SIZE = 2
FULL_SAMPLE_SIZE = 8
# Cost of a prefill to the engine's other streams, as a multiple of its own time.
PREFILL_COST_FACTOR = 8.0
# Share by which the predicted end is reduced on the prefix's owner.
PREFIX_OWNER_BONUS = 0.2
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 30.0


class WorkItem(msgspec.Struct, frozen=True):
    """A request to place; ``remaining_seconds`` is the time to its deadline.

    Targets in ``exclude`` are not used; ``prefer`` is tried first. With ``must_place``
    it is placed even if its deadline cannot be met.
    """

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
    """Where a request goes; with ``prefill_on`` it is prefilled there first."""

    target: Row
    prediction: Prediction
    prefill_tokens: int
    estimates: list[CandidateEstimate]
    reason: str
    prefill_on: Row | None = None
    output_tokens: int = 0
    is_prefix_owner: bool = False
    load: Estimate | None = None


class PlacementRefusal(msgspec.Struct, frozen=True):
    """Why a request is not placed, and the seconds after which to retry."""

    reason: Reason
    retry_after: float
    estimates: list[CandidateEstimate] = []


class Router(Protocol):
    """Chooses targets."""

    def choose(
        self, item: WorkItem, table: Table, now: float
    ) -> Result[Plan, PlacementRefusal]:
        """Return where ``item`` goes, or why it is refused."""


@dataclass
class RoutingContext:
    """The state that all routers use."""

    load: LoadView
    health: Health
    cost: CostModel
    prefixes: PrefixIndex
    plans: Plans
    meter: DemandMeter
    rng: random.Random

    def __post_init__(self) -> None:
        """Create the pool cache."""
        self.pools = CandidatePoolCache(self.load)

    def is_usable(self, candidate: Candidate, item: WorkItem, now: float) -> bool:
        """Return whether a candidate may be sent this item now."""
        name = candidate.row.name
        if name in item.exclude or self.plans.is_moving(name):
            return False
        if not self.health.is_usable(name, now):
            return False
        if not candidate.limit:
            return True
        return self.load.fleet_streams(name, item.fleet, now) < candidate.limit

    def prefill_inflow(self, pool: CandidatePool, work: WorkName, now: float) -> float:
        """Return the prefill demand on each engine of a pool, in tokens per second."""
        engines = pool.samplers[Role.MIXED].size + pool.samplers[Role.PREFILL].size
        return self.meter.total(PoolName(work), now).prefill_rate / max(1, engines)

    def sample(
        self, sampler: CandidateSampler, item: WorkItem, count: int, now: float
    ) -> list[Candidate]:
        """Return usable candidates: up to ``count``, and the prefix's owner."""
        drawn = sampler.sample(self.rng, count)
        if item.prefixes:
            prefix_owner = sampler.prefix_owner(item.prefixes[0][1])
            if prefix_owner is not None and prefix_owner not in drawn:
                drawn.append(prefix_owner)
        usable = [
            candidate for candidate in drawn if self.is_usable(candidate, item, now)
        ]
        if usable:
            return usable
        # Rare: none of the sample is usable, so check every candidate.
        rest = [
            candidate
            for candidate in sampler.candidates
            if self.is_usable(candidate, item, now)
        ]
        return rest[:count]


def no_target(pool: CandidatePool) -> PlacementRefusal:
    """Return the refusal for a pool without a usable target."""
    if not pool.size:
        return PlacementRefusal(Reason.NO_TARGET, MAX_RETRY_AFTER_SECONDS)
    return PlacementRefusal(Reason.AT_LIMIT, MIN_RETRY_AFTER_SECONDS)


class LeastLateness:
    """Chooses the earliest predicted end in a small sample; refuses late requests."""

    def __init__(self, context: RoutingContext, slack: float, prefill_rate: float):
        """Refuse requests predicted to take over ``slack`` times the time left.

        ``prefill_rate`` is the rate of one engine, in tokens per second.
        """
        self._context = context
        self._slack = slack
        self._prefill_rate = prefill_rate

    def choose(
        self, item: WorkItem, table: Table, now: float
    ) -> Result[Plan, PlacementRefusal]:
        """Return the plan with the lowest score: predicted end plus side cost."""
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
        return Failure(PlacementRefusal(Reason.TOO_LATE, wait, estimates))

    def _resume_plan(
        self, pool: CandidatePool, item: WorkItem, now: float
    ) -> Plan | None:
        """Return the plan to resume on the engine that still holds the KV cache."""
        if item.prefer is None:
            return None
        candidate = pool.samplers[Role.MIXED].by_name(item.prefer)
        if candidate is None or not self._context.is_usable(candidate, item, now):
            return None
        inflow = self._context.prefill_inflow(pool, item.work, now)
        return _with_reason(
            self._single_engine_plan(candidate, item, inflow, None, now),
            [],
            "resume on the same engine",
        )

    def _score(self, plan: Plan, item: WorkItem) -> float:
        """Return a plan's predicted end plus what its prefill costs other streams.

        Prefill stalls every stream of a mixed engine. The prefix's owner gets a small
        bonus, so that a prefix that is not cached anywhere yet is not prefilled on one
        engine after another.
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
            self._single_engine_plan(candidate, item, inflow, prefix_owner, now)
            for candidate in mixed
        ]
        if prefill and decode:
            plans.append(self._disaggregated_plan(prefill, decode, item, now))
        return plans

    def _single_engine_plan(
        self,
        candidate: Candidate,
        item: WorkItem,
        inflow: float,
        prefix_owner: Candidate | None,
        now: float,
    ) -> Plan:
        context = self._context
        name = candidate.row.name
        load = context.load.estimate(name, now)
        cached = context.prefixes.cached_tokens(name, item.prefixes)
        prefill = max(1, item.prompt_tokens - cached)
        prediction = context.cost.predict(load, prefill, item.output_tokens, inflow)
        return Plan(
            candidate.row,
            prediction,
            prefill,
            [],
            "",
            output_tokens=item.output_tokens,
            is_prefix_owner=candidate is prefix_owner,
            load=load,
        )

    def _disaggregated_plan(
        self,
        prefill: list[Candidate],
        decode: list[Candidate],
        item: WorkItem,
        now: float,
    ) -> Plan:
        """Return the best plan to prefill on one engine and decode on another."""
        cost = self._context.cost
        best_prefill = min(
            (self._prefill_estimate(candidate, item, now) for candidate in prefill),
            key=lambda estimate: estimate[1],
        )
        source, ready, tokens = best_prefill
        ready += cost.transfer_seconds(item.prompt_tokens)
        ends = [
            (cost.decode_seconds(load, item.output_tokens, 0.0), candidate.row, load)
            for candidate in decode
            for load in [self._context.load.estimate(candidate.row.name, now)]
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
        self, candidate: Candidate, item: WorkItem, now: float
    ) -> tuple[Candidate, float, int]:
        name = candidate.row.name
        cached = self._context.prefixes.cached_tokens(name, item.prefixes)
        tokens = max(1, item.prompt_tokens - cached)
        load = self._context.load.estimate(name, now)
        return candidate, self._context.cost.prefill_seconds(load, tokens), tokens


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
    """Chooses a replica of a plain service: the less busy of two random ones."""

    def __init__(self, context: RoutingContext):
        """Use the loads in ``context``."""
        self._context = context

    def choose(
        self, item: WorkItem, table: Table, now: float
    ) -> Result[Plan, PlacementRefusal]:
        """Return the sampled replica with the fewest open calls for its weight."""
        pool = self._context.pools.get(table, item.fleet, item.work)
        sampler = pool.samplers[Role.MIXED]
        drawn = self._context.sample(sampler, item, INITIAL_SAMPLE_SIZE, now)
        if not drawn:
            return Failure(no_target(pool))
        estimates = [
            CandidateEstimate(candidate.row.name, streams=load.streams)
            for candidate in drawn
            for load in [self._context.load.estimate(candidate.row.name, now)]
        ]
        loads = zip(estimates, drawn, strict=True)
        _, best = min(loads, key=lambda pair: (pair[0].streams + 1) / pair[1].weight)
        no_prediction = Prediction(0.0, 0.0)
        return Success(Plan(best.row, no_prediction, 0, estimates, "least open work"))

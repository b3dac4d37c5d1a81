"""Baseline routers for comparison with ``LeastLateness``."""

from collections.abc import Callable

from returns.result import Failure, Result, Success

from berylshift.ids import TargetName
from berylshift.process.engine_state.cost_model import Prediction
from berylshift.request.router import (
    PlacementRefusal,
    Plan,
    RoutingContext,
    WorkItem,
    no_target,
)
from berylshift.scheduling.candidate_pool import CandidatePool
from berylshift.targets import Role
from berylshift.version.table import Candidate, Table

Pick = Callable[[list[Candidate]], Candidate]


class RoundRobin:
    """Baseline: chooses the targets in turn."""

    def __init__(self, context: RoutingContext):
        """Start with the first target."""
        self._context = context
        self._turn = 0

    def choose(
        self, item: WorkItem, table: Table, now: float
    ) -> Result[Plan, PlacementRefusal]:
        """Return the next usable target."""
        pool = self._context.pools.get(table, item.fleet, item.work)
        self._turn += 1
        return _place(self._context, pool, item, now, self._next)

    def _next(self, candidates: list[Candidate]) -> Candidate:
        return candidates[self._turn % len(candidates)]


class LeastReported:
    """Baseline: chooses the least load in the last reports, without estimates."""

    def __init__(self, context: RoutingContext):
        """Use the reports in ``context``."""
        self._context = context

    def choose(
        self, item: WorkItem, table: Table, now: float
    ) -> Result[Plan, PlacementRefusal]:
        """Return the target with the fewest reported streams."""
        pool = self._context.pools.get(table, item.fleet, item.work)
        return _place(self._context, pool, item, now, self._least)

    def _least(self, candidates: list[Candidate]) -> Candidate:
        return min(candidates, key=lambda candidate: self._reported(candidate.row.name))

    def _reported(self, name: TargetName) -> tuple[int, int]:
        report = self._context.load.report(name)
        if report is None:
            return (0, 0)
        return (report.running + report.waiting, report.prefill_tokens)


def _place(
    context: RoutingContext, pool: CandidatePool, item: WorkItem, now: float, pick: Pick
) -> Result[Plan, PlacementRefusal]:
    """Place an item with ``pick`` in each role that it needs."""
    usable = {
        role: [
            cand for cand in sampler.candidates if context.is_usable(cand, item, now)
        ]
        for role, sampler in pool.samplers.items()
    }
    no_prediction = Prediction(0.0, 0.0)
    split = usable[Role.PREFILL] and usable[Role.DECODE]
    if usable[Role.MIXED] and not (
        split and context.rng.random() < _split_share(usable)
    ):
        row = pick(usable[Role.MIXED]).row
        return Success(Plan(row, no_prediction, item.prompt_tokens, [], "baseline"))
    if not split:
        return Failure(no_target(pool))
    source = pick(usable[Role.PREFILL]).row
    row = pick(usable[Role.DECODE]).row
    plan = Plan(
        row, no_prediction, item.prompt_tokens, [], "baseline", prefill_on=source
    )
    return Success(plan)


def _split_share(usable: dict[Role, list[Candidate]]) -> float:
    pairs = len(usable[Role.PREFILL]) + len(usable[Role.DECODE])
    return pairs / (pairs + len(usable[Role.MIXED]))

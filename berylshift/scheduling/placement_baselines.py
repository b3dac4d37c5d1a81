"""Baseline placement policies for comparison with ``Placer``."""

import random
from collections.abc import Callable, Collection, Iterable

from berylshift.ids import InstanceId
from berylshift.messages.load_digest import Urgency
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import Prompt
from berylshift.process.directory.pools import Pool
from berylshift.process.targets.target_load import TargetLoads
from berylshift.scheduling.placement import (
    Placement,
    PlacementReason,
    Placer,
    prefill_work,
)

Pick = Callable[[list[Replica], float], Replica]


class PickedPlacer:
    """Places by a single rule, without prefix affinity or predictions."""

    def __init__(self, pick: Pick):
        """Choose among the untried replicas with ``pick``."""
        self._pick = pick

    def choose_plain(
        self, pool: Pool, avoid: Iterable[InstanceId], now: float
    ) -> Placement | None:
        """Return the placement of a request without a prompt."""
        return self._place(pool.replicas, avoid, now, 0)

    def choose_prefill(
        self,
        pool: Pool,
        prompt: Prompt,
        urgency: Urgency,
        avoid: Iterable[InstanceId],
        now: float,
        event_gap_seconds: float = 0.0,
        among: Collection[InstanceId] = (),
    ) -> Placement | None:
        """Return the engine that should prefill a prompt."""
        work = prefill_work(prompt.tokens, 0)
        return self._place(pool.prefill_engines, avoid, now, work)

    def best_prefill_engines(
        self,
        pool: Pool,
        prompt: Prompt,
        urgency: Urgency,
        avoid: Iterable[InstanceId],
        now: float,
        count: int,
    ) -> list[InstanceId]:
        """Return none: the policy compares no queues."""
        return []

    def choose_decode(
        self,
        pool: Pool,
        prompt: Prompt,
        prefill_engine: Replica | None,
        avoid: Iterable[InstanceId],
        now: float,
        event_gap_seconds: float = 0.0,
    ) -> Placement | None:
        """Return the engine that should decode."""
        work = 0 if prefill_engine is not None else prefill_work(prompt.tokens, 0)
        return self._place(pool.decode_engines, avoid, now, work)

    def record_sent(self, placement: Placement, prompt: Prompt, now: float) -> None:
        """Do nothing: the policy does not track prompts."""

    def _place(
        self,
        replicas: list[Replica],
        avoid: Iterable[InstanceId],
        now: float,
        tokens: int,
    ) -> Placement | None:
        tried = set(avoid)
        untried = [rep for rep in replicas if rep.instance not in tried]
        if not untried:
            return None
        return Placement(
            self._pick(untried, now), PlacementReason.LEAST_LOADED, 0.0, tokens
        )


class RoundRobinPick:
    """Picks the replicas in turn."""

    def __init__(self, rng: random.Random):
        """Start at a random replica, so that hosts don't rotate in step."""
        self._turn = rng.randrange(1 << 16)

    def __call__(self, replicas: list[Replica], now: float) -> Replica:
        """Return the next replica."""
        self._turn += 1
        return replicas[self._turn % len(replicas)]


class LeastReportedPick:
    """Picks the replica with the least load in its last report."""

    def __init__(self, loads: TargetLoads, rng: random.Random):
        """Use the reports in ``loads``."""
        self._loads = loads
        self._rng = rng

    def __call__(self, replicas: list[Replica], now: float) -> Replica:
        """Return the replica with the fewest requests per slot; ties are random."""
        return min(replicas, key=self._reported)

    def _reported(self, replica: Replica) -> tuple[float, float]:
        report = self._loads.of(replica.instance).report
        requests = 0 if report is None else report.running + report.waiting
        return requests / max(1, replica.slots), self._rng.random()


class NoHomesPlacer(Placer):
    """The placer without prefix affinity: no home engines, no cached prefixes."""

    def _homes(self, pool: Pool, prompt: Prompt) -> tuple[Replica, ...]:
        return ()

    def _cached_tokens(self, replica: Replica, prompt: Prompt) -> int:
        return 0

    def record_sent(self, placement: Placement, prompt: Prompt, now: float) -> None:
        """Do nothing: cached prefixes are ignored."""

"""Simple ways of placing, to compare the placement with."""

import random
from collections.abc import Callable, Iterable

from berylshift.ids import InstanceId
from berylshift.messages.load_digest import Urgency
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import Prompt
from berylshift.process.directory.pools import Pool
from berylshift.process.targets.target_load import TargetLoads
from berylshift.request.placement import Placement, Placer, Reason, reading_work

Pick = Callable[[list[Replica], float], Replica]


class PickedPlacer:
    """Places by one rule alone; knows no prefix and predicts nothing."""

    def __init__(self, pick: Pick):
        """Choose among the untried replicas by ``pick``."""
        self._pick = pick

    def plain(
        self, pool: Pool, avoid: Iterable[InstanceId], now: float
    ) -> Placement | None:
        """Return the place of a request without a prompt."""
        return self._place(pool.replicas, avoid, now, 0)

    def reader(
        self,
        pool: Pool,
        prompt: Prompt,
        urgency: Urgency,
        avoid: Iterable[InstanceId],
        now: float,
    ) -> Placement | None:
        """Return the engine that should read a prompt."""
        work = reading_work(prompt.tokens, 0)
        return self._place(pool.prefill_engines, avoid, now, work)

    def answerer(
        self,
        pool: Pool,
        prompt: Prompt,
        reader: Replica | None,
        avoid: Iterable[InstanceId],
        now: float,
    ) -> Placement | None:
        """Return the engine that should answer."""
        work = 0 if reader is not None else reading_work(prompt.tokens, 0)
        return self._place(pool.decode_engines, avoid, now, work)

    def note_sent(self, place: Placement, prompt: Prompt, now: float) -> None:
        """Keep nothing."""

    def _place(
        self,
        replicas: list[Replica],
        avoid: Iterable[InstanceId],
        now: float,
        tokens: int,
    ) -> Placement | None:
        tried = set(avoid)
        left = [rep for rep in replicas if rep.instance not in tried]
        if not left:
            return None
        return Placement(self._pick(left, now), Reason.LEAST_LOADED, 0.0, tokens)


class RoundRobinPick:
    """Each replica in turn."""

    def __init__(self, rng: random.Random):
        """Begin anywhere, so that hosts don't go round together."""
        self._turn = rng.randrange(1 << 16)

    def __call__(self, replicas: list[Replica], now: float) -> Replica:
        """Return the next one."""
        self._turn += 1
        return replicas[self._turn % len(replicas)]


class LeastReportedPick:
    """The least load by each replica's own last word."""

    def __init__(self, loads: TargetLoads, rng: random.Random):
        """Look at the reports in ``loads``."""
        self._loads = loads
        self._rng = rng

    def __call__(self, replicas: list[Replica], now: float) -> Replica:
        """Return the one with the fewest requests, any of these."""
        return min(replicas, key=self._reported)

    def _reported(self, replica: Replica) -> tuple[float, float]:
        report = self._loads.of(replica.instance).report
        requests = 0 if report is None else report.running + report.waiting
        return requests / max(1, replica.slots), self._rng.random()


class NoHomesPlacer(Placer):
    """The placement without what engines keep of prompts."""

    def _homes(self, pool: Pool, prompt: Prompt) -> tuple[Replica, ...]:
        return ()

    def _kept(self, replica: Replica, prompt: Prompt) -> int:
        return 0

    def note_sent(self, place: Placement, prompt: Prompt, now: float) -> None:
        """Keep nothing."""

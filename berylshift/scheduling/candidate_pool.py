"""Pools of candidate targets, prepared for weighted sampling.

Sampling takes time logarithmic in the number of targets, so that a routing decision
costs about the same in a fleet of ten as in one of thousands.
"""

import random
from bisect import bisect
from itertools import accumulate

from uhashring import HashRing

from berylshift.ids import FleetName, TargetName, WorkName
from berylshift.process.engine_state.load_view import LoadView
from berylshift.targets import Role
from berylshift.version.rows import RowKind
from berylshift.version.table import Candidate, Table

VNODES_PER_TARGET = 40


class CandidateSampler:
    """Selects candidates by weight, by name or by a prompt's prefix."""

    def __init__(self, candidates: list[Candidate]):
        """Prepare for sampling; the candidates' weights must be above 0."""
        self.candidates = candidates
        self._by_name = {candidate.row.name: candidate for candidate in candidates}
        self._cumulative_weights = list(
            accumulate(candidate.weight for candidate in candidates)
        )
        self._ring: HashRing | None = None

    @property
    def size(self) -> int:
        """Return the number of candidates."""
        return len(self.candidates)

    def sample(self, rng: random.Random, count: int) -> list[Candidate]:
        """Return up to ``count`` different candidates, drawn in proportion to weight.

        A small set is returned whole, in random order.
        """
        if count >= len(self.candidates):
            # In a fixed order, every host would resolve ties to the first candidate.
            return rng.sample(self.candidates, len(self.candidates))
        sampled: dict[str, Candidate] = {}
        for _ in range(3 * count):
            position = bisect(
                self._cumulative_weights, rng.random() * self._cumulative_weights[-1]
            )
            candidate = self.candidates[min(position, len(self.candidates) - 1)]
            sampled[candidate.row.target] = candidate
            if len(sampled) == count:
                break
        return list(sampled.values())

    def by_name(self, name: TargetName) -> Candidate | None:
        """Return the candidate with a name, if there is one."""
        return self._by_name.get(name)

    def prefix_owner(self, prefix: int) -> Candidate | None:
        """Return the candidate that consistent hashing assigns to a prefix."""
        if not self.candidates:
            return None
        if self._ring is None:
            nodes = {
                candidate.row.name: {"weight": 1, "vnodes": VNODES_PER_TARGET}
                for candidate in self.candidates
            }
            self._ring = HashRing(nodes=nodes)
        return self._by_name[self._ring.get_node(str(prefix))]


class CandidatePool:
    """The candidates of one fleet and one model or service, by role."""

    def __init__(self, candidates: list[Candidate], load: LoadView):
        """Group ``candidates`` by the roles in ``load``."""
        by_role: dict[Role, list[Candidate]] = {role: [] for role in Role}
        for candidate in candidates:
            is_service = candidate.row.kind is RowKind.SERVICE
            role = Role.MIXED if is_service else load.role(candidate.row.name)
            by_role[role].append(candidate)
        self.size = len(candidates)
        self.samplers = {
            role: CandidateSampler(items) for role, items in by_role.items()
        }


class CandidatePoolCache:
    """Pools for the current table version, created on first use."""

    def __init__(self, load: LoadView):
        """Group candidates by the roles in ``load``."""
        self._load = load
        self._pools: dict[tuple[FleetName, WorkName], CandidatePool] = {}
        self._pools_versions: tuple[int, int] = (-1, -1)

    def get(self, table: Table, fleet: FleetName, work: WorkName) -> CandidatePool:
        """Return the pool for a fleet's model or service."""
        versions = (table.version, self._load.roles_version)
        if versions != self._pools_versions:
            self._pools.clear()
            self._pools_versions = versions
        pool = self._pools.get((fleet, work))
        if pool is None:
            pool = CandidatePool(table.candidates(fleet, work), self._load)
            self._pools[fleet, work] = pool
        return pool

"""The targets that one fleet's work may go to, ready to be sampled.

Sampling costs the logarithm of the number of targets, so that a decision costs
the same in a fleet of ten and of thousands.
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
    """Samples candidates by weight, or by a prompt's prefix."""

    def __init__(self, candidates: list[Candidate]):
        """Prepare sampling; the candidates' weights are above 0."""
        self.candidates = candidates
        self._by_name = {item.row.name: item for item in candidates}
        self._sums = list(accumulate(item.weight for item in candidates))
        self._ring: HashRing | None = None

    @property
    def size(self) -> int:
        """Return how many candidates there are."""
        return len(self.candidates)

    def sample(self, rng: random.Random, count: int) -> list[Candidate]:
        """Return up to ``count`` different candidates, heavier ones more often."""
        if count >= len(self.candidates):
            # In a fixed order, ties would send every host to the first one.
            return rng.sample(self.candidates, len(self.candidates))
        found: dict[str, Candidate] = {}
        for _ in range(3 * count):
            place = bisect(self._sums, rng.random() * self._sums[-1])
            item = self.candidates[min(place, len(self.candidates) - 1)]
            found[item.row.target] = item
            if len(found) == count:
                break
        return list(found.values())

    def by_name(self, name: TargetName) -> Candidate | None:
        """Return the candidate of that name."""
        return self._by_name.get(name)

    def prefix_owner(self, prefix: int) -> Candidate | None:
        """Return the candidate that a prefix belongs to."""
        if not self.candidates:
            return None
        if self._ring is None:
            nodes = {
                item.row.name: {"weight": 1, "vnodes": VNODES_PER_TARGET}
                for item in self.candidates
            }
            self._ring = HashRing(nodes=nodes)
        return self._by_name[self._ring.get_node(str(prefix))]


class CandidatePool:
    """The candidates of one fleet and one model or service, by role."""

    def __init__(self, candidates: list[Candidate], load: LoadView):
        """Sort ``candidates`` by the roles that ``load`` knows."""
        by_role: dict[Role, list[Candidate]] = {role: [] for role in Role}
        for item in candidates:
            plain = item.row.kind is RowKind.SERVICE
            role = Role.MIXED if plain else load.role(item.row.name)
            by_role[role].append(item)
        self.size = len(candidates)
        self.samplers = {
            role: CandidateSampler(items) for role, items in by_role.items()
        }


class CandidatePoolCache:
    """Pools of the table version in force, made when first asked for."""

    def __init__(self, load: LoadView):
        """Sort by the roles in ``load``."""
        self._load = load
        self._pools: dict[tuple[FleetName, WorkName], CandidatePool] = {}
        self._pools_versions: tuple[int, int] = (-1, -1)

    def get(self, table: Table, fleet: FleetName, work: WorkName) -> CandidatePool:
        """Return the pool for a fleet's work."""
        current = (table.version, self._load.roles_version)
        if current != self._pools_versions:
            self._pools.clear()
            self._pools_versions = current
        pool = self._pools.get((fleet, work))
        if pool is None:
            pool = CandidatePool(table.candidates(fleet, work), self._load)
            self._pools[fleet, work] = pool
        return pool

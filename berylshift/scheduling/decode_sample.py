"""Which decode engines a decision compares where engines differ."""

import random
from collections.abc import Iterable

from berylshift.ids import DomainName, InstanceId
from berylshift.messages.replicas import Replica
from berylshift.process.directory.pools import Pool
from berylshift.scheduling.capacity_weights import CapacityWeights
from berylshift.scheduling.decode_pacing import DecodePacing

# Decode engines compared where engines differ in capacity or in the gaps between
# events: those of the host's own domain, and all. Hosts learn of each other's streams
# with a delay. If all of them compared all engines, they would crowd the same engine
# meanwhile; the more they compare, the more streams are late under high load.
NEAR_DECODE_ENGINES = 2
ANY_DECODE_ENGINES = 1


class DecodeSample:
    """Draws a few decode engines by capacity, rather near than far ones."""

    def __init__(
        self,
        weights: CapacityWeights,
        pacing: DecodePacing,
        domain: DomainName,
        rng: random.Random,
    ):
        """Draw for a host in ``domain``."""
        self._weights = weights
        self._pacing = pacing
        self._domain = domain
        self._rng = rng

    def draw(
        self, pool: Pool, avoid: Iterable[InstanceId], now: float
    ) -> list[Replica]:
        """Return engines that are not in ``avoid``; none if engines don't differ."""
        weights = self._weights.of(pool, now)
        if weights is None or (weights.is_even and not self._pacing.has_learned):
            return []
        near = weights.decode_engines_in(self._domain)
        drawn = (
            *near.sample(self._rng, NEAR_DECODE_ENGINES),
            *weights.decode_engines().sample(self._rng, ANY_DECODE_ENGINES),
        )
        avoided = set(avoid)
        found = {rep.instance: rep for rep in drawn if rep.instance not in avoided}
        return list(found.values())

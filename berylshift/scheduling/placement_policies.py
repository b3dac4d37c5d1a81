"""Placement policies by the names that the settings use."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from berylshift.ids import DomainName
from berylshift.process.gossip.peer_loads import PeerLoads
from berylshift.process.queues.queue_view import QueueView
from berylshift.process.targets.engine_speeds import EngineSpeeds
from berylshift.process.targets.fetch_results import FetchResults
from berylshift.process.targets.prefix_cache_index import PrefixCacheIndex
from berylshift.process.targets.target_load import TargetLoads
from berylshift.scheduling.capacity import EvenCapacity, ReplicaCapacity
from berylshift.scheduling.decode_cache import DecodeCache
from berylshift.scheduling.features import NO_FEATURES, Features
from berylshift.scheduling.placement import PlacementPolicy, Placer
from berylshift.scheduling.placement_baselines import (
    LeastReportedPick,
    NoHomesPlacer,
    PickedPlacer,
    RoundRobinPick,
)
from berylshift.scheduling.prefix_fetch import PrefixFetchPlanner
from berylshift.scheduling.used_capacity import UsedCapacity


@dataclass
class PlacementContext:
    """The state of a host that a placement policy may use."""

    loads: TargetLoads
    peers: PeerLoads
    prefix_cache: PrefixCacheIndex
    speeds: EngineSpeeds
    domain: DomainName
    rng: random.Random
    capacity: ReplicaCapacity = field(default_factory=EvenCapacity)
    features: Features = NO_FEATURES
    decode_cache: DecodeCache | None = None
    fetch_results: FetchResults = field(default_factory=FetchResults)
    queues: QueueView = field(default_factory=QueueView)

    def used_capacity(self) -> UsedCapacity:
        """Return the capacity of replicas as far as their services use it."""
        return UsedCapacity(self.capacity, self.features)

    @property
    def fetches(self) -> PrefixFetchPlanner:
        """Return the planner of prefix fetches on this state."""
        return PrefixFetchPlanner(
            self.features,
            self.prefix_cache,
            self.speeds,
            self.loads,
            self.peers,
            self.fetch_results,
            self.rng,
        )


def _make(
    kind: type[Placer],
    context: PlacementContext,
    fetches: PrefixFetchPlanner | None = None,
) -> Placer:
    return kind(
        context.loads,
        context.peers,
        context.prefix_cache,
        context.speeds,
        context.domain,
        context.rng,
        context.used_capacity(),
        context.decode_cache,
        fetches,
        context.queues,
    )


def _warm(context: PlacementContext) -> PlacementPolicy:
    return _make(Placer, context, context.fetches)


def _no_homes(context: PlacementContext) -> PlacementPolicy:
    return _make(NoHomesPlacer, context)


def _round_robin(context: PlacementContext) -> PlacementPolicy:
    return PickedPlacer(RoundRobinPick(context.rng))


def _least_reported(context: PlacementContext) -> PlacementPolicy:
    return PickedPlacer(LeastReportedPick(context.loads, context.rng))


PLACEMENT_POLICIES: dict[str, Callable[[PlacementContext], PlacementPolicy]] = {
    "warm": _warm,
    "no-homes": _no_homes,
    "least-reported": _least_reported,
    "round-robin": _round_robin,
}

"""The ways of placing that the settings name."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from berylshift.ids import DomainName
from berylshift.process.gossip.peer_loads import PeerLoads
from berylshift.process.targets.engine_speeds import EngineSpeeds
from berylshift.process.targets.prefix_cache_index import PrefixCacheIndex
from berylshift.process.targets.target_load import TargetLoads
from berylshift.request.placement import Placer, Placing
from berylshift.request.placement_baselines import (
    LeastReportedPick,
    NoHomesPlacer,
    PickedPlacer,
    RoundRobinPick,
)


@dataclass
class PlacingParts:
    """What a host knows that a placement may go by."""

    loads: TargetLoads
    peers: PeerLoads
    warm: PrefixCacheIndex
    speeds: EngineSpeeds
    domain: DomainName
    rng: random.Random


def _make(kind: type[Placer], parts: PlacingParts) -> Placer:
    return kind(
        parts.loads, parts.peers, parts.warm, parts.speeds, parts.domain, parts.rng
    )


def _warm(parts: PlacingParts) -> Placing:
    return _make(Placer, parts)


def _no_homes(parts: PlacingParts) -> Placing:
    return _make(NoHomesPlacer, parts)


def _round_robin(parts: PlacingParts) -> Placing:
    return PickedPlacer(RoundRobinPick(parts.rng))


def _least_reported(parts: PlacingParts) -> Placing:
    return PickedPlacer(LeastReportedPick(parts.loads, parts.rng))


PLACINGS: dict[str, Callable[[PlacingParts], Placing]] = {
    "warm": _warm,
    "no-homes": _no_homes,
    "least-reported": _least_reported,
    "round-robin": _round_robin,
}

"""The ways of placing that the settings name."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from berylshift.ids import DomainName
from berylshift.process.targets.engine_speeds import EngineSpeeds
from berylshift.process.targets.target_load import TargetLoads
from berylshift.process.targets.warm_parts import WarmParts
from berylshift.process.telling.peer_loads import PeerLoads
from berylshift.request.placement import PlacementPolicy, Placer
from berylshift.request.placement_baselines import (
    LeastReportedPick,
    NoHomesPlacer,
    PickedPlacer,
    RoundRobinPick,
)


@dataclass
class PlacementContext:
    """What a host knows that a placement may go by."""

    loads: TargetLoads
    peers: PeerLoads
    warm: WarmParts
    speeds: EngineSpeeds
    domain: DomainName
    rng: random.Random


def _make(kind: type[Placer], parts: PlacementContext) -> Placer:
    return kind(
        parts.loads, parts.peers, parts.warm, parts.speeds, parts.domain, parts.rng
    )


def _warm(parts: PlacementContext) -> PlacementPolicy:
    return _make(Placer, parts)


def _no_homes(parts: PlacementContext) -> PlacementPolicy:
    return _make(NoHomesPlacer, parts)


def _round_robin(parts: PlacementContext) -> PlacementPolicy:
    return PickedPlacer(RoundRobinPick(parts.rng))


def _least_reported(parts: PlacementContext) -> PlacementPolicy:
    return PickedPlacer(LeastReportedPick(parts.loads, parts.rng))


PLACEMENT_POLICIES: dict[str, Callable[[PlacementContext], PlacementPolicy]] = {
    "warm": _warm,
    "no-homes": _no_homes,
    "least-reported": _least_reported,
    "round-robin": _round_robin,
}

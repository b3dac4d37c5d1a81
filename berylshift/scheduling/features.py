"""Which scheduling features are used for a service.

A feature that a deployment does not call for stays unused there: decisions, and the
messages between hosts, are then the same as without it.
"""

from collections.abc import Callable, Mapping
from enum import StrEnum

from berylshift.ids import ServiceName


class Feature(StrEnum):
    """A scheduling feature, by the name of its setting."""

    REPLICA_SPEEDS = "replica_speeds"
    HANDLE_TRACKING = "handle_tracking"
    PREFIX_FETCH = "prefix_fetch"
    FAIR_SHARES = "fair_shares"
    PHASE_SPLIT = "phase_split"
    REPLICA_GOSSIP = "replica_gossip"
    QUEUE_QUERIES = "queue_queries"


class FeatureMode(StrEnum):
    """Whether a feature is used: never, where called for, or always."""

    OFF = "off"
    AUTO = "auto"
    ON = "on"


# Where cache room is short but engines are alike, tracking handles lets in streams that
# are then served late (docs/decisions/uneven.md).
NOT_CALLED_FOR_BY_CONTENTION = frozenset({Feature.HANDLE_TRACKING})


class Features:
    """The features in use, by service."""

    def __init__(
        self,
        modes: Mapping[Feature, FeatureMode],
        contended: bool = False,
        states_work_time: Callable[[ServiceName], bool] = lambda service: False,
    ):
        """Use features by ``modes``; those without one are off.

        ``contended``: the deployment's contracts announce contention, which calls for
        all features but ``NOT_CALLED_FOR_BY_CONTENTION``.
        ``states_work_time`` returns whether replicas of a service state how long work
        takes there.
        """
        self._modes = dict(modes)
        self._contended = contended
        self._states_work_time = states_work_time

    def uses(self, feature: Feature, service: ServiceName) -> bool:
        """Return whether a feature is used for a service."""
        mode = self._modes.get(feature, FeatureMode.OFF)
        if mode is not FeatureMode.AUTO:
            return mode is FeatureMode.ON
        if self._contended and feature not in NOT_CALLED_FOR_BY_CONTENTION:
            return True
        return self._states_work_time(service)


NO_FEATURES = Features({})

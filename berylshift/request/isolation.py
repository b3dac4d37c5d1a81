"""Where requests go on that ran on a replica as it ended.

One of them may end whatever runs it. Spread over all that is left, several such
requests end all of it at once. So they go on at few replicas, which all hosts choose
alike, and never at the last one that serves the others.
"""

from collections.abc import Iterable

from berylshift.ids import InstanceId
from berylshift.messages.load_digest import target_hash
from berylshift.messages.replicas import Replica

# Of the replicas left, one in so many takes suspects.
REPLICAS_PER_ISOLATION_REPLICA = 3


def remaining_replicas(
    replicas: Iterable[Replica], avoid: Iterable[InstanceId]
) -> list[Replica]:
    """Return the replicas that are not avoided."""
    avoided = set(avoid)
    return [rep for rep in replicas if rep.instance not in avoided]


def isolation_replicas(left: list[Replica]) -> list[Replica]:
    """Return the replicas among ``left`` that suspects may go to."""
    ranked = sorted(left, key=lambda rep: target_hash(rep.instance))
    return ranked[: max(1, len(left) // REPLICAS_PER_ISOLATION_REPLICA)]


def is_last_remaining(left: list[Replica], listed: list[Replica]) -> bool:
    """Return whether one replica alone is left of several: the others ended lately."""
    return len(left) == 1 and len(listed) > 1

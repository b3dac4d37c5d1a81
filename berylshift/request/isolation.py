"""Isolation of suspect requests: those that ran on a replica when it crashed.

One of them may be a query of death, which crashes any replica that runs it. If
suspects were retried on all remaining replicas, several of them could crash all of
these at once. They are therefore retried on a few replicas only, which all hosts choose
alike, and never on the last replica that serves other requests.
"""

from collections.abc import Iterable

from berylshift.ids import InstanceId
from berylshift.messages.load_digest import target_hash
from berylshift.messages.replicas import Replica

# One in this many of the remaining replicas takes suspect requests.
REPLICAS_PER_ISOLATION_REPLICA = 3


def remaining_replicas(
    replicas: Iterable[Replica], avoid: Iterable[InstanceId]
) -> list[Replica]:
    """Return the replicas that are not in ``avoid``."""
    avoided = set(avoid)
    return [rep for rep in replicas if rep.instance not in avoided]


def isolation_replicas(remaining: list[Replica]) -> list[Replica]:
    """Return the remaining replicas that suspect requests may be sent to."""
    ranked = sorted(remaining, key=lambda rep: target_hash(rep.instance))
    return ranked[: max(1, len(remaining) // REPLICAS_PER_ISOLATION_REPLICA)]


def is_last_remaining(remaining: list[Replica], listed: list[Replica]) -> bool:
    """Return whether a single replica remains of several: the others have crashed."""
    return len(remaining) == 1 and len(listed) > 1

"""What one entry host tells the others of its work at replicas."""

import functools
from enum import IntEnum

import msgspec
import xxhash

from berylshift.ids import Fingerprint, InstanceId, Revision, StoreEra
from berylshift.messages.replicas import EnginePhase
from berylshift.messages.usage import RunCount
from berylshift.store.eras import FIRST_ERA

# Hashes kept at hand: each placement asks for those of a dozen engines several times.
HASHES_KEPT = 8192
# Prompt tokens yet to be read: urgent, usual, patient.
ReadingTokens = tuple[int, int, int]


class Urgency(IntEnum):
    """Classes of prompts; engines read the more urgent ones first."""

    URGENT = 0
    USUAL = 1
    PATIENT = 2


def urgency_of(rank: int) -> Urgency:
    """Return the class of a route's rank, 0 being the most urgent rank."""
    return Urgency(min(rank, Urgency.PATIENT))


class Scope(IntEnum):
    """Whose work a digest holds: one host's, a failure domain's, or all hosts'."""

    HOST = 0
    DOMAIN = 1
    FLEET = 2


class LoadEntry(msgspec.Struct, frozen=True):
    """Work at one replica; ``target`` is the short hash of its name.

    ``failures`` is the most that one host holds against the replica, ``second`` the
    most that another one does; one host's digest has no second.
    """

    target: int
    in_flight: int
    reading: ReadingTokens
    failures: float
    second: float = 0.0


class PartRead(msgspec.Struct, frozen=True):
    """A shared part of ``tokens`` that an engine reads; both by their short hashes."""

    part: int
    target: int
    tokens: int


class PhaseTold(msgspec.Struct, frozen=True):
    """An engine was ordered to take a phase ``age`` seconds ago."""

    target: int
    phase: EnginePhase
    age: float


class LimitTold(msgspec.Struct, frozen=True):
    """A replica named a limit in requests a second, ``age`` seconds ago.

    ``None``: it names none any more. ``target`` is the short hash of its name.
    """

    target: int
    per_second: float | None
    age: float


class CrashReport(msgspec.Struct, frozen=True):
    """A replica broke off ``age`` seconds ago while it had a request.

    ``target`` is the short hash of the replica's name.
    """

    request: Fingerprint
    target: int
    age: float


class FeedWord(msgspec.Struct, frozen=True):
    """What a reader of one of the store's feeds knows of it.

    Nothing has changed after revision ``changed`` as of ``store_ms``, the store's
    steady clock in milliseconds; the store was at ``revision`` then. All of it counts
    in ``era`` alone.
    """

    changed: Revision
    revision: Revision
    store_ms: int
    era: StoreEra = FIRST_ERA


class StoreWord(msgspec.Struct, frozen=True):
    """What a host knows of both feeds.

    ``back_ms`` is when the store was last back after an outage, on its own clock; 0:
    none is known.
    """

    routes: FeedWord
    replicas: FeedWord
    back_ms: int = 0


class LoadDigest(msgspec.Struct, frozen=True):
    """Work that ``host`` tells; a higher ``sequence`` replaces a lower one.

    ``domain`` is the sender's; ``hosts`` is how many hosts the work is of. A sender
    that ``follows`` reads the store's feeds for the others. ``finished`` are requests
    that ran to their end after a replica broke off under them. ``runs`` are requests
    that began, of the sender's process that started at ``start`` (Unix milliseconds),
    or of its domain; usage is reported through window ``usage_done``.
    """

    host: str
    sequence: int
    entries: tuple[LoadEntry, ...]
    reads: tuple[PartRead, ...] = ()
    phases: tuple[PhaseTold, ...] = ()
    scope: Scope = Scope.HOST
    domain: str = ""
    hosts: int = 1
    follows: bool = False
    word: StoreWord | None = None
    crashes: tuple[CrashReport, ...] = ()
    finished: tuple[Fingerprint, ...] = ()
    start: int = 0
    runs: tuple[RunCount, ...] = ()
    usage_done: int = 0
    limits: tuple[LimitTold, ...] = ()


@functools.lru_cache(HASHES_KEPT)
def target_hash(instance: InstanceId) -> int:
    """Return the 32-bit hash that stands for an instance in digests."""
    return xxhash.xxh32_intdigest(instance.encode())

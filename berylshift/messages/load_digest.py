"""What one entry host tells the others of its work at replicas."""

import functools
from enum import IntEnum

import msgspec
import xxhash

from berylshift.ids import InstanceId
from berylshift.messages.replicas import EnginePhase

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


class LoadEntry(msgspec.Struct, frozen=True):
    """Work of one host at one replica; ``target`` is the short hash of its name."""

    target: int
    in_flight: int
    reading: ReadingTokens
    failures: float


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


class LoadDigest(msgspec.Struct, frozen=True):
    """All work of one host; a higher ``sequence`` replaces a lower one."""

    host: str
    sequence: int
    entries: tuple[LoadEntry, ...]
    reads: tuple[PartRead, ...] = ()
    phases: tuple[PhaseTold, ...] = ()


@functools.lru_cache(HASHES_KEPT)
def target_hash(instance: InstanceId) -> int:
    """Return the 32-bit hash that stands for an instance in digests."""
    return xxhash.xxh32_intdigest(instance.encode())

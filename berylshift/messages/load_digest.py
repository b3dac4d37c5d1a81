"""The load digest: what one entry host sends the others of its load at replicas."""

import functools
from enum import IntEnum

import msgspec
import xxhash

from berylshift.ids import BlockKey, Fingerprint, InstanceId, Revision, StoreEra
from berylshift.messages.replica_updates import ReplicaPiece
from berylshift.messages.replicas import EnginePhase
from berylshift.messages.usage import RunCount
from berylshift.store.eras import FIRST_ERA
from berylshift.store.host_rows import HostRecord

# Each placement looks up the hashes of a dozen engines several times.
MAX_CACHED_HASHES = 8192
# Prompt tokens that still need prefill: urgent, usual, patient.
PrefillTokens = tuple[int, int, int]


class Urgency(IntEnum):
    """Priority classes of prompts; engines prefill the more urgent ones first."""

    URGENT = 0
    USUAL = 1
    PATIENT = 2


def urgency_of(rank: int) -> Urgency:
    """Return the class of a route's rank, 0 being the most urgent rank."""
    return Urgency(min(rank, Urgency.PATIENT))


class Scope(IntEnum):
    """Whose load a digest holds: one host's, a failure domain's, or all hosts'."""

    HOST = 0
    DOMAIN = 1
    ALL_HOSTS = 2


class LoadEntry(msgspec.Struct, frozen=True):
    """Load at one replica; ``target`` is the short hash of its name.

    ``failures`` is the highest failure weight that any one host has recorded for the
    replica, ``second_failures`` the second highest of another host. The digest of a
    single host has no second one.
    """

    target: int
    in_flight: int
    prefill_tokens: PrefillTokens
    failures: float
    second_failures: float = 0.0


class BlockPrefill(msgspec.Struct, frozen=True):
    """The prefill of a prefix block of ``tokens`` by an engine.

    ``block`` and ``target`` are the short hashes of the block and the engine.
    """

    block: int
    target: int
    tokens: int


class PhaseUpdate(msgspec.Struct, frozen=True):
    """An engine was ordered to take a phase ``age_seconds`` ago."""

    target: int
    phase: EnginePhase
    age_seconds: float


class LimitUpdate(msgspec.Struct, frozen=True):
    """A replica stated a limit in requests a second, ``age_seconds`` ago.

    ``None``: it no longer states one. ``target`` is the short hash of its name.
    """

    target: int
    requests_per_second: float | None
    age_seconds: float


class SpeedKind(IntEnum):
    """What an update on a replica's speed holds.

    ``STATED``: the time factor that the replica states; ``PREFILL``: the time factor
    that a prefill showed; ``EVENT_GAP``: the longest gap between events of a stream, in
    seconds.
    """

    STATED = 0
    PREFILL = 1
    EVENT_GAP = 2


class SpeedUpdate(msgspec.Struct, frozen=True):
    """What a host learned of a replica's speed, ``age_seconds`` ago.

    ``target`` is the short hash of the replica's name.
    """

    target: int
    kind: SpeedKind
    value: float
    age_seconds: float


class HandleCounts(msgspec.Struct, frozen=True):
    """KV handles of an engine that were fetched, and that were lost before.

    Both counts decay with a half-life that all hosts use. ``target`` is the short hash
    of the engine's name.
    """

    target: int
    uses: float
    losses: float


class CustomerTokens(msgspec.Struct, frozen=True):
    """Prefill tokens that a customer asked a service for.

    The count decays with a half-life that all hosts use. ``service`` is the short hash
    of the service's name, ``customer`` that of the customer's; 0: all customers.
    """

    service: int
    customer: int
    tokens: int


class CrashReport(msgspec.Struct, frozen=True):
    """A replica crashed ``age_seconds`` ago while it served a request.

    ``target`` is the short hash of the replica's name.
    """

    request: Fingerprint
    target: int
    age_seconds: float


class BlockReport(msgspec.Struct, frozen=True):
    """A replica crashed ``age_seconds`` ago under a prompt with a block.

    ``target`` is the short hash of the replica's name; ``None``: a prompt with the
    block completed then, for any customer.
    """

    key: BlockKey
    target: int | None
    age_seconds: float


class FeedStatus(msgspec.Struct, frozen=True):
    """State of one of the store's feeds, as a host last read it.

    At ``store_ms`` (the store's monotonic clock, in milliseconds) the store was at
    ``revision``, and the feed's last change was at ``last_change``. The values are
    valid in ``era`` only.
    """

    last_change: Revision
    revision: Revision
    store_ms: int
    era: StoreEra = FIRST_ERA


class StoreStatus(msgspec.Struct, frozen=True):
    """What a host knows of both feeds.

    ``recovered_ms`` is when the store last recovered from an outage, on its own clock;
    0: no recovery is known.
    """

    routes: FeedStatus
    replicas: FeedStatus
    recovered_ms: int = 0


class LoadDigest(msgspec.Struct, frozen=True):
    """Load that ``host`` sends; a higher ``sequence`` replaces a lower one.

    ``domain`` is the sender's; ``hosts`` is the number of hosts whose load it holds. A
    sender that ``reads_feeds`` reads the store's feeds for the others. ``finished`` are
    requests that completed after a replica crashed while serving them. ``runs`` counts
    requests that started to run: with the scope ``DOMAIN`` at all hosts of the sender's
    domain, otherwise in the sender's process, which started at ``started_ms`` (Unix
    milliseconds). Windows up to and including ``usage_done`` need no usage report any
    more. ``handles`` replaces what the sender's former digest held; so does ``demand``,
    unless it is empty. ``replicas`` are changes of the replica
    feed, ``blocks`` crashes and completions of prompt blocks. ``request_rate`` is how
    many requests a second the sender gets; 0: it does not tell. ``joined`` holds the
    records of hosts that others may know at an older address, the sender's for one.
    """

    host: str
    sequence: int
    entries: tuple[LoadEntry, ...]
    prefills: tuple[BlockPrefill, ...] = ()
    phases: tuple[PhaseUpdate, ...] = ()
    scope: Scope = Scope.HOST
    domain: str = ""
    hosts: int = 1
    reads_feeds: bool = False
    store_status: StoreStatus | None = None
    crashes: tuple[CrashReport, ...] = ()
    finished: tuple[Fingerprint, ...] = ()
    started_ms: int = 0
    runs: tuple[RunCount, ...] = ()
    usage_done: int = 0
    limits: tuple[LimitUpdate, ...] = ()
    speeds: tuple[SpeedUpdate, ...] = ()
    handles: tuple[HandleCounts, ...] = ()
    demand: tuple[CustomerTokens, ...] = ()
    replicas: tuple[ReplicaPiece, ...] = ()
    blocks: tuple[BlockReport, ...] = ()
    request_rate: float = 0.0
    joined: tuple[HostRecord, ...] = ()


@functools.lru_cache(MAX_CACHED_HASHES)
def target_hash(instance: InstanceId) -> int:
    """Return the 32-bit hash that stands for an instance in digests."""
    return xxhash.xxh32_intdigest(instance.encode())

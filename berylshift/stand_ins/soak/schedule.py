"""The faults of one soak run, drawn from its seed."""

import random
from enum import StrEnum

import msgspec


class Fault(StrEnum):
    """What happens to a host, a replica or the store."""

    STOP = "stop"
    KILL = "kill"
    FREEZE = "freeze"
    RELOAD = "reload"
    ROUTES = "routes"
    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    LATE_COPIES = "late-copies"
    HANDLES_LOST = "handles-lost"
    REFUSALS = "refusals"
    ERRORS = "errors"
    RATE_LIMIT = "rate-limit"
    SLOW_REPLICA = "slow-replica"
    DRAIN = "drain"
    UPLOADS = "uploads"
    ALL_SILENT = "all-silent"
    ONE_SILENT = "one-silent"
    RELEASE = "release"
    # A release of which one host does not learn, while the others end or stand still.
    STRAND = "strand"
    KILL_ALL = "kill-all"
    FREEZE_ALL = "freeze-all"
    STORE_CUT = "store-cut"
    STORE_HELD = "store-held"
    CRASH = "crash"
    PARTITION = "partition"
    WEIGHTS = "weights"
    # Routes lead to another service for a while.
    MOVE = "move"


# Drawn apart from the other faults.
SILENCES = (Fault.ALL_SILENT, Fault.ONE_SILENT)
# Drawn where hosts can be partitioned.
PARTITION_SECONDS = (0.5, 6.0)
PARTITION_PAUSE_SECONDS = (1.0, 6.0)
# Drawn where engines change their weights and routes move.
CHANGES = (Fault.WEIGHTS, Fault.MOVE)
WEIGHTS_PAUSE_SECONDS = (0.1, 1.0)
MOVE_SECONDS = (0.5, 6.0)
MOVE_PAUSE_SECONDS = (2.0, 10.0)
# Drawn with software releases only.
RELEASES = (
    Fault.RELEASE,
    Fault.STRAND,
    Fault.KILL_ALL,
    Fault.FREEZE_ALL,
    Fault.STORE_CUT,
    Fault.STORE_HELD,
    Fault.CRASH,
)
# Faults of hosts that a software release goes with, and of its engines.
REJOIN_HOST_FAULTS = (
    Fault.KILL_ALL,
    Fault.KILL,
    Fault.STOP,
    Fault.FREEZE,
    Fault.FREEZE_ALL,
    Fault.STORE_CUT,
    Fault.STORE_HELD,
    Fault.STORE_DOWN,
)
REJOIN_FAULTS = (
    *REJOIN_HOST_FAULTS,
    Fault.CRASH,
    *SILENCES,
    Fault.ROUTES,
    Fault.LATE_COPIES,
    Fault.HANDLES_LOST,
    Fault.REFUSALS,
)
HOST_FAULTS = (Fault.STOP, Fault.KILL, Fault.FREEZE, Fault.RELOAD)
# Faults come in series with pauses from this range, and several series overlap.
MIN_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 4.0
SERIES = 4
# No fault begins in the last part of a run, so that what was begun can end.
QUIET_END_SECONDS = 4.0
MAX_FAULT_SECONDS = 3.0
# All engines pause for about as long as an event may take before it is overdue.
ALL_SILENT_SECONDS = (1.0, 1.4)
ONE_SILENT_SECONDS = (1.0, 5.0)
SILENCE_PAUSE_SECONDS = (1.0, 5.0)
# A change of routes comes up to this long before or after a silence.
ROUTES_APART_SECONDS = 0.6
ROUTES_BESIDE_SHARE = 0.5
# Half of the releases come after a time in which no other version served.
RELEASE_PAUSE_SECONDS = ((2.0, 6.0), (9.0, 14.0))
STRAND_SHARE = 0.5
# Faults beside a release begin up to this long before and after it.
BESIDE_RELEASE_SECONDS = (-1.5, 3.0)
FAULTS_BESIDE_RELEASE = (0, 3)
REJOIN_FAULT_SECONDS = (1.0, 5.0)
REJOIN_SERIES = 2


class Event(msgspec.Struct, frozen=True):
    """A fault at ``at`` seconds that lasts ``seconds``; ``number`` chooses its target.

    The target is the host, or the replica, with this number modulo how many there are.
    """

    at: float
    fault: Fault
    number: int
    seconds: float


def draw_schedule(seed: int, seconds: float) -> list[Event]:
    """Return the events of a run, in order."""
    rng = random.Random(seed)
    apart = (*SILENCES, *RELEASES, *CHANGES, Fault.PARTITION)
    kinds = [fault for fault in Fault if fault not in apart]
    events = []
    for _ in range(SERIES):
        faults = rng.sample(kinds, rng.randint(2, 5))
        at = rng.uniform(0.5, 2 * MAX_PAUSE_SECONDS)
        while at < seconds - QUIET_END_SECONDS:
            number, lasts = rng.randrange(1 << 16), rng.uniform(0.1, MAX_FAULT_SECONDS)
            events.append(Event(at, rng.choice(faults), number, lasts))
            at += rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)
    return sorted(events, key=lambda event: event.at)


def draw_silences(seed: int, seconds: float) -> list[Event]:
    """Return silences of decode engines, many of them beside a change of routes."""
    rng = random.Random(f"silences {seed}")
    events = []
    at = rng.uniform(1.0, MAX_PAUSE_SECONDS)
    while at < seconds - QUIET_END_SECONDS:
        fault, number = rng.choice(SILENCES), rng.randrange(1 << 16)
        is_all = fault is Fault.ALL_SILENT
        lasts = rng.uniform(*(ALL_SILENT_SECONDS if is_all else ONE_SILENT_SECONDS))
        events.append(Event(at, fault, number, lasts))
        if rng.random() < ROUTES_BESIDE_SHARE:
            apart = rng.uniform(-ROUTES_APART_SECONDS, ROUTES_APART_SECONDS)
            events.append(Event(at + apart, Fault.ROUTES, 0, 0.0))
        at += rng.uniform(*SILENCE_PAUSE_SECONDS)
    return events


def draw_partitions(seed: int, seconds: float) -> list[Event]:
    """Return partitions between hosts, which may overlap."""
    rng = random.Random(f"partitions {seed}")
    pause = PARTITION_PAUSE_SECONDS
    return _draw_series(rng, seconds, Fault.PARTITION, pause, PARTITION_SECONDS)


def draw_changes(seed: int, seconds: float) -> list[Event]:
    """Return changes of engines' weights, and moves of routes, which may overlap."""
    rng = random.Random(f"changes {seed}")
    now = (0.0, 0.0)
    return [
        *_draw_series(rng, seconds, Fault.WEIGHTS, WEIGHTS_PAUSE_SECONDS, now),
        *_draw_series(rng, seconds, Fault.MOVE, MOVE_PAUSE_SECONDS, MOVE_SECONDS),
    ]


def _draw_series(
    rng: random.Random,
    seconds: float,
    fault: Fault,
    pause: tuple[float, float],
    duration: tuple[float, float],
) -> list[Event]:
    events = []
    at = rng.uniform(*pause)
    while at < seconds - QUIET_END_SECONDS:
        number, lasts = rng.randrange(1 << 16), rng.uniform(*duration)
        events.append(Event(at, fault, number, lasts))
        at += rng.uniform(*pause)
    return events


def draw_rejoins(seed: int, seconds: float) -> list[Event]:
    """Return software releases, with faults beside each and series of others."""
    rng = random.Random(f"rejoins {seed}")
    end = seconds - QUIET_END_SECONDS
    events = []

    def add(at: float, fault: Fault) -> None:
        lasts = rng.uniform(*REJOIN_FAULT_SECONDS)
        if at < end:
            events.append(Event(max(at, 0.0), fault, rng.randrange(1 << 16), lasts))

    at = rng.uniform(*rng.choice(RELEASE_PAUSE_SECONDS))
    while at < end:
        add(at, Fault.STRAND if rng.random() < STRAND_SHARE else Fault.RELEASE)
        for _ in range(rng.randint(*FAULTS_BESIDE_RELEASE)):
            beside = rng.uniform(*BESIDE_RELEASE_SECONDS)
            add(at + beside, rng.choice(REJOIN_HOST_FAULTS))
        at += rng.uniform(*rng.choice(RELEASE_PAUSE_SECONDS))
    for _ in range(REJOIN_SERIES):
        at = rng.uniform(0.5, MAX_PAUSE_SECONDS)
        while at < end:
            add(at, rng.choice(REJOIN_FAULTS))
            at += rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)
    return sorted(events, key=lambda event: event.at)

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


# Drawn apart from the other faults.
SILENCES = (Fault.ALL_SILENT, Fault.ONE_SILENT)
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
    kinds = [fault for fault in Fault if fault not in SILENCES]
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

"""Calls to the platform that one host at a time may make."""

from enum import StrEnum

import msgspec


class DutyHolder(msgspec.Struct, frozen=True):
    """Who makes a call, under which fence."""

    host: str
    fence: int


class DutyAnswer(StrEnum):
    """What a call came to."""

    DONE = "done"
    # Not possible at the moment: nothing is to be had.
    UNAVAILABLE = "unavailable"
    # Too many calls, or the platform is down: nothing was done.
    BUSY = "busy"
    REFUSED = "refused"
    # No answer: it may have been done, or may be yet.
    UNKNOWN = "unknown"

"""Calls to the platform that only one host at a time, the leader, may make."""

from enum import StrEnum

import msgspec


class LeaseHolder(msgspec.Struct, frozen=True):
    """The host that makes a call, and its fencing token."""

    host: str
    fence: int


class CallResult(StrEnum):
    """Result of a call."""

    DONE = "done"
    # Not possible now: no capacity is available.
    UNAVAILABLE = "unavailable"
    # Too many calls, or the platform is down: nothing was done.
    BUSY = "busy"
    REFUSED = "refused"
    # No answer: it may have been done or may still be done.
    UNKNOWN = "unknown"

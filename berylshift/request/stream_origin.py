"""The software version that began a stream, and the resumptions of the stream."""

from enum import StrEnum

import msgspec

from berylshift.ids import SoftwareVersion
from berylshift.messages.replicas import Replica


class ResumedBy(StrEnum):
    """Who resumed a stream: its host at another replica, or its caller."""

    HOST = "host"
    CALLER = "caller"


class VersionMatch(StrEnum):
    """Whether a stream went on at the software version that began it."""

    SAME = "same"
    OTHER = "other"
    UNKNOWN = "unknown"


class Resumption(msgspec.Struct, frozen=True):
    """A stream went on at a replica."""

    by: ResumedBy
    match: VersionMatch


class StreamOrigin:
    """The version that began one relay's stream; ``None``: not known."""

    def __init__(self) -> None:
        """Start without any event."""
        self.version: SoftwareVersion | None = None
        self.resumptions: list[Resumption] = []

    def on_first_event(self, replica: Replica) -> None:
        """Record the replica whose event is the first to be forwarded."""
        if self.version is None:
            self.version = replica.version

    def on_resumed(self, replica: Replica, by: ResumedBy) -> None:
        """Record that ``replica`` sends events of a stream that has begun."""
        if self.version is None:
            match = VersionMatch.UNKNOWN
        elif self.version == replica.version:
            match = VersionMatch.SAME
        else:
            match = VersionMatch.OTHER
        self.resumptions.append(Resumption(by, match))

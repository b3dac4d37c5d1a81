"""Concludes from hosts' replies which variant began a stream; free of any I/O."""

from collections.abc import Collection
from enum import StrEnum

import msgspec

from berylshift.ids import Revision, TableVersion
from berylshift.messages.stream_origins import OriginReply, Variant
from berylshift.process.streams.origin_records import AMBIGUOUS


class Evidence(StrEnum):
    """What a finding rests on, or why there is none."""

    OWN_RECORD = "own record"
    RECORD = "record"
    SOLE_VERSION = "sole version"
    CONTRADICTION = "contradiction"
    SEVERAL_VERSIONS = "several versions"
    UNCONFIRMED = "versions not confirmed"
    UNKNOWN_PAST = "unknown past"


class Finding(msgspec.Struct, frozen=True):
    """The variant that began a stream; ``None``: not known.

    ``replied`` of the ``asked`` hosts replied in time; ``replies`` tells what, by host,
    and ``own`` what this host knew itself.
    """

    variant: Variant | None
    evidence: Evidence
    asked: tuple[str, ...] = ()
    replied: tuple[str, ...] = ()
    replies: tuple[str, ...] = ()
    own: str = ""


class OwnKnowledge(msgspec.Struct, frozen=True):
    """What a host knows of a stream and of the variants of its service.

    ``only_since``: the only variant since the store's revision ``known_from`` and the
    version ``routes_from`` of the routes, from which on this host knows all; ``None``:
    there were several, or it knows of none.
    """

    reply: OriginReply
    only_since: Variant | None = None
    known_from: Revision | None = None
    routes_from: TableVersion | None = None


class OriginSearch:
    """The replies to one query, beside this host's own knowledge.

    A record is believed from any host. Without one, the only version that the service
    has had is believed if the store confirmed it after the query began: until then a
    further version may have begun streams without this host's knowledge. The past that
    this host does not know may be told by another host, up to where its own begins.
    """

    def __init__(self, own: OwnKnowledge):
        """Search from what this host knows."""
        self._own = own
        self._is_confirmed = False
        self._replies: dict[str, OriginReply] = {}

    def add(self, host: str, reply: OriginReply) -> None:
        """Add the reply of a host."""
        self._replies[host] = reply

    def learn(self, own: OwnKnowledge) -> None:
        """Set what this host knows, now that it knows more of the past."""
        self._own = own

    def confirm(self, own: OwnKnowledge) -> None:
        """Set what this host knows, now that the store has confirmed it."""
        self._own = own
        self._is_confirmed = True

    @property
    def is_settled(self) -> bool:
        """Return whether further replies are not needed."""
        return self._decide()[0] is not None

    @property
    def has_record(self) -> bool:
        """Return whether a host has replied with a record."""
        return any(reply.variant is not None for reply in self._replies.values())

    def finding(self, asked: Collection[str]) -> Finding:
        """Return the result, if no more of the ``asked`` hosts reply."""
        variant, evidence = self._decide()
        return Finding(
            variant,
            evidence,
            tuple(asked),
            tuple(self._replies),
            tuple(f"{host}: {_text(each)}" for host, each in self._replies.items()),
            _text(self._own.reply) + (" confirmed" if self._is_confirmed else ""),
        )

    def _decide(self) -> tuple[Variant | None, Evidence]:
        own, replies = self._own.reply, self._replies.values()
        if own.variant is not None:
            return _from_records({own.variant}, Evidence.OWN_RECORD)
        records = {reply.variant for reply in replies if reply.variant is not None}
        if records:
            return _from_records(records, Evidence.RECORD)
        if any(reply.has_several for reply in (own, *replies)):
            return None, Evidence.SEVERAL_VERSIONS
        told = {reply.sole_variant for reply in (own, *replies)} - {None}
        if len(told) > 1 or not told <= {self._own.only_since}:
            return None, Evidence.SEVERAL_VERSIONS
        if not told or not any(self._reaches_own(each) for each in (own, *replies)):
            return None, Evidence.UNKNOWN_PAST
        if not self._is_confirmed:
            return None, Evidence.UNCONFIRMED
        return told.pop(), Evidence.SOLE_VERSION

    def _reaches_own(self, reply: OriginReply) -> bool:
        """Return whether a reply tells the past up to where this host knows it."""
        own = self._own
        if reply.sole_variant is None:
            return False
        if own.known_from is None or own.routes_from is None:
            return False
        if reply is own.reply:
            return True
        is_same_era = reply.era == own.reply.era
        reaches = reply.until >= own.known_from and reply.routes >= own.routes_from
        return is_same_era and reaches


def _text(reply: OriginReply) -> str:
    """Return what a host knows, for the log."""
    if reply.variant is not None:
        return f"record {reply.variant:08x}"
    if reply.sole_variant is not None:
        return f"only {reply.sole_variant:08x} until {reply.until}"
    return "several" if reply.has_several else "unknown"


def _from_records(
    records: set[Variant], evidence: Evidence
) -> tuple[Variant | None, Evidence]:
    if len(records) != 1 or AMBIGUOUS in records:
        return None, Evidence.CONTRADICTION
    return next(iter(records)), evidence

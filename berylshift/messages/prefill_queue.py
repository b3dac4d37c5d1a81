"""Messages between hosts on the queues of prefill engines."""

import msgspec

from berylshift.messages.load_digest import PrefillTokens, Urgency


class OpenedPrefill(msgspec.Struct, frozen=True):
    """A prompt with ``tokens`` of prefill work was sent to an engine.

    ``target`` is the short hash of the engine's name, ``ticket`` tells the prefill from
    the others.
    """

    target: int
    ticket: int
    tokens: int
    urgency: Urgency


class ClosedPrefill(msgspec.Struct, frozen=True):
    """The prefill of a ticket has ended."""

    target: int
    ticket: int


class EngineQueue(msgspec.Struct, frozen=True):
    """The open prefill work at an engine, in tokens by urgency."""

    target: int
    tokens: PrefillTokens


class QueueMessage(msgspec.Struct, frozen=True):
    """A message from ``host``; any of the parts may be empty.

    ``query`` numbers a query of ``asked`` engines, and the reply to it, which holds
    their ``queues``. A registrar that has just started does not know all open prefills
    yet: its reply is not ``complete``. ``address``: where the host receives digests; in
    queries, as a reply goes there.
    """

    host: str
    query: int = 0
    asked: tuple[int, ...] = ()
    queues: tuple[EngineQueue, ...] = ()
    complete: bool = True
    opened: tuple[OpenedPrefill, ...] = ()
    closed: tuple[ClosedPrefill, ...] = ()
    address: str = ""

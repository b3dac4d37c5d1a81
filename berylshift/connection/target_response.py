"""A replica's response, and the request that it belongs to."""

import logging
from collections.abc import AsyncIterator, Callable, Set
from enum import Enum, auto

import h11
import trio

from berylshift.connection.errors import BadResponseError, ConnectionLayerError
from berylshift.connection.http_client import ClientConnection
from berylshift.connection.target_request import TargetRequest
from berylshift.ids import RequestId
from berylshift.messages.routed import Header

logger = logging.getLogger(__name__)

# Used for replicas that announce no keep-alive timeout and may close an idle connection
# at any time; a request this soon after the last response rarely meets such a close.
DEFAULT_KEEP_ALIVE_SECONDS = 1.0
# Maximum body size of a late response to an earlier request that is skipped.
MAX_SKIPPED_BYTES = 1 << 20
# Late responses that are skipped while waiting for one response.
MAX_LATE_RESPONSES = 3
# Limits on a body that nobody needs; longer ones cost the connection.
MAX_UNUSED_BODY_BYTES = 65536
UNUSED_BODY_SECONDS = 0.25
# Statuses of responses without a body, whatever length they declare.
NO_BODY_STATUSES = frozenset({204, 304})

ReadResponseId = Callable[[list[Header]], RequestId | None]


class ResponseOwner(Enum):
    """Whose response a replica has sent."""

    THIS_REQUEST = auto()
    EARLIER_REQUEST = auto()
    UNKNOWN = auto()


def owner_of(
    response_id: RequestId | None,
    request_id: RequestId | None,
    carried: Set[RequestId | None],
) -> ResponseOwner:
    """Return whose response arrived on a connection.

    ``carried`` are the ids of the requests sent on it before this one. An id tells the
    two apart only if the connection has not carried it before. A response without an id
    can be that of any earlier call without one, or belong to no request at all.
    """
    if not carried:
        is_own = response_id in (None, request_id)
        return ResponseOwner.THIS_REQUEST if is_own else ResponseOwner.EARLIER_REQUEST
    if request_id in carried:
        return ResponseOwner.UNKNOWN
    if response_id == request_id:
        return ResponseOwner.THIS_REQUEST
    if response_id is None and None not in carried:
        return ResponseOwner.UNKNOWN
    return ResponseOwner.EARLIER_REQUEST


class TargetResponse:
    """A response whose body is streamed.

    ``is_identified``: it is certain which request it belongs to. Otherwise the request
    may have run, whatever the response says.
    """

    def __init__(
        self,
        connection: ClientConnection,
        out: TargetRequest,
        head: h11.Response,
        on_head: Callable[[int, list[Header]], None],
    ):
        """Wrap the connection, the request that was sent, and the response head.

        ``on_head`` is called with status and headers of each head that is read.
        """
        self._connection = connection
        self._out = out
        self._on_head = on_head
        self.keep_alive_seconds = DEFAULT_KEEP_ALIVE_SECONDS
        self.may_reuse = True
        self.is_identified = True
        self._set_head(head)

    def _set_head(self, head: h11.Response) -> None:
        self.status = head.status_code
        self.headers: list[Header] = [
            (bytes(name), bytes(value)) for name, value in head.headers
        ]
        self._on_head(self.status, self.headers)

    @property
    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection shows the end of the body."""
        names = {name.lower() for name, _ in self.headers}
        return not names & {b"content-length", b"transfer-encoding"}

    async def identify(
        self, read_id: ReadResponseId, carried: Set[RequestId | None]
    ) -> int:
        """Skip late responses to earlier requests; return how many there were.

        ``carried`` are the ids of the requests sent on the connection before this one.
        """
        skipped = 0
        while True:
            response_id = read_id(self.headers)
            owner = owner_of(response_id, self._out.id, carried)
            if owner is ResponseOwner.THIS_REQUEST:
                return skipped
            logger.info(
                "response to another request",
                extra={
                    "request": self._out.id,
                    "instance": self._out.instance,
                    "response_to": response_id,
                    "owner": owner.name.lower(),
                },
            )
            self.may_reuse = False
            if owner is ResponseOwner.UNKNOWN or skipped == MAX_LATE_RESPONSES:
                self.is_identified = False
                return skipped
            await self._skip_to_next()
            skipped += 1

    async def _skip_to_next(self) -> None:
        """Discard this response and read the next one on the connection.

        A late response to an earlier request precedes ours. Closing the connection
        instead would lose the response of a request that may not be repeated.
        """
        await self.read(MAX_SKIPPED_BYTES)
        self._connection.read_next_response(self._out.method)
        self._set_head(await self._connection.read_head())

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; return only at the end of the message."""
        return self._connection.chunks()

    async def read(
        self, max_bytes: int, on_size: Callable[[int], None] = lambda size: None
    ) -> bytes:
        """Return the body; raise ``BadResponseError`` if over ``max_bytes``.

        ``on_size`` is called with the size so far.
        """
        self.check_declared_length(max_bytes)
        return await self._connection.read_body(max_bytes, on_size)

    def check_declared_length(self, max_bytes: int) -> None:
        """Raise ``BadResponseError`` if the head declares a body over ``max_bytes``."""
        headers = {name.lower(): value for name, value in self.headers}
        is_empty = self._out.method == b"HEAD" or self.status in NO_BODY_STATUSES
        if is_empty or b"transfer-encoding" in headers:
            return
        # The parser has checked that it is a number.
        if int(headers.get(b"content-length", b"0")) > max_bytes:
            raise BadResponseError("declared response body is too large")

    async def skip_body(self) -> None:
        """Discard the body; the connection is reusable only if that was short."""
        with trio.move_on_after(UNUSED_BODY_SECONDS):
            try:
                await self.read(MAX_UNUSED_BODY_BYTES)
                return
            except ConnectionLayerError:
                pass
        self.may_reuse = False

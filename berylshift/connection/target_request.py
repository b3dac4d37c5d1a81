"""A request to a replica."""

from collections.abc import Callable

import msgspec

from berylshift.connection.request_body import RequestBody
from berylshift.ids import InstanceId, RequestId
from berylshift.messages.routed import Header

NO_BODY = RequestBody.of(b"")


class ConnectionUse(msgspec.Struct, frozen=True):
    """The connection that a request is sent on.

    ``number`` identifies it within the process; ``exchanges`` counts the requests on it
    so far, this one included. ``via``: the host that it leads through, if any.
    """

    number: int
    exchanges: int
    via: str | None = None


class TargetRequest(msgspec.Struct, frozen=True):
    """One request for one instance; ``target`` is path and query.

    ``id``: the id that its response echoes; ``None``: it has none.
    ``limit_exempt``: it is not throttled by the instance's rate limit.
    ``on_path_lost`` is called if this host can't reach the instance any more, and
    returns whether to close the connection of a repeatable request; without it, that is
    closed.
    ``direct_only``: it must come from this host. ``repeatable``: it may be given up
    without a response. ``response_seconds``: when a response is overdue.
    """

    instance: InstanceId
    address: str
    method: bytes
    target: bytes
    headers: list[Header]
    body: RequestBody = NO_BODY
    id: RequestId | None = None
    limit_exempt: bool = False
    on_path_lost: Callable[[], bool] | None = None
    direct_only: bool = False
    repeatable: bool = False
    response_seconds: float = float("inf")

"""The timeout of a request, and whether its route or its caller set it."""

from enum import StrEnum

import msgspec

from berylshift.messages.routed import RoutedRequest
from berylshift.version.routes import Route


class TimeoutSource(StrEnum):
    """What ends a request that runs out of time; ``STOP`` is this host's shutdown."""

    CALLER = "caller"
    ROUTE = "route"
    STOP = "stop"


class RequestTimeout(msgspec.Struct, frozen=True):
    """The seconds that a request may take from its arrival, and what sets them."""

    seconds: float
    source: TimeoutSource


def request_timeout(route: Route, req: RoutedRequest) -> RequestTimeout:
    """Return the shorter of the route's timeout and the caller's."""
    if req.seconds_left is not None and req.seconds_left < route.timeout_seconds:
        return RequestTimeout(req.seconds_left, TimeoutSource.CALLER)
    return RequestTimeout(route.timeout_seconds, TimeoutSource.ROUTE)

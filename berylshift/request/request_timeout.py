"""How long a request may take, and whose bound that is."""

from enum import StrEnum

import msgspec

from berylshift.messages.routed import RoutedRequest
from berylshift.version.routes import Route


class TimeoutSource(StrEnum):
    """Whose time ends a request."""

    CALLER = "caller"
    ROUTE = "route"
    STOP = "stop"


class RequestTimeout(msgspec.Struct, frozen=True):
    """The seconds that a request may take from its arrival."""

    seconds: float
    bound: TimeoutSource


def request_timeout(route: Route, req: RoutedRequest) -> RequestTimeout:
    """Return the least of the route's time and the caller's."""
    if req.seconds_left is not None and req.seconds_left < route.timeout:
        return RequestTimeout(req.seconds_left, TimeoutSource.CALLER)
    return RequestTimeout(route.timeout, TimeoutSource.ROUTE)

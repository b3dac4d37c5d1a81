"""How long a request may take, and whose bound that is."""

from enum import StrEnum

import msgspec

from berylshift.messages.routed import RoutedRequest
from berylshift.version.routes import Route


class TimeBound(StrEnum):
    """Whose time ends a request."""

    CALLER = "caller"
    ROUTE = "route"
    STOP = "stop"


class Allowance(msgspec.Struct, frozen=True):
    """The seconds that a request may take from its arrival."""

    seconds: float
    bound: TimeBound


def allowance_of(route: Route, req: RoutedRequest) -> Allowance:
    """Return the least of the route's time and the caller's."""
    if req.seconds_left is not None and req.seconds_left < route.timeout:
        return Allowance(req.seconds_left, TimeBound.CALLER)
    return Allowance(route.timeout, TimeBound.ROUTE)

"""API key authentication: the customer that a request belongs to.

Requests are denied if they present no key, an unknown key or a revoked one. A host
whose routes are stale cannot tell an invalid key from a new one. It asks the caller to
retry, since another host may have newer routes and callers do not retry after a denial.
It keeps accepting the keys that it knows, unless the operators have set an expiry.
"""

from collections.abc import Callable
from enum import StrEnum

import msgspec

from berylshift.messages.routed import RoutedRequest
from berylshift.process.directory.route_holder import RouteHolder
from berylshift.version.customers import Customer
from berylshift.version.routes import Route


class KeyVerdict(StrEnum):
    """The result of authenticating a request."""

    ADMITTED = "admitted"
    NO_KEY = "no key"
    UNKNOWN_KEY = "unknown key"
    # The routes are too old to tell whether the key is valid.
    STALE_ROUTES = "routes too old"


class Admission(msgspec.Struct, frozen=True):
    """A verdict, and the customer that owns the key.

    ``keys_configured`` says whether the routes define keys at all. If they do, the key
    and customer headers that a caller sent are not forwarded.
    """

    verdict: KeyVerdict
    customer: Customer | None = None
    keys_configured: bool = True


class KeyGate:
    """Authenticates requests against the current routes."""

    def __init__(
        self,
        routes: RouteHolder,
        propagation_seconds: float,
        key_expiry_seconds: float | None = None,
        age: Callable[[], float] | None = None,
    ):
        """Set the limits on the age of the routes, which ``age`` returns.

        Unknown keys are denied only while the routes are at most
        ``propagation_seconds`` old, because the key may be newer than the routes.
        Known keys are not accepted once the routes are older than
        ``key_expiry_seconds``; ``None`` means that they never expire.
        """
        self._routes = routes
        self._propagation_seconds = propagation_seconds
        self._key_expiry_seconds = key_expiry_seconds
        self._age = age

    def admit(self, req: RoutedRequest, route: Route, now: float) -> Admission:
        """Return whether a request is served, and for which customer."""
        table = self._routes.table
        customers = None if table is None else table.customers
        if customers is None:
            return Admission(KeyVerdict.ADMITTED, keys_configured=False)
        owner = None if req.key is None else customers.customer_for(req.key)
        if route.public:
            return Admission(KeyVerdict.ADMITTED, owner)
        if req.key is None:
            return Admission(KeyVerdict.NO_KEY)
        if owner is None:
            is_old = self._is_older(self._propagation_seconds, now)
            return Admission(
                KeyVerdict.STALE_ROUTES if is_old else KeyVerdict.UNKNOWN_KEY
            )
        if self._key_expiry_seconds is not None and self._is_older(
            self._key_expiry_seconds, now
        ):
            return Admission(KeyVerdict.STALE_ROUTES)
        return Admission(KeyVerdict.ADMITTED, owner)

    def is_still_authorized(self, req: RoutedRequest, route: Route) -> bool:
        """Return whether an admitted request would still be admitted now.

        Its key may have been revoked or given to another customer while the request
        was waiting to be sent.
        """
        table = self._routes.table
        customers = None if table is None else table.customers
        if customers is None or route.public:
            return True
        if req.key is None or req.customer is None:
            return False
        owner = customers.customer_for(req.key)
        return owner is not None and owner.name == req.customer

    def may_lack_routes(self, now: float) -> bool:
        """Return whether there may be routes that this host has not heard of."""
        return self._is_older(self._propagation_seconds, now)

    def _is_older(self, seconds: float, now: float) -> bool:
        age = self._routes.age(now) if self._age is None else self._age()
        return age is None or age > seconds

"""Which customer a request comes from, and whether it may be served for that.

Answers callers that show no key, a key that nobody holds, or one that was taken away. A
host whose routes are old can't tell a wrong key from a new one: it asks the caller to
come back, since another host may know better, while nobody comes back after a denial.
A key that it knows it goes on taking, unless the operators want it refused then.
"""

from enum import StrEnum

import msgspec

from berylshift.messages.routed import RoutedRequest
from berylshift.process.directory.route_holder import RouteHolder
from berylshift.version.customers import Customer
from berylshift.version.routes import Route


class KeyVerdict(StrEnum):
    """What becomes of a request."""

    ADMITTED = "admitted"
    NO_KEY = "no key"
    UNKNOWN_KEY = "unknown key"
    # The routes are too old to tell whether the key holds.
    STALE_ROUTES = "routes too old"


class Admission(msgspec.Struct, frozen=True):
    """A verdict; ``customer``: whose key it is.

    ``keyed`` says whether the routes know keys at all: if they do, what a caller says
    of its key and customer goes no further.
    """

    verdict: KeyVerdict
    customer: Customer | None = None
    keys_configured: bool = True


class KeyGate:
    """Judges requests by the routes in force; times in seconds."""

    def __init__(
        self, routes: RouteHolder, in_force: float, expires: float | None = None
    ):
        """Deny no key that may be newer than routes that are ``in_force`` s old.

        ``expires``: the age of routes at which known keys hold no more either;
        ``None``: they hold on.
        """
        self._routes = routes
        self._in_force = in_force
        self._expires = expires

    def admit(self, req: RoutedRequest, route: Route, now: float) -> Admission:
        """Return whether and for whom a request is served."""
        table = self._routes.table
        customers = None if table is None else table.customers
        if customers is None:
            return Admission(KeyVerdict.ADMITTED, keys_configured=False)
        holder = None if req.key is None else customers.holder(req.key)
        if route.public:
            return Admission(KeyVerdict.ADMITTED, holder)
        if req.key is None:
            return Admission(KeyVerdict.NO_KEY)
        if holder is None:
            is_old = self._is_older(self._in_force, now)
            return Admission(
                KeyVerdict.STALE_ROUTES if is_old else KeyVerdict.UNKNOWN_KEY
            )
        if self._expires is not None and self._is_older(self._expires, now):
            return Admission(KeyVerdict.STALE_ROUTES)
        return Admission(KeyVerdict.ADMITTED, holder)

    def is_still_authorized(self, req: RoutedRequest, route: Route) -> bool:
        """Return whether a request that was admitted would be admitted now.

        Between its arrival and a send it may have waited while its key was taken away,
        or given to another customer.
        """
        table = self._routes.table
        customers = None if table is None else table.customers
        if customers is None or route.public:
            return True
        if req.key is None or req.customer is None:
            return False
        holder = customers.holder(req.key)
        return holder is not None and holder.name == req.customer

    def _is_older(self, seconds: float, now: float) -> bool:
        age = self._routes.age(now)
        return age is None or age > seconds

"""The customers of one version of the routes, and their API keys."""

import logging
from collections.abc import Iterable

import msgspec

from berylshift.ids import CustomerName

logger = logging.getLogger(__name__)


class ApiKey(msgspec.Struct, frozen=True):
    """A secret that a caller presents; never logged, traced or put into messages."""

    secret: bytes

    def __repr__(self) -> str:
        """Return a text without the secret."""
        return "ApiKey(...)"


class Customer(msgspec.Struct, frozen=True):
    """The account that callers send requests for.

    ``rank`` overrides a route's rank (0 is the most urgent); ``None`` keeps it.
    """

    name: CustomerName
    rank: int | None = None


class CustomerKeys:
    """Customers by key; the cost of a look-up does not depend on their number."""

    def __init__(self) -> None:
        """Start without customers and keys."""
        self._by_key: dict[ApiKey, Customer | None] = {}
        self._names: set[CustomerName] = set()

    def add(self, customer: Customer, keys: Iterable[ApiKey]) -> None:
        """Add a customer, or further keys of a known one.

        A key that two customers claim belongs to neither: if one of them got it, the
        other one's callers would be charged to the wrong account.
        """
        self._names.add(customer.name)
        for key in keys:
            if not key.secret:
                logger.error("API key ignored: empty", extra=_log_fields(customer))
                continue
            owner = self._by_key.setdefault(key, customer)
            if owner is None or owner.name != customer.name:
                logger.error(
                    "API key ignored: several customers claim it",
                    extra=_log_fields(customer),
                )
                self._by_key[key] = None

    def customer_for(self, key: ApiKey) -> Customer | None:
        """Return the customer that a key belongs to, or ``None``."""
        return self._by_key.get(key)

    @property
    def names(self) -> frozenset[CustomerName]:
        """Return the names of all customers."""
        return frozenset(self._names)

    def __len__(self) -> int:
        """Return the number of known keys."""
        return len(self._by_key)


def _log_fields(customer: Customer) -> dict[str, str]:
    return {"customer": customer.name}

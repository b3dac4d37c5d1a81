"""Eras of the platform's store: a new one begins each time it is restored."""

from berylshift.ids import StoreEra

# The era of a store that reports none.
FIRST_ERA = StoreEra(0)

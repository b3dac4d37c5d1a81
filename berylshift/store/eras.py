"""Eras of the platform's store: one more each time it comes back from an older copy."""

from berylshift.ids import StoreEra

# The era of a store that tells none.
FIRST_ERA = StoreEra(0)

"""Eras of the platform's store; a restore from an older copy starts a new one."""

from berylshift.ids import StoreEra

# The era of a store that reports none.
FIRST_ERA = StoreEra(0)

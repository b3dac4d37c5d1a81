"""The contracts that the platform lists for a deployment."""

CONTENTION = "pressure"


def announces_contention(contracts: str) -> bool:
    """Return whether a list of contracts, separated by commas, includes contention."""
    return CONTENTION in (name.strip() for name in contracts.split(","))

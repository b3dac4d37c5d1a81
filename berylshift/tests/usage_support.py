"""Usage books for tests."""

from berylshift.process.usage.usage_counts import UsageBook
from berylshift.process.usage.windows import UsageTerms, UsageWindows

TERMS = UsageTerms(seconds=5.0, delay=10.0)


def no_usage() -> UsageBook:
    """Return the book of a deployment that reports no usage."""
    return UsageBook(UsageWindows(UsageTerms()), "h", "z", 0)


def book(host: str = "h1", domain: str = "z1", start: int = 1) -> UsageBook:
    """Return the book of a host that reports windows of five seconds."""
    return UsageBook(UsageWindows(TERMS), host, domain, start)

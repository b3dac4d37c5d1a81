"""Usage counts for tests."""

from berylshift.process.usage.usage_counts import UsageCounts
from berylshift.process.usage.windows import UsageSchedule, UsageWindows

SCHEDULE = UsageSchedule(window_seconds=5.0, delay_seconds=10.0)


def no_usage() -> UsageCounts:
    """Return the counts of a deployment that reports no usage."""
    return UsageCounts(UsageWindows(UsageSchedule()), "h", "z", 0)


def usage_counts(host: str = "h1", domain: str = "z1", start: int = 1) -> UsageCounts:
    """Return the counts of a host that reports windows of five seconds."""
    return UsageCounts(UsageWindows(SCHEDULE), host, domain, start)

"""Parses Retry-After headers (RFC 9110, section 10.2.3) given in seconds."""


def parse_retry_after(value: str | None) -> float:
    """Return the seconds; 0 for a date, a negative value or an invalid one."""
    try:
        found = float(value or 0)
    except ValueError:
        return 0.0
    return found if 0 <= found < float("inf") else 0.0

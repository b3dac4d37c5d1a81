"""Reads Retry-After (RFC 9110, section 10.2.3) where it is told in seconds."""


def seconds_of(value: str | None) -> float:
    """Return the seconds from 0 up; 0 for a date and for what is no number."""
    try:
        found = float(value or 0)
    except ValueError:
        return 0.0
    return found if 0 <= found < float("inf") else 0.0

"""Parses Retry-After headers (RFC 9110, section 10.2.3) given in seconds."""

# Longer delays are cut: nobody knows that far ahead, and callers compute with them.
MAX_RETRY_AFTER_SECONDS = 3600.0


def parse_retry_after(value: str | None) -> float:
    """Return the seconds, an hour at most; 0 for a date or an invalid value."""
    try:
        found = float(value or 0)
    except ValueError:
        return 0.0
    is_valid = 0 <= found < float("inf")
    return min(found, MAX_RETRY_AFTER_SECONDS) if is_valid else 0.0

"""Numbers from the wire, each within a range."""

from typing import Annotated

from msgspec import Meta

# Fields of JSON that other processes wrote. What computes with them, and what encodes
# them for other hosts, takes all values of their range.
Count = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Position = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Milliseconds = Annotated[float, Meta(ge=0, le=10**12)]
Amount = Annotated[float, Meta(ge=0, le=10**12)]
Rank = Annotated[int, Meta(ge=-(10**6), le=10**6)]
# Characters of a text that names something.
MAX_TEXT = 200
Text = Annotated[str, Meta(max_length=MAX_TEXT)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT)]
MAX_U64 = 2**64 - 1

# Longer texts are not converted: the time that takes grows with the square of the
# length, and no field has a number as long.
MAX_DIGITS = 18
MAX_TIME_LEFT_MS = 10**12
MAX_TOKENS = 10**9
MAX_BYTES = 10**15
# Requests at one replica, and requests per second.
MAX_REQUESTS = 10**6
Requests = Annotated[int, Meta(ge=0, le=MAX_REQUESTS)]


def whole_number(text: bytes, maximum: int) -> int | None:
    """Return a decimal number from 0 to ``maximum``; ``None`` if it is not one."""
    digits = text.strip()
    if not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    found = int(digits)
    return found if found <= maximum else None

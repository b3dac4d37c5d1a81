"""What tells that two tries are of the same request.

Each try has an id of its own. A caller that comes again sends the same method, address,
prompt and body, with the same credentials; ids and the time left differ.
"""

import xxhash

from berylshift.ids import Fingerprint
from berylshift.messages.routed import Prompt, RoutedRequest

# Headers that say what is asked for and by whom.
TELLING_HEADERS = (b"host", b"authorization")
SEPARATOR = b"\0"


def fingerprint_of(req: RoutedRequest) -> Fingerprint | None:
    """Return the 64-bit hash of a request; ``None`` while its body still comes."""
    if not req.body.ended:
        return None
    found = xxhash.xxh64()
    for field in (req.method, req.target, *_telling(req), _prompt_text(req.prompt)):
        found.update(field)
        found.update(SEPARATOR)
    found.update(req.body.whole())
    return Fingerprint(found.intdigest())


def shown(fingerprint: Fingerprint | None) -> str | None:
    """Return a fingerprint as log lines have it."""
    return None if fingerprint is None else f"{fingerprint:016x}"


def _telling(req: RoutedRequest) -> list[bytes]:
    return [value for name, value in req.headers if name in TELLING_HEADERS]


def _prompt_text(prompt: Prompt | None) -> bytes:
    if prompt is None:
        return b""
    parts = ",".join(f"{part.part}:{part.tokens}" for part in prompt.parts)
    return f"{prompt.tokens},{prompt.output_limit};{parts}".encode()

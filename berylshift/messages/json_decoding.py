"""Decodes JSON that other processes wrote; the only place that does so."""

import re
from typing import TypeVar

import msgspec

Value = TypeVar("Value")
# Larger inputs that are nested too deeply are malformed; removing what is nested costs
# some milliseconds for an input of this size.
MAX_SIMPLIFIED_BYTES = 65536
# Values nested more deeply are in fields that no build knows.
MAX_DEPTH = 64
# The decoder documents the first kind only. An error of another kind is a fault of the
# caller, not of the bytes.
DECODER_ERRORS = (ValueError, ArithmeticError, RuntimeError)
OPENING = {b"{": b"}", b"[": b"]"}
_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{}"]', re.DOTALL)


class MalformedJsonError(ValueError):
    """Bytes that are no JSON, or no value of the expected kind."""


def decode_json(data: bytes | msgspec.Raw, kind: type[Value]) -> Value:
    """Return the value; raise ``MalformedJsonError``, whatever the bytes are.

    How deep the decoder goes depends on its caller's stack, so values that are nested
    too deeply are replaced by ``null`` first if need be: in a field that is not known,
    they don't matter.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError as exc:
        if len(bytes(data)) > MAX_SIMPLIFIED_BYTES:
            raise MalformedJsonError("nested too deeply") from exc
    except DECODER_ERRORS as exc:
        raise MalformedJsonError(str(exc)) from exc
    try:
        return msgspec.json.decode(without_deep_values(bytes(data)), type=kind)
    except DECODER_ERRORS as exc:
        raise MalformedJsonError(str(exc)) from exc


def without_deep_values(data: bytes) -> bytes:
    """Return JSON with ``null`` in place of values nested beyond ``MAX_DEPTH``.

    Raise ``MalformedJsonError`` if brackets don't match.
    """
    parts: list[bytes] = []
    ends: list[bytes] = []
    start = 0
    for match in _TOKENS.finditer(data):
        token = match.group()
        if token == b'"':
            # Each further quote would be compared with all that follows it.
            raise MalformedJsonError("the input ends within a text")
        if token in OPENING:
            if len(ends) == MAX_DEPTH:
                parts += [data[start : match.start()], b"null"]
            ends.append(OPENING[token])
        elif token in (b"}", b"]"):
            if not ends or ends.pop() != token:
                raise MalformedJsonError("brackets don't match")
            if len(ends) == MAX_DEPTH:
                start = match.end()
    if ends:
        raise MalformedJsonError("the input ends within a value")
    return b"".join([*parts, data[start:]])

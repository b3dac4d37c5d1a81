"""Plays days over seeds while one thing varies, and sums up."""

import statistics
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from berylshift.model.fleet import PlaySpec, play
from berylshift.model.result import PlayResult
from berylshift.request import placement, slo_status

# What may vary in a play, with the type of its values.
SPEC_FIELDS = {
    "placing": str,
    "reading_share": float,
    "load": float,
    "holds_back": lambda text: text == "yes",
}
# Modules whose constants may vary.
POLICIES = (placement, slo_status)


class NoSuchSettingError(Exception):
    """Nothing of that name can vary."""


class Row(msgspec.Struct, frozen=True):
    """One value of what varies, over all seeds; times in seconds."""

    value: str
    worth: float
    least: float
    most: float
    worst_kind: float
    worst_seconds: float
    first_p50: float
    first_p95: float
    refused: float
    failed: float
    again_tokens: float
    ended: float
    held_others: float


def vary(spec: PlaySpec, name: str, values: list[str], seeds: int) -> list[Row]:
    """Return a row for each value of ``name``.

    It is a field of the play, or a constant of a policy by its name.
    """
    return [_row(value, _plays(spec, name, value, seeds)) for value in values]


def _plays(spec: PlaySpec, name: str, value: str, seeds: int) -> list[PlayResult]:
    if name in SPEC_FIELDS:
        changed = msgspec.structs.replace(spec, **{name: SPEC_FIELDS[name](value)})
        return _over_seeds(changed, seeds)
    with _constant(name, float(value)):
        return _over_seeds(spec, seeds)


def _over_seeds(spec: PlaySpec, seeds: int) -> list[PlayResult]:
    return [
        play(msgspec.structs.replace(spec, seed=seed)) for seed in range(1, seeds + 1)
    ]


@contextmanager
def _constant(name: str, value: float) -> Iterator[None]:
    """Give a constant of a policy another value for a while."""
    module = next((found for found in POLICIES if hasattr(found, name)), None)
    if module is None or not name.isupper():
        known = ", ".join(SPEC_FIELDS)
        raise NoSuchSettingError(f"{name}: neither one of {known} nor a constant")
    former = getattr(module, name)
    setattr(module, name, type(former)(value))
    try:
        yield
    finally:
        setattr(module, name, former)


def _row(value: str, plays: list[PlayResult]) -> Row:
    worths = [result.worth for result in plays]
    slowest = [max(result.kinds, key=lambda kind: kind.first_p95) for result in plays]
    return Row(
        value=value,
        worth=statistics.mean(worths),
        least=min(worths),
        most=max(worths),
        worst_kind=statistics.mean(result.worst_kind for result in plays),
        worst_seconds=statistics.mean(result.worst_seconds for result in plays),
        first_p50=statistics.mean(kind.first_p50 for kind in slowest),
        first_p95=statistics.mean(kind.first_p95 for kind in slowest),
        refused=statistics.mean(result.refused for result in plays),
        failed=statistics.mean(result.failed for result in plays),
        again_tokens=statistics.mean(result.again_tokens for result in plays),
        ended=statistics.mean(result.ended for result in plays),
        held_others=statistics.mean(result.held_others for result in plays),
    )

"""Runs simulations over seeds while one setting varies, and summarizes them."""

import statistics
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from berylshift.model.fleet import SimulationSpec, simulate
from berylshift.model.result import SimulationResult
from berylshift.scheduling import placement, slo_status

# Fields of a simulation that can vary, with the parser of their values.
SPEC_FIELDS = {
    "placing": str,
    "reading_share": float,
    "load": float,
    "holds_back": lambda text: text == "yes",
}
# Modules whose constants can vary.
POLICY_MODULES = (placement, slo_status)


class UnknownSettingError(Exception):
    """There is no setting of that name that can vary."""


class Row(msgspec.Struct, frozen=True):
    """Results for one value of the setting, over all seeds; times in seconds."""

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


def vary(spec: SimulationSpec, name: str, values: list[str], seeds: int) -> list[Row]:
    """Return a row for each value of ``name``.

    It is a field of the simulation, or a constant of a policy module.
    """
    return [
        _make_row(value, _simulate_value(spec, name, value, seeds)) for value in values
    ]


def _simulate_value(
    spec: SimulationSpec, name: str, value: str, seeds: int
) -> list[SimulationResult]:
    if name in SPEC_FIELDS:
        changed = msgspec.structs.replace(spec, **{name: SPEC_FIELDS[name](value)})
        return _simulate_seeds(changed, seeds)
    with _override_constant(name, float(value)):
        return _simulate_seeds(spec, seeds)


def _simulate_seeds(spec: SimulationSpec, seeds: int) -> list[SimulationResult]:
    return [
        simulate(msgspec.structs.replace(spec, seed=seed))
        for seed in range(1, seeds + 1)
    ]


@contextmanager
def _override_constant(name: str, value: float) -> Iterator[None]:
    """Override a constant of a policy module within the context."""
    module = next((found for found in POLICY_MODULES if hasattr(found, name)), None)
    if module is None or not name.isupper():
        known = ", ".join(SPEC_FIELDS)
        raise UnknownSettingError(
            f"{name}: neither one of {known} nor a constant of a policy"
        )
    former = getattr(module, name)
    setattr(module, name, type(former)(value))
    try:
        yield
    finally:
        setattr(module, name, former)


def _make_row(value: str, results: list[SimulationResult]) -> Row:
    worths = [result.worth for result in results]
    slowest = [max(result.kinds, key=lambda kind: kind.first_p95) for result in results]
    return Row(
        value=value,
        worth=statistics.mean(worths),
        least=min(worths),
        most=max(worths),
        worst_kind=statistics.mean(result.worst_kind for result in results),
        worst_seconds=statistics.mean(result.worst_seconds for result in results),
        first_p50=statistics.mean(kind.first_p50 for kind in slowest),
        first_p95=statistics.mean(kind.first_p95 for kind in slowest),
        refused=statistics.mean(result.refused for result in results),
        failed=statistics.mean(result.failed for result in results),
        again_tokens=statistics.mean(result.again_tokens for result in results),
        ended=statistics.mean(result.ended for result in results),
        held_others=statistics.mean(result.held_others for result in results),
    )

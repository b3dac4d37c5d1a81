"""Results of a simulation, by kind of prompt."""

import msgspec

from berylshift.ids import RouteName
from berylshift.model.parameters import KindParameters


class PromptOutcome(msgspec.Struct, frozen=True):
    """The outcome of one prompt.

    ``first_event_seconds`` counts from the caller's first attempt.
    """

    kind: KindParameters
    at: float
    first_event_seconds: float | None = None
    max_event_gap_seconds: float = 0.0
    complete: bool = False
    refused: int = 0

    @property
    def worth(self) -> float:
        """Return what the response is worth to its caller."""
        if not self.complete or self.first_event_seconds is None:
            return 0.0
        kind = self.kind
        late = (
            self.first_event_seconds > kind.objective_seconds
            or self.max_event_gap_seconds > kind.max_event_gap_seconds
        )
        return kind.late_worth if late else kind.worth


class KindResult(msgspec.Struct, frozen=True):
    """Results of one kind of prompt; times in seconds."""

    kind: RouteName
    prompts: int
    first_p50: float
    first_p95: float
    on_time: float
    failed: int


class CrashCount(msgspec.Struct):
    """Counts about prompts that crash engines.

    ``ended`` engines were crashed by ``sends`` attempts of such prompts; hosts
    quarantined ``held_others`` other prompts.
    """

    ended: int = 0
    sends: int = 0
    held_others: int = 0


class SimulationResult(msgspec.Struct, frozen=True):
    """Results of one simulation; ``worth`` is a fraction of the achievable worth.

    ``again_tokens`` are prefix tokens that were prefilled since they were not cached.
    """

    worth: float
    worst_kind: float
    worst_seconds: float
    refused: int
    failed: int
    again_tokens: int
    kinds: tuple[KindResult, ...]
    ended: int = 0
    sends: int = 0
    held_others: int = 0


WINDOW_SECONDS = 2.0
# The fraction of windows that ``worst_seconds`` averages.
WORST_FRACTION = 0.1


def summarize(
    outcomes: list[PromptOutcome], again_tokens: int, crashes: CrashCount | None = None
) -> SimulationResult:
    """Return the results over a simulation's prompts."""
    crashes = crashes or CrashCount()
    kinds = {outcome.kind.name: outcome.kind for outcome in outcomes}
    by_kind = [
        [outcome for outcome in outcomes if outcome.kind.name == name]
        for name in sorted(kinds)
    ]
    return SimulationResult(
        worth=relative_worth(outcomes),
        worst_kind=min((relative_worth(group) for group in by_kind), default=0.0),
        worst_seconds=_worst_seconds(outcomes),
        refused=sum(outcome.refused for outcome in outcomes),
        failed=sum(not outcome.complete for outcome in outcomes),
        again_tokens=again_tokens,
        kinds=tuple(_kind_result(group) for group in by_kind),
        ended=crashes.ended,
        sends=crashes.sends,
        held_others=crashes.held_others,
    )


def relative_worth(outcomes: list[PromptOutcome]) -> float:
    """Return the worth of prompts as a fraction of the achievable worth."""
    achievable = sum(outcome.kind.worth for outcome in outcomes)
    return (
        sum(outcome.worth for outcome in outcomes) / achievable if achievable else 0.0
    )


def _worst_seconds(outcomes: list[PromptOutcome]) -> float:
    windows: dict[int, list[PromptOutcome]] = {}
    for outcome in outcomes:
        windows.setdefault(int(outcome.at / WINDOW_SECONDS), []).append(outcome)
    worths = sorted(relative_worth(group) for group in windows.values())
    worst = worths[: max(1, round(WORST_FRACTION * len(worths)))]
    return sum(worst) / len(worst) if worst else 0.0


def _kind_result(outcomes: list[PromptOutcome]) -> KindResult:
    first_event_seconds = sorted(
        outcome.first_event_seconds
        for outcome in outcomes
        if outcome.first_event_seconds is not None
    )
    return KindResult(
        kind=outcomes[0].kind.name,
        prompts=len(outcomes),
        first_p50=quantile(first_event_seconds, 0.5),
        first_p95=quantile(first_event_seconds, 0.95),
        on_time=sum(outcome.worth == outcome.kind.worth for outcome in outcomes)
        / len(outcomes),
        failed=sum(not outcome.complete for outcome in outcomes),
    )


def quantile(values: list[float], fraction: float) -> float:
    """Return the value below which ``fraction`` of the sorted ``values`` lie."""
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(fraction * len(values)))]

"""What a play came to, by kind of prompt."""

import msgspec

from berylshift.ids import RouteName
from berylshift.model.figures import KindFigures


class PromptEnd(msgspec.Struct, frozen=True):
    """How one prompt ended; ``first`` is counted from the caller's first attempt."""

    kind: KindFigures
    at: float
    first: float | None = None
    longest_pause: float = 0.0
    complete: bool = False
    refused: int = 0

    @property
    def worth(self) -> float:
        """Return what the answer is worth to its caller."""
        if not self.complete or self.first is None:
            return 0.0
        kind = self.kind
        late = (
            self.first > kind.objective_seconds
            or self.longest_pause > kind.longest_pause
        )
        return kind.late_worth if late else kind.worth


class KindResult(msgspec.Struct, frozen=True):
    """One kind over a play; times in seconds."""

    kind: RouteName
    prompts: int
    first_p50: float
    first_p95: float
    on_time: float
    failed: int


class CrashCount(msgspec.Struct):
    """Prompts that end engines: engines ended, sends; other prompts held back."""

    ended: int = 0
    sends: int = 0
    held_others: int = 0


class PlayResult(msgspec.Struct, frozen=True):
    """One play; ``worth`` is the share of what was to be had."""

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
# The share of windows that counts as the worst.
WORST_SHARE = 0.1


def summarize(
    ends: list[PromptEnd], again_tokens: int, crashes: CrashCount | None = None
) -> PlayResult:
    """Return the result of a play's prompts."""
    crashes = crashes or CrashCount()
    kinds = {end.kind.name: end.kind for end in ends}
    by_kind = [[end for end in ends if end.kind.name == name] for name in sorted(kinds)]
    return PlayResult(
        worth=share_of_worth(ends),
        worst_kind=min((share_of_worth(group) for group in by_kind), default=0.0),
        worst_seconds=_worst_seconds(ends),
        refused=sum(end.refused for end in ends),
        failed=sum(not end.complete for end in ends),
        again_tokens=again_tokens,
        kinds=tuple(_kind_result(group) for group in by_kind),
        ended=crashes.ended,
        sends=crashes.sends,
        held_others=crashes.held_others,
    )


def share_of_worth(ends: list[PromptEnd]) -> float:
    """Return the worth of prompts as a share of what was to be had."""
    most = sum(end.kind.worth for end in ends)
    return sum(end.worth for end in ends) / most if most else 0.0


def _worst_seconds(ends: list[PromptEnd]) -> float:
    windows: dict[int, list[PromptEnd]] = {}
    for end in ends:
        windows.setdefault(int(end.at / WINDOW_SECONDS), []).append(end)
    shares = sorted(share_of_worth(group) for group in windows.values())
    worst = shares[: max(1, round(WORST_SHARE * len(shares)))]
    return sum(worst) / len(worst) if worst else 0.0


def _kind_result(ends: list[PromptEnd]) -> KindResult:
    firsts = sorted(end.first for end in ends if end.first is not None)
    return KindResult(
        kind=ends[0].kind.name,
        prompts=len(ends),
        first_p50=quantile(firsts, 0.5),
        first_p95=quantile(firsts, 0.95),
        on_time=sum(end.worth == end.kind.worth for end in ends) / len(ends),
        failed=sum(not end.complete for end in ends),
    )


def quantile(values: list[float], share: float) -> float:
    """Return the value below which ``share`` of sorted ``values`` lie."""
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(share * len(values)))]

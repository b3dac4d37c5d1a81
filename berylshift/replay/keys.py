"""Outcomes by idempotency key, checked against what the services ran."""

from collections.abc import Mapping

from berylshift.replay.result import CallerOutcome
from berylshift.replay.runner import TargetCounts


class KeyOutcomes:
    """The outcome that the caller of each non-idempotent call received, by key."""

    def __init__(self) -> None:
        """Start empty."""
        self._outcomes: dict[str, CallerOutcome] = {}

    def record(self, key: str, outcome: CallerOutcome) -> None:
        """Record the last outcome that a caller received."""
        self._outcomes[key] = outcome

    def check(self, ran: Mapping[str, int], role_changes: int) -> TargetCounts:
        """Compare the outcomes with how often each key ran."""
        doubled = sum(count > 1 for count in ran.values())
        wrong_outcomes = 0
        for key, outcome in self._outcomes.items():
            count = ran.get(key, 0)
            wrong_outcomes += outcome is CallerOutcome.COMPLETE and count == 0
            wrong_outcomes += outcome is CallerOutcome.NOT_RUN and count > 0
        return TargetCounts(doubled, wrong_outcomes, role_changes)

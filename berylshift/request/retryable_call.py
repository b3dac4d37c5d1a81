"""A call to a plain service that is retried on other replicas."""

from berylshift.clock import Clock
from berylshift.ids import AttemptId
from berylshift.request.attempts import ATTEMPT_BOUNDS, targets_excluded
from berylshift.request.messages import Ending, Outcome, PlainCall, PlainEnding, Reason
from berylshift.request.plain_send import PlainSend
from berylshift.request.retry_rule import SendHistory, Sent
from berylshift.request.send_loop import Budget, LoopEnd, send_until_done
from berylshift.targets import ServiceAnswer

RETRY_AFTER_SECONDS = 1.0


class RetryableCall:
    """One call, retried on other replicas while the retry rules allow it."""

    def __init__(self, sender: PlainSend, call: PlainCall, budget: Budget):
        """Send ``call`` with ``sender``."""
        self._sender = sender
        self._call = call
        self._budget = budget
        self._clock: Clock = sender.clock
        self._crash_watch = sender.watching.of_plain(call)
        self._history = SendHistory()
        self._refusal: Ending | None = None
        self._response: ServiceAnswer | None = None

    async def run(self) -> PlainEnding:
        """Run the call and return how it ended."""
        end = await send_until_done(
            self, ATTEMPT_BOUNDS, self._history, self._budget, self._clock
        )
        if self._response is not None:
            response = self._response
            ending = Ending(Outcome.COMPLETE)
            return PlainEnding(ending, response.status, response.headers, response.body)
        return PlainEnding(self._failed(end))

    def shutdown_ending(self) -> PlainEnding:
        """Return how the call ended if the process stops before it completes."""
        outcome = self._history.outcome
        return PlainEnding(Ending(outcome, Reason.DRAINING, "", RETRY_AFTER_SECONDS))

    async def send(self) -> Sent | None:
        """Make one attempt, on a replica that has not failed this call yet."""
        placed = self._sender.held_back(self._crash_watch) or self._sender.place(
            self._call, targets_excluded(self._history)
        )
        if isinstance(placed, Ending):
            self._refusal = placed
            return None
        number = len(self._history.sends) + 1
        attempt = AttemptId(f"{self._call.request}.{number}")
        self._history.open = True
        watch = self._crash_watch
        result = await self._sender.run(placed, self._call, attempt, watch)
        self._history.open = False
        self._response = result.answer
        return Sent(placed.target.name, result.end)

    def is_late(self) -> bool:
        """Return whether the caller's deadline has passed."""
        return self._clock.monotonic() >= self._call.deadline

    def must_finish(self) -> bool:
        """Return ``False``: no part of the response has been passed on yet."""
        return False

    def _failed(self, end: LoopEnd) -> Ending:
        outcome = self._history.outcome
        if end is LoopEnd.NO_PLACE and self._refusal is not None:
            refusal = self._refusal
            return Ending(outcome, refusal.reason, refusal.detail, refusal.retry_after)
        budget_spent = end is LoopEnd.NO_BUDGET
        reason = Reason.RETRIES_SPENT if budget_spent else Reason.TARGET_FAILED
        return Ending(outcome, reason, "", RETRY_AFTER_SECONDS)

"""A call to a plain service that may be repeated."""

from berylshift.clock import Clock
from berylshift.ids import AttemptId
from berylshift.request.messages import Ending, Outcome, PlainCall, PlainEnding, Reason
from berylshift.request.retry_loop import Budget, LoopEnd, send_until_done
from berylshift.request.retry_policy import SendHistory, Sent
from berylshift.request.retry_targets import ATTEMPT_BOUNDS, targets_excluded
from berylshift.request.service_sender import PlainSend
from berylshift.targets import ServiceAnswer

COME_BACK_SECONDS = 1.0


class Lookup:
    """One call, sent again elsewhere while that is allowed."""

    def __init__(self, sender: PlainSend, call: PlainCall, budget: Budget):
        """Send ``call`` by ``sender``."""
        self._sender = sender
        self._call = call
        self._budget = budget
        self._clock: Clock = sender.clock
        self._crash_watch = sender.watching.of_plain(call)
        self._history = SendHistory()
        self._refusal: Ending | None = None
        self._answer: ServiceAnswer | None = None

    async def run(self) -> PlainEnding:
        """Return how the call ended."""
        end = await send_until_done(
            self, ATTEMPT_BOUNDS, self._history, self._budget, self._clock
        )
        if self._answer is not None:
            found = self._answer
            done = Ending(Outcome.COMPLETE)
            return PlainEnding(done, found.status, found.headers, found.body)
        return PlainEnding(self._failed(end))

    def given_up(self) -> PlainEnding:
        """Return how the call ended where the process ends sooner than it."""
        outcome = self._history.outcome
        return PlainEnding(Ending(outcome, Reason.DRAINING, "", COME_BACK_SECONDS))

    async def send(self) -> Sent | None:
        """Send once, to a replica that has not failed yet."""
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
        found = await self._sender.run(placed, self._call, attempt, watch)
        self._history.open = False
        self._answer = found.answer
        return Sent(placed.target.name, found.end)

    def is_late(self) -> bool:
        """Return whether the caller's time is over."""
        return self._clock.monotonic() >= self._call.deadline

    def must_finish(self) -> bool:
        """Return that nothing of the answer has been passed on."""
        return False

    def _failed(self, end: LoopEnd) -> Ending:
        outcome = self._history.outcome
        if end is LoopEnd.NO_PLACE and self._refusal is not None:
            found = self._refusal
            return Ending(outcome, found.reason, found.detail, found.retry_after)
        spent = end is LoopEnd.NO_BUDGET
        reason = Reason.RETRIES_SPENT if spent else Reason.TARGET_FAILED
        return Ending(outcome, reason, "", COME_BACK_SECONDS)

"""One attempt of a lookup, a service call that may be repeated."""

from collections.abc import Awaitable, Callable

import trio

from berylshift.connection.read_timeout import NEVER
from berylshift.ids import AttemptId
from berylshift.request.messages import PlainCall
from berylshift.request.retry_policy import AttemptOutcome
from berylshift.request.router import Plan
from berylshift.request.service_sender import ServiceSender
from berylshift.targets import ServiceResponse


class LookupAttempt:
    """One attempt at a replica; it answers with a complete response."""

    def __init__(
        self, sender: ServiceSender, call: PlainCall, plan: Plan, attempt: AttemptId
    ):
        """Send ``call`` to the replica of ``plan``."""
        self._sender = sender
        self._call = call
        self._plan = plan
        self._attempt = attempt
        self.response: ServiceResponse | None = None
        self.overdue_at = NEVER
        self.begin_answer: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint
        self.on_due: Callable[[float], None] = lambda at: None

    async def run(self) -> AttemptOutcome:
        """Make the attempt and return its outcome."""
        sender = self._sender
        self.overdue_at = sender.clock.monotonic() + sender.timeout_seconds
        self.on_due(self.overdue_at)
        limit = sender.response_limit(self._call)
        found = await sender.send(self._plan, self._call, self._attempt, limit)
        if found.outcome is AttemptOutcome.DONE:
            await self.begin_answer()
            self.response = found.answer
        return found.outcome

    def supersede(self, now: float) -> AttemptOutcome:
        """Return the outcome of the attempt, which another one has cancelled."""
        if now >= self.overdue_at:
            return AttemptOutcome.SILENT
        return AttemptOutcome.SUPERSEDED

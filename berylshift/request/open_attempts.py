"""The attempts of one request that may still answer it."""

from collections.abc import Callable
from functools import partial

import trio

from berylshift.clock import Clock
from berylshift.connection.target_request import TargetRequest
from berylshift.request.replica_exchange import PendingPrefill, ReplicaExchange
from berylshift.request.retry_policy import AttemptOutcome


class OpenAttempts:
    """Open attempts; the first to answer cancels the others.

    An attempt has to call ``begin_answer`` before it writes to the caller, so no two
    attempts ever do.
    """

    def __init__(self, clock: Clock):
        """Start without attempts."""
        self._clock = clock
        # Called with the time at which an attempt will be overdue, as it is set.
        self.on_due: Callable[[float], None] = lambda at: None
        self._scopes: dict[ReplicaExchange, trio.CancelScope] = {}

    async def run(
        self, exchange: ReplicaExchange, out: TargetRequest, prefill: PendingPrefill
    ) -> AttemptOutcome:
        """Make an attempt and return its outcome, also if another one answers first."""
        scope = self._scopes[exchange] = trio.CancelScope()
        exchange.begin_answer = partial(self._begin_answer, exchange)
        exchange.on_due = self.on_due
        try:
            with scope:
                return await exchange.run(out, prefill)
            return exchange.supersede(self._clock.monotonic())
        finally:
            del self._scopes[exchange]

    def overdue_at(self) -> float:
        """Return when all of them are overdue, in monotonic seconds."""
        return max((each.overdue_at for each in self._scopes), default=float("inf"))

    async def _begin_answer(self, exchange: ReplicaExchange) -> None:
        """Cancel the other attempts, unless one of them has cancelled this one."""
        if self._scopes[exchange].cancel_called:
            await trio.sleep_forever()
        for other, scope in self._scopes.items():
            if other is not exchange:
                scope.cancel()

"""One send of a call to a plain service: its place, its books, its end."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio
from returns.result import Failure, Success

from berylshift.clock import Clock
from berylshift.ids import AttemptId, TargetName
from berylshift.request.call_watching import CallWatching
from berylshift.request.crash_watch import CrashWatch, QuarantinedError
from berylshift.request.decisions import DecisionLog
from berylshift.request.messages import Ending, Outcome, PlainCall, Reason
from berylshift.request.retry_rule import SendEnd, end_of, retry_after_of
from berylshift.request.router import Plan, ReplicaChooser, RoutingContext, WorkItem
from berylshift.request.target_check import accepts_connections
from berylshift.targets import (
    ServiceAnswer,
    ServiceCall,
    ServiceClient,
    TargetBrokenError,
    TargetError,
)
from berylshift.version.table import Table


class PlainSent(msgspec.Struct, frozen=True):
    """How a send ended, with the answer if it is done."""

    end: SendEnd
    answer: ServiceAnswer | None = None


@dataclass
class PlainSend:
    """Places and sends calls; ``timeout`` bounds one send, in seconds."""

    clock: Clock
    client: ServiceClient
    know: RoutingContext
    chooser: ReplicaChooser
    decisions: DecisionLog
    table: Callable[[], Table]
    may_route: Callable[[], bool]
    timeout: float
    watching: CallWatching

    def held_back(self, watch: CrashWatch) -> Ending | None:
        """Return the refusal of a call under which replicas ended."""
        try:
            watch.check()
        except QuarantinedError as exc:
            return Ending(Outcome.NOT_RUN, Reason.QUARANTINED, "", exc.seconds)
        return None

    def place(self, call: PlainCall, exclude: frozenset[TargetName]) -> Plan | Ending:
        """Return the replica for ``call``, or how the call ends without one."""
        if not self.may_route():
            return Ending(Outcome.NOT_RUN, Reason.STALE_TABLE, "", 1.0)
        now = self.clock.monotonic()
        item = WorkItem(
            request=call.request,
            customer=call.caller.customer,
            fleet=call.caller.fleet,
            work=call.service,
            prompt_tokens=0,
            output_tokens=0,
            prefixes=(),
            remaining_seconds=call.deadline - now,
            exclude=exclude,
        )
        match self.chooser.choose(item, self.table(), now):
            case Success(plan):
                self.decisions.log_placement(call.request, "replica", plan)
                return plan
            case Failure(refusal):
                self.decisions.log_refusal(call.request, "replica", refusal)
                return Ending(Outcome.NOT_RUN, refusal.reason, "", refusal.retry_after)

    async def run(
        self, plan: Plan, call: PlainCall, attempt: AttemptId, watch: CrashWatch
    ) -> PlainSent:
        """Send one attempt; tell ``watch`` what it came to."""
        found = await self._send(plan, call, attempt)
        if found.end is SendEnd.DONE:
            watch.finished()
        elif found.end is SendEnd.BROKEN and self._takes_work(plan.target.name):
            await watch.broke_off(
                self.watching.instance(plan.target.name),
                lambda: accepts_connections(self.client, plan.target.address),
            )
        return found

    def _takes_work(self, name: TargetName) -> bool:
        """Return whether a replica is listed and not leaving."""
        row = self.table().targets.get(name)
        return row is not None and row.takes_work

    async def _send(self, plan: Plan, call: PlainCall, attempt: AttemptId) -> PlainSent:
        name = plan.target.name
        out = ServiceCall(
            attempt=attempt,
            service=call.service,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            idempotent=call.idempotent,
            key=call.key,
        )
        load, health = self.know.load, self.know.health
        load.sent(name, attempt, call.caller.fleet, 0, self.clock.monotonic())
        health.started(name)
        try:
            answer = await self._bounded(plan.target.address, out)
            health.succeeded(name)
            return PlainSent(SendEnd.DONE, answer)
        except TargetError as exc:
            now = self.clock.monotonic()
            health.failed(name, now)
            health.back_off(name, retry_after_of(exc), now)
            return PlainSent(end_of(exc))
        except trio.Cancelled:
            health.cancelled(name)
            raise
        finally:
            load.ended(name, attempt, self.clock.monotonic())

    async def _bounded(self, address: str, out: ServiceCall) -> ServiceAnswer:
        with trio.move_on_after(self.timeout):
            return await self.client.call(address, out)
        raise TargetBrokenError("no answer in time")

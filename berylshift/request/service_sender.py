"""Sends calls to plain services: chooses a replica and tracks load and health."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio
from returns.result import Failure, Result, Success

from berylshift.clock import Clock
from berylshift.ids import AttemptId, TargetName
from berylshift.request.crash_watch import CrashWatch, QuarantinedError
from berylshift.request.crash_watch_factory import CrashWatchFactory
from berylshift.request.decisions import DecisionLog
from berylshift.request.messages import NativeResult, Outcome, PlainCall, Reason
from berylshift.request.retry_policy import AttemptOutcome, outcome_of, retry_after_of
from berylshift.request.router import (
    PlacementRefusal,
    Plan,
    ReplicaChooser,
    RoutingContext,
    WorkItem,
)
from berylshift.request.target_check import accepts_connections
from berylshift.targets import (
    ServiceCall,
    ServiceClient,
    ServiceResponse,
    TargetBrokenError,
    TargetError,
)
from berylshift.version.table import Table


class ServiceAttempt(msgspec.Struct, frozen=True):
    """Outcome of one exchange, with the service's answer if it succeeded."""

    outcome: AttemptOutcome
    answer: ServiceResponse | None = None


@dataclass
class ServiceSender:
    """Chooses replicas and sends calls.

    A response is overdue after ``timeout_seconds``; it is awaited until its caller's
    deadline if that is later.
    """

    clock: Clock
    client: ServiceClient
    context: RoutingContext
    chooser: ReplicaChooser
    decisions: DecisionLog
    table: Callable[[], Table]
    may_route: Callable[[], bool]
    timeout_seconds: float
    crash_watches: CrashWatchFactory

    def quarantine_refusal(self, watch: CrashWatch) -> NativeResult | None:
        """Return the refusal of a call that is quarantined for crashing replicas."""
        try:
            watch.check()
        except QuarantinedError as exc:
            return NativeResult(Outcome.NOT_RUN, Reason.QUARANTINED, "", exc.seconds)
        return None

    def place(
        self, call: PlainCall, exclude: frozenset[TargetName]
    ) -> Plan | NativeResult:
        """Choose a replica for ``call``; return a refusal if there is none."""
        if not self.may_route():
            return NativeResult(Outcome.NOT_RUN, Reason.STALE_VIEW, "", 1.0)
        match self._choose(call, exclude):
            case Success(plan):
                self.decisions.log_placement(call.request, "replica", plan)
                return plan
            case Failure(refusal):
                self.decisions.log_refusal(call.request, "replica", refusal)
                return NativeResult(
                    Outcome.NOT_RUN, refusal.reason, "", refusal.retry_after
                )

    def choose_hedge(
        self, call: PlainCall, exclude: frozenset[TargetName]
    ) -> Plan | None:
        """Choose a replica beside those that are overdue; ``None``: there is none."""
        if not self.may_route():
            return None
        return self._choose(call, exclude).value_or(None)

    def _choose(
        self, call: PlainCall, exclude: frozenset[TargetName]
    ) -> Result[Plan, PlacementRefusal]:
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
        return self.chooser.choose(item, self.table(), now)

    async def report(
        self, plan: Plan, outcome: AttemptOutcome, watch: CrashWatch
    ) -> None:
        """Report the outcome of an attempt to ``watch``."""
        if outcome is AttemptOutcome.DONE:
            watch.on_completed(self.crash_watches.instance_id(plan.target.name))
        elif outcome is AttemptOutcome.BROKEN and self._takes_work(plan.target.name):
            await watch.on_connection_lost(
                self.crash_watches.instance_id(plan.target.name),
                lambda: accepts_connections(self.client, plan.target.address),
            )

    def _takes_work(self, name: TargetName) -> bool:
        """Return whether a replica is listed and not draining."""
        row = self.table().targets.get(name)
        return row is not None and row.accepts_work

    def response_limit(self, call: PlainCall) -> trio.CancelScope:
        """Return a scope for the wait for a response to a call that is sent now."""
        seconds = max(self.timeout_seconds, call.deadline - self.clock.monotonic())
        return trio.CancelScope(deadline=trio.current_time() + seconds)

    async def send(
        self, plan: Plan, call: PlainCall, attempt: AttemptId, limit: trio.CancelScope
    ) -> ServiceAttempt:
        """Send a call to a replica and return how that ended, within ``limit``."""
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
        load, health = self.context.load, self.context.health
        sent_at = self.clock.monotonic()
        load.record_sent(name, attempt, call.caller.fleet, 0, sent_at)
        health.record_start(name)
        try:
            answer = await self._bounded(plan.target.address, out, limit)
            health.record_success(name)
            return ServiceAttempt(AttemptOutcome.DONE, answer)
        except TargetError as exc:
            now = self.clock.monotonic()
            health.record_failure(name, now)
            health.back_off(name, retry_after_of(exc), now)
            return ServiceAttempt(outcome_of(exc))
        except trio.Cancelled:
            now = self.clock.monotonic()
            if now >= sent_at + self.timeout_seconds:
                health.record_failure(name, now)
            else:
                health.record_cancelled(name)
            raise
        finally:
            load.record_ended(name, attempt, self.clock.monotonic())

    async def _bounded(
        self, address: str, out: ServiceCall, limit: trio.CancelScope
    ) -> ServiceResponse:
        with limit:
            return await self.client.call(address, out)
        raise TargetBrokenError("no answer in time")

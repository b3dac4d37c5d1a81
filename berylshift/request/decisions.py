"""Logs routing decisions, and keeps recent ones for ``explain``."""

import logging
from collections import OrderedDict

import msgspec

from berylshift.clock import Clock
from berylshift.ids import RequestId, TargetName
from berylshift.metrics import Metrics
from berylshift.request.messages import Decision, NativeResult
from berylshift.request.router import PlacementRefusal, Plan

logger = logging.getLogger(__name__)


class DecisionLog:
    """Logs decisions and keeps them by request."""

    def __init__(self, clock: Clock, metrics: Metrics, max_requests: int):
        """Keep the decisions of the last ``max_requests`` requests in memory."""
        self._clock = clock
        self._metrics = metrics
        self._max_requests = max_requests
        self._by_request: OrderedDict[RequestId, list[Decision]] = OrderedDict()

    def log_placement(self, request: RequestId, kind: str, plan: Plan) -> None:
        """Record where an attempt is sent."""
        reason = plan.reason
        if plan.prefill_on is not None:
            reason = f"{reason}; prefill on {plan.prefill_on.name}"
        self._add(request, kind, plan.target.name, reason, plan.estimates)

    def log_refusal(
        self, request: RequestId, kind: str, refusal: PlacementRefusal
    ) -> None:
        """Record that a request was refused."""
        no_target = TargetName("")
        self._add(request, kind, no_target, refusal.reason, refusal.estimates)

    def log_failure(self, request: RequestId, target: TargetName, error: str) -> None:
        """Record a failed attempt."""
        self._add(request, "failure", target, error, [])

    def log_result(self, request: RequestId, result: NativeResult) -> None:
        """Record how a request ended."""
        self._metrics.incr(f"requests.{result.outcome}")
        detail = f"{result.outcome}: {result.reason} {result.detail}".rstrip()
        self._add(request, "ending", TargetName(""), detail, [])

    def explain(self, request: RequestId) -> list[Decision]:
        """Return the kept decisions of a request."""
        return self._by_request.get(request, [])

    def _add(
        self, request: RequestId, kind: str, chosen: TargetName, reason: str, estimates
    ) -> None:
        at = self._clock.now().timestamp()
        decision = Decision(request, at, kind, chosen, str(reason), estimates)
        self._by_request.setdefault(request, []).append(decision)
        while len(self._by_request) > self._max_requests:
            self._by_request.popitem(last=False)
        if logger.isEnabledFor(logging.INFO):
            logger.info("decision", extra=msgspec.to_builtins(decision))

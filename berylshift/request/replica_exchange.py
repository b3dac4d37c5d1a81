"""One exchange with a replica: sends the request and relays the response."""

from collections.abc import Callable
from contextlib import AsyncExitStack, aclosing

import msgspec

from berylshift.connection.errors import (
    ConnectFailedError,
    ConnectionLayerError,
    PathLostError,
    ThrottledError,
)
from berylshift.connection.memory_pool import Hold
from berylshift.connection.read_timeout import NEVER, ReadTimeout, ReadTimeoutError
from berylshift.connection.target_request import ConnectionUse, TargetRequest
from berylshift.connection.target_response import TargetResponse
from berylshift.ids import InstanceId
from berylshift.messages.load_digest import Urgency
from berylshift.messages.routed import ResponseHead, RoutedRequest
from berylshift.process.targets.target_load import TargetLoads
from berylshift.request.refusals import NOT_RUN_STATUSES
from berylshift.request.relay_dependencies import RelayDependencies
from berylshift.request.response_stream import ResponseStream, StreamBrokenError
from berylshift.request.retry_policy import AttemptHistory, AttemptOutcome
from berylshift.version.routes import Route, RouteKind

MIN_ERROR_STATUS = 400
MIN_SERVER_ERROR_STATUS = 500
# The largest response that is buffered before it is forwarded.
MAX_BUFFERED_BODY_BYTES = 8 << 20
MAX_REFUSAL_BODY_BYTES = 65536
# A repeatable request is retried at another replica if there is no response within this
# multiple of its route's latency objective: three times its usual duration, and well
# before its deadline.
SILENCE_FACTOR = 1.5
# Before its first event, a stream also waits for an engine slot and its prefill.
STREAM_SILENCE_FACTOR = 3.0
MIN_SILENCE_SECONDS = 0.05
# A resumable stream is resumed at another replica after this long without an event. A
# run that is merely preempted pauses for less: this is several times the longest pause
# that still meets the objective.
MAX_EVENT_GAP_SECONDS = 1.2


def _ignore() -> None:
    """Do nothing when a stream starts."""


def overdue_seconds(route: Route) -> float:
    """Return the time after which a response has taken unusually long."""
    factor = STREAM_SILENCE_FACTOR
    if route.kind is not RouteKind.STREAM:
        factor = SILENCE_FACTOR
    return max(MIN_SILENCE_SECONDS, factor * route.objective_seconds)


class FailedResponse(msgspec.Struct, frozen=True):
    """An error response of a replica, which may be forwarded as it is."""

    head: ResponseHead
    body: bytes


class PendingPrefill:
    """The prompt tokens of one attempt that an engine has yet to prefill."""

    def __init__(
        self, loads: TargetLoads, instance: InstanceId, tokens: int, urgency: Urgency
    ):
        """Count ``tokens`` as pending until ``done`` is called."""
        self._loads = loads
        self._instance = instance
        self._tokens = tokens
        self._urgency = urgency

    def done(self) -> None:
        """Record the tokens as prefilled; later calls have no effect."""
        self._loads.record_prefilled(self._instance, self._tokens, self._urgency)
        self._tokens = 0


class ReplicaExchange:
    """Sends a request to one replica at a time and relays the response."""

    def __init__(
        self,
        deps: RelayDependencies,
        req: RoutedRequest,
        route: Route,
        out: ResponseStream,
        history: AttemptHistory,
    ):
        """Relay to ``out``; ``history`` holds the earlier attempts."""
        self._deps = deps
        self._req = req
        self._route = route
        self._out = out
        self._history = history
        self.failure: FailedResponse | None = None
        # Why the last attempt broke, for the log; empty: the replica ended it.
        self.break_reason = ""
        # When the last attempt was seen to start running, on the monotonic clock.
        self.run_started_at: float | None = None
        self._on_streaming: Callable[[], None] = _ignore
        # Memory of the responses that are buffered for the caller.
        self._holds: list[Hold] = []

    async def run(
        self,
        out: TargetRequest,
        prefill: PendingPrefill,
        on_streaming: Callable[[], None] = lambda: None,
        on_connected: Callable[[ConnectionUse], None] = lambda use: None,
    ) -> AttemptOutcome:
        """Send ``out`` once and return the outcome.

        A cancelled attempt stays open in the history, since the replica may run it.
        ``on_streaming`` is called when the first data of a stream arrives.
        ``on_connected`` is called once there is a connection.
        """
        self._history.has_open_attempt = True
        self._on_streaming = on_streaming
        self.run_started_at = None
        self.break_reason = ""
        try:
            outcome = await self._exchange(out, prefill, on_connected)
        finally:
            self._on_streaming = _ignore
        self._history.has_open_attempt = False
        return outcome

    def release(self) -> None:
        """Release the memory of buffered responses: the caller has its response."""
        while self._holds:
            self._holds.pop().release()

    async def _exchange(
        self,
        out: TargetRequest,
        prefill: PendingPrefill,
        on_connected: Callable[[ConnectionUse], None],
    ) -> AttemptOutcome:
        limit = ReadTimeout(NEVER)
        limit.restart(self._first_byte_timeout())
        try:
            async with AsyncExitStack() as stack:
                exchange = self._deps.client.exchange(out, on_connected)
                answer = await limit.wait_for(stack.enter_async_context(exchange))
                return await self._receive_response(
                    out.instance, answer, limit, prefill
                )
        except ReadTimeoutError:
            return AttemptOutcome.SILENT
        except ThrottledError:
            return AttemptOutcome.THROTTLED
        except ConnectFailedError:
            now = self._deps.clock.monotonic()
            self._deps.suspects.record_not_reached(out.instance, now)
            return AttemptOutcome.NOT_REACHED
        except PathLostError:
            self.break_reason = " path-lost"
            return AttemptOutcome.BROKEN
        except (ConnectionLayerError, StreamBrokenError):
            return AttemptOutcome.BROKEN

    def _first_byte_timeout(self) -> float:
        """Return how long to wait for the response before retrying elsewhere.

        While the request body is still arriving, the replica may be waiting for the
        caller.
        """
        if not self._may_retry_elsewhere() or not self._req.body.ended:
            return NEVER
        return overdue_seconds(self._route)

    def _may_retry_elsewhere(self) -> bool:
        more = self._history.possible_runs + 1 < self._route.max_attempts
        return self._route.repeatable and more

    async def _receive_response(
        self,
        instance: InstanceId,
        answer: TargetResponse,
        limit: ReadTimeout,
        prefill: PendingPrefill,
    ) -> AttemptOutcome:
        if not answer.is_identified:
            return AttemptOutcome.INVALID
        head = self._deps.codec.parse_response_head(answer.status, answer.headers)
        self._deps.suspects.record_response(
            instance, head, self._deps.clock.monotonic()
        )
        if head.keep_alive_seconds is not None:
            answer.keep_alive_seconds = head.keep_alive_seconds
        if head.load is not None:
            now = self._deps.clock.monotonic()
            self._deps.loads.record_report(instance, head.load, now)
            self._deps.replica_speeds.record_report(instance, head.load, now)
        if head.not_run:
            await limit.wait_for(answer.read(MAX_REFUSAL_BODY_BYTES))
            return AttemptOutcome.NOT_RUN
        if not head.genuine:
            answer.may_reuse = False
            return AttemptOutcome.INVALID
        if not self._route.repeatable:
            # The request has run, so its body is not sent again.
            self._req.body.free_if_sent()
        is_stream = self._route.kind is RouteKind.STREAM
        if is_stream and head.status < MIN_ERROR_STATUS:
            return await self._receive_stream(answer, head, limit, prefill)
        return await self._receive_body(answer, head, limit)

    async def _receive_body(
        self, answer: TargetResponse, head: ResponseHead, limit: ReadTimeout
    ) -> AttemptOutcome:
        hold = await self._deps.memory.hold_response(head.length)
        self._holds.append(hold)
        body = await limit.wait_for(answer.read(MAX_BUFFERED_BODY_BYTES))
        hold.resize(len(body))
        if head.status in NOT_RUN_STATUSES and not self._route.repeatable:
            # The replica does not state that the request was not run, but these
            # statuses would tell the caller so.
            return AttemptOutcome.FAILED
        if head.status >= MIN_SERVER_ERROR_STATUS or self._out.started:
            self.failure = FailedResponse(head, body)
            return AttemptOutcome.FAILED
        await self._out.send_full(head, body)
        return AttemptOutcome.DONE

    async def _receive_stream(
        self,
        answer: TargetResponse,
        head: ResponseHead,
        limit: ReadTimeout,
        prefill: PendingPrefill,
    ) -> AttemptOutcome:
        self._out.set_head(head)
        events_before = self._out.events
        async with aclosing(answer.chunks()) as chunks:
            while (data := await limit.wait_for(anext(chunks, None))) is not None:
                if self.run_started_at is None:
                    self.run_started_at = self._deps.clock.monotonic()
                    self._on_streaming()
                prefill.done()
                await self._out.feed(data)
                # The time that the caller took to read does not count as silence.
                may_retry = self._may_retry_elsewhere()
                limit.restart(MAX_EVENT_GAP_SECONDS if may_retry else NEVER)
        if answer.ends_with_connection and self._out.events == events_before:
            # A replica that ends before its first event closes its connections, too.
            raise StreamBrokenError("the stream ended without an event")
        await self._out.close()
        return AttemptOutcome.DONE

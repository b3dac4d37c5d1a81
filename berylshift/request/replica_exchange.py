"""One exchange with a replica: sends the request and relays the response."""

from collections.abc import Awaitable, Callable
from contextlib import aclosing

import msgspec

from berylshift.connection.errors import (
    ConnectFailedError,
    ConnectionLayerError,
    ThrottledError,
)
from berylshift.connection.memory_pool import Hold
from berylshift.connection.target_request import ConnectionUse, TargetRequest
from berylshift.connection.target_response import TargetResponse
from berylshift.ids import InstanceId
from berylshift.messages.load_digest import Urgency
from berylshift.messages.routed import ResponseHead, RoutedRequest
from berylshift.process.targets.target_load import TargetLoads
from berylshift.request.event_splitter import (
    EventSplitter,
    EventTooLongError,
    StreamEvent,
    is_later,
)
from berylshift.request.refusals import NOT_RUN_STATUSES
from berylshift.request.relay_dependencies import RelayDependencies
from berylshift.request.response_stream import ResponseStream
from berylshift.request.retry_policy import AttemptHistory, AttemptOutcome
from berylshift.version.routes import Route, RouteKind

MIN_ERROR_STATUS = 400
MIN_SERVER_ERROR_STATUS = 500
# The largest response that is buffered before it is forwarded.
MAX_BUFFERED_BODY_BYTES = 8 << 20
# A response is overdue after this multiple of its route's latency objective: three
# times its usual duration, and well before its deadline.
SILENCE_FACTOR = 1.5
# Before its first event, a stream also waits for an engine slot and its prefill.
STREAM_SILENCE_FACTOR = 3.0
MIN_SILENCE_SECONDS = 0.05
# A response counts as due earlier: where all replicas pause, none is to be taken for a
# better one just because its own responses are overdue a moment later.
DUE_FRACTION = 0.67
# A stream's next event is overdue after this long. A run that is merely preempted
# pauses for less: this is several times the longest pause that still meets the
# objective.
MAX_EVENT_GAP_SECONDS = 1.2
NEVER = float("inf")


class StreamBrokenError(Exception):
    """The replica's stream can't be forwarded any further."""


class NotResumedError(Exception):
    """The replica sent an event again that came before the one to go on after."""


async def _begin_answer() -> None:
    """Let the only attempt of a request answer."""


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
    """Sends a request to one replica and relays the response."""

    def __init__(
        self,
        deps: RelayDependencies,
        req: RoutedRequest,
        route: Route,
        out: ResponseStream,
        history: AttemptHistory,
    ):
        """Relay to ``out``; ``history`` holds the other attempts.

        ``begin_answer`` is awaited before anything is written to ``out``;
        ``on_streaming`` is called before the first event of a stream is,
        ``on_connected`` once there is a connection, and ``on_due`` with each new
        ``overdue_at``.
        """
        self._deps = deps
        self._req = req
        self._route = route
        self._out = out
        self._history = history
        self.begin_answer: Callable[[], Awaitable[None]] = _begin_answer
        self.on_streaming: Callable[[], None] = lambda: None
        self.on_connected: Callable[[ConnectionUse], None] = lambda use: None
        self.on_due: Callable[[float], None] = lambda at: None
        self.failure: FailedResponse | None = None
        # The event after which a stream is to go on; ``None``: from its start.
        self.resume_after: bytes | None = None
        # Whether a replica with other weights than the stream's refuses it.
        self.expects_weights = False
        # When it was seen to start running, on the monotonic clock.
        self.run_started_at: float | None = None
        # When it is overdue, on the monotonic clock: the replica may still answer, but
        # another one may be faster.
        self.overdue_at = NEVER
        # Whether an event came later than it was due.
        self.was_overdue = False
        # Whether it may run although its outcome is not known.
        self.is_open = False
        self._is_connected = False
        # Whether another attempt answered before this one had a connection.
        self.was_never_sent = False
        # Memory of the response that is buffered for the caller.
        self._holds: list[Hold] = []

    async def run(self, out: TargetRequest, prefill: PendingPrefill) -> AttemptOutcome:
        """Send ``out`` and return the outcome.

        A cancelled attempt stays open in the history, since the replica may run it.
        """
        self._history.begin_attempt()
        self.is_open = True
        # While the request body is still arriving, the replica may be waiting for the
        # caller.
        if self._req.body.ended:
            self._set_due(overdue_seconds(self._route))
        now, due = self._now(), DUE_FRACTION * overdue_seconds(self._route)
        self._deps.silence.begin(out.instance, self, now, now + due)
        try:
            outcome = await self._exchange(out, prefill)
        finally:
            self._deps.silence.end(out.instance, self)
        self._end()
        return outcome

    def supersede(self, now: float) -> AttemptOutcome:
        """End the attempt, which another one has cancelled, and return its outcome."""
        self._end()
        if not self._is_connected:
            self.was_never_sent = True
            return AttemptOutcome.NOT_REACHED
        if now >= self.overdue_at:
            return AttemptOutcome.SILENT
        return AttemptOutcome.SUPERSEDED

    def on_path_lost(self) -> bool:
        """Count it as overdue, since this host can't reach the replica any more.

        Return ``False``: the connection stays open.
        """
        self._set_due(0.0)
        return False

    def _end(self) -> None:
        self.is_open = False
        self._history.end_attempt()

    def _set_due(self, seconds: float) -> None:
        self.overdue_at = self._now() + seconds
        self.on_due(self.overdue_at)

    def _now(self) -> float:
        return self._deps.clock.monotonic()

    def _on_connected(self, use: ConnectionUse) -> None:
        self._is_connected = True
        self.on_connected(use)

    @property
    def decoded_seconds(self) -> float:
        """Return for how long it has been running; 0: not seen to start."""
        started_at = self.run_started_at
        return 0.0 if started_at is None else self._now() - started_at

    def release(self) -> None:
        """Release the memory of buffered responses: the caller has its response."""
        while self._holds:
            self._holds.pop().release()

    async def _exchange(
        self, out: TargetRequest, prefill: PendingPrefill
    ) -> AttemptOutcome:
        try:
            async with self._deps.client.exchange(out, self._on_connected) as answer:
                self._record_heard(out.instance)
                return await self._receive_response(out.instance, answer, prefill)
        except ThrottledError:
            return AttemptOutcome.THROTTLED
        except ConnectFailedError:
            now = self._deps.clock.monotonic()
            self._deps.suspects.record_not_reached(out.instance, now)
            return AttemptOutcome.NOT_REACHED
        except NotResumedError:
            return AttemptOutcome.INVALID
        except (ConnectionLayerError, StreamBrokenError):
            return AttemptOutcome.BROKEN

    def _record_heard(self, instance: InstanceId) -> None:
        self._deps.silence.record_heard(instance, self._now())

    async def _receive_response(
        self,
        instance: InstanceId,
        answer: TargetResponse,
        prefill: PendingPrefill,
    ) -> AttemptOutcome:
        if not answer.is_identified:
            return AttemptOutcome.INVALID
        head = self._deps.codec.parse_response_head(answer.status, answer.headers)
        if not self.expects_weights:
            # Such a refusal would look like one by another instance at the address.
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
            await answer.skip_body()
            return AttemptOutcome.NOT_RUN
        if not head.genuine:
            answer.may_reuse = False
            return AttemptOutcome.INVALID
        if not self._route.repeatable:
            # The request has run, so its body is not sent again.
            self._req.body.free_if_sent()
        is_stream = self._route.kind is RouteKind.STREAM
        if is_stream and self._out.is_other_status(head.status):
            # It may have no body, which would end the stream as complete.
            await answer.skip_body()
            return AttemptOutcome.FAILED
        if is_stream and head.status < MIN_ERROR_STATUS:
            return await self._receive_stream(instance, answer, head, prefill)
        return await self._receive_body(answer, head)

    async def _receive_body(
        self, answer: TargetResponse, head: ResponseHead
    ) -> AttemptOutcome:
        if head.status in NOT_RUN_STATUSES and not self._route.repeatable:
            # The replica does not state that the request was not run, but these
            # statuses would tell the caller so.
            await answer.skip_body()
            return AttemptOutcome.FAILED
        # A hold for a length that is never read would keep others waiting.
        answer.check_declared_length(MAX_BUFFERED_BODY_BYTES)
        hold = await self._deps.memory.hold_response(head.length)
        self._holds.append(hold)
        body = await answer.read(
            MAX_BUFFERED_BODY_BYTES, lambda size: hold.resize(max(size, hold.size))
        )
        hold.resize(len(body))
        if head.status >= MIN_SERVER_ERROR_STATUS or self._out.started:
            self.failure = FailedResponse(head, body)
            return AttemptOutcome.FAILED
        await self._begin_answer()
        await self._out.send_full(head, body)
        return AttemptOutcome.DONE

    async def _receive_stream(
        self,
        instance: InstanceId,
        answer: TargetResponse,
        head: ResponseHead,
        prefill: PendingPrefill,
    ) -> AttemptOutcome:
        splitter = EventSplitter()
        has_events = False
        joint = StreamJoint(self.resume_after)
        async with aclosing(answer.chunks()) as chunks:
            async for data in chunks:
                self._record_heard(instance)
                if self.run_started_at is None:
                    self.run_started_at = self._now()
                prefill.done()
                events = _split(splitter, data)
                joint.check(events)
                if events:
                    self._deps.silence.record_event(instance, self, self._now())
                    await self._forward(head, events, is_first=not has_events)
                    has_events = True
        if splitter.buffered:
            raise StreamBrokenError("the stream ended within an event")
        if answer.ends_with_connection and not has_events:
            # A replica that ends before its first event closes its connections, too.
            raise StreamBrokenError("the stream ended without an event")
        await self._begin_answer()
        self._out.set_head(head)
        await self._out.close(splitter.take_idle())
        return AttemptOutcome.DONE

    async def _forward(
        self, head: ResponseHead, events: list[StreamEvent], is_first: bool
    ) -> None:
        """Forward events."""
        await self._begin_answer()
        if is_first:
            self.on_streaming()
            self._out.set_head(head)
        await self._out.send_events(events)
        for event in events:
            weights = self._deps.codec.parse_weights(event.data)
            if weights is not None:
                self._out.weights = weights
        self._set_due(MAX_EVENT_GAP_SECONDS)

    async def _begin_answer(self) -> None:
        """Let this attempt answer; the time that the caller takes is not overdue."""
        self.was_overdue = self.was_overdue or self._now() >= self.overdue_at
        self.overdue_at = NEVER
        await self.begin_answer()


class StreamJoint:
    """Checks that the first id of a replica's stream follows the event before it.

    A replica that does not heed the id to go on after would send events twice.
    """

    def __init__(self, resume_after: bytes | None):
        """Expect an id after ``resume_after``; ``None``: any."""
        self._after = resume_after

    def check(self, events: list[StreamEvent]) -> None:
        """Raise ``NotResumedError`` if an event came before."""
        if self._after is None:
            return
        first = next((event.id for event in events if event.id is not None), None)
        if first is None:
            return
        if not is_later(first, self._after):
            raise NotResumedError
        self._after = None


def _split(splitter: EventSplitter, data: bytes) -> list[StreamEvent]:
    """Return the events that ``data`` completes."""
    try:
        return splitter.feed(data)
    except EventTooLongError as exc:
        raise StreamBrokenError("stream event exceeds the size limit") from exc

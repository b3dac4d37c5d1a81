"""One send of a request to a replica, and what its answer comes to."""

from contextlib import AsyncExitStack, aclosing

import msgspec

from berylshift.connection.errors import (
    ConnectFailedError,
    ConnectionLayerError,
    ThrottledError,
)
from berylshift.connection.silence import NEVER, SilenceLimit, SilentError
from berylshift.connection.target_client import TargetAnswer, TargetRequest
from berylshift.ids import InstanceId
from berylshift.messages.load_digest import Urgency
from berylshift.messages.routed import AnswerHead, RoutedRequest
from berylshift.process.targets.target_load import TargetLoads
from berylshift.request.answer_stream import AnswerStream, StreamBrokenError
from berylshift.request.relay_parts import RelayParts
from berylshift.request.retry_rule import SendEnd, SendHistory
from berylshift.version.routes import Route, RouteKind

FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR = 500
# The largest answer that is held whole before it is passed on, in bytes.
MOST_WHOLE_BYTES = 8 << 20
MOST_REFUSAL_BYTES = 65536
# A request that may be repeated is sent elsewhere after this many times its route's
# objective without a word: three times the usual work, well within the time left.
PATIENCE = 1.5
# A stream's silence also covers its wait for a slot and its prompt.
STREAM_PATIENCE = 3.0
LEAST_PATIENCE = 0.05
# A resumable stream goes on elsewhere after this long without an event; several times
# the pause that is still on time, so that a preempted run is left where it is.
GAP_PATIENCE_SECONDS = 1.2


class FailedAnswer(msgspec.Struct, frozen=True):
    """A replica's own failure, which its caller may be given as it is."""

    head: AnswerHead
    body: bytes


class Reading:
    """The prompt tokens that an engine has yet to read of one send."""

    def __init__(
        self, loads: TargetLoads, instance: InstanceId, tokens: int, urgency: Urgency
    ):
        """Count ``tokens`` as open until ``done``."""
        self._loads = loads
        self._instance = instance
        self._tokens = tokens
        self._urgency = urgency

    def done(self) -> None:
        """Note the tokens as read, once."""
        self._loads.note_prefilled(self._instance, self._tokens, self._urgency)
        self._tokens = 0


class SingleSend:
    """Sends a request once at a time and relays what comes to its caller."""

    def __init__(
        self,
        parts: RelayParts,
        req: RoutedRequest,
        route: Route,
        out: AnswerStream,
        history: SendHistory,
    ):
        """Relay to ``out``; ``history`` tells what earlier sends came to."""
        self._parts = parts
        self._req = req
        self._route = route
        self._out = out
        self._history = history
        self.failure: FailedAnswer | None = None
        # When the newest send was seen to begin to run, on the monotonic clock.
        self.began_at: float | None = None

    async def run(self, out: TargetRequest, reading: Reading) -> SendEnd:
        """Send ``out`` once; a cancelled send stays open: the replica may run it."""
        self._history.open = True
        self.began_at = None
        end = await self._exchange(out, reading)
        self._history.open = False
        return end

    async def _exchange(self, out: TargetRequest, reading: Reading) -> SendEnd:
        limit = SilenceLimit(NEVER)
        limit.allow(self._patience())
        try:
            async with AsyncExitStack() as stack:
                exchange = self._parts.client.exchange(out)
                answer = await limit.bound(stack.enter_async_context(exchange))
                return await self._take_answer(out.instance, answer, limit, reading)
        except SilentError:
            return SendEnd.SILENT
        except ThrottledError:
            return SendEnd.THROTTLED
        except ConnectFailedError:
            return SendEnd.NOT_REACHED
        except (ConnectionLayerError, StreamBrokenError):
            return SendEnd.BROKEN

    def _patience(self) -> float:
        """Return how long to wait for a first word before sending elsewhere.

        While the body still comes, a replica's silence may be its caller's.
        """
        if not self._may_go_elsewhere() or not self._req.body.ended:
            return NEVER
        stream = self._route.kind is RouteKind.STREAM
        factor = STREAM_PATIENCE if stream else PATIENCE
        return max(LEAST_PATIENCE, factor * self._route.objective)

    def _may_go_elsewhere(self) -> bool:
        more = self._history.runs + 1 < self._route.most_attempts
        return self._route.repeatable and more

    async def _take_answer(
        self,
        instance: InstanceId,
        answer: TargetAnswer,
        limit: SilenceLimit,
        reading: Reading,
    ) -> SendEnd:
        head = self._parts.language.read_answer(answer.status, answer.headers)
        if head.request is not None and head.request != self._req.id:
            await limit.bound(answer.skip())
            head = self._parts.language.read_answer(answer.status, answer.headers)
        if head.request is not None and head.request != self._req.id:
            answer.usable = False
            return SendEnd.BROKEN
        if head.keep_seconds is not None:
            answer.keep_seconds = head.keep_seconds
        if head.load is not None:
            now = self._parts.clock.monotonic()
            self._parts.loads.note_report(instance, head.load, now)
        if head.not_run:
            await limit.bound(answer.read(MOST_REFUSAL_BYTES))
            return SendEnd.NOT_RUN
        if not head.genuine:
            answer.usable = False
            return SendEnd.SPOILED
        streams = self._route.kind is RouteKind.STREAM
        if streams and head.status < FIRST_ERROR_STATUS:
            return await self._take_stream(answer, head, limit, reading)
        return await self._take_whole(answer, head, limit)

    async def _take_whole(
        self, answer: TargetAnswer, head: AnswerHead, limit: SilenceLimit
    ) -> SendEnd:
        body = await limit.bound(answer.read(MOST_WHOLE_BYTES))
        if head.status >= FIRST_SERVER_ERROR or self._out.started:
            self.failure = FailedAnswer(head, body)
            return SendEnd.FAILED
        await self._out.whole(head, body)
        return SendEnd.DONE

    async def _take_stream(
        self,
        answer: TargetAnswer,
        head: AnswerHead,
        limit: SilenceLimit,
        reading: Reading,
    ) -> SendEnd:
        self._out.open(head)
        async with aclosing(answer.chunks()) as chunks:
            while (data := await limit.bound(anext(chunks, None))) is not None:
                if self.began_at is None:
                    self.began_at = self._parts.clock.monotonic()
                reading.done()
                await self._out.feed(data)
                # The caller's pace is not the engine's fault.
                goes_on = self._may_go_elsewhere()
                limit.allow(GAP_PATIENCE_SECONDS if goes_on else NEVER)
        await self._out.close()
        return SendEnd.DONE

"""Carries one routed request: sends it, relays the answer, sends again where it may."""

import logging
from collections.abc import Callable

import trio

from berylshift.connection.responder import Responder
from berylshift.connection.target_client import TargetRequest
from berylshift.ids import InstanceId, ServiceName
from berylshift.messages.load_digest import Urgency
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import Dispatch, Prompt, RoutedRequest
from berylshift.process.targets.target_load import MILD, SEVERE
from berylshift.request.answer_stream import AnswerStream
from berylshift.request.crash_watch import QuarantinedError
from berylshift.request.messages import Outcome
from berylshift.request.placement import Placement
from berylshift.request.prefill_client import KvSource
from berylshift.request.prefill_scheduler import PrefillDecision, PrefillJob
from berylshift.request.relay_parts import RelayParts
from berylshift.request.relay_result import (
    HopelessError,
    KeyGoneError,
    NoRoomError,
    Result,
    Verdict,
)
from berylshift.request.replica_selector import ReplicaSelector
from berylshift.request.request_timeout import TimeoutSource, request_timeout
from berylshift.request.retry_rule import (
    NEVER_SENT,
    SendEnd,
    SendHistory,
    Sent,
    bounds_of,
)
from berylshift.request.routed_watch import RoutedWatch
from berylshift.request.send_loop import LoopEnd, send_until_done
from berylshift.request.single_send import FailedAnswer, Reading, SingleSend
from berylshift.request.slo_status import SloStatus, engine_rank, urgency_for
from berylshift.version.routes import Route

logger = logging.getLogger(__name__)

# What is left of a caller's time when its answer is given up on, so that the answer
# arrives before the caller leaves.
ANSWER_SECONDS = 0.02
# What a write to the caller may take beyond the request's time. A window of 64 KB
# leaves a link of 10 Mbit/s in 50 ms; a caller that reads no more holds its engine's
# slot no longer than this.
LATE_WRITE_SECONDS = 0.25
# Engines that may be asked to read one prompt.
MOST_READS = 2
# Engines that may be told of one cache. One that refuses may be full, or unable to
# fetch it; a second refusal says that the cache is gone.
MOST_SOURCE_USES = 2


class Relay:
    """One request on its way."""

    def __init__(
        self,
        parts: RelayParts,
        req: RoutedRequest,
        route: Route,
        service: ServiceName,
        responder: Responder,
        key_holds: Callable[[], bool] = lambda: True,
    ):
        """Relay ``req`` to ``service`` and its answer to ``responder``.

        ``key_holds`` says whether the caller may still be served.
        """
        self._parts = parts
        self._key_holds = key_holds
        self.request = req.id
        self.service = service
        self._req = req
        self._route = route
        self._out = AnswerStream(responder, parts.clock)
        self._history = SendHistory()
        self._budget = parts.budget(service)
        self._sends: list[str] = []
        self._sender = SingleSend(parts, req, route, self._out, self._history)
        self.crash_watch = RoutedWatch(parts, req)
        self._choice = ReplicaSelector(parts, service, self.crash_watch)
        self._open_place: Placement | None = None
        self._open_since = 0.0
        self._source: KvSource | None = None
        self._source_uses = 0
        self._reads = 0
        self._standing = SloStatus.ON_TIME
        self._started = parts.clock.monotonic()
        self._allowance = request_timeout(route, req)
        self._until = self._started + self._allowance.seconds
        self._first_until = self._started + min(self._allowance.seconds, route.patience)

    async def run(self) -> Result:
        """Serve the request; every path ends with one answer or a cut stream."""
        left = self._until - self._now() - ANSWER_SECONDS
        self._out.bound_writes(self._until + LATE_WRITE_SECONDS)
        scope = trio.move_on_after(max(0.0, left))
        with scope, self._parts.shutdown.bounding(scope):
            try:
                await self.crash_watch.identify()
                verdict = await self._send_until_done()
            except HopelessError as exc:
                return self._hopeless(exc)
            except QuarantinedError as exc:
                return self._held_back(exc)
            except NoRoomError as exc:
                return self._given_up(Verdict.THROTTLED, exc, exc.seconds)
            except KeyGoneError as exc:
                return self._given_up(Verdict.KEY_GONE, exc, 0.0)
            finally:
                self._drop_source()
            return Result(verdict, self._last_end(), self._sends)
        if self._open_place is not None:
            what = f"{self._open_place.reason} open"
            self._note_send(self._open_place, what, self._open_since)
        if self._out.started:
            return Result(Verdict.CUT, "time is up", self._sends, bound=self._bound())
        return Result(
            Verdict.TIMED_OUT, self._last_end(), self._sends, bound=self._bound()
        )

    def cut_off(self, why: str) -> Result:
        """Return the end of a request whose caller reads its answer too slowly."""
        return Result(Verdict.CUT, why, self._sends, bound=self._bound())

    def _bound(self) -> TimeoutSource:
        """Return whose time ended the request."""
        if self._parts.shutdown.comes_before(self._until - ANSWER_SECONDS):
            return TimeoutSource.STOP
        return self._allowance.source

    def _hopeless(self, exc: HopelessError) -> Result:
        """Return the end of a request that no engine can answer in time.

        A further send may be hopeless after one that may have run: then the request
        was not "not run", and must not be called so.
        """
        again = exc.seconds - self._route.patience
        return self._given_up(Verdict.HOPELESS, exc, again)

    def _held_back(self, exc: QuarantinedError) -> Result:
        """Return the end of a request under which replicas ended."""
        return self._given_up(Verdict.QUARANTINED, exc, exc.seconds)

    def _given_up(self, verdict: Verdict, exc: Exception, again: float) -> Result:
        """Return ``verdict``, unless an earlier send says otherwise."""
        found = self._gave_up()
        if found is Verdict.NOT_RUN:
            found = verdict
        return Result(found, str(exc), self._sends, again)

    @property
    def first_ms(self) -> float | None:
        """Return the milliseconds until a stream's first event."""
        if self._out.first_at is None:
            return None
        return round((self._out.first_at - self._started) * 1000, 1)

    @property
    def pause_ms(self) -> float:
        """Return the longest pause between two events, in milliseconds."""
        return round(self._out.longest_pause * 1000, 1)

    @property
    def events(self) -> int:
        """Return how many events of a stream were passed on."""
        return self._out.events

    @property
    def may_have_run(self) -> bool:
        """Return whether a replica may have run the request."""
        return self._history.may_have_run

    @property
    def failure(self) -> FailedAnswer | None:
        """Return the last replica's own failure, if that is how it ended."""
        return self._sender.failure

    def _now(self) -> float:
        return self._parts.clock.monotonic()

    def _last_end(self) -> str:
        last = self._history.last
        return str(last.end) if last is not None else "no replica"

    def _note_send(self, place: Placement, what: str, sent_at: float) -> None:
        """Keep a send for the log: what was predicted, when it went out and ended."""
        ms = (self._now() - self._started) * 1000
        sent_ms = (sent_at - self._started) * 1000
        inputs = f"predicted={place.seconds * 1000:.0f}ms tokens={place.tokens}"
        inputs += f" again={place.uncached_prefix_tokens} ahead={place.queued:.0f}"
        inputs += f" standing={self._standing} sent={sent_ms:.0f}ms"
        self._sends.append(f"{place.target.instance} {what} {inputs} {ms:.0f}ms")

    async def _send_until_done(self) -> Verdict:
        end = await send_until_done(
            self, bounds_of(self._route), self._history, self._budget, self._parts.clock
        )
        if end is LoopEnd.DONE:
            return Verdict.ANSWERED
        if end is LoopEnd.NO_BUDGET:
            self._sends.append(str(end))
        return self._gave_up()

    def is_late(self) -> bool:
        """Return that time is left: its end cancels the sends."""
        return False

    def must_finish(self) -> bool:
        """Return that all hosts' budget goes before any answer."""
        return False

    def _gave_up(self) -> Verdict:
        if self._out.started:
            return Verdict.CUT
        if self._history.outcome is Outcome.UNKNOWN:
            return Verdict.FAILED
        return Verdict.NOT_RUN

    def _check_may_go(self) -> None:
        """Raise ``QuarantinedError`` or ``KeyGoneError`` if no send may follow now.

        A stream that its caller already has a part of is finished for any key.
        """
        self.crash_watch.check()
        if not self._out.started and not self._key_holds():
            raise KeyGoneError("the key was taken away")

    async def send(self) -> Sent | None:
        """Place and send once; ``None`` if there is no place."""
        self._check_may_go()
        if self._req.prompt is None:
            return await self._send(self._choice.choose_plain(self._out.started), None)
        place = self._answerer(None)
        if place is None:
            return await self._send(None, None)
        if self._source is None and not self._out.started:
            self._choice.reserve(place.target.instance)
            if not await self._read_prompt(self._req.prompt):
                return None
            # A replica may have ended under another try of it meanwhile.
            self._check_may_go()
        source = None if self._out.started else self._source
        place = self._answerer(source and source.engine)
        if place is not None and source is None:
            self._check_hope(place.seconds)
        return await self._send(place, source)

    def _answerer(self, reader: Replica | None) -> Placement | None:
        """Return the engine that should answer now."""
        prompt = self._req.prompt
        if prompt is None:
            return None
        return self._choice.choose_decode(prompt, reader, self._out.started)

    def _check_hope(self, seconds: float) -> None:
        """Raise ``HopelessError`` if a first piece in ``seconds`` comes too late."""
        if not self._out.started and self._now() + seconds > self._first_until:
            raise HopelessError(seconds)

    # Reading a prompt apart

    async def _read_prompt(self, prompt: Prompt) -> bool:
        """Have an engine read the prompt, unless the answering one is to.

        Return whether the request may go on. The first reading is free, if it is
        accepted; further ones and those that fail are further sends to the service.
        """
        tried: list[InstanceId] = []
        while (choice := self._choose_reader(prompt, tried)) is not None:
            self._check_may_go()
            if self._reads and not self._budget.take(self._now()):
                return False
            self._parts.readings.note_sent(
                self._ask(prompt, tried), choice, self._now()
            )
            tried.append(choice.placement.target.instance)
            end = await self._read_at(choice.placement)
            if end is SendEnd.DONE:
                return True
            if self._reads == 1 and end not in NEVER_SENT:
                self._budget.spend(self._now())
            if len(tried) >= MOST_READS:
                return False
        return not tried

    async def _read_at(self, place: Placement) -> SendEnd:
        """Have one engine read the prompt; keep its cache for the answering one."""
        sent_at = self._open_since = self._now()
        self._open_place = place
        found = await self._parts.reads.prefill(
            self._req.id,
            place,
            self._urgency,
            self._outgoing(place.target, prefill_only=True),
            self._first_until - sent_at,
        )
        self._reads += found.end not in NEVER_SENT
        self._open_place = None
        self._note_send(place, f"read {place.reason} {found.end}", sent_at)
        if found.source is None:
            await self._judge(place.target, found.end)
        else:
            self.crash_watch.answered(place.target, sent_at)
            self._parts.speeds.was_read(
                self.service, place.tokens, place.queued, self._now() - sent_at
            )
        self._source, self._source_uses = found.source, 0
        return found.end

    def _drop_source(self) -> None:
        """Free the cache that no engine took."""
        if self._source is not None:
            self._parts.reads.release(self._source)
            self._source = None

    def _choose_reader(
        self, prompt: Prompt, tried: list[InstanceId]
    ) -> PrefillDecision | None:
        """Return where to read; raise ``HopelessError`` if it would be too late."""
        ask = self._ask(prompt, tried)
        choice = self._parts.readings.choose(ask, self._now())
        self._standing = choice.slo_status if choice else SloStatus.ON_TIME
        if choice is not None:
            self._check_hope(choice.seconds)
        return choice

    def _ask(self, prompt: Prompt, tried: list[InstanceId]) -> PrefillJob:
        avoided = self._choice.excluded(self._out.started)
        return PrefillJob(
            route=self._route,
            service=self.service,
            pool=self._choice.pool(),
            prompt=prompt,
            waited_seconds=self._now() - self._started,
            avoid=[*tried, *avoided],
            avoid_decode=avoided,
        )

    @property
    def _urgency(self) -> Urgency:
        return urgency_for(self._route, self._standing)

    # One send

    async def _send(
        self, place: Placement | None, source: KvSource | None
    ) -> Sent | None:
        """Send once and relay what comes; return how it ended."""
        if place is None:
            self._choice.check_not_throttled()
            return None
        loads, instance = self._parts.loads, place.target.instance
        limit_exempt = self._choice.record_send(instance)
        loads.sent(instance, place.tokens, self._urgency)
        reading = Reading(loads, instance, place.tokens, self._urgency)
        self._open_place = place
        sent_at = self._open_since = self._now()
        had_begun = self._out.started
        end = SendEnd.NOT_REACHED
        try:
            out = self._outgoing(place.target, source, limit_exempt=limit_exempt)
            end = await self._sender.run(out, reading)
        finally:
            reading.done()
            loads.ended(instance)
            self._count_run(sent_at, self._history.open or end.may_have_run)
        self._use_source(end)
        self._open_place = None
        self._note_send(place, f"{place.reason} {end}", sent_at)
        # The judgement may wait. Should the time end then, the send must still count.
        self._history.open = end.may_have_run
        await self._judge(place.target, end)
        self._history.open = False
        if end is SendEnd.DONE:
            self.crash_watch.answered(place.target, sent_at)
            self.crash_watch.finished()
        if end is SendEnd.DONE and not had_begun:
            self._learn(place, source, sent_at)
        return Sent(instance, end)

    def _count_run(self, sent_at: float, may_have_run: bool) -> None:
        """Count a send that began to run, for its customer.

        An engine begins with the first token; a plain replica begins as it is reached,
        whatever its answer comes to.
        """
        began_at = self._sender.began_at
        if began_at is None and may_have_run and self._req.prompt is None:
            began_at = sent_at
        if began_at is not None:
            self._parts.run_began(self._req.customer, self._now() - began_at)

    def _learn(self, place: Placement, source: KvSource | None, sent_at: float) -> None:
        """Learn from a whole answer to a prompt what its engine took for it."""
        if self._req.prompt is None or self._out.first_at is None:
            return
        speeds, waited = self._parts.speeds, self._out.first_at - sent_at
        speeds.answered(self.service, self._now() - sent_at)
        if source is not None:
            tokens = self._req.prompt.tokens
            speeds.began(self.service, tokens, place.queued, waited)

    def _use_source(self, end: SendEnd) -> None:
        """Keep the cache for another engine if this one did not take it.

        A refusal may be the answering engine's fault or that of the engine whose cache
        is gone: both bear some of it, and the second refusal is the cache's.
        """
        if self._source is None:
            return
        self._source_uses += 1
        loads, reader = self._parts.loads, self._source.engine.instance
        if end.may_have_run:
            loads.succeeded(reader, self._now())
            self._source = None
        elif self._source_uses < MOST_SOURCE_USES:
            loads.failed(reader, MILD, self._now())
        else:
            loads.failed(reader, SEVERE, self._now())
            self._drop_source()

    async def _judge(self, replica: Replica, end: SendEnd) -> None:
        """Hold a failure against the replica it came from.

        If the replica broke off, it may as well be the request's fault.
        """
        loads, now, instance = self._parts.loads, self._now(), replica.instance
        if end is SendEnd.DONE:
            loads.succeeded(instance, now)
        elif end in (SendEnd.FAILED, SendEnd.NOT_RUN):
            loads.failed(instance, MILD, now)
        elif end is SendEnd.THROTTLED:
            logger.info("send throttled", extra={"instance": instance})
        else:
            loads.failed(instance, SEVERE, now)
            self._parts.client.forget(instance)
        if end is SendEnd.BROKEN:
            await self.crash_watch.broke_off(replica)

    def _outgoing(
        self,
        target: Replica,
        source: KvSource | None = None,
        prefill_only: bool = False,
        limit_exempt: bool = False,
    ) -> TargetRequest:
        req = self._req
        after = req.resume_after
        if self._out.last_event is not None:
            after = self._out.last_event
        dispatch = Dispatch(
            replica=target.name,
            seconds_left=self._until - self._now(),
            rank=engine_rank(self._route, self._standing),
            resume_after=after,
            prefill_only=prefill_only,
            kv_source=source.location if source is not None else "",
        )
        headers = self._parts.language.forward_headers(req, dispatch)
        return TargetRequest(
            target.instance,
            target.address,
            req.method,
            req.target,
            headers,
            req.body,
            limit_exempt=limit_exempt,
        )

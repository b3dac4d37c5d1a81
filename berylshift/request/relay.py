"""Relays one routed request to a replica and retries it where that is allowed."""

import logging
from collections.abc import Callable
from functools import partial

import msgspec
import trio

from berylshift.connection.responder import Responder
from berylshift.connection.target_client import TargetRequest
from berylshift.ids import InstanceId, ServiceName
from berylshift.messages.load_digest import Urgency
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import Dispatch, Prompt, RoutedRequest
from berylshift.process.targets.target_load import MILD_FAILURE, SEVERE_FAILURE
from berylshift.request.attempt_log import CONNECTING, AttemptLog
from berylshift.request.crash_watch import QuarantinedError
from berylshift.request.handle_offers import HandleOffers
from berylshift.request.hedged_attempts import HedgedAttempts, SendAttempt
from berylshift.request.messages import Outcome
from berylshift.request.open_attempts import OpenAttempts
from berylshift.request.prefill_client import KvSource
from berylshift.request.queue_turn import QueueTurn
from berylshift.request.relay_dependencies import RelayDependencies
from berylshift.request.relay_result import (
    AllThrottledError,
    DeadlineUnreachableError,
    KeyRevokedError,
    RelayOutcome,
    RelayResult,
    describe_refused,
)
from berylshift.request.replica_exchange import (
    FailedResponse,
    PendingPrefill,
    ReplicaExchange,
    overdue_seconds,
)
from berylshift.request.replica_selector import ReplicaSelector
from berylshift.request.request_timeout import TimeoutSource, request_timeout
from berylshift.request.response_stream import ResponseStream
from berylshift.request.retry_loop import StopReason
from berylshift.request.retry_policy import (
    NEVER_SENT,
    AttemptHistory,
    AttemptOutcome,
    AttemptRecord,
    retry_bounds,
)
from berylshift.request.routed_crash_watch import RoutedCrashWatch
from berylshift.request.stream_binding import ResumedBy, StreamBinding
from berylshift.scheduling.handle_policy import Refusal
from berylshift.scheduling.placement import Placement
from berylshift.scheduling.prefill_scheduler import PrefillDecision, PrefillJob
from berylshift.scheduling.slo_status import SloStatus, urgency_for
from berylshift.version.routes import Route

logger = logging.getLogger(__name__)

# Time reserved at the end of the caller's timeout, so that the final response arrives
# before the caller disconnects.
FINAL_RESPONSE_SECONDS = 0.02
# How long a write to the caller may last beyond the request's deadline. It allows for
# slow links (a 64 KB window drains in 50 ms at 10 Mbit/s), but a caller that has
# stopped reading occupies its engine slot for no longer than this.
WRITE_GRACE_SECONDS = 0.25
# Prefill engines that are tried for one prompt.
MAX_PREFILLS = 2
# A prefill is overdue after this multiple of its predicted time, and this long beyond.
OVERDUE_PREFILL_FACTOR = 3.0
MIN_OVERDUE_PREFILL_SECONDS = 0.3
# Predictions may be too long by half; only an attempt that would be late even so is not
# made beside an overdue one.
PREDICTED_FRACTION = 0.5
# Decode engines that are offered one KV cache. An engine that refuses may be full or
# unable to fetch the cache; a second refusal means that the cache is gone.
MAX_KV_SOURCE_USES = 2


class SchedulingState:
    """What the scheduler knows of one request.

    ``known_queues``: the engines whose queues registrars reported for its last
    placement.
    """

    def __init__(self, turn: QueueTurn):
        """Start without a placement; ``turn`` tells whether the request waits."""
        self._turn = turn
        self.slo_status = SloStatus.ON_TIME
        self.known_queues: int | None = None

    def describe(self) -> str:
        """Return the state for the attempt log."""
        state = ""
        if self.known_queues is not None:
            state += f" queues={self.known_queues}"
        state += f" standing={self.slo_status}"
        return state + (" waits=share" if self._turn.waits_for_share else "")


class Relay:
    """Serves one routed request over one or more attempts."""

    def __init__(
        self,
        deps: RelayDependencies,
        req: RoutedRequest,
        route: Route,
        service: ServiceName,
        responder: Responder,
        binding: StreamBinding,
        is_key_valid: Callable[[], bool] = lambda: True,
    ):
        """Relay ``req`` to ``service`` and write the response to ``responder``.

        ``binding`` tells which of the service's replicas may be used;
        ``is_key_valid`` returns whether the caller's API key still authorizes it.
        """
        self._deps = deps
        self._is_key_valid = is_key_valid
        self.request = req.id
        self.service = service
        self._req = req
        self._route = route
        self._out = ResponseStream(responder, deps.clock)
        self.binding = binding
        self._history = AttemptHistory()
        self._retry_budget = deps.retry_budget_for(service)
        self._turn = QueueTurn(deps, req, route, service)
        self._state = SchedulingState(self._turn)
        self.attempts = AttemptLog(deps.clock, self._state.describe)
        self._open = OpenAttempts(deps.clock)
        self._exchanges: list[ReplicaExchange] = []
        self.crash_watch = RoutedCrashWatch(deps, req, service)
        self._choice = ReplicaSelector(deps, service, self.crash_watch, binding)
        self._kv_source: KvSource | None = None
        self._kv_source_uses = 0
        self._handles = HandleOffers(deps, service)
        self._prefills = 0
        # Why no attempt was made beside an overdue one, for the log.
        self.no_hedge: str | None = None
        # Why no further attempt was made, for the log.
        self.stop_reason: StopReason | None = None
        # The placement that a request was refused by, for the log.
        self.refused_placement: str | None = None
        self._started_at = deps.clock.monotonic()
        self._timeout = request_timeout(route, req)
        self._deadline = self._started_at + self._timeout.seconds
        self._first_chunk_deadline = self._started_at + min(
            self._timeout.seconds, route.caller_patience_seconds
        )

    async def run(self) -> RelayResult:
        """Serve the request and return its outcome.

        The caller gets a complete response or a truncated stream here; for any other
        outcome, the handler sends the final response.
        """
        seconds_left = self._deadline - self._now() - FINAL_RESPONSE_SECONDS
        self._out.limit_writes(self._deadline + WRITE_GRACE_SECONDS)
        scope = trio.move_on_after(max(0.0, seconds_left))
        with scope, self._deps.shutdown.bounding(scope):
            try:
                await self.crash_watch.wait_for_fingerprint()
                outcome = await self._run_attempts()
            except DeadlineUnreachableError as exc:
                return self._unreachable_result(exc)
            except QuarantinedError as exc:
                return self._quarantined_result(exc)
            except AllThrottledError as exc:
                return self._result_unless_run(RelayOutcome.THROTTLED, exc, exc.seconds)
            except KeyRevokedError as exc:
                return self._result_unless_run(RelayOutcome.KEY_REVOKED, exc, 0.0)
            finally:
                self._release_kv_source()
            return RelayResult(outcome, self._last_outcome(), self.attempts.texts)
        self.attempts.cancel()
        if self._out.started:
            return RelayResult(
                RelayOutcome.CUT,
                "time is up",
                self.attempts.texts,
                timeout_source=self._timeout_source(),
            )
        return RelayResult(
            RelayOutcome.TIMED_OUT,
            self._last_outcome(),
            self.attempts.texts,
            timeout_source=self._timeout_source(),
        )

    def truncated_result(self, reason: str) -> RelayResult:
        """Return the result of a request whose caller reads its response too slowly."""
        return RelayResult(
            RelayOutcome.CUT,
            reason,
            self.attempts.texts,
            timeout_source=self._timeout_source(),
        )

    def _timeout_source(self) -> TimeoutSource:
        """Return which time limit ended the request."""
        if self._deps.shutdown.comes_before(self._deadline - FINAL_RESPONSE_SECONDS):
            return TimeoutSource.STOP
        return self._timeout.source

    def _unreachable_result(self, exc: DeadlineUnreachableError) -> RelayResult:
        """Return the result of a request that no engine can answer in time.

        A retry may be unable to meet the deadline after an attempt that may have run;
        the outcome must not be "not run" then.
        """
        retry_after_seconds = self._turn.retry_seconds(
            exc.seconds - self._route.caller_patience_seconds,
            self._deadline - self._now(),
            self.crash_watch.fingerprint,
        )
        return self._result_unless_run(
            RelayOutcome.DEADLINE_UNREACHABLE, exc, retry_after_seconds
        )

    def _quarantined_result(self, exc: QuarantinedError) -> RelayResult:
        """Return the result of a request that is quarantined for crashing replicas."""
        return self._result_unless_run(RelayOutcome.QUARANTINED, exc, exc.seconds)

    def _result_unless_run(
        self, outcome: RelayOutcome, exc: Exception, retry_after_seconds: float
    ) -> RelayResult:
        """Return ``outcome``, unless an earlier attempt may have run."""
        found = self._final_outcome()
        if found is RelayOutcome.NOT_RUN:
            found = outcome
        return RelayResult(found, str(exc), self.attempts.texts, retry_after_seconds)

    def release(self) -> None:
        """Release what was held for the response; the caller has it, or left."""
        for exchange in self._exchanges:
            exchange.release()
        # Without these references the request is in no cycle, and is freed at once.
        self._exchanges.clear()
        self._open.release()

    @property
    def first_ms(self) -> float | None:
        """Return the milliseconds until a stream's first event."""
        if self._out.first_event_at is None:
            return None
        return round((self._out.first_event_at - self._started_at) * 1000, 1)

    @property
    def pause_ms(self) -> float:
        """Return the longest pause between two events, in milliseconds."""
        return round(self._out.longest_pause_seconds * 1000, 1)

    @property
    def events(self) -> int:
        """Return how many events of a stream were forwarded."""
        return self._out.events

    @property
    def may_have_run(self) -> bool:
        """Return whether a replica may have run the request."""
        return self._history.may_have_run

    @property
    def failure(self) -> FailedResponse | None:
        """Return the last error response of a replica, if there was one."""
        failures = (each.failure for each in reversed(self._exchanges))
        return next((each for each in failures if each is not None), None)

    def _now(self) -> float:
        return self._deps.clock.monotonic()

    def _last_outcome(self) -> str:
        last = self._history.last
        return str(last.outcome) if last is not None else "no replica"

    async def _run_attempts(self) -> RelayOutcome:
        attempts = HedgedAttempts(
            self,
            retry_bounds(self._route),
            self._history,
            self._retry_budget,
            self._deps.clock,
        )
        self._open.on_due = attempts.on_due
        stop_reason = await attempts.run()
        if stop_reason is StopReason.DONE:
            return RelayOutcome.ANSWERED
        self.stop_reason = stop_reason
        if stop_reason is StopReason.RETRY_BUDGET_SPENT:
            self.attempts.note(str(stop_reason))
        return self._final_outcome()

    def is_past_deadline(self) -> bool:
        """Return ``False``: the deadline cancels the attempts by itself."""
        return False

    def ignores_retry_budget(self) -> bool:
        """Return ``False``: the retry budget also holds for resumed streams."""
        return False

    def overdue_at(self) -> float:
        """Return when all open attempts are overdue, in monotonic seconds."""
        return self._open.overdue_at()

    def choose_hedge(self) -> SendAttempt | None:
        """Return an attempt beside the overdue ones; ``None``: none would help.

        Replicas that are silent themselves are left out: if all of them are, any of the
        open attempts may be the first to answer.
        """
        self.no_hedge = "no event id"
        if not self._out.is_resumable:
            return None
        self.no_hedge = "no budget"
        if not self._has_retry_budget():
            return None
        self.no_hedge = "no place"
        try:
            self._check_allowed()
            placement = self._choose_hedge_placement()
        except (QuarantinedError, KeyRevokedError):
            return None
        if placement is None:
            return None
        self.no_hedge = "too late"
        if not self._answers_in_time(placement):
            return None
        self.no_hedge = None
        return partial(self._send_attempt, placement, None)

    def _choose_hedge_placement(self) -> Placement | None:
        silent = self._deps.silence.silent(self._now())
        if self._req.prompt is None:
            return self._choice.choose_plain(self._out.started, silent)
        return self._choice.choose_decode(
            self._req.prompt,
            None,
            self._out.started,
            self._route.event_gap_seconds,
            silent,
        )

    def _answers_in_time(self, placement: Placement) -> bool:
        """Return whether an attempt is predicted to answer while the caller waits.

        A caller that is still there after its usual patience may wait longer.
        """
        patient_until = self._first_chunk_deadline
        if self._out.started:
            patience = self._route.caller_patience_seconds
            patient_until = self._out.last_event_at + patience
        now = self._now()
        seconds = PREDICTED_FRACTION * placement.seconds
        return now > patient_until or now + seconds <= patient_until

    def _final_outcome(self) -> RelayOutcome:
        if self._out.started:
            return RelayOutcome.CUT
        if self._history.outcome is Outcome.UNKNOWN:
            return RelayOutcome.FAILED
        return RelayOutcome.NOT_RUN

    def _check_allowed(self) -> None:
        """Raise ``QuarantinedError`` or ``KeyRevokedError`` if no attempt is allowed.

        A stream that has started is finished even if its key was revoked.
        """
        self.crash_watch.check()
        if not self._out.started and not self._is_key_valid():
            raise KeyRevokedError("the API key was revoked while the request waited")

    async def send(self) -> AttemptRecord | None:
        """Choose a replica and make one attempt; ``None``: none is possible.

        There is no replica, or no id tells where the stream is to be resumed.
        """
        self._check_allowed()
        if not self._out.is_resumable:
            self.attempts.note("no event id")
            return None
        if self._req.prompt is None:
            return await self._send_attempt(
                self._choice.choose_plain(self._out.started), None
            )
        placement = self._decode_placement(None)
        if placement is None:
            return await self._send_attempt(None, None)
        if not self._out.started:
            self._withhold_handle()
        if self._kv_source is None and not self._out.started:
            self._choice.reserve(placement.target.instance)
            if not await self._prepare_prompt(self._req.prompt):
                return None
        source = None if self._out.started else self._kv_source
        placement = self._decode_placement(source and source.engine)
        if placement is not None and source is None:
            self._check_first_chunk(placement, placement.seconds)
        return await self._send_attempt(placement, source)

    def _decode_placement(self, prefill_engine: Replica | None) -> Placement | None:
        """Return the decode engine for a prompt prefilled at ``prefill_engine``."""
        prompt = self._req.prompt
        if prompt is None:
            return None
        return self._choice.choose_decode(
            prompt, prefill_engine, self._out.started, self._route.event_gap_seconds
        )

    def _check_first_chunk(self, placement: Placement, seconds: float) -> None:
        """Raise ``DeadlineUnreachableError`` if a first chunk would be too late.

        ``seconds`` is the predicted time to it. A started stream is not checked.
        """
        if self._out.started or self._now() + seconds <= self._first_chunk_deadline:
            return
        if self._turn.may_refuse(self._choice.pool()):
            self.refused_placement = describe_refused(
                placement,
                len(self._choice.pool().prefill_engines),
                self._deps.speeds.learned_prefill_rate(self.service),
                self._state.known_queues,
            )
            raise DeadlineUnreachableError(seconds)

    # Disaggregated prefill

    async def _prepare_prompt(self, prompt: Prompt) -> bool:
        """Prefill the prompt until it has a handle that may be offered.

        Return whether the request may continue. Without a handle, the decode engine
        prefills the prompt itself.
        """
        while await self._prefill_prompt(prompt):
            # Another attempt of this request may have crashed a replica meanwhile.
            self._check_allowed()
            if not self._withhold_handle():
                return True
        return False

    def _withhold_handle(self) -> bool:
        """Release a handle that is not to be offered; return whether that was so."""
        source = self._kv_source
        if source is None or not self._handles.is_used:
            return False
        reason = self._handles.withheld_reason(
            source,
            self._decode_placement,
            self._choice.pool(),
            may_retry=self._has_retry_budget(),
            seconds_left=self._first_chunk_deadline - self._now(),
        )
        if reason is None:
            return False
        ms = (self._now() - self._started_at) * 1000
        self.attempts.note(
            f"{source.engine.instance} handle not offered: {reason} {ms:.0f}ms"
        )
        self._release_kv_source()
        return True

    async def _prefill_prompt(self, prompt: Prompt) -> bool:
        """Prefill the prompt at a prefill engine, unless the decode engine does it.

        Return whether the request may continue. The first prefill does not count
        against the retry budget if it succeeds; later and failed ones do.
        """
        tried: list[InstanceId] = []
        while (choice := await self._choose_prefill(prompt, tried)) is not None:
            self._check_allowed()
            if self._prefills and not self._retry_budget.try_acquire(self._now()):
                return False
            self._deps.prefill_scheduler.record_sent(
                self._prefill_job(prompt, tried), choice, self._now()
            )
            tried.append(choice.placement.target.instance)
            outcome = await self._prefill_at(choice.placement, tried)
            if outcome is AttemptOutcome.DONE:
                return True
            if self._prefills == 1 and outcome not in NEVER_SENT:
                self._retry_budget.record_retry(self._now())
            if len(tried) >= MAX_PREFILLS:
                return self._handles.is_used
        return not tried or self._handles.is_used

    def _may_leave_prefill(self, tried: list[InstanceId]) -> bool:
        """Return whether another engine may prefill in place of the last one tried."""
        if self._prefills + 1 >= MAX_PREFILLS or not self._has_retry_budget():
            return False
        avoided = {*tried, *self._choice.excluded(self._out.started)}
        engines = self._choice.pool().prefill_engines
        return any(engine.instance not in avoided for engine in engines)

    async def _prefill_at(
        self, placement: Placement, tried: list[InstanceId]
    ) -> AttemptOutcome:
        """Prefill at one engine; keep its KV cache for the decode engine.

        ``tried``: the engines asked so far, this one included.
        """
        logged = self.attempts.begin(placement, is_prefill=True)
        found = await self._deps.prefill_client.prefill(
            placement,
            self._urgency,
            self._target_request(
                placement.target,
                prefill_only=True,
                fetch_from=placement.fetch_from,
                response_seconds=MIN_OVERDUE_PREFILL_SECONDS
                + OVERDUE_PREFILL_FACTOR * placement.seconds,
                on_path_lost=partial(self._may_leave_prefill, tried),
            ),
            self._first_chunk_deadline - logged.sent_at,
            logged.on_connected,
        )
        self._prefills += found.end not in NEVER_SENT
        self.attempts.end(logged, found.end, found.reason)
        if found.source is None:
            await self._record_health(placement.target, found.end)
        else:
            self.crash_watch.on_response(placement.target, logged.sent_at)
            self._record_prefill(placement, logged.sent_at)
        self._kv_source, self._kv_source_uses = found.source, 0
        self._handles.on_prefilled()
        return found.end

    def _record_prefill(self, placement: Placement, sent_at: float) -> None:
        """Update the speeds of the engine and its service, or the prefix fetch.

        The transfer's share of the time is not known, so a prefill with a fetch is no
        sample of the engine's speed.
        """
        now = self._now()
        tokens, queued, seconds = placement.tokens, placement.queued, now - sent_at
        if placement.fetch is not None:
            self._record_fetch(placement, seconds)
            return
        self._deps.replica_speeds.record_prefill(
            placement.target, tokens, queued, seconds, now
        )
        self._deps.speeds.record_prefill(
            self.service, tokens, queued, seconds, placement.factor
        )

    def _record_fetch(self, placement: Placement, seconds: float) -> None:
        """Record the result of a prefix fetch; its prefill took ``seconds``."""
        fetch, prompt = placement.fetch, self._req.prompt
        if fetch is None or prompt is None:
            return
        saved_time = self._deps.fetches.record_result(
            fetch, prompt, placement.seconds, seconds, self._now()
        )
        if saved_time is False:
            logger.info(
                "prefix fetch failed",
                extra={
                    "request": self.request,
                    "source": fetch.source.instance,
                    "instance": placement.target.instance,
                    "tokens": fetch.tokens,
                    "predicted_ms": round(placement.seconds * 1000, 1),
                    "ms": round(seconds * 1000, 1),
                },
            )

    def _release_kv_source(self) -> None:
        """Free the KV cache if no decode engine took it."""
        source, self._kv_source = self._kv_source, None
        if source is None:
            return
        # An engine that is leaving frees its memory by itself and gets no more calls.
        if not (self._handles.is_used and self._handles.is_leaving(source.engine)):
            self._deps.prefill_client.release(source)

    async def _choose_prefill(
        self, prompt: Prompt, tried: list[InstanceId]
    ) -> PrefillDecision | None:
        """Return where to prefill; ``DeadlineUnreachableError`` if it is too late."""
        self._turn.decide(self._choice.pool(), self.crash_watch.fingerprint)
        job = await self._with_known_queues(self._prefill_job(prompt, tried))
        if self._handles.is_used:
            choice = self._handles.choose_prefill(
                job,
                lambda: self._decode_placement(None),
                may_prefill_again=self._may_prefill_again(),
                # An engine that was not reached has cost no retry budget.
                is_first=not self._prefills,
                seconds_left=self._first_chunk_deadline - self._now(),
            )
        else:
            choice = self._deps.prefill_scheduler.choose(job, self._now())
        self._state.slo_status = choice.slo_status if choice else SloStatus.ON_TIME
        self._turn.on_choice(choice, self._now() - self._started_at)
        if choice is not None:
            self._check_first_chunk(choice.placement, choice.seconds)
        return choice

    async def _with_known_queues(self, job: PrefillJob) -> PrefillJob:
        """Return a job that compares engines whose queues registrars have reported."""
        if not self._deps.queues.are_used(self.service):
            return job
        asked = self._deps.prefill_scheduler.engines_to_ask(job, self._now())
        known = await self._deps.queues.ask(asked)
        self._state.known_queues = len(known)
        return msgspec.structs.replace(job, among=known)

    def _has_retry_budget(self) -> bool:
        return self._retry_budget.available(self._now()) >= 1

    def _may_prefill_again(self) -> bool:
        """Return whether the retry budget allows a prefill that is not the first."""
        if self._prefills >= MAX_PREFILLS:
            return False
        return not self._prefills or self._has_retry_budget()

    def _prefill_job(self, prompt: Prompt, tried: list[InstanceId]) -> PrefillJob:
        avoided = self._choice.excluded(self._out.started)
        return PrefillJob(
            route=self._route,
            service=self.service,
            pool=self._choice.pool(),
            prompt=prompt,
            waited_seconds=self._now() - self._started_at,
            avoid=[*tried, *avoided],
            avoid_decode=avoided,
            event_gap_seconds=self._route.event_gap_seconds,
            is_short=self._turn.is_short,
            waits_for_share=self._turn.waits_for_share,
        )

    @property
    def _urgency(self) -> Urgency:
        return urgency_for(
            self._route,
            self._state.slo_status,
            self._turn.is_short,
            self._turn.waits_for_share,
        )

    # One attempt

    async def _send_attempt(
        self, placement: Placement | None, source: KvSource | None
    ) -> AttemptRecord | None:
        """Make one attempt and relay its response; return its outcome."""
        if placement is None:
            self._choice.check_not_throttled()
            return None
        loads, instance = self._deps.loads, placement.target.instance
        limit_exempt = self._choice.record_send(instance)
        loads.record_sent(instance, placement.tokens, self._urgency)
        prefill = PendingPrefill(loads, instance, placement.tokens, self._urgency)
        logged = self.attempts.begin(placement)
        sent_at = logged.sent_at
        exchange = self._new_exchange(placement, source)
        exchange.on_connected = logged.on_connected
        if placement.fetch is not None:
            self._deps.fetches.record_sent(placement.fetch, placement.target, sent_at)
        response_had_started = self._out.started
        outcome = AttemptOutcome.NOT_REACHED
        try:
            out = self._target_request(
                placement.target,
                source,
                limit_exempt=limit_exempt,
                fetch_from=placement.fetch_from,
                on_path_lost=exchange.on_path_lost,
            )
            outcome = await self._open.run(exchange, out, prefill)
        finally:
            prefill.done()
            loads.record_ended(instance)
            self._report_run(exchange, sent_at, outcome)
        if exchange.was_never_sent:
            self.attempts.end(logged, CONNECTING)
            self._choice.allow_again(instance)
            return None
        refusal = None
        if source is not None:
            refusal = self._settle_kv_source(outcome, instance, sent_at)
        self.attempts.end(logged, outcome, "" if refusal is None else f" {refusal}")
        await self._record_outcome(placement, exchange, outcome)
        if outcome is AttemptOutcome.DONE:
            self.crash_watch.on_response(placement.target, sent_at)
            self.crash_watch.on_completed(placement.target)
            self.binding.on_complete()
            if not (response_had_started or exchange.was_overdue):
                self._update_speeds(placement, source, sent_at)
        return AttemptRecord(instance, outcome)

    async def _record_outcome(
        self,
        placement: Placement,
        exchange: ReplicaExchange,
        outcome: AttemptOutcome,
    ) -> None:
        """Record the outcome in the replica's health statistics."""
        # Recording the health may wait for a connection probe. If the deadline passes
        # meanwhile, the attempt must still count as one that may have run.
        if outcome.may_have_run:
            self._history.begin_attempt()
        await self._record_health(placement.target, outcome, exchange.decoded_seconds)
        if outcome.may_have_run:
            self._history.end_attempt()

    def _new_exchange(
        self, placement: Placement, source: KvSource | None
    ) -> ReplicaExchange:
        exchange = ReplicaExchange(
            self._deps, self._req, self._route, self._out, self._history
        )
        exchange.resume_after = self._resume_after
        exchange.expects_weights = self._expected_weights is not None
        exchange.on_streaming = partial(self._on_streaming, placement, source)
        self._exchanges.append(exchange)
        return exchange

    def _on_streaming(self, placement: Placement, source: KvSource | None) -> None:
        """Record what the first event of a replica tells of the engines."""
        self._out.on_first_event = partial(
            self.binding.on_first_event, placement.target
        )
        if self._out.started:
            self.binding.on_resumed(placement.target, ResumedBy.HOST)
        elif self.binding.is_taken_up:
            self.binding.on_resumed(placement.target, ResumedBy.CALLER)
        if self._req.prompt is not None:
            self._handles.on_streaming(placement.target, self._req.prompt, source)

    def _report_run(
        self, exchange: ReplicaExchange, sent_at: float, outcome: AttemptOutcome
    ) -> None:
        """Report the customer of an attempt that started to run, for usage accounting.

        A run starts with an engine's first token. At a plain replica it starts when the
        request is sent, whatever the response.
        """
        run_started_at = exchange.run_started_at
        may_have_run = exchange.is_open or outcome.may_have_run
        if run_started_at is None and may_have_run and self._req.prompt is None:
            run_started_at = sent_at
        if run_started_at is not None:
            self._deps.on_run_started(self._req.customer, self._now() - run_started_at)

    def _update_speeds(
        self, placement: Placement, source: KvSource | None, sent_at: float
    ) -> None:
        """Update the speed estimates from a complete response."""
        speeds, factor = self._deps.speeds, placement.factor
        seconds = self._now() - sent_at
        load = placement.queued / max(1, placement.target.slots)
        if self._req.prompt is None:
            speeds.record_plain(self.service, seconds, load, factor)
        if self._req.prompt is None or self._out.first_event_at is None:
            return
        self._deps.replica_speeds.record_event_gap(
            placement.target, self._out.longest_pause_seconds, self._now()
        )
        waited = self._out.first_event_at - sent_at
        self._record_fetch(placement, waited)
        speeds.record_response(self.service, seconds, factor)
        if self._out.events > 1:
            gap_seconds = self._out.longest_pause_seconds
            speeds.record_event_gap(self.service, gap_seconds, load, factor)
        if source is not None:
            tokens = self._req.prompt.tokens
            speeds.record_first_token(
                self.service, tokens, placement.queued, waited, factor
            )

    def _settle_kv_source(
        self, outcome: AttemptOutcome, target: InstanceId, sent_at: float
    ) -> Refusal | None:
        """Keep the KV cache for another engine if ``target`` did not take it.

        A refusal may be caused by the decode engine, or by the prefill engine having
        lost the cache: both get a mild failure, and after a second refusal the prefill
        engine gets a severe one. Where handles are tracked, the cause is decided and
        returned instead.
        """
        if self._kv_source is None:
            return None
        if self._handles.is_used and not outcome.may_have_run:
            return self._settle_refusal(self._kv_source, outcome, target, sent_at)
        self._kv_source_uses += 1
        loads, prefill_engine = self._deps.loads, self._kv_source.engine.instance
        if outcome.may_have_run:
            loads.record_success(prefill_engine, self._now())
            self._kv_source = None
        elif self._kv_source_uses < MAX_KV_SOURCE_USES:
            loads.record_failure(prefill_engine, MILD_FAILURE, self._now())
        else:
            loads.record_failure(prefill_engine, SEVERE_FAILURE, self._now())
            self._release_kv_source()
        return None

    def _settle_refusal(
        self,
        source: KvSource,
        outcome: AttemptOutcome,
        target: InstanceId,
        sent_at: float,
    ) -> Refusal | None:
        """Release a handle that is gone; return why ``target`` refused it."""
        if outcome is not AttemptOutcome.NOT_RUN:
            return None
        refusal = self._handles.on_refused(source, target, sent_at)
        if refusal is Refusal.HANDLE_GONE:
            self._release_kv_source()
            self._choice.allow_again(target)
        return refusal

    async def _record_health(
        self, replica: Replica, outcome: AttemptOutcome, decoded_seconds: float = 0.0
    ) -> None:
        """Record the outcome in the replica's health statistics.

        A broken connection may be a crash caused by the request: it is also reported
        to the crash watch. The replica had been sending events for ``decoded_seconds``.
        """
        loads, now, instance = self._deps.loads, self._now(), replica.instance
        if outcome is AttemptOutcome.DONE:
            loads.record_success(instance, now)
        elif outcome in (AttemptOutcome.FAILED, AttemptOutcome.NOT_RUN):
            loads.record_failure(instance, MILD_FAILURE, now)
            if self._handles.is_used and outcome is AttemptOutcome.NOT_RUN:
                loads.record_refusal(instance, now)
        elif outcome is AttemptOutcome.THROTTLED:
            logger.info("attempt throttled by replica", extra={"instance": instance})
        elif outcome is AttemptOutcome.SUPERSEDED:
            return
        elif not self._deps.is_path_lost(replica.address):
            loads.record_failure(instance, SEVERE_FAILURE, now)
            self._deps.client.forget(instance)
        if outcome is AttemptOutcome.BROKEN:
            await self.crash_watch.on_connection_lost(replica, decoded_seconds)

    @property
    def _expected_weights(self) -> int | None:
        """Return the weights with which a stream that has begun may go on."""
        return self._out.weights if self._out.started else None

    @property
    def _resume_after(self) -> bytes | None:
        """Return the id of the last event that the caller has, if it has any."""
        if self._out.last_event_id is not None:
            return self._out.last_event_id
        return self._req.resume_after

    def _target_request(
        self,
        target: Replica,
        source: KvSource | None = None,
        prefill_only: bool = False,
        limit_exempt: bool = False,
        fetch_from: Replica | None = None,
        response_seconds: float | None = None,
        on_path_lost: Callable[[], bool] | None = None,
    ) -> TargetRequest:
        req = self._req
        dispatch = Dispatch(
            replica=target.name,
            seconds_left=self._deadline - self._now(),
            rank=self._turn.rank(self._state.slo_status),
            resume_after=self._resume_after,
            weights=self._expected_weights,
            prefill_only=prefill_only,
            kv_source=source.location if source is not None else "",
            kv_fetch=fetch_from.address if fetch_from is not None else "",
        )
        headers = self._deps.codec.forward_headers(req, dispatch)
        return TargetRequest(
            target.instance,
            target.address,
            req.method,
            req.target,
            headers,
            req.body,
            id=req.id,
            limit_exempt=limit_exempt,
            on_path_lost=on_path_lost,
            repeatable=prefill_only or self._route.repeatable,
            response_seconds=response_seconds or overdue_seconds(self._route),
        )

"""One simulated prompt: through a host, a prefill engine and a decode engine."""

from typing import TYPE_CHECKING

from berylshift.ids import InstanceId
from berylshift.messages.load_digest import Urgency
from berylshift.messages.replicas import Replica
from berylshift.model.engine import Stream
from berylshift.model.host import ModelHost
from berylshift.model.parameters import SERVICE
from berylshift.model.result import PromptOutcome
from berylshift.model.traffic import Arrival
from berylshift.process.targets.target_load import MILD_FAILURE, SEVERE_FAILURE
from berylshift.request.refusals import MAX_RETRY_AFTER_SECONDS, MIN_RETRY_AFTER_SECONDS
from berylshift.request.relay import MAX_PREFILLS
from berylshift.scheduling.placement import Placement
from berylshift.scheduling.prefill_scheduler import PrefillJob
from berylshift.scheduling.slo_status import SloStatus, engine_rank, urgency_for

if TYPE_CHECKING:
    from berylshift.model.fleet import ModelFleet

# Latency that a host adds to a request and to its first event (2.4 ms of CPU time on
# half a core).
HOST_LATENCY_SECONDS = 0.005
# Callers honour a retry-after time up to this fraction of their remaining time.
MAX_RETRY_WAIT_FRACTION = 1 / 3


class PromptRun:
    """Runs one arrival to its outcome; a refused caller retries."""

    def __init__(self, fleet: "ModelFleet", arrival: Arrival):
        """Start without an attempt."""
        self._fleet = fleet
        self._queue = fleet.queue
        self._arrival = arrival
        self._kind = arrival.kind
        self._slo_status = SloStatus.ON_TIME
        self._attempt_started_at = 0.0
        self._host: ModelHost = fleet.hosts[arrival.host]
        self._tried_instances: list[InstanceId] = []
        self._prefill_count = 0
        self._refusal_count = 0
        self._attempt_count = 0
        self._first_event_seconds: float | None = None
        self._last_event_at = 0.0
        self._max_event_gap_seconds = 0.0
        self._is_closed = False
        self._first_event_deadline = 0.0
        self._sent_at = 0.0
        self._source: Replica | None = None

    def begin(self) -> None:
        """Start an attempt at a host, unless the host quarantines the prompt."""
        now = self._queue.monotonic()
        if self._is_quarantined(now):
            return
        self._attempt_count += 1
        self._attempt_started_at = now
        self._first_event_deadline = now + self._kind.caller_patience_seconds
        self._tried_instances.clear()
        self._prefill_count = 0
        self._queue.call_after(HOST_LATENCY_SECONDS, self._prefill)
        self._queue.call_at(self._first_event_deadline, self._abandon_if_waiting)

    def _is_quarantined(self, now: float) -> bool:
        """Return whether the host quarantines the prompt; refuse it then."""
        if not self._fleet.holds_back:
            return False
        quarantine, arrival = self._host.quarantine, self._arrival
        wait = quarantine.remaining_seconds(arrival.fingerprint, now)
        name = f"{id(self)}"
        held = quarantine.blocks.held_block(arrival.block_keys, name, now)
        if held is not None:
            wait = max(wait, held.seconds)
        if wait <= 0:
            return False
        self._fleet.note_quarantined(self._arrival)
        self._refuse(wait)
        return True

    @property
    def _urgency(self) -> Urgency:
        return urgency_for(self._kind, self._slo_status)

    # Prefill

    def _prefill(self) -> None:
        now, host = self._queue.monotonic(), self._host
        pool, prompt = self._fleet.pool, self._arrival.prompt
        if self._is_closed:
            return
        if self._prefill_count >= MAX_PREFILLS:
            self._refuse(0.0)
            return
        job = PrefillJob(
            route=self._kind,
            service=SERVICE,
            pool=pool,
            prompt=prompt,
            waited_seconds=now - self._attempt_started_at,
            avoid=self._tried_instances,
        )
        decision = host.prefill_scheduler.choose(job, now)
        self._slo_status = decision.slo_status if decision else SloStatus.ON_TIME
        if decision is None:
            self._decode(None)
            return
        if now + decision.seconds > self._first_event_deadline:
            self._refuse(decision.seconds - self._kind.caller_patience_seconds)
            return
        placement = decision.placement
        self._prefill_count += 1
        self._sent_at = now
        host.prefill_scheduler.record_sent(job, decision, now)
        host.loads.record_sent(
            placement.target.instance, placement.tokens, self._urgency
        )
        engine = self._fleet.engines[placement.target.address]
        rank = engine_rank(self._kind, self._slo_status)
        self._queue.call_after(
            self._latency(placement.target),
            lambda: engine.prefill(
                prompt,
                rank,
                lambda succeeded: self._on_prefill_end(placement, succeeded),
            ),
        )

    def _on_prefill_end(self, placement: Placement, succeeded: bool) -> None:
        self._queue.call_after(
            self._latency(placement.target),
            lambda: self._receive_prefill(placement, succeeded),
        )

    def _receive_prefill(self, placement: Placement, succeeded: bool) -> None:
        instance, host = placement.target.instance, self._host
        host.loads.record_prefilled(instance, placement.tokens, self._urgency)
        host.loads.record_ended(instance)
        self._note_outcome(placement.target, succeeded)
        if succeeded:
            seconds = self._queue.monotonic() - self._sent_at
            host.speeds.record_prefill(
                placement.target.service, placement.tokens, placement.queued, seconds
            )
            self._decode(placement.target)
        else:
            self._tried_instances.append(instance)
            self._prefill()

    # Decode

    def _decode(self, source: Replica | None) -> None:
        now, host = self._queue.monotonic(), self._host
        if self._is_closed:
            return
        prompt = self._arrival.prompt
        placement = host.placer.choose_decode(
            self._fleet.pool, prompt, source, self._tried_instances, now
        )
        if placement is None:
            self._refuse(0.0)
            return
        instance = placement.target.instance
        self._sent_at, self._source = now, source
        host.loads.record_sent(instance, placement.tokens, self._urgency)
        engine = self._fleet.engines[placement.target.address]
        rank = engine_rank(self._kind, self._slo_status)
        stream = Stream(
            prompt,
            self._arrival.event_count,
            lambda: self._on_event(placement),
            lambda succeeded: self._on_stream_end(placement, stream, succeeded),
        )
        self._fleet.note_send(self._arrival)
        self._queue.call_after(
            self._latency(placement.target),
            lambda: engine.decode(stream, source, rank),
        )

    def _on_event(self, placement: Placement) -> None:
        if self._arrival.crashes:
            self._queue.call_after(
                0.0, lambda: self._fleet.crash_engine(placement.target)
            )
        latency = self._response_latency(placement.target)
        self._queue.call_after(latency, lambda: self._receive_event(placement))

    def _receive_event(self, placement: Placement) -> None:
        now = self._queue.monotonic()
        if self._is_closed:
            return
        if self._first_event_seconds is None:
            self._first_event_seconds = now - self._arrival.at
            host = self._host
            host.loads.record_prefilled(
                placement.target.instance, placement.tokens, self._urgency
            )
            if self._source is not None:
                tokens = self._arrival.prompt.tokens
                seconds = now - self._sent_at
                host.speeds.record_first_token(
                    placement.target.service, tokens, placement.queued, seconds
                )
        else:
            self._max_event_gap_seconds = max(
                self._max_event_gap_seconds, now - self._last_event_at
            )
        self._last_event_at = now

    def _on_stream_end(
        self, placement: Placement, stream: Stream, succeeded: bool
    ) -> None:
        instance, host = placement.target.instance, self._host
        if self._first_event_seconds is None:
            host.loads.record_prefilled(instance, placement.tokens, self._urgency)
        host.loads.record_ended(instance)
        if succeeded and self._first_event_seconds is not None:
            seconds = self._queue.monotonic() - self._sent_at
            host.speeds.record_response(placement.target.service, seconds)
        self._note_outcome(placement.target, succeeded)
        self._update_quarantine(placement.target, succeeded)
        latency = self._response_latency(placement.target)
        self._queue.call_after(latency, lambda: self._finish(succeeded))

    def _update_quarantine(self, target: Replica, succeeded: bool) -> None:
        """Record what a host observes: an engine that still runs has not crashed."""
        now, request = self._queue.monotonic(), self._arrival.fingerprint
        quarantine = self._host.quarantine
        if succeeded:
            quarantine.record_completion(request, now)
            quarantine.blocks.record_completion(self._arrival.block_keys, now)
        elif not self._fleet.is_running(target):
            quarantine.record_crash(request, target.instance, now)
            if quarantine.crash_count(request) > 1:
                return
            keys = self._arrival.block_keys
            decoded = 0.0
            if self._first_event_seconds is not None:
                decoded = now - self._arrival.at - self._first_event_seconds
            quarantine.blocks.record_crash(keys, target.instance, now, decoded)

    def _finish(self, succeeded: bool) -> None:
        """Finish an attempt; a caller whose response was cut off retries."""
        left = self._arrival.at + self._kind.timeout_seconds - self._queue.monotonic()
        if (
            succeeded
            or self._is_closed
            or left <= 0
            or self._attempt_count > self._kind.retries
        ):
            self._close(succeeded)
            return
        self._first_event_seconds, self._max_event_gap_seconds = None, 0.0
        self._host = self._host.rng.choice(self._fleet.hosts)
        self.begin()

    # Outcomes

    def _note_outcome(self, target: Replica, succeeded: bool) -> None:
        now, host = self._queue.monotonic(), self._host
        if succeeded:
            host.loads.record_success(target.instance, now)
            report = self._fleet.engines[target.address].report()
            host.loads.record_report(target.instance, report, now)
        else:
            host.loads.record_failure(
                target.instance,
                SEVERE_FAILURE if self._first_event_seconds else MILD_FAILURE,
                now,
            )

    def _refuse(self, seconds: float) -> None:
        """Refuse the prompt; its caller retries if it has attempts and time left."""
        self._refusal_count += 1
        now, rng = self._queue.monotonic(), self._host.rng
        wait = max(0.0, seconds) + rng.uniform(
            MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS
        )
        left = self._arrival.at + self._kind.timeout_seconds - now
        if self._refusal_count > self._kind.retries or left <= 0:
            self._close(False)
            return
        self._host = rng.choice(self._fleet.hosts)
        self._queue.call_after(min(wait, MAX_RETRY_WAIT_FRACTION * left), self.begin)

    def _abandon_if_waiting(self) -> None:
        late = self._queue.monotonic() >= self._first_event_deadline
        if late and self._first_event_seconds is None:
            self._close(False)

    def _close(self, complete: bool) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        if self._arrival.crashes:
            return
        outcome = PromptOutcome(
            self._kind,
            self._arrival.at,
            self._first_event_seconds,
            self._max_event_gap_seconds,
            complete,
            self._refusal_count,
        )
        self._fleet.outcomes.append(outcome)

    def _response_latency(self, target: Replica) -> float:
        """Return the latency from an engine to the caller."""
        return (
            self._latency(target)
            + HOST_LATENCY_SECONDS
            + self._fleet.site.caller_latency_seconds
        )

    def _latency(self, target: Replica) -> float:
        return self._fleet.latency_seconds(self._host.domain, target.domain)

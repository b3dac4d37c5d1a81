"""One modelled prompt on its way through a host, a reading and an answering engine."""

from typing import TYPE_CHECKING

from berylshift.ids import InstanceId
from berylshift.messages.load_digest import Urgency
from berylshift.messages.replicas import Replica
from berylshift.model.engine import Stream
from berylshift.model.figures import SERVICE
from berylshift.model.host import ModelHost
from berylshift.model.result import PromptEnd
from berylshift.model.traffic import Arrival
from berylshift.process.targets.target_load import MILD_FAILURE, SEVERE_FAILURE
from berylshift.request.placement import Placement
from berylshift.request.prefill_scheduler import PrefillJob
from berylshift.request.refusals import MAX_RETRY_AFTER_SECONDS, MIN_RETRY_AFTER_SECONDS
from berylshift.request.relay import MAX_PREFILLS
from berylshift.request.slo_status import SloStatus, engine_rank, urgency_for

if TYPE_CHECKING:
    from berylshift.model.fleet import ModelFleet

# What a host takes for a request and its first event on its way (2.4 ms of processor
# time on half a core).
HOST_SECONDS = 0.005
# Callers honour a time to come back up to this share of what they have left.
HONOURED_SHARE = 1 / 3


class PromptRun:
    """Serves one arrival; a refused caller comes back once."""

    def __init__(self, fleet: "ModelFleet", arrival: Arrival):
        """Start with nothing sent."""
        self._fleet = fleet
        self._queue = fleet.queue
        self._arrival = arrival
        self._kind = arrival.kind
        self._standing = SloStatus.ON_TIME
        self._began_at = 0.0
        self._host: ModelHost = fleet.hosts[arrival.host]
        self._tried: list[InstanceId] = []
        self._reads = 0
        self._refused = 0
        self._tries = 0
        self._first: float | None = None
        self._last = 0.0
        self._pause = 0.0
        self._over = False
        self._first_until = 0.0
        self._sent_at = 0.0
        self._source: Replica | None = None

    def begin(self) -> None:
        """Place the prompt; refuse it at once if it would come too late."""
        now = self._queue.monotonic()
        if self._is_held(now):
            return
        self._tries += 1
        self._began_at = now
        self._first_until = now + self._kind.patience
        self._tried.clear()
        self._reads = 0
        self._queue.after(HOST_SECONDS, self._read)
        self._queue.at(self._first_until, self._leave_if_waiting)

    def _is_held(self, now: float) -> bool:
        """Return whether the host holds the prompt back; refuse it then."""
        if not self._fleet.holds_back:
            return False
        wait = self._host.quarantine.remaining_seconds(self._arrival.fingerprint, now)
        if wait <= 0:
            return False
        self._fleet.note_held(self._arrival)
        self._refuse(wait)
        return True

    @property
    def _urgency(self) -> Urgency:
        return urgency_for(self._kind, self._standing)

    # Reading

    def _read(self) -> None:
        now, host = self._queue.monotonic(), self._host
        pool, prompt = self._fleet.pool, self._arrival.prompt
        if self._over:
            return
        if self._reads >= MAX_PREFILLS:
            self._refuse(0.0)
            return
        ask = PrefillJob(
            route=self._kind,
            service=SERVICE,
            pool=pool,
            prompt=prompt,
            waited_seconds=now - self._began_at,
            avoid=self._tried,
        )
        choice = host.readings.choose(ask, now)
        self._standing = choice.slo_status if choice else SloStatus.ON_TIME
        if choice is None:
            self._answer(None)
            return
        if now + choice.seconds > self._first_until:
            self._refuse(choice.seconds - self._kind.patience)
            return
        place = choice.placement
        self._reads += 1
        self._sent_at = now
        host.readings.record_sent(ask, choice, now)
        host.loads.record_sent(place.target.instance, place.tokens, self._urgency)
        engine = self._fleet.engines[place.target.address]
        rank = engine_rank(self._kind, self._standing)
        self._queue.after(
            self._hop(place.target),
            lambda: engine.read(prompt, rank, lambda good: self._was_read(place, good)),
        )

    def _was_read(self, place: Placement, good: bool) -> None:
        self._queue.after(
            self._hop(place.target), lambda: self._take_reading(place, good)
        )

    def _take_reading(self, place: Placement, good: bool) -> None:
        instance, host = place.target.instance, self._host
        host.loads.record_prefilled(instance, place.tokens, self._urgency)
        host.loads.record_ended(instance)
        self._note(place.target, good)
        if good:
            seconds = self._queue.monotonic() - self._sent_at
            host.speeds.record_prefill(
                place.target.service, place.tokens, place.queued, seconds
            )
            self._answer(place.target)
        else:
            self._tried.append(instance)
            self._read()

    # Answering

    def _answer(self, source: Replica | None) -> None:
        now, host = self._queue.monotonic(), self._host
        if self._over:
            return
        prompt = self._arrival.prompt
        place = host.placer.choose_decode(
            self._fleet.pool, prompt, source, self._tried, now
        )
        if place is None:
            self._refuse(0.0)
            return
        instance = place.target.instance
        self._sent_at, self._source = now, source
        host.loads.record_sent(instance, place.tokens, self._urgency)
        engine = self._fleet.engines[place.target.address]
        rank = engine_rank(self._kind, self._standing)
        stream = Stream(
            prompt,
            self._arrival.events,
            lambda: self._event(place),
            lambda good: self._ended(place, stream, good),
        )
        self._fleet.note_send(self._arrival)
        self._queue.after(
            self._hop(place.target),
            lambda: engine.answer(stream, source, rank),
        )

    def _event(self, place: Placement) -> None:
        if self._arrival.crashes:
            self._queue.after(0.0, lambda: self._fleet.end_engine(place.target))
        way = self._way_back(place.target)
        self._queue.after(way, lambda: self._take_event(place))

    def _take_event(self, place: Placement) -> None:
        now = self._queue.monotonic()
        if self._over:
            return
        if self._first is None:
            self._first = now - self._arrival.at
            host = self._host
            host.loads.record_prefilled(
                place.target.instance, place.tokens, self._urgency
            )
            if self._source is not None:
                tokens = self._arrival.prompt.tokens
                seconds = now - self._sent_at
                host.speeds.record_first_token(
                    place.target.service, tokens, place.queued, seconds
                )
        else:
            self._pause = max(self._pause, now - self._last)
        self._last = now

    def _ended(self, place: Placement, stream: Stream, good: bool) -> None:
        instance, host = place.target.instance, self._host
        if self._first is None:
            host.loads.record_prefilled(instance, place.tokens, self._urgency)
        host.loads.record_ended(instance)
        if good and self._first is not None:
            seconds = self._queue.monotonic() - self._sent_at
            host.speeds.record_response(place.target.service, seconds)
        self._note(place.target, good)
        self._tell_quarantine(place.target, good)
        way = self._way_back(place.target)
        self._queue.after(way, lambda: self._end(good))

    def _tell_quarantine(self, target: Replica, good: bool) -> None:
        """Note what a host sees: an engine that is there has not ended."""
        now, request = self._queue.monotonic(), self._arrival.fingerprint
        quarantine = self._host.quarantine
        if good:
            quarantine.record_completion(request, now)
        elif not self._fleet.lives(target):
            quarantine.record_crash(request, target.instance, now)

    def _end(self, good: bool) -> None:
        """End the prompt; a caller whose answer broke off comes back."""
        left = self._arrival.at + self._kind.timeout - self._queue.monotonic()
        if good or self._over or left <= 0 or self._tries > self._kind.retries:
            self._close(good)
            return
        self._first, self._pause = None, 0.0
        self._host = self._host.rng.choice(self._fleet.hosts)
        self.begin()

    # Ends

    def _note(self, target: Replica, good: bool) -> None:
        now, host = self._queue.monotonic(), self._host
        if good:
            host.loads.record_success(target.instance, now)
            report = self._fleet.engines[target.address].report()
            host.loads.record_report(target.instance, report, now)
        else:
            host.loads.record_failure(
                target.instance, SEVERE_FAILURE if self._first else MILD_FAILURE, now
            )

    def _refuse(self, seconds: float) -> None:
        """Refuse the prompt; its caller comes back if it has tries and time left."""
        self._refused += 1
        now, rng = self._queue.monotonic(), self._host.rng
        wait = max(0.0, seconds) + rng.uniform(
            MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS
        )
        left = self._arrival.at + self._kind.timeout - now
        if self._refused > self._kind.retries or left <= 0:
            self._close(False)
            return
        self._host = rng.choice(self._fleet.hosts)
        self._queue.after(min(wait, HONOURED_SHARE * left), self.begin)

    def _leave_if_waiting(self) -> None:
        late = self._queue.monotonic() >= self._first_until
        if late and self._first is None:
            self._close(False)

    def _close(self, complete: bool) -> None:
        if self._over:
            return
        self._over = True
        if self._arrival.crashes:
            return
        end = PromptEnd(
            self._kind,
            self._arrival.at,
            self._first,
            self._pause,
            complete,
            self._refused,
        )
        self._fleet.ends.append(end)

    def _way_back(self, target: Replica) -> float:
        """Return the seconds from an engine to the caller."""
        return self._hop(target) + HOST_SECONDS + self._fleet.site.caller_seconds

    def _hop(self, target: Replica) -> float:
        return self._fleet.hop(self._host.domain, target.domain)

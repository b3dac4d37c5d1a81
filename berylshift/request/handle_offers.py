"""The KV handle of one prompt: whether it is offered, and what its refusal means."""

from collections.abc import Callable

import msgspec

from berylshift.ids import InstanceId, ServiceName
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import Prompt
from berylshift.process.directory.pools import Pool
from berylshift.process.targets.target_load import SEVERE_FAILURE
from berylshift.request.prefill_client import KvSource
from berylshift.request.relay_dependencies import RelayDependencies
from berylshift.scheduling import handle_policy
from berylshift.scheduling.features import Feature
from berylshift.scheduling.handle_policy import (
    HandleOffer,
    Refusal,
    RefusedOffer,
    RemainingWays,
    WithheldReason,
)
from berylshift.scheduling.placement import HOME_TOKENS, Placement
from berylshift.scheduling.prefill_scheduler import PrefillDecision, PrefillJob

# A severe failure counts as a crash until it has decayed by this factor.
CRASH_SHARE = 0.5


class HandleOffers:
    """Decides on one prompt's handles where they are tracked for its service."""

    def __init__(self, deps: RelayDependencies, service: ServiceName):
        """Decide for a prompt of ``service``."""
        self._deps = deps
        self._record = deps.handle_losses
        self.is_used = deps.features.uses(Feature.HANDLE_TRACKING, service)
        self._lost: list[InstanceId] = []
        self._prefilled_at = 0.0
        self._refusals = 0

    def on_prefilled(self) -> None:
        """Record that the prompt has a new handle."""
        self._prefilled_at = self._now()
        self._refusals = 0

    def on_streaming(
        self, target: Replica, prompt: Prompt, source: KvSource | None
    ) -> None:
        """Record that a decode engine streams, and so keeps the prompt's prefix."""
        if not self.is_used:
            return
        now = self._now()
        if source is not None:
            self._record.record_use(source.engine.instance, now)
        if prompt.prefix_tokens >= HOME_TOKENS:
            for block in prompt.prefix_blocks:
                self._deps.prefix_cache.record_kept(
                    block.id, block.tokens, target.instance, now
                )

    def on_refused(
        self, source: KvSource, target: InstanceId, sent_at: float
    ) -> Refusal:
        """Return why a decode engine refused a handle, and record a lost one."""
        load, now = self._deps.loads.of(target), self._now()
        self._refusals += 1
        refused = RefusedOffer(
            engine=source.engine.instance,
            prefilled_at=self._prefilled_at,
            load=load.report if load.report_at >= sent_at else None,
            is_leaving=self._asked_for_pause(target, now),
            refusals=self._refusals,
            former_refusals=load.refusals_in_a_row(now),
        )
        found = handle_policy.judge_refusal(refused, self._record)
        if found is Refusal.HANDLE_GONE:
            self._lost.append(source.engine.instance)
            self._record.record_loss(source.engine.instance, now)
        return found

    def withheld_reason(
        self,
        source: KvSource,
        choose_decode: Callable[[Replica | None], Placement | None],
        pool: Pool,
        may_retry: bool,
        seconds_left: float,
    ) -> WithheldReason | None:
        """Return why a handle is not to be offered; ``None``: it is.

        ``choose_decode`` returns the decode engine for a prompt that was prefilled at
        an engine, or that it prefills itself.
        """
        now, is_leaving = self._now(), self.is_leaving(source.engine)
        share = handle_policy.untrusted_share(pool, self._record, now)
        is_doubtful = self._record.likelihood(source.engine.instance, now) < 1
        if not (is_leaving or is_doubtful or (share and not may_retry)):
            return None
        decode, self_prefill = choose_decode(source.engine), choose_decode(None)
        offer = HandleOffer(
            engine=source.engine,
            is_leaving=is_leaving,
            decode_seconds=0.0 if decode is None else decode.seconds,
            self_prefill_seconds=None if self_prefill is None else self_prefill.seconds,
            may_retry=may_retry,
            untrusted_share=share,
            seconds_left=seconds_left,
        )
        reason = handle_policy.withheld_reason(offer, self._record, now)
        if reason is not None:
            self._lost.append(source.engine.instance)
        return reason

    def is_leaving(self, engine: Replica) -> bool:
        """Return whether an engine is leaving, gone, or crashed since the prefill."""
        if self._deps.replicas.is_leaving(engine):
            return True
        load = self._deps.loads.of(engine.instance)
        crashed = load.failures(self._now()) >= CRASH_SHARE * SEVERE_FAILURE
        return crashed and load.failure_at >= self._prefilled_at

    def choose_prefill(
        self,
        job: PrefillJob,
        choose_self_prefill: Callable[[], Placement | None],
        may_prefill_again: bool,
        is_first: bool,
        seconds_left: float,
    ) -> PrefillDecision | None:
        """Return where to prefill; ``None``: the decode engine does.

        ``choose_self_prefill`` returns the decode engine that would do so. The first
        token is due in ``seconds_left``.
        """
        now, scheduler = self._now(), self._deps.prefill_scheduler
        untrusted = handle_policy.untrusted_engines(job.pool, self._record, now)
        avoid = [*job.avoid, *self._lost]
        trusted_job = msgspec.structs.replace(job, avoid=[*avoid, *untrusted])
        choice = scheduler.choose(trusted_job, now)
        if is_first and not untrusted:
            return choice
        self_prefill = choose_self_prefill()
        ways = RemainingWays(
            None if self_prefill is None else self_prefill.seconds,
            None if choice is None else choice.seconds,
            may_prefill_again,
            seconds_left,
        )
        if not is_first:
            return None if handle_policy.prefers_self_prefill(ways) else choice
        if handle_policy.starts_at_one_engine(job.pool, len(untrusted), ways):
            return None
        doubtful_job = msgspec.structs.replace(job, avoid=avoid)
        doubtful = scheduler.choose(doubtful_job, now)
        return self._sooner(choice, doubtful, ways, now)

    def _sooner(
        self,
        choice: PrefillDecision | None,
        doubtful: PrefillDecision | None,
        ways: RemainingWays,
        now: float,
    ) -> PrefillDecision | None:
        """Return ``choice``, or an engine that isn't trusted but much sooner."""
        if choice is None or doubtful is None:
            return choice or doubtful
        if choice.seconds > ways.seconds_left >= doubtful.seconds:
            return doubtful
        second_try = min(choice.seconds, ways.self_prefill_seconds or choice.seconds)
        engine = doubtful.placement.target.instance
        is_detour_worth = handle_policy.is_worth_detour(
            choice.seconds,
            doubtful.seconds,
            self._record.likelihood(engine, now),
            second_try,
        )
        return choice if is_detour_worth else doubtful

    def _asked_for_pause(self, target: InstanceId, now: float) -> bool:
        replicas, throttle = self._deps.replicas, self._deps.throttle
        return replicas.is_draining(target) or target in throttle.blocked(now)

    def _now(self) -> float:
        return self._deps.clock.monotonic()

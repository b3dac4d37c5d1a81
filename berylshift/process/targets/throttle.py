"""Limits on what this host may send, from replicas' flow control in responses."""

import logging
from collections.abc import Callable, Iterable

from berylshift.ids import InstanceId
from berylshift.messages.load_digest import LimitUpdate, target_hash
from berylshift.messages.routed import FlowControl
from berylshift.process.targets.backoffs import Backoffs
from berylshift.process.targets.limit_gossip import LimitGossip
from berylshift.process.targets.rate_limits import RateLimits

logger = logging.getLogger(__name__)


class Throttle:
    """Back-offs and rate limits; times in seconds on the monotonic clock."""

    def __init__(
        self, limits: RateLimits, instance_of: Callable[[int], InstanceId | None]
    ):
        """Keep ``limits``; ``instance_of`` finds a replica by its short hash."""
        self._limits = limits
        self._instance_of = instance_of
        self._backoffs: Backoffs[InstanceId] = Backoffs()
        self._gossip = LimitGossip()

    def apply_flow_control(
        self, instance: InstanceId, control: FlowControl, sent_at: float, now: float
    ) -> None:
        """Apply the flow control of a response to a request sent at ``sent_at``."""
        if control.retry_after > 0:
            self._backoffs.back_off(instance, control.retry_after, now)
            logger.info(
                "backing off",
                extra={"instance": instance, "seconds": control.retry_after},
            )
        if control.rate_limit is not None:
            self._set_limit(instance, control.rate_limit, now, from_peer=False)
            self._gossip.record_own(target_hash(instance), control.rate_limit, now)
        elif self._lift_limit(instance, sent_at, from_peer=False):
            self._gossip.record_own(target_hash(instance), None, now)

    def apply_updates(self, updates: Iterable[LimitUpdate], now: float) -> None:
        """Apply another host's updates on limits."""
        for update in updates:
            instance = self._instance_of(update.target)
            if instance is None or not self._gossip.receive(update, now):
                continue
            at = now - update.age_seconds
            if update.requests_per_second is None:
                self._lift_limit(instance, at, from_peer=True)
            else:
                self._set_limit(
                    instance, update.requests_per_second, at, from_peer=True
                )

    def updates_to_send(self, now: float, own_only: bool) -> tuple[LimitUpdate, ...]:
        """Return the updates on limits for the next digest.

        ``own_only``: without what other hosts sent.
        """
        return self._gossip.updates_to_send(now, own_only)

    def _set_limit(
        self,
        instance: InstanceId,
        requests_per_second: float,
        at: float,
        from_peer: bool,
    ) -> None:
        if not self._limits.set_limit(instance, requests_per_second, at):
            return
        share = self._limits.share(instance)
        logger.info(
            "rate limit set",
            extra={
                "instance": instance,
                "per_second": round(requests_per_second, 3),
                "share": None if share is None else round(share.fraction, 4),
                "held": share is not None and share.is_main_sender,
                "told": from_peer,
            },
        )

    def _lift_limit(self, instance: InstanceId, at: float, from_peer: bool) -> bool:
        if not self._limits.lift(instance, at):
            return False
        logger.info(
            "rate limit lifted", extra={"instance": instance, "told": from_peer}
        )
        return True

    def acquire(
        self, instance: InstanceId, now: float, limit_exempt: bool = False
    ) -> float:
        """Acquire a send slot and return 0, or return the seconds to wait.

        One that is ``limit_exempt`` is not counted against the replica's limit.
        """
        wait = self._backoffs.wait(instance, now)
        if limit_exempt:
            return wait
        wait = max(wait, self._limits.wait(instance, now))
        if wait <= 0:
            self._limits.record_sent(instance, now)
        return wait

    def reserve(self, instance: InstanceId, now: float) -> bool:
        """Count a later request against a replica's limit; return whether it has one.

        Call it only for a replica that may be sent to now.
        """
        if self._limits.share(instance) is None:
            return False
        self._limits.record_sent(instance, now)
        return True

    def is_limited(self, instance: InstanceId, now: float) -> bool:
        """Return whether a replica has stated a limit for some time."""
        return self._limits.is_lasting(instance, now)

    def blocked(self, now: float) -> list[InstanceId]:
        """Return the replicas that this host may not send to now."""
        return self._limits.blocked(now) + self._backoffs.active(now)

    def retry_after(self, instance: InstanceId, now: float) -> float:
        """Return the seconds after which a caller may retry for a replica."""
        backoff = self._backoffs.wait(instance, now)
        return max(backoff, self._limits.retry_after(instance, now))

    def forget(self, instance: InstanceId) -> None:
        """Remove a replica that is gone."""
        self._limits.forget(instance)
        self._backoffs.forget(instance)
        self._gossip.forget(target_hash(instance))

    @property
    def has_limits(self) -> bool:
        """Return whether some replica states a rate limit."""
        return len(self._limits) > 0

    def __len__(self) -> int:
        """Return how many limits and back-offs are in force."""
        return len(self._limits) + len(self._backoffs)

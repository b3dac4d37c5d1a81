"""How much replicas take of this host now, as they said in their answers."""

import logging
from collections.abc import Callable, Iterable

from berylshift.ids import InstanceId
from berylshift.messages.load_digest import LimitUpdate, target_hash
from berylshift.messages.routed import FlowControl
from berylshift.process.targets.backoffs import Backoffs
from berylshift.process.targets.limit_gossip import LimitNews
from berylshift.process.targets.rate_limits import RateLimits

logger = logging.getLogger(__name__)


class Throttle:
    """What replicas asked for; times in seconds on the monotonic clock."""

    def __init__(
        self, limits: RateLimits, instance_of: Callable[[int], InstanceId | None]
    ):
        """Go by ``limits``; ``instance_of`` finds a replica by its short hash."""
        self._limits = limits
        self._instance_of = instance_of
        self._backoffs: Backoffs[InstanceId] = Backoffs()
        self._news = LimitNews()

    def heard(
        self, instance: InstanceId, control: FlowControl, sent_at: float, now: float
    ) -> None:
        """Take over what an answer to a request of ``sent_at`` asks for."""
        if control.retry_after > 0:
            self._backoffs.back_off(instance, control.retry_after, now)
            logger.info(
                "backing off",
                extra={"instance": instance, "seconds": control.retry_after},
            )
        if control.rate_limit is not None:
            self._named(instance, control.rate_limit, now, told=False)
            self._news.given(target_hash(instance), control.rate_limit, now)
        elif self._lifted(instance, sent_at, told=False):
            self._news.given(target_hash(instance), None, now)

    def heard_of(self, limits: Iterable[LimitUpdate], now: float) -> None:
        """Take over what another host tells of limits."""
        for told in limits:
            instance = self._instance_of(told.target)
            if instance is None or not self._news.heard(told, now):
                continue
            at = now - told.age_seconds
            if told.requests_per_second is None:
                self._lifted(instance, at, told=True)
            else:
                self._named(instance, told.requests_per_second, at, told=True)

    def to_tell(self, now: float, own_alone: bool) -> tuple[LimitUpdate, ...]:
        """Return what the other hosts are to be told of limits.

        ``own_alone``: without what was heard of other hosts.
        """
        return self._news.to_tell(now, own_alone)

    def _named(
        self, instance: InstanceId, per_second: float, at: float, told: bool
    ) -> None:
        if not self._limits.set_limit(instance, per_second, at):
            return
        share = self._limits.share(instance)
        logger.info(
            "rate limit set",
            extra={
                "instance": instance,
                "per_second": round(per_second, 3),
                "share": None if share is None else round(share.part, 4),
                "held": share is not None and share.is_held,
                "told": told,
            },
        )

    def _lifted(self, instance: InstanceId, at: float, told: bool) -> bool:
        if not self._limits.lift(instance, at):
            return False
        logger.info("rate limit lifted", extra={"instance": instance, "told": told})
        return True

    def take(
        self, instance: InstanceId, now: float, limit_exempt: bool = False
    ) -> float:
        """Take leave for one request and return 0, or return the seconds to wait.

        One that is ``limit_exempt`` is not counted against the replica's limit.
        """
        wait = self._backoffs.wait(instance, now)
        if limit_exempt:
            return wait
        wait = max(wait, self._limits.wait(instance, now))
        if wait <= 0:
            self._limits.sent(instance, now)
        return wait

    def reserve(self, instance: InstanceId, now: float) -> bool:
        """Count a request to come against a replica's limit; return whether it has one.

        It is called for a replica that takes a request now.
        """
        if self._limits.share(instance) is None:
            return False
        self._limits.sent(instance, now)
        return True

    def is_limited(self, instance: InstanceId, now: float) -> bool:
        """Return whether a replica has named a limit for some time."""
        return self._limits.is_lasting(instance, now)

    def closed(self, now: float) -> list[InstanceId]:
        """Return the replicas that take nothing of this host now."""
        return self._limits.closed(now) + self._backoffs.active(now)

    def retry_after(self, instance: InstanceId, now: float) -> float:
        """Return the seconds after which a caller may come back for a replica."""
        backoff = self._backoffs.wait(instance, now)
        return max(backoff, self._limits.retry_after(instance, now))

    def forget(self, instance: InstanceId) -> None:
        """Drop a replica that is gone."""
        self._limits.forget(instance)
        self._backoffs.forget(instance)
        self._news.forget(target_hash(instance))

    def __len__(self) -> int:
        """Return how many replicas are used less than others on their own word."""
        return len(self._limits) + len(self._backoffs)

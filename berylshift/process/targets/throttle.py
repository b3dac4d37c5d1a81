"""How much replicas take of this host now, as they said in their answers."""

import logging

from berylshift.ids import InstanceId
from berylshift.messages.routed import TargetWishes
from berylshift.process.targets.rate_limits import RateLimits
from berylshift.process.targets.rests import Rests

logger = logging.getLogger(__name__)


class Throttle:
    """What replicas asked for; times in seconds on the monotonic clock."""

    def __init__(self, limits: RateLimits):
        """Go by ``limits``."""
        self._limits = limits
        self._rests = Rests()

    def heard(
        self, instance: InstanceId, wishes: TargetWishes, sent_at: float, now: float
    ) -> None:
        """Take over what an answer to a request of ``sent_at`` asks for."""
        if wishes.rest_seconds > 0:
            self._rests.asked(instance, wishes.rest_seconds, now)
            logger.info(
                "rest asked for",
                extra={"instance": instance, "seconds": wishes.rest_seconds},
            )
        if wishes.rate_limit is None:
            if self._limits.not_named(instance, sent_at):
                logger.info("limit lifted", extra={"instance": instance})
        elif self._limits.named(instance, wishes.rate_limit, now):
            share = self._limits.share(instance)
            logger.info(
                "limit named",
                extra={
                    "instance": instance,
                    "per_second": wishes.rate_limit,
                    "share": None if share is None else round(share.part, 4),
                    "held": share is not None and share.is_held,
                },
            )

    def take(self, instance: InstanceId, now: float) -> float:
        """Take leave for one request and return 0, or return the seconds to wait."""
        wait = max(self._rests.wait(instance, now), self._limits.wait(instance, now))
        if wait <= 0:
            self._limits.sent(instance, now)
        return wait

    def closed(self, now: float) -> list[InstanceId]:
        """Return the replicas that take nothing of this host now."""
        return self._limits.closed(now) + self._rests.resting(now)

    def retry_after(self, instance: InstanceId, now: float) -> float:
        """Return the seconds after which a caller may come back for a replica."""
        rest = self._rests.wait(instance, now)
        return max(rest, self._limits.retry_after(instance, now))

    def forget(self, instance: InstanceId) -> None:
        """Drop a replica that is gone."""
        self._limits.forget(instance)
        self._rests.forget(instance)

    def __len__(self) -> int:
        """Return how many replicas are used less than others on their own word."""
        return len(self._limits) + len(self._rests)

"""Reports the usage of each window: one host settles it in the store, then sends it.

A report is settled before it is sent, so that a host that takes over sends an identical
one; two different reports of a window would contradict each other. A window whose
settled report may have been lost with the store is not settled again.
"""

import logging
from collections.abc import Callable

import trio

from berylshift.clock import Clock
from berylshift.messages.leader_calls import CallResult, LeaseHolder
from berylshift.messages.usage import UsageReport, UsageReporting, UsageRows
from berylshift.process.directory.store_era_tracker import StoreEraTracker
from berylshift.process.leader_tasks.leader_lease import Grant, LeaderLease, Refused
from berylshift.process.usage.filtered_clock import (
    SAMPLE_INTERVAL_SECONDS,
    FilteredClock,
)
from berylshift.process.usage.usage_counts import UsageCounts
from berylshift.process.usage.windows import MAX_RANK, UsageWindows
from berylshift.store.interfaces import PlatformError

logger = logging.getLogger(__name__)

TASK = "usage"
POLL_SECONDS = 0.2
RETRY_SECONDS = 0.4
# Answers after which a window is done: it was accepted, or rejected permanently.
FINAL_ANSWERS = frozenset({CallResult.DONE, CallResult.REFUSED})


class UsageLoop:
    """Reports usage while this host holds the lease for it."""

    def __init__(
        self,
        host: str,
        windows: UsageWindows,
        usage_counts: UsageCounts,
        filtered_clock: FilteredClock,
        lease: LeaderLease,
        rows: UsageRows,
        reporting: UsageReporting,
        eras: StoreEraTracker,
        clock: Clock,
        rank_for: Callable[[str], int | None],
        hears_others: Callable[[float], bool],
    ):
        """Report as ``host``; ``rank_for`` returns its rank for a leader task.

        ``hears_others`` returns whether this host has heard of most others within some
        seconds.
        """
        self._host = host
        self._windows = windows
        self._usage_counts = usage_counts
        self._filtered_clock = filtered_clock
        self._lease = lease
        self._rows = rows
        self._reporting = reporting
        self._eras = eras
        self._clock = clock
        self._rank_for = rank_for
        self._hears_others = hears_others
        self._settled: dict[int, UsageReport] = {}
        self._started_at = filtered_clock.now()
        self._refused_until = float("-inf")
        self.reported_count = 0
        self.given_up_count = 0

    async def run(self) -> None:
        """Report until cancelled."""
        sampled_at = float("-inf")
        while True:
            await trio.sleep(POLL_SECONDS)
            if self._clock.monotonic() - sampled_at >= SAMPLE_INTERVAL_SECONDS:
                sampled_at = self._clock.monotonic()
                self._filtered_clock.sample()
                self._usage_counts.drop_old(self._filtered_clock.now())
            for window in self._due():
                if not await self._process(window):
                    break

    def _due(self) -> list[int]:
        rank = self._rank_for(TASK)
        if rank is None or self._clock.monotonic() < self._refused_until:
            return []
        # The host that reported last goes on; others would wait for its lease to end.
        rank = 0 if self._usage_counts.reported_last else rank + 1
        return [
            window
            for window in self._due_at(rank)
            if self._has_counts_of(window) or window in self._due_at(MAX_RANK)
        ]

    def _due_at(self, rank: int) -> list[int]:
        last_done, started_at = self._usage_counts.last_done, self._started_at
        return self._windows.due(
            self._filtered_clock.now(), last_done, rank, started_at
        )

    def _has_counts_of(self, window: int) -> bool:
        """Return whether most other hosts can have told all their counts of a window.

        A partitioned host leaves the report to the others as long as there is time.
        """
        return self._hears_others(
            self._filtered_clock.now() - self._windows.end_of(window)
        )

    async def _process(self, window: int) -> bool:
        """Try to report a window; return whether it is done."""
        if self._windows.is_late(window, self._filtered_clock.now()):
            return self._give_up(window, "too late")
        try:
            grant = await self._lease.acquire()
            if isinstance(grant, Refused):
                self._refused_until = self._clock.monotonic() + grant.seconds
                return False
            return await self._report(window, grant)
        except PlatformError as exc:
            logger.info(
                "usage not settled yet", extra=_log_fields(window, reason=str(exc))
            )
            await trio.sleep(RETRY_SECONDS)
            return False

    async def _report(self, window: int, grant: Grant) -> bool:
        report = await self._settle(window)
        if report is None:
            return self._give_up(window, "not known whether it was settled")
        if self._lease.held() is not grant:
            return False
        holder = LeaseHolder(self._host, grant.fence)
        answer = await self._reporting.report_usage(report, holder)
        logger.info(
            "usage sent",
            extra=_log_fields(
                window, answer=answer, fence=grant.fence, customers=len(report.counts)
            ),
        )
        if answer not in FINAL_ANSWERS:
            await trio.sleep(RETRY_SECONDS)
            return False
        self.reported_count += answer is CallResult.DONE
        self._finish(window)
        return True

    async def _settle(self, window: int) -> UsageReport | None:
        """Return the settled report of a window; ``None`` if it can't be known."""
        known = self._settled.get(window)
        if known is not None:
            return known
        if not self._may_settle(window):
            settled = await self._rows.read(window)
        else:
            settled = await self._rows.settle(self._usage_counts.report(window))
            logger.info(
                "usage settled",
                extra=_log_fields(
                    window,
                    customers=len(settled.report.counts),
                    requests=sum(item.count for item in settled.report.counts),
                ),
            )
        if settled is None:
            return None
        self._settled[window] = settled.report
        return settled.report

    def _may_settle(self, window: int) -> bool:
        """Return whether no settled report of a window can have been lost.

        The store may have been restored from an older copy since the window's end.
        """
        if not self._eras.restore_count:
            return True
        return self._filtered_clock.now() - self._eras.age() < self._windows.end_of(
            window
        )

    def _give_up(self, window: int, reason: str) -> bool:
        logger.warning("usage given up", extra=_log_fields(window, reason=reason))
        self.given_up_count += 1
        self._finish(window)
        return True

    def _finish(self, window: int) -> None:
        self._settled.pop(window, None)
        self._usage_counts.mark_reported(window, self._clock.monotonic())


def _log_fields(window: int, **fields: object) -> dict[str, object]:
    return {"window": window, **fields}

"""Reports usage of each window: settled once in the store, then sent, by one host.

A report is settled before it is sent, so that a host which takes over sends the very
same one: two different ones of a window would be two truths. A window whose settled
report may be lost with the store is not settled anew.
"""

import logging
from collections.abc import Callable

import trio

from berylshift.clock import Clock
from berylshift.messages.leader_calls import CallResult, LeaseHolder
from berylshift.messages.usage import UsageReport, UsageReporting, UsageRows
from berylshift.process.directory.store_era_tracker import StoreEraTracker
from berylshift.process.leader_tasks.leader_lease import Grant, LeaderLease, Refused
from berylshift.process.usage.true_time import SAMPLE_SECONDS, TrueTime
from berylshift.process.usage.usage_book import UsageBook
from berylshift.process.usage.windows import UsageWindows
from berylshift.store.interfaces import PlatformError

logger = logging.getLogger(__name__)

DUTY = "usage"
LOOK_SECONDS = 0.2
RETRY_SECONDS = 0.4
# Answers after which a window is over: sent, or refused for good.
FINAL = frozenset({CallResult.DONE, CallResult.REFUSED})


class UsageLoop:
    """Reports usage while it is this host's turn."""

    def __init__(
        self,
        host: str,
        windows: UsageWindows,
        book: UsageBook,
        time: TrueTime,
        lease: LeaderLease,
        rows: UsageRows,
        reporting: UsageReporting,
        eras: StoreEraTracker,
        clock: Clock,
        place: Callable[[str], int | None],
    ):
        """Report as ``host``; ``place``: its place in order for a duty."""
        self._host = host
        self._windows = windows
        self._book = book
        self._time = time
        self._lease = lease
        self._rows = rows
        self._reporting = reporting
        self._eras = eras
        self._clock = clock
        self._place = place
        self._settled: dict[int, UsageReport] = {}
        self._started = time.now()
        self._refused_until = float("-inf")
        self.sent = 0
        self.given_up = 0

    async def run(self) -> None:
        """Report until cancelled."""
        looked_at = float("-inf")
        while True:
            await trio.sleep(LOOK_SECONDS)
            if self._clock.monotonic() - looked_at >= SAMPLE_SECONDS:
                looked_at = self._clock.monotonic()
                self._time.look()
                self._book.forget_old(self._time.now())
            for window in self._due():
                if not await self._try(window):
                    break

    def _due(self) -> list[int]:
        place = self._place(DUTY)
        if place is None or self._clock.monotonic() < self._refused_until:
            return []
        # Whoever reported last keeps the duty: the others would wait for its lease.
        place = 0 if self._book.reported_last else place + 1
        done, started = self._book.done, self._started
        return self._windows.due(self._time.now(), done, place, started)

    async def _try(self, window: int) -> bool:
        """Report a window; return whether it is over."""
        if self._windows.is_late(window, self._time.now()):
            return self._give_up(window, "too late")
        try:
            grant = await self._lease.acquire()
            if isinstance(grant, Refused):
                self._refused_until = self._clock.monotonic() + grant.seconds
                return False
            return await self._report(window, grant)
        except PlatformError as exc:
            logger.info("usage not settled yet", extra=_about(window, reason=str(exc)))
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
            extra=_about(
                window, answer=answer, fence=grant.fence, customers=len(report.counts)
            ),
        )
        if answer not in FINAL:
            await trio.sleep(RETRY_SECONDS)
            return False
        self.sent += answer is CallResult.DONE
        self._done(window)
        return True

    async def _settle(self, window: int) -> UsageReport | None:
        """Return the one report of a window; ``None`` if it can't be known."""
        known = self._settled.get(window)
        if known is not None:
            return known
        if not self._may_settle(window):
            found = await self._rows.read(window)
        else:
            found = await self._rows.settle(self._book.report(window))
            logger.info(
                "usage settled",
                extra=_about(
                    window,
                    customers=len(found.report.counts),
                    requests=sum(item.count for item in found.report.counts),
                ),
            )
        if found is None:
            return None
        self._settled[window] = found.report
        return found.report

    def _may_settle(self, window: int) -> bool:
        """Return whether no other report of a window can have been settled and lost.

        The store may have come back older since the window's end.
        """
        if not self._eras.restore_count:
            return True
        return self._time.now() - self._eras.age() < self._windows.end(window)

    def _give_up(self, window: int, reason: str) -> bool:
        logger.warning("usage given up", extra=_about(window, reason=reason))
        self.given_up += 1
        self._done(window)
        return True

    def _done(self, window: int) -> None:
        self._settled.pop(window, None)
        self._book.reported(window, self._clock.monotonic())


def _about(window: int, **more: object) -> dict[str, object]:
    return {"window": window, **more}

"""The platform calls of leader tasks in memory, recorded with their lease holder."""

from dataclasses import dataclass

import trio

from berylshift.ids import ServiceName, StoreEra
from berylshift.messages.leader_calls import CallResult, LeaseHolder
from berylshift.messages.scaling import ScaleOrder
from berylshift.messages.usage import SettledUsage, UsageReport
from berylshift.store.eras import FIRST_ERA
from berylshift.store.interfaces import ResponseLostError, StoreUnavailableError


@dataclass
class UsageCall:
    """One usage report, who sent it and when it arrived."""

    report: UsageReport
    holder: LeaseHolder
    at: float


class FakeUsageRows:
    """Settled usage reports in memory, with scripted faults."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[int, UsageReport] = {}
        self.era: StoreEra = FIRST_ERA
        self.down = False
        self.lose_answers = 0

    def restore(self) -> None:
        """Restore the store from a snapshot without reports, in a new era."""
        self._rows.clear()
        self.era = StoreEra(self.era + 1)

    async def read(self, window: int) -> SettledUsage | None:
        """Return the settled usage of a window, or ``None``."""
        self._check()
        report = self._rows.get(window)
        return None if report is None else SettledUsage(report, self.era)

    async def settle(self, report: UsageReport) -> SettledUsage:
        """Store a report unless its window is settled; return the settled one."""
        self._check()
        found = self._rows.setdefault(report.window, report)
        if self.lose_answers:
            self.lose_answers -= 1
            raise ResponseLostError("lost")
        return SettledUsage(found, self.era)

    def _check(self) -> None:
        if self.down:
            raise StoreUnavailableError("down")


class FakeScaleRows:
    """Replica counts that services need, in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self.needed: dict[ServiceName, int] = {}
        self.down = False

    async def get_or_set_needed(self, service: ServiceName, needed: int) -> int:
        """Store a count unless the service has one; return the stored count."""
        if self.down:
            raise StoreUnavailableError("down")
        return self.needed.setdefault(service, needed)


class FakeLeaderCalls:
    """Records leader tasks' calls; each call consumes one of ``answers``."""

    def __init__(self) -> None:
        """Start without calls."""
        self.usage: list[UsageCall] = []
        self.orders: list[ScaleOrder] = []
        self.answers: list[CallResult] = []

    async def report_usage(
        self, report: UsageReport, holder: LeaseHolder
    ) -> CallResult:
        """Record a report, unless a scripted answer rejects it."""
        answer = self.answers.pop(0) if self.answers else CallResult.DONE
        if answer in (CallResult.DONE, CallResult.UNKNOWN):
            self.usage.append(UsageCall(report, holder, trio.current_time()))
        return answer

    async def scale(self, order: ScaleOrder, holder: LeaseHolder) -> CallResult:
        """Record an order, unless a scripted answer rejects it."""
        answer = self.answers.pop(0) if self.answers else CallResult.DONE
        if answer in (CallResult.DONE, CallResult.UNKNOWN):
            self.orders.append(order)
        return answer

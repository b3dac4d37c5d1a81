"""The platform's duties in memory: what was reported, by whom, under which fence."""

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
    """One report as it arrived."""

    report: UsageReport
    holder: LeaseHolder
    at: float


class FakeUsageRows:
    """Settled reports in memory, with scripted faults."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[int, UsageReport] = {}
        self.era: StoreEra = FIRST_ERA
        self.down = False
        self.lose_answers = 0

    def restore(self) -> None:
        """Come back from a copy that has no report."""
        self._rows.clear()
        self.era = StoreEra(self.era + 1)

    async def read(self, window: int) -> SettledUsage | None:
        """Return what was settled of a window."""
        self._check()
        report = self._rows.get(window)
        return None if report is None else SettledUsage(report, self.era)

    async def settle(self, report: UsageReport) -> SettledUsage:
        """Settle a report, unless one was settled before."""
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
    """How many replicas services need, in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self.needed: dict[ServiceName, int] = {}
        self.down = False

    async def get_or_set_needed(self, service: ServiceName, needed: int) -> int:
        """Keep a number, unless there is one; return the one that holds."""
        if self.down:
            raise StoreUnavailableError("down")
        return self.needed.setdefault(service, needed)


class FakeDuties:
    """Takes duties' calls; ``answers`` are used up one a call."""

    def __init__(self) -> None:
        """Start without calls."""
        self.usage: list[UsageCall] = []
        self.orders: list[ScaleOrder] = []
        self.answers: list[CallResult] = []

    async def report_usage(
        self, report: UsageReport, holder: LeaseHolder
    ) -> CallResult:
        """Take a report, unless another answer is due."""
        answer = self.answers.pop(0) if self.answers else CallResult.DONE
        if answer in (CallResult.DONE, CallResult.UNKNOWN):
            self.usage.append(UsageCall(report, holder, trio.current_time()))
        return answer

    async def scale(self, order: ScaleOrder, holder: LeaseHolder) -> CallResult:
        """Take an order, unless another answer is due."""
        answer = self.answers.pop(0) if self.answers else CallResult.DONE
        if answer in (CallResult.DONE, CallResult.UNKNOWN):
            self.orders.append(order)
        return answer

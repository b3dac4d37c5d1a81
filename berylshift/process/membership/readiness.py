"""Whether this process takes new requests, and what the balancer is told."""

from dataclasses import dataclass, field
from enum import Enum

from berylshift.clock import Clock
from berylshift.ids import HostName
from berylshift.process.table.follower import TableHolder
from berylshift.request.messages import Reason
from berylshift.version.freshness import Freshness, View
from berylshift.version.rows import RowState

HOST_NOTICE_SECONDS = 5.0


class Phase(Enum):
    """Where the process stands in its life."""

    SERVING = "serving"
    LEAVING = "leaving"
    CLOSED = "closed"


@dataclass
class Readiness:
    """Combines the process's phase, the host's mark and the table's freshness."""

    host: HostName
    holder: TableHolder
    fresh: Freshness
    clock: Clock
    phase: Phase = Phase.SERVING
    _marked_at: float | None = field(default=None)

    def may_route(self) -> bool:
        """Return whether work may go to targets by the table held here."""
        return self.fresh.view(self.clock.monotonic()) is View.FRESH

    def is_ready(self) -> bool:
        """Return what the balancer is told."""
        if self.phase is not Phase.SERVING or self._mark() is not RowState.ACTIVE:
            return False
        return self.may_route()

    def closed(self) -> Reason | None:
        """Return why a new request is refused, or ``None``.

        A leaving host serves on while the balancer learns of it: refusing at once
        would fail requests that a graceful shutdown has time for.
        """
        if self.phase is Phase.CLOSED or self._notice_is_over():
            return Reason.DRAINING
        if not self.may_route():
            return Reason.STALE_TABLE
        return None

    def _mark(self) -> RowState:
        return self.holder.table.host_state(self.host)

    def _notice_is_over(self) -> bool:
        mark = self._mark()
        if mark is RowState.ACTIVE:
            self._marked_at = None
            return False
        now = self.clock.monotonic()
        if self._marked_at is None:
            self._marked_at = now
        if mark is RowState.WITHDRAWN:
            return True
        return now - self._marked_at > HOST_NOTICE_SECONDS

"""Whether this process accepts new requests, and its readiness for load balancers."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from berylshift.clock import Clock
from berylshift.ids import HostName
from berylshift.process.table.table_follower import TableHolder
from berylshift.request.messages import Reason
from berylshift.version.freshness import Freshness, View
from berylshift.version.rows import RowState

# How long a draining host serves new requests while load balancers take it out.
DRAIN_NOTICE_SECONDS = 5.0


class Phase(Enum):
    """The phases of the process's lifecycle."""

    SERVING = "serving"
    LEAVING = "leaving"
    CLOSED = "closed"


@dataclass
class Readiness:
    """Combines the process's phase, the host's state and the table's freshness.

    ``boot_clock`` runs while the host is suspended.
    """

    host: HostName
    holder: TableHolder
    fresh: Freshness
    clock: Clock
    boot_clock: Callable[[], float]
    phase: Phase = Phase.SERVING
    _inactive_since: float | None = field(default=None)

    def may_route(self) -> bool:
        """Return whether requests may be routed by the current table."""
        return self.fresh.view(self.boot_clock()) is View.FRESH

    def is_ready(self) -> bool:
        """Return whether load balancers should send requests to this process."""
        if self.phase is not Phase.SERVING or self._host_state() is not RowState.ACTIVE:
            return False
        return self.may_route()

    def refusal_reason(self) -> Reason | None:
        """Return why a new request is refused; ``None``: it is accepted.

        A leaving host goes on serving while load balancers take it out: refusing at
        once would fail requests that there is time for in a graceful shutdown.
        """
        if self.phase is Phase.CLOSED or self._is_notice_over():
            return Reason.DRAINING
        if not self.may_route():
            return Reason.STALE_VIEW
        return None

    def _host_state(self) -> RowState:
        return self.holder.table.host_state(self.host)

    def _is_notice_over(self) -> bool:
        state = self._host_state()
        if state is RowState.ACTIVE:
            self._inactive_since = None
            return False
        now = self.clock.monotonic()
        if self._inactive_since is None:
            self._inactive_since = now
        if state is RowState.WITHDRAWN:
            return True
        return now - self._inactive_since > DRAIN_NOTICE_SECONDS

"""Which replicas this host reaches itself; times in monotonic seconds.

A connection that fails says nothing by itself: the replica may be gone. A path counts
as lost only once another host has reached the replica at the same time.
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum, StrEnum

logger = logging.getLogger(__name__)

# A lost path is tried again this often while it is needed.
RECHECK_SECONDS = 0.5
# A replica that other hosts don't reach either is not asked of them for this long.
UNREACHED_SECONDS = 1.0
# A replica that was heard from this recently needs no check.
LIFE_SECONDS = 0.3
# A host that has connected to any replica this recently can tell that one is gone.
WITNESS_SECONDS = 2.0
# Replicas are checked together at most this often after a path was found lost.
CHECK_ALL_SECONDS = 2.0


class PathState(StrEnum):
    """How a host's path to a replica is lost."""

    # New connections are refused; open ones may go on.
    REFUSED = "refused"
    # Nothing comes back; open connections have to be given up.
    SILENT = "silent"


class Route(Enum):
    """How a connection is opened first."""

    DIRECT = "direct"
    TUNNEL = "tunnel"


@dataclass
class _LostPath:
    state: PathState
    since: float
    checked_at: float


class ReplicaPaths:
    """The paths that are lost, by the replica's address."""

    def __init__(
        self,
        listed: Callable[[], Iterable[str]],
        on_silent: Callable[[str], None] = lambda address: None,
    ):
        """Compare with the ``listed`` addresses of all replicas.

        ``on_silent`` is called with the address of each path that becomes silent.
        """
        self._listed = listed
        self._on_silent = on_silent
        self._lost: dict[str, _LostPath] = {}
        self._unreached_until: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._last_heard_at = float("-inf")
        self._last_connected_at = float("-inf")
        self._checked_at: dict[str, float] = {}
        self._checked_all_at = float("-inf")
        self._was_cut_off = False

    # Evidence

    def record_life(self, address: str, now: float) -> None:
        """Record a response of a replica on a direct connection."""
        self._heard_at[address] = self._last_heard_at = now

    def record_direct(self, address: str, now: float) -> bool:
        """Record that a direct connection was opened; return whether that is new."""
        self.record_life(address, now)
        self._last_connected_at = now
        self._unreached_until.pop(address, None)
        if self._lost.pop(address, None) is None:
            return False
        self._log_change(now)
        return True

    def record_lost(self, address: str, state: PathState, now: float) -> None:
        """Record that another host reached a replica that this one did not."""
        former = self._lost.get(address)
        self._unreached_until.pop(address, None)
        if former is not None:
            former.checked_at = now
            if former.state is state:
                return
        since = now if former is None else former.since
        self._lost[address] = _LostPath(state, since, now)
        if state is PathState.SILENT:
            self._on_silent(address)
        self._log_change(now)

    def record_unreached(self, address: str, now: float) -> None:
        """Record that neither this host nor others reached a replica."""
        self._unreached_until[address] = now + UNREACHED_SECONDS

    def retain_listed(self) -> None:
        """Drop what is known of addresses that are no longer listed."""
        gone = self._heard_at.keys() | self._checked_at.keys() | self._lost.keys()
        gone |= self._unreached_until.keys()
        for address in gone.difference(self._listed()):
            for known in (
                self._lost,
                self._unreached_until,
                self._heard_at,
                self._checked_at,
            ):
                known.pop(address, None)

    # Decisions

    def first_route(self, address: str) -> Route:
        """Return how to open a connection."""
        return Route.TUNNEL if address in self._lost else Route.DIRECT

    def may_tunnel(self, address: str, now: float) -> bool:
        """Return whether other hosts may reach the replica."""
        return now >= self._unreached_until.get(address, float("-inf"))

    def may_reuse(self, address: str) -> bool:
        """Return whether open connections may be used for further requests."""
        lost = self._lost.get(address)
        return lost is None or lost.state is not PathState.SILENT

    def take_recheck(self, address: str, now: float) -> bool:
        """Return whether a lost path is due to be tried again; it then counts as so."""
        lost = self._lost.get(address)
        if lost is None or now - lost.checked_at < RECHECK_SECONDS:
            return False
        lost.checked_at = now
        return True

    def lost(self) -> list[str]:
        """Return the addresses whose paths are lost."""
        return list(self._lost)

    def take_check(self, address: str, now: float) -> bool:
        """Return whether a path that may be lost is to be checked now."""
        if address in self._lost or self.was_heard(address, now):
            return False
        if now - self._checked_at.get(address, float("-inf")) < RECHECK_SECONDS:
            return False
        self._checked_at[address] = now
        return True

    def take_check_all(self, now: float) -> bool:
        """Return whether to check other replicas, since one path was found lost."""
        if now - self._checked_all_at < CHECK_ALL_SECONDS:
            return False
        self._checked_all_at = now
        return True

    def was_heard(self, address: str, now: float) -> bool:
        """Return whether the replica was heard from recently."""
        return now - self._heard_at.get(address, float("-inf")) < LIFE_SECONDS

    def is_witness(self, now: float) -> bool:
        """Return whether this host can tell that a replica is gone."""
        return now - self._last_connected_at < WITNESS_SECONDS

    def is_lost(self, address: str) -> bool:
        """Return whether the path to a replica is lost."""
        return address in self._lost

    def is_cut_off(self, addresses: Iterable[str] | None = None) -> bool:
        """Return whether most of the paths to ``addresses`` are lost; default: all."""
        found = set(self._listed() if addresses is None else addresses)
        return 2 * len(found & self._lost.keys()) > len(found)

    def __len__(self) -> int:
        """Return how many paths are lost."""
        return len(self._lost)

    def _log_change(self, now: float) -> None:
        """Log the loss of most paths, and their return."""
        is_cut_off = self.is_cut_off()
        if is_cut_off == self._was_cut_off:
            return
        self._was_cut_off = is_cut_off
        if is_cut_off:
            states = {state: 0 for state in PathState}
            for lost in self._lost.values():
                states[lost.state] += 1
            last_heard = now - self._last_heard_at
            logger.warning(
                "paths to replicas lost; using other hosts",
                extra={**states, "last_heard": round(last_heard, 2)},
            )
        else:
            logger.info("paths to replicas are back", extra={"lost": len(self._lost)})

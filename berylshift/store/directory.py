"""The platform's directory: the operators' routes and the list of replicas."""

from typing import Protocol

from berylshift.ids import Revision
from berylshift.messages.replicas import ReplicaChanges, RouteSnapshot
from berylshift.store.interfaces import PlatformError


class HistoryLostError(PlatformError):
    """The store no longer has the changes after the requested revision.

    The whole list must be read again.
    """


class Directory(Protocol):
    """Reads and watches routes and replicas; all calls raise ``PlatformError``."""

    async def read_routes(self) -> RouteSnapshot:
        """Return the routes in force."""

    async def await_routes(self, after: Revision, seconds: float) -> RouteSnapshot:
        """Return newer routes; after ``seconds`` the revision without a table."""

    async def read_replicas(self) -> ReplicaChanges:
        """Return all replicas."""

    async def await_replicas(self, after: Revision, seconds: float) -> ReplicaChanges:
        """Return the changes after a revision; none after ``seconds``."""

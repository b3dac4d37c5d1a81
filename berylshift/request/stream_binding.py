"""Binds a stream to the software version that brought its first event."""

from collections.abc import Callable
from enum import StrEnum

import msgspec

from berylshift.ids import RequestId, ServiceName, SoftwareVersion
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import RoutedRequest
from berylshift.messages.stream_origins import Variant, variant_of
from berylshift.process.directory.pools import Pool
from berylshift.process.streams.origin_loop import OriginLoop
from berylshift.process.streams.origin_search import Evidence, Finding
from berylshift.process.targets.route_history import FormerRoute
from berylshift.version.routes import Route, RouteKind


class ResumedBy(StrEnum):
    """Who resumed a stream: its host at another replica, or its caller."""

    HOST = "host"
    CALLER = "caller"


class VersionMatch(StrEnum):
    """Whether a stream went on at the software version that began it."""

    SAME = "same"
    OTHER = "other"
    UNKNOWN = "unknown"


class Resumption(msgspec.Struct, frozen=True):
    """A stream went on at a replica."""

    by: ResumedBy
    match: VersionMatch


class CannotResumeError(Exception):
    """A stream that a caller resumes can't go on; nothing has run.

    ``has_no_replica``: the version that began it is known, but no replica has it.
    """

    def __init__(self, reason: str, has_no_replica: bool = False):
        """Keep the reason."""
        super().__init__(reason)
        self.has_no_replica = has_no_replica


class StreamBinding:
    """The service and version at which one request may be sent.

    A caller's request that resumes a stream is bound from its start, others from the
    first event that is forwarded. What was read but not forwarded binds nothing.
    """

    def __init__(
        self,
        req: RoutedRequest,
        route: Route,
        pool: Callable[[ServiceName], Pool],
        origins: OriginLoop | None = None,
        former_routes: Callable[[], list[FormerRoute]] = list,
    ):
        """Bind ``req`` to replicas in ``pool``; ``None``: hosts tell no origins.

        ``former_routes`` returns the routes that led the request's path before.
        """
        self._req = req
        self._route = route
        self._pool = pool
        self._origins = origins
        self._former_routes = former_routes
        self.service: ServiceName | None = None
        self.version: SoftwareVersion | None = None
        self.finding: Finding | None = None
        self.told: tuple[str, ...] = ()
        self.resumptions: list[Resumption] = []

    @property
    def is_taken_up(self) -> bool:
        """Return whether the caller resumes a stream that it has events of."""
        if self._route.kind is not RouteKind.STREAM:
            return False
        return self._req.resume_after is not None or self._req.resumes is not None

    @property
    def _is_split(self) -> bool:
        """Return whether the route leads to several services."""
        return len(self._route.shares) > 1

    @property
    def _stream(self) -> RequestId:
        return self._req.resumes or self._req.id

    async def resolve(self) -> None:
        """Bind a stream that the caller resumes; raise ``CannotResumeError``."""
        if self.is_taken_up and self._req.resume_after and not self._route.resumable:
            raise CannotResumeError("streams of this route can't be resumed")
        if not self.is_taken_up or self._origins is None:
            return
        services = [share.service for share in self._route.shares]
        seconds = self._longest_seconds()
        self.finding = await self._origins.find(self._stream, services[0], seconds)
        variant = self.finding.variant
        is_guess = self.finding.evidence is Evidence.SOLE_VERSION
        if variant is None or (is_guess and self._is_split):
            raise CannotResumeError(f"origin not known: {self.finding.evidence}")
        for service in services:
            version = self._version_with(service, variant)
            if version is not None:
                self.service, self.version = service, version
                return
        raise CannotResumeError("no replica of the version that began it", True)

    def _longest_seconds(self) -> float:
        """Return how long ago a stream that is resumed now may have begun."""
        current, former = self._route.resumable_seconds, self._former_routes()
        ended = [(route.resumable_seconds, ago) for route, ago in former]
        return max([current, *(seconds for seconds, ago in ended if ago < seconds)])

    def _version_with(
        self, service: ServiceName, variant: Variant
    ) -> SoftwareVersion | None:
        versions = {rep.version for rep in self._pool(service).decode_engines}
        found = (each for each in versions if variant_of(service, each) == variant)
        return next(found, None)

    def narrow(self, pool: Pool) -> Pool:
        """Return the replicas of a pool to which the request may be sent."""
        if self.version is not None:
            return pool.at_version(self.version)
        if self._route.kind is RouteKind.STREAM and self._route.resumable:
            return pool.for_resumable
        return pool

    def on_first_event(self, replica: Replica) -> None:
        """Record the replica whose event is about to be forwarded as the first one."""
        self.version = replica.version
        if self._origins is None or self._route.kind is not RouteKind.STREAM:
            return
        if self._route.resumable:
            # A caller may come back with the name of any of its tries.
            tries = dict.fromkeys((self._stream, self._req.id))
            told = [self._record(name, replica) for name in tries]
            self.told = tuple(dict.fromkeys(host for hosts in told for host in hosts))

    def _record(self, request: RequestId, replica: Replica) -> tuple[str, ...]:
        return self._origins.record(
            request,
            replica.service,
            replica.version,
            self._is_split,
        )

    def on_complete(self) -> None:
        """Record that the caller has got the stream to its end."""
        if self._origins is not None:
            for name in (self._stream, self._req.id):
                self._origins.on_complete(name)

    def log_fields(self) -> dict[str, object]:
        """Return what the log tells of a stream's begin and of its resumption."""
        found: dict[str, object] = {"began_at": self.version}
        if self.told:
            found["origin_told"] = self.told
        if self.is_taken_up:
            after = self._req.resume_after
            found["resumes"] = self._req.resumes
            found["after"] = None if after is None else after.decode("latin-1")
        if self.finding is not None:
            found["origin"] = self.finding.evidence
            found["origin_asked"] = self.finding.asked
            found["origin_replied"] = self.finding.replied
            found["origin_replies"] = self.finding.replies
            found["origin_own"] = self.finding.own
        return found

    def on_resumed(self, replica: Replica, by: ResumedBy) -> None:
        """Record that ``replica`` sends events of a stream that has begun."""
        if self.version is None:
            match = VersionMatch.UNKNOWN
        elif self.version == replica.version:
            match = VersionMatch.SAME
        else:
            match = VersionMatch.OTHER
        self.resumptions.append(Resumption(by, match))

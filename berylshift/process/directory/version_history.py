"""The software versions of services' replicas that are listed, or were recently."""

from collections.abc import Iterable, Mapping

from berylshift.ids import Revision, ServiceName, SoftwareVersion
from berylshift.messages.replicas import Replica

# Versions that are gone for longer are forgotten, in seconds.
MAX_HORIZON_SECONDS = 600.0


class VersionHistory:
    """Versions by service; times in seconds on the monotonic clock.

    The past is known as far back as the list has followed the store's changes without
    a gap: what a full read replaces may have come and left in between.
    """

    def __init__(self) -> None:
        """Start empty, without a known past."""
        self._known_since: float | None = None
        # The revision of the store from which on all versions are known.
        self.known_from: Revision | None = None
        self._listed: dict[ServiceName, frozenset[SoftwareVersion]] = {}
        self._gone_at: dict[ServiceName, dict[SoftwareVersion, float]] = {}

    def forget_past(self, revision: Revision, now: float) -> bool:
        """Record a full read of the list; return whether a known past was lost."""
        had_past = self.known_from is not None
        self._known_since, self.known_from = now, revision
        return had_past

    @property
    def known_since(self) -> float | None:
        """Return the time since which all versions are known; ``None``: none."""
        return self._known_since

    def extend_past(
        self,
        versions: Mapping[ServiceName, Iterable[SoftwareVersion]],
        revision: Revision,
        since: float,
        now: float,
    ) -> set[ServiceName]:
        """Record that no other ``versions`` were in use from a time to a revision.

        Return the services that had versions which are not listed.
        """
        if self._known_since is None or since >= self._known_since:
            return set()
        self._known_since, self.known_from = since, revision
        return self._record_former(versions, now)

    def observe(self, replicas: Iterable[Replica], now: float) -> set[ServiceName]:
        """Record the listed replicas; return the services with a further version."""
        found = _by_service(replicas)
        if found and self._known_since is None:
            self._known_since = now
        for service in self._listed.keys() - found.keys():
            found[service] = set()
        changed = set()
        for service, versions in found.items():
            former = self._listed.get(service, frozenset())
            if versions == former:
                continue
            self._record_gone(service, former - versions, now)
            if versions - former and former:
                changed.add(service)
            self._listed[service] = frozenset(versions)
        return changed

    def observe_passed(
        self, replicas: Iterable[Replica], now: float
    ) -> set[ServiceName]:
        """Record replicas that came and left; return as ``observe`` does."""
        return self._record_former(_by_service(replicas), now)

    def _record_former(
        self, found: Mapping[ServiceName, Iterable[SoftwareVersion]], now: float
    ) -> set[ServiceName]:
        """Record versions that are in use no more, unless they are listed."""
        changed = set()
        for service, versions in found.items():
            further = set(versions) - self._listed.get(service, frozenset())
            if further:
                self._record_gone(service, further, now)
                changed.add(service)
        return changed

    def _record_gone(
        self, service: ServiceName, versions: Iterable[SoftwareVersion], now: float
    ) -> None:
        gone_at = self._gone_at.setdefault(service, {})
        for version, at in list(gone_at.items()):
            if now - at > MAX_HORIZON_SECONDS:
                del gone_at[version]
        gone_at.update(dict.fromkeys(versions, now))

    def services(self) -> list[ServiceName]:
        """Return the services that have had replicas."""
        return list(self._listed)

    def versions(
        self, service: ServiceName, seconds: float, now: float
    ) -> frozenset[SoftwareVersion]:
        """Return the versions that were listed in the last ``seconds``."""
        gone_at = self._gone_at.get(service, {})
        recent = {version for version, at in gone_at.items() if now - at < seconds}
        return self._listed.get(service, frozenset()) | recent

    def is_complete(self, seconds: float, now: float) -> bool:
        """Return whether the versions of the last ``seconds`` are all known."""
        return self._known_since is not None and now - self._known_since >= seconds


def _by_service(
    replicas: Iterable[Replica],
) -> dict[ServiceName, set[SoftwareVersion]]:
    found: dict[ServiceName, set[SoftwareVersion]] = {}
    for replica in replicas:
        found.setdefault(replica.service, set()).add(replica.version)
    return found

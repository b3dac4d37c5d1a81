"""How likely the KV handles of each prefill engine are to last until they are fetched.

The handles of an engine are lost together: for seconds all of them expire at once, and
then none. Each host therefore counts the handles that were fetched and those that were
lost, with a half-life of a second, and sends its counts for engines that lost any to
the other hosts. A digest replaces the counts of the former one of its sender, so a
repeated digest counts once, and after a lost digest the former counts only decay.
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from berylshift.ids import InstanceId
from berylshift.messages.load_digest import (
    HandleCounts,
    LoadDigest,
    Scope,
    target_hash,
)

logger = logging.getLogger(__name__)

# An engine that lost a handle is left out for about two seconds, and one that lost
# several at most hosts for about four: then a single prompt tries it again.
HALF_LIFE_SECONDS = 1.0
# Counts of one host. A host that loses ten handles at once would otherwise keep an
# engine unused for seconds longer than one that loses two.
MAX_COUNT = 2.0
# Uses that count for an engine without any. Earlier uses say little about an engine
# whose handles have begun to expire: one loss must outweigh them.
PRIOR_USES = 0.5
MAX_USES = 1.0
# Engines whose handles last with a lower likelihood are not trusted.
MIN_LIKELIHOOD = 0.7
# Smaller counts neither are sent nor count.
MIN_COUNT = 0.125
# Engines in one digest: 6 bytes each.
MAX_ENTRIES = 24
# A new loss is sent for this long, in three datagrams: one or two may be lost.
SEND_SECONDS = 0.25
# A digest with a lower number is an older one, unless its sender was silent for this
# long: a restarted process numbers its digests from the beginning.
REORDER_SECONDS = 0.6
# By then any count has decayed below the smallest one.
MEMORY_SECONDS = 8 * HALF_LIFE_SECONDS
# How often it is checked which engines are trusted again.
CHECK_SECONDS = 0.05


@dataclass
class _Counts:
    """Handles that were fetched and lost, as of ``at``."""

    uses: float = 0.0
    losses: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        """Reduce the counts by their age."""
        if now > self.at:
            factor = 0.5 ** ((now - self.at) / HALF_LIFE_SECONDS)
            self.uses *= factor
            self.losses *= factor
            self.at = now

    @property
    def is_empty(self) -> bool:
        """Return whether too little is left to count."""
        return self.uses < MIN_COUNT and self.losses < MIN_COUNT


Counts = dict[int, _Counts]


@dataclass
class _Sender:
    """The counts in the newest digest of one sender."""

    sequence: int
    received_at: float
    counts: Counts


class HandleLosses:
    """Counts by engine, of this host and of others; times in seconds."""

    def __init__(
        self,
        host: str = "",
        domain: str = "",
        instance_of: Callable[[int], InstanceId | None] = lambda target: None,
    ):
        """Leave out digests of ``host`` itself, which is in ``domain``.

        ``instance_of`` finds an engine by its short hash, for the log.
        """
        self._instance_of = instance_of
        self._host = host
        self._domain = domain
        self._own: Counts = {}
        self._hosts: dict[str, _Sender] = {}
        self._domains: dict[str, _Sender] = {}
        self._total: _Sender | None = None
        self._lost_at = float("-inf")
        self._used_at: dict[int, float] = {}
        self._untrusted: frozenset[int] = frozenset()
        # Until when a loss that this host or another one saw may count.
        self._losses_until = float("-inf")
        self._checked_at = float("-inf")
        # Whether counts have changed since. A collector receives hundreds of digests a
        # second, and places few prompts.
        self._has_changed = False
        self._dropped_at = float("-inf")

    # Own attempts

    def record_use(self, engine: InstanceId, now: float) -> None:
        """Record that a handle of an engine was fetched."""
        counts = self._own_counts(engine, now)
        counts.uses = min(MAX_COUNT, counts.uses + 1)
        self._used_at[target_hash(engine)] = now
        if now - self._dropped_at >= MEMORY_SECONDS:
            self._drop_decayed(now)
        self._has_changed = True

    def record_loss(self, engine: InstanceId, now: float) -> None:
        """Record that a handle of an engine was gone before it was fetched."""
        counts = self._own_counts(engine, now)
        counts.losses = min(MAX_COUNT, counts.losses + 1)
        self._lost_at = now
        self._losses_until = now + MEMORY_SECONDS
        self._check(now)

    def _own_counts(self, engine: InstanceId, now: float) -> _Counts:
        counts = self._own.setdefault(target_hash(engine), _Counts(at=now))
        counts.decay(now)
        return counts

    def used_since(self, engine: InstanceId, since: float) -> bool:
        """Return whether this host saw a handle of an engine fetched since a time."""
        return self._used_at.get(target_hash(engine), float("-inf")) >= since

    # Other hosts

    def receive(self, digest: LoadDigest, uses_collectors: bool, now: float) -> None:
        """Replace the counts of a digest's sender, unless a newer digest is known."""
        if digest.host == self._host:
            return
        if digest.scope is Scope.ALL_HOSTS:
            self._total = _replaced(self._total, digest, now)
        elif digest.scope is Scope.DOMAIN:
            if digest.domain != self._domain:
                self._replace(self._domains, digest.domain, digest, now)
        elif not (uses_collectors and digest.domain != self._domain):
            self._replace(self._hosts, digest.host, digest, now)
        if digest.handles:
            self._losses_until = now + MEMORY_SECONDS
            self._has_changed = True

    def _replace(
        self, senders: dict[str, _Sender], name: str, digest: LoadDigest, now: float
    ) -> None:
        known = senders.get(name)
        if known is not None or digest.handles:
            senders[name] = _replaced(known, digest, now)

    def counts_to_send(self, scope: Scope, now: float) -> tuple[HandleCounts, ...]:
        """Return the counts for a digest of a scope, the highest losses first.

        Only engines that lost handles are included, so that nothing is sent while no
        handle is lost.
        """
        if now >= self._losses_until:
            return ()
        if scope is Scope.HOST:
            found = self._sum([self._own], now)
        else:
            found = self._sum(self._direct(scope), now)
        due = [
            HandleCounts(target, counts.uses, counts.losses)
            for target, counts in found.items()
            if not counts.is_empty and self._loss_count(target, now) >= MIN_COUNT
        ]
        due.sort(key=lambda counts: counts.losses, reverse=True)
        return tuple(due[:MAX_ENTRIES])

    def has_updates(self, now: float) -> bool:
        """Return whether a loss is new and must be sent with the next digest."""
        return now - self._lost_at < SEND_SECONDS

    # Estimates

    def likelihood(self, engine: InstanceId, now: float) -> float:
        """Return how likely a handle of an engine is to last until it is fetched."""
        return self._likelihood(target_hash(engine), now)

    def untrusted(self, now: float) -> frozenset[int]:
        """Return the engines whose handles probably don't last, by short hash."""
        is_old = bool(self._untrusted) and now - self._checked_at >= CHECK_SECONDS
        if is_old or self._has_changed:
            self._check(now)
        return self._untrusted

    def _likelihood(self, target: int, now: float) -> float:
        uses, losses = self._counts_of(target, now)
        if losses < MIN_COUNT:
            return 1.0
        uses = min(MAX_USES, uses) + PRIOR_USES
        return uses / (uses + losses)

    def _loss_count(self, target: int, now: float) -> float:
        return self._counts_of(target, now)[1]

    def _counts_of(self, target: int, now: float) -> tuple[float, float]:
        """Return uses and losses at all hosts.

        A collector's total includes this host's counts and those of hosts that this
        host hears from, as of a short time ago: the higher figure is used.
        """
        uses = losses = 0.0
        for counts in self._direct(Scope.ALL_HOSTS):
            if target in counts:
                counts[target].decay(now)
                uses += counts[target].uses
                losses += counts[target].losses
        if self._total is not None and target in self._total.counts:
            total = self._total.counts[target]
            total.decay(now)
            uses, losses = max(uses, total.uses), max(losses, total.losses)
        return uses, losses

    def _direct(self, scope: Scope) -> list[Counts]:
        """Return the counts of this host and of those it hears from itself."""
        found = [self._own, *(sender.counts for sender in self._hosts.values())]
        if scope is Scope.ALL_HOSTS:
            found += [sender.counts for sender in self._domains.values()]
        return found

    def _sum(self, parts: Iterable[Counts], now: float) -> Counts:
        found: Counts = {}
        for part in parts:
            for target, counts in part.items():
                counts.decay(now)
                total = found.setdefault(target, _Counts(at=now))
                total.uses += counts.uses
                total.losses += counts.losses
        return found

    def _check(self, now: float) -> None:
        """Update the engines that aren't trusted, and log each change."""
        self._checked_at = now
        self._has_changed = False
        if now >= self._losses_until and not self._untrusted:
            return
        self._drop_decayed(now)
        suspects = {
            target
            for counts in self._all_counts()
            for target, found in counts.items()
            if found.losses
        }
        untrusted = frozenset(
            target
            for target in suspects
            if self._likelihood(target, now) < MIN_LIKELIHOOD
        )
        for target in untrusted - self._untrusted:
            uses, losses = self._counts_of(target, now)
            logger.info(
                "KV handles are lost",
                extra={
                    "instance": self._instance_of(target) or f"{target:08x}",
                    "uses": round(uses, 2),
                    "losses": round(losses, 2),
                },
            )
        for target in self._untrusted - untrusted:
            logger.info(
                "KV handles are used again",
                extra={"instance": self._instance_of(target) or f"{target:08x}"},
            )
        self._untrusted = untrusted

    def _drop_decayed(self, now: float) -> None:
        self._dropped_at = now
        for part in self._all_counts():
            for target, counts in list(part.items()):
                counts.decay(now)
                if counts.is_empty:
                    del part[target]
        old = now - MEMORY_SECONDS
        self._used_at = {key: at for key, at in self._used_at.items() if at > old}

    def _all_counts(self) -> list[Counts]:
        found = self._direct(Scope.ALL_HOSTS)
        return found if self._total is None else [*found, self._total.counts]

    def forget(self, engine: InstanceId) -> None:
        """Remove an engine that is gone."""
        target = target_hash(engine)
        for part in self._all_counts():
            part.pop(target, None)
        self._used_at.pop(target, None)
        self._untrusted -= {target}

    def __len__(self) -> int:
        """Return how many engines this host has counts of."""
        return len(self._own)


def _replaced(known: _Sender | None, digest: LoadDigest, now: float) -> _Sender:
    """Return the counts of a digest, or the known ones if the digest is older."""
    is_recent = known is not None and now - known.received_at < REORDER_SECONDS
    if known is not None and is_recent and digest.sequence <= known.sequence:
        return known
    counts = {
        entry.target: _Counts(entry.uses, entry.losses, now) for entry in digest.handles
    }
    return _Sender(digest.sequence, now, counts)

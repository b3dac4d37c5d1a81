"""Counts of started requests: of this host, of other hosts, and by failure domain.

A host's counts go to all hosts that receive its digests. Where collectors are used,
each domain's collector adds up the counts of its hosts and sends the sums to the other
collectors. If a host fails, only the counts that it hasn't sent to any host are lost.
"""

from collections.abc import Iterable

from berylshift.ids import CustomerName
from berylshift.messages.usage import (
    CustomerCount,
    RunCount,
    UsageReport,
    customer_hash,
)
from berylshift.process.usage.counter_gossip import CounterGossip
from berylshift.process.usage.windows import UsageWindows

# How long a host announces that it has reported a window.
DONE_ANNOUNCE_SECONDS = 1.0
# Windows before the current one whose counts are kept while nobody reports them.
WINDOWS_KEPT = 8


class UsageCounts:
    """Counts of all hosts, as far as this host has received them."""

    def __init__(self, windows: UsageWindows, host: str, domain: str, start: int):
        """Count for ``host`` in ``domain``; ``start`` identifies this process."""
        self._windows = windows
        self._host = host
        self._domain = domain
        self.start = start
        self._own = CounterGossip()
        self._domain_sum = CounterGossip()
        self._hosts: dict[tuple[str, str, int], CounterGossip] = {}
        self._domains: dict[str, CounterGossip] = {}
        self._names: dict[int, CustomerName] = {}
        # The last window known to need no report any more.
        self.last_done = 0
        # Whether this host reported that window.
        self.reported_last = False
        self._announce_done_until = float("-inf")

    def add_names(self, names: Iterable[CustomerName]) -> None:
        """Keep the names behind hashes; customers may be removed before a report."""
        for name in names:
            self._names[customer_hash(name)] = name

    def record_start(self, customer: CustomerName, at: float) -> None:
        """Count a request that started to run at ``at``, in Unix seconds."""
        if not self._windows.are_reported:
            return
        window, key = self._windows.window_at(at), customer_hash(customer)
        self._names[key] = customer
        count = self._own.count(window, key) + 1
        self._own.raise_to(window, key, count)
        added = self._domain_sum.count(window, key) + 1
        self._domain_sum.raise_to(window, key, added)

    def merge_host(
        self, host: str, domain: str, start: int, counts: tuple[RunCount, ...]
    ) -> None:
        """Merge the counts of one process of another host."""
        if host == self._host or not counts:
            return
        counters = self._hosts.setdefault((domain, host, start), CounterGossip())
        for received in counts:
            previous = counters.count(received.window, received.customer)
            if received.window <= self.last_done or received.count <= previous:
                continue
            counters.raise_to(received.window, received.customer, received.count)
            if domain == self._domain:
                known = self._domain_sum.count(received.window, received.customer)
                added = known + received.count - previous
                self._domain_sum.raise_to(received.window, received.customer, added)

    def merge_domain(self, domain: str, counts: Iterable[RunCount]) -> None:
        """Merge the sums of another domain's hosts."""
        if domain == self._domain:
            return
        counters = self._domains.setdefault(domain, CounterGossip())
        for received in counts:
            if received.window > self.last_done:
                counters.raise_to(received.window, received.customer, received.count)

    def has_updates(self, now: float) -> bool:
        """Return whether this host has own counts, or a done window, to send."""
        return self._own.has_updates(now) or now < self._announce_done_until

    def done_to_announce(self, now: float) -> int:
        """Return the last done window if this host has to announce it, otherwise 0."""
        return self.last_done if now < self._announce_done_until else 0

    def resend_own_counts(self) -> None:
        """Send all own counts anew, to the hosts that collect them now."""
        self._own.resend_all()

    def take_own_counts(self, now: float) -> tuple[RunCount, ...]:
        """Return the own counts to send now."""
        return self._own.take_due(now)

    def take_domain_counts(self, now: float) -> tuple[RunCount, ...]:
        """Return the sums of this domain to send now."""
        return self._domain_sum.take_due(now)

    def report(self, window: int) -> UsageReport:
        """Return the known counts of a window.

        For another domain, both its collector's sum and counts of its hosts may be
        known. Each covers a part of the requests that started there, so the higher of
        the two is used.
        """
        totals: dict[int, int] = {}
        for domain in self._known_domains():
            for customer, count in self._counts_of_domain(domain, window).items():
                totals[customer] = totals.get(customer, 0) + count
        counts = [
            CustomerCount(self._names[customer], count)
            for customer, count in totals.items()
            if customer in self._names
        ]
        counts.sort(key=lambda item: item.customer)
        return UsageReport(window, tuple(counts))

    def _known_domains(self) -> set[str]:
        of_hosts = {domain for domain, _, _ in self._hosts}
        return {self._domain, *of_hosts, *self._domains}

    def _counts_of_domain(self, domain: str, window: int) -> dict[int, int]:
        if domain == self._domain:
            return self._domain_sum.counts_in(window)
        sums: dict[int, int] = {}
        for (host_domain, _, _), counters in self._hosts.items():
            if host_domain == domain:
                for customer, count in counters.counts_in(window).items():
                    sums[customer] = sums.get(customer, 0) + count
        collected = self._domains.get(domain)
        for customer, count in (
            collected.counts_in(window) if collected else {}
        ).items():
            sums[customer] = max(sums.get(customer, 0), count)
        return sums

    def mark_reported(self, window: int, now: float) -> None:
        """Record that this host has reported a window, or that nobody can any more.

        It is announced to the other hosts; ``now`` is on the monotonic clock.
        """
        self.mark_done(window)
        self.reported_last = True
        self._announce_done_until = now + DONE_ANNOUNCE_SECONDS

    def mark_done(self, window: int) -> None:
        """Record that a window and all earlier ones need no report any more."""
        if window > self.last_done:
            self.last_done = window
            self.reported_last = False
            self._drop_through(window)

    def drop_old(self, now: float) -> None:
        """Drop windows that nobody has reported; ``now`` in Unix seconds.

        They are not marked as done: a host with a wrong clock would otherwise convince
        all others that there is nothing left to report.
        """
        if self._windows.are_reported:
            self._drop_through(self._windows.window_at(now) - WINDOWS_KEPT)

    def _drop_through(self, window: int) -> None:
        for counters in (self._own, self._domain_sum, *self._domains.values()):
            counters.drop_through(window)
        for counters in self._hosts.values():
            counters.drop_through(window)
        self._hosts = {
            key: of_host for key, of_host in self._hosts.items() if len(of_host)
        }

"""What is known of requests that began to run: by this host, by others, by domain.

A host's counts go to all hosts that hear its digests. Where hosts are gathered, each
domain's collector adds its hosts up and tells the other collectors. A host that ends
takes along only what it had told nobody.
"""

from collections.abc import Iterable

from berylshift.ids import CustomerName
from berylshift.messages.usage import (
    CustomerCount,
    RunCount,
    UsageReport,
    customer_hash,
)
from berylshift.process.usage.counter_gossip import CountTelling
from berylshift.process.usage.windows import UsageWindows

# For how long a host tells that it has reported a window, in seconds.
DONE_TOLD_SECONDS = 1.0
# Windows for which counts are kept beyond those that are reported.
WINDOWS_KEPT = 8


class UsageBook:
    """Counts of all hosts, as far as this one has heard."""

    def __init__(self, windows: UsageWindows, host: str, domain: str, start: int):
        """Count for ``host`` in ``domain``; ``start`` names this process."""
        self._windows = windows
        self._host = host
        self._domain = domain
        self.start = start
        self._own = CountTelling()
        self._domain_sum = CountTelling()
        self._hosts: dict[tuple[str, str, int], CountTelling] = {}
        self._domains: dict[str, CountTelling] = {}
        self._names: dict[int, CustomerName] = {}
        # The last window that is over and done with, as far as is known.
        self.done = 0
        # Whether this host was the one that reported it.
        self.reported_last = False
        self._done_told_until = float("-inf")

    def learn_names(self, names: Iterable[CustomerName]) -> None:
        """Keep the names that hashes stand for; customers may leave before a report."""
        for name in names:
            self._names[customer_hash(name)] = name

    def began(self, customer: CustomerName, at: float) -> None:
        """Count a request that began to run at ``at``, in Unix seconds."""
        if not self._windows.are_reported:
            return
        window, key = self._windows.at(at), customer_hash(customer)
        self._names[key] = customer
        count = self._own.count(window, key) + 1
        self._own.raise_to(window, key, count)
        added = self._domain_sum.count(window, key) + 1
        self._domain_sum.raise_to(window, key, added)

    def hear_host(
        self, host: str, domain: str, start: int, counts: tuple[RunCount, ...]
    ) -> None:
        """Take over what one start of a host counted."""
        if host == self._host or not counts:
            return
        found = self._hosts.setdefault((domain, host, start), CountTelling())
        for told in counts:
            former = found.count(told.window, told.customer)
            if told.window <= self.done or told.count <= former:
                continue
            found.raise_to(told.window, told.customer, told.count)
            if domain == self._domain:
                known = self._domain_sum.count(told.window, told.customer)
                added = known + told.count - former
                self._domain_sum.raise_to(told.window, told.customer, added)

    def hear_domain(self, domain: str, counts: Iterable[RunCount]) -> None:
        """Take over the sum of another domain's hosts."""
        if domain == self._domain:
            return
        found = self._domains.setdefault(domain, CountTelling())
        for told in counts:
            if told.window > self.done:
                found.raise_to(told.window, told.customer, told.count)

    def has_news(self, now: float) -> bool:
        """Return whether this host has counts of its own, or a report, to tell."""
        return self._own.has_news(now) or now < self._done_told_until

    def done_told(self, now: float) -> int:
        """Return the last window done if this host has to tell it; 0: it has not."""
        return self.done if now < self._done_told_until else 0

    def tell_all_again(self) -> None:
        """Have this host's counts told anew to whoever gathers them now."""
        self._own.tell_all_again()

    def own_told(self, now: float) -> tuple[RunCount, ...]:
        """Return this host's counts that are told now."""
        return self._own.take(now)

    def domain_told(self, now: float) -> tuple[RunCount, ...]:
        """Return this domain's sums that are told now."""
        return self._domain_sum.take(now)

    def report(self, window: int) -> UsageReport:
        """Return what is known of a window.

        Of another domain, both its collector's sum and what its hosts told may be
        known; each is a part of what began there, so the higher one counts.
        """
        totals: dict[int, int] = {}
        for domain in self._known_domains():
            for customer, count in self._of_domain(domain, window).items():
                totals[customer] = totals.get(customer, 0) + count
        counts = [
            CustomerCount(self._names[customer], count)
            for customer, count in totals.items()
            if customer in self._names
        ]
        counts.sort(key=lambda found: found.customer)
        return UsageReport(window, tuple(counts))

    def _known_domains(self) -> set[str]:
        told = {domain for domain, _, _ in self._hosts}
        return {self._domain, *told, *self._domains}

    def _of_domain(self, domain: str, window: int) -> dict[int, int]:
        if domain == self._domain:
            return self._domain_sum.of_window(window)
        sums: dict[int, int] = {}
        for (found, _, _), counts in self._hosts.items():
            if found == domain:
                for customer, count in counts.of_window(window).items():
                    sums[customer] = sums.get(customer, 0) + count
        told = self._domains.get(domain)
        for customer, count in (told.of_window(window) if told else {}).items():
            sums[customer] = max(sums.get(customer, 0), count)
        return sums

    def reported(self, window: int, now: float) -> None:
        """Note that this host has reported a window, or found that nobody can.

        The others are told; ``now`` is on the monotonic clock.
        """
        self.note_done(window)
        self.reported_last = True
        self._done_told_until = now + DONE_TOLD_SECONDS

    def note_done(self, window: int) -> None:
        """Note that a window and all before it are over and done with."""
        if window > self.done:
            self.done = window
            self.reported_last = False
            self._forget_through(window)

    def forget_old(self, now: float) -> None:
        """Forget windows that nobody reported; ``now`` in Unix seconds.

        They are not called done: a host whose clock is wrong would have all others
        believe that there is nothing left to report.
        """
        if self._windows.are_reported:
            self._forget_through(self._windows.at(now) - WINDOWS_KEPT)

    def _forget_through(self, window: int) -> None:
        for counts in (self._own, self._domain_sum, *self._domains.values()):
            counts.forget_through(window)
        for counts in self._hosts.values():
            counts.forget_through(window)
        self._hosts = {key: found for key, found in self._hosts.items() if len(found)}

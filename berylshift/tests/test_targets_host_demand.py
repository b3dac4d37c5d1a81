"""Tests of shares of replicas' limits that follow hosts' rates of requests."""

import random
import unittest

from berylshift.messages.load_digest import LoadDigest, Scope
from berylshift.process.targets.host_demand import SETTLE_SECONDS, HostDemand
from berylshift.store.host_rows import HostRecord

HOSTS = tuple(f"host-{number}" for number in range(4))
RECORDS = [HostRecord(name, "10.1.0.1:7380") for name in HOSTS]
STEP_SECONDS = 0.05


class Fleet:
    """Hosts that announce their rates to each other, late and with losses."""

    def __init__(self, seed: int, lag_seconds: float = 0.4, loss: float = 0.2):
        """Deliver digests within ``lag_seconds``, and lose a share of them."""
        self.rng = random.Random(seed)
        self.lag_seconds = lag_seconds
        self.loss = loss
        self.now = 0.0
        self.hosts = {name: HostDemand(name, lambda: True) for name in HOSTS}
        self.cut: set[str] = set()
        self.in_transit: list[tuple[float, str, LoadDigest]] = []

    def step(self, rates: list[float]) -> list[float]:
        """Let requests arrive, send digests; return the hosts' shares."""
        self.now += STEP_SECONDS
        for name, rate in zip(HOSTS, rates, strict=True):
            if self.rng.random() < rate * STEP_SECONDS:
                self.hosts[name].record_request(self.now)
            if self.rng.random() < STEP_SECONDS / 0.15:
                self._announce(name)
        self._deliver()
        return [host.fraction(RECORDS, self.now) for host in self.hosts.values()]

    def _announce(self, name: str) -> None:
        rate = self.hosts[name].rate_to_send(self.now)
        digest = LoadDigest(name, 1, (), scope=Scope.HOST, request_rate=rate)
        for other in HOSTS:
            is_cut = name in self.cut or other in self.cut
            if other != name and not is_cut and self.rng.random() >= self.loss:
                at = self.now + self.rng.uniform(0, self.lag_seconds)
                self.in_transit.append((at, other, digest))

    def _deliver(self) -> None:
        due = [item for item in self.in_transit if item[0] <= self.now]
        self.in_transit = [item for item in self.in_transit if item[0] > self.now]
        for _, other, digest in due:
            self.hosts[other].receive(digest, self.now)

    def run(self, rates: list[float], seconds: float) -> list[list[float]]:
        """Return the shares at each step."""
        return [self.step(rates) for _ in range(int(seconds / STEP_SECONDS))]


class HostDemandTest(unittest.TestCase):
    """Shares of four hosts."""

    def test_shares_follow_the_requests(self):
        """Guards against a limit that goes unused at hosts without requests."""
        fleet = Fleet(1)
        fleet.run([10, 10, 10, 10], 5)
        shares = fleet.run([19, 0.3, 0.3, 0.3], 5)[-1]
        self.assertGreater(shares[0], 0.5)
        shares = fleet.run([0.3, 0.3, 19, 0.3], 5)[-1]
        self.assertGreater(shares[2], 0.5)
        self.assertLess(shares[0], 0.25)

    def test_shares_never_exceed_the_limit(self):
        """Guards against hosts that grow their shares before others have heard."""
        for seed in range(20):
            fleet = Fleet(seed)
            rng = random.Random(seed)
            fleet.run([5, 5, 5, 5], SETTLE_SECONDS + 1)
            for _ in range(10):
                rates = [rng.choice((0, 0.5, 5, 19)) for _ in HOSTS]
                for shares in fleet.run(rates, rng.uniform(0.3, 4)):
                    self.assertLessEqual(sum(shares), 1.001, seed)

    def test_a_host_that_is_not_heard_of_keeps_its_even_share(self):
        """Guards against a share that was taken from a host that is cut off."""
        fleet = Fleet(1)
        fleet.run([10, 10, 10, 10], 4)
        fleet.cut = {HOSTS[3]}
        shares = fleet.run([10, 10, 10, 10], 6)[-1]
        self.assertLessEqual(max(shares), 0.25)
        shares = fleet.run([19, 0.3, 0.3, 19], 6)[-1]
        self.assertLessEqual(max(shares), 0.25)

    def test_shares_are_even_at_first(self):
        """Guards against hosts without any share as a limit begins."""
        fleet = Fleet(1)
        self.assertEqual(fleet.step([10, 10, 10, 10]), [0.25] * 4)


if __name__ == "__main__":
    unittest.main()

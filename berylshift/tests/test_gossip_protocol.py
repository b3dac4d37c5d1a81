"""What a host tells, and whom, by how many hosts there are."""

import unittest

from berylshift.messages.load_digest import BlockPrefill, LoadDigest, Scope, Urgency
from berylshift.process.directory.expected_phases import ExpectedPhases
from berylshift.process.directory.store_watch import StoreWatch
from berylshift.process.gossip.digest_builder import DigestParts
from berylshift.process.gossip.election import rank
from berylshift.process.gossip.host_list import HostList
from berylshift.process.gossip.peer_loads import PeerLoads
from berylshift.process.gossip.protocol import SUM_SECONDS, Role, Teller
from berylshift.process.quarantine.quarantine import Quarantine
from berylshift.process.targets.target_load import TargetLoads
from berylshift.process.targets.warm_parts import WarmParts
from berylshift.store.host_rows import HostRecord
from berylshift.tests.support import no_limits
from berylshift.tests.usage_support import no_usage

BYTE_BUDGET = 16_384
DOMAINS = 3
FEW, MANY = 9, 60
# The last one in the order of all: whatever others are heard, they come before it.
ME = max((f"host-{number}" for number in range(MANY)), key=rank)


class TellerTest(unittest.TestCase):
    """One host of few or of many, without a network or a clock."""

    def make(self, count: int, me: str = ME) -> Teller:
        names = [f"host-{number}" for number in range(count)]
        records = [
            HostRecord(name, f"address of {name}", f"domain-{at % DOMAINS}")
            for at, name in enumerate(names)
        ]
        self.domain = next((r.domain for r in records if r.host == me), "domain-0")
        self.hosts = HostList(me, self.domain)
        self.hosts.replace(records, 0.0)
        self.loads = TargetLoads()
        self.roles: list[tuple[Role, bool]] = []
        parts = DigestParts(
            me,
            self.domain,
            self.loads,
            PeerLoads(me, self.domain),
            WarmParts(),
            ExpectedPhases(),
            StoreWatch(4.0, lambda: 0.0),
            Quarantine(1.2),
            no_usage(),
            no_limits(),
        )
        return Teller(
            parts,
            self.hosts,
            BYTE_BUDGET,
            lambda role, holds: self.roles.append((role, holds)),
        )

    def hear_sum(self, teller: Teller, sender: str, domain: str, now: float) -> None:
        digest = LoadDigest(sender, 1, (), scope=Scope.FLEET, domain=domain)
        teller.hear(digest, now)

    def neighbour(self) -> str:
        return self.hosts.neighbours()[0].host

    def test_few_hosts_tell_all_others(self):
        teller = self.make(FEW)
        self.loads.sent("engine-1", 1600, Urgency.USUAL)
        found = teller.due(0.0)
        self.assertFalse(teller.is_gathered)
        self.assertEqual(len(found[0].addresses), len(self.hosts))

    def test_one_of_many_tells_its_collector_alone(self):
        teller = self.make(MANY)
        self.assertTrue(teller.is_gathered)
        teller.due(0.0)
        self.hear_sum(teller, self.neighbour(), self.domain, 0.5)
        self.loads.sent("engine-1", 1600, Urgency.USUAL)
        found = teller.due(0.6)
        wanted = [f"address of {self.neighbour()}"]
        self.assertEqual([each.addresses for each in found], [wanted])
        self.assertEqual(found[0].digest.scope, Scope.HOST)

    def test_a_host_that_starts_greets_its_domain(self):
        """No collector knows it yet: the first word goes to all that may be one."""
        teller = self.make(MANY)
        found = teller.due(0.0)
        self.assertEqual(len(found[0].addresses), len(self.hosts.neighbours()))

    def test_where_nobody_collects_a_host_does_after_a_while(self):
        teller = self.make(MANY)
        teller.due(0.0)
        domain_sum, fleet_sum = teller.due(10.0)
        self.assertEqual(domain_sum.digest.scope, Scope.DOMAIN)
        self.assertEqual(fleet_sum.digest.scope, Scope.FLEET)
        self.assertEqual(len(fleet_sum.addresses), len(self.hosts.neighbours()))
        self.assertIn((Role.COLLECTOR, True), self.roles)
        self.assertEqual(teller.interval, SUM_SECONDS)

    def test_a_collector_finds_those_of_domains_that_it_has_not_heard(self):
        """It begins knowing none; the first in the order may be long gone."""
        teller = self.make(MANY)
        teller.due(0.0)
        told: set[str] = set()
        for step in range(MANY):
            told.update(teller.due(10.0 + step * SUM_SECONDS)[0].addresses)
        others = self.hosts.other_domains().values()
        self.assertEqual(told, {rec.address for recs in others for rec in recs})

    def test_a_collector_passes_on_what_its_hosts_read_once(self):
        teller = self.make(MANY)
        teller.due(0.0)
        teller.due(10.0)
        read = BlockPrefill(1, 2, 4000)
        for sequence in (1, 2):
            digest = LoadDigest(
                self.neighbour(), sequence, (), (read,), domain=self.domain
            )
            teller.hear(digest, 10.1)
        first, again = teller.due(10.2), teller.due(10.4)
        self.assertEqual([each.digest.prefills for each in first], [(read,)] * 2)
        self.assertEqual([each.digest.prefills for each in again], [()] * 2)

    def test_idle_until_work_comes(self):
        teller = self.make(MANY)
        teller.due(0.0)
        self.assertTrue(teller.is_idle(0.1))
        self.loads.sent("engine-1", 0, Urgency.USUAL)
        self.assertFalse(teller.is_idle(0.2))


if __name__ == "__main__":
    unittest.main()

"""Tests of the decisions on paths to replicas, and of attempts that race."""

import random
import unittest

import trio

from berylshift.ids import HostName
from berylshift.process.paths.connection_race import STAGGER_SECONDS, ConnectionRace
from berylshift.process.paths.replica_paths import (
    CHECK_ALL_SECONDS,
    LIFE_SECONDS,
    RECHECK_SECONDS,
    UNREACHED_SECONDS,
    WITNESS_SECONDS,
    PathState,
    ReplicaPaths,
    Route,
)
from berylshift.process.paths.tunnel_hosts import (
    AVOID_SECONDS,
    MAX_ASKED,
    TunnelHosts,
)
from berylshift.store.host_rows import HostRecord
from berylshift.tests.socket_world import SimulatedSocket, socket_pair
from berylshift.tests.support import VirtualTestCase

A, B, C = "10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"


class ReplicaPathsTest(unittest.TestCase):
    """What a host concludes for each address, and when it checks."""

    def setUp(self):
        self.silent = []
        self.listed = [A, B, C]
        self.paths = ReplicaPaths(lambda: self.listed, self.silent.append)

    def test_lost_path_is_used_through_tunnels_until_it_is_back(self):
        """Guards against direct attempts on a lost path, and tunnels on a sound one."""
        self.assertIs(self.paths.first_route(A), Route.DIRECT)
        self.paths.record_lost(A, PathState.REFUSED, 1.0)
        self.assertIs(self.paths.first_route(A), Route.TUNNEL)
        self.assertIs(self.paths.first_route(B), Route.DIRECT)
        self.assertTrue(self.paths.record_direct(A, 2.0))
        self.assertFalse(self.paths.record_direct(A, 2.0))
        self.assertIs(self.paths.first_route(A), Route.DIRECT)

    def test_only_silent_paths_lose_their_connections(self):
        """Guards against connections closed although they go on."""
        self.paths.record_lost(A, PathState.REFUSED, 1.0)
        self.paths.record_lost(B, PathState.SILENT, 1.0)
        self.paths.record_lost(B, PathState.SILENT, 2.0)
        self.assertEqual(self.silent, [B])
        self.assertTrue(self.paths.may_reuse(A))
        self.assertFalse(self.paths.may_reuse(B))
        self.paths.record_lost(A, PathState.SILENT, 3.0)
        self.assertEqual(self.silent, [B, A])

    def test_host_is_cut_off_once_most_paths_are_lost(self):
        """Guards against a host that gives orders to engines it does not reach."""
        self.paths.record_lost(A, PathState.SILENT, 1.0)
        self.assertFalse(self.paths.is_cut_off())
        self.assertTrue(self.paths.is_cut_off([A]))
        with self.assertLogs("berylshift.process.paths.replica_paths", "INFO") as logs:
            self.paths.record_lost(B, PathState.REFUSED, 1.0)
            self.assertTrue(self.paths.is_cut_off())
            self.paths.record_lost(C, PathState.REFUSED, 1.0)
            self.paths.record_direct(B, 2.0)
            self.paths.record_direct(C, 2.0)
        self.assertFalse(self.paths.is_cut_off())
        self.assertEqual(len(logs.records), 2)
        self.assertFalse(ReplicaPaths(lambda: []).is_cut_off())

    def test_rechecks_are_bounded(self):
        """Guards against a connection attempt on a lost path for each request."""
        self.assertFalse(self.paths.take_recheck(A, 1.0))
        self.paths.record_lost(A, PathState.SILENT, 1.0)
        self.assertFalse(self.paths.take_recheck(A, 1.0 + RECHECK_SECONDS / 2))
        self.assertTrue(self.paths.take_recheck(A, 1.0 + RECHECK_SECONDS))
        self.assertFalse(self.paths.take_recheck(A, 1.1 + RECHECK_SECONDS))

    def test_checks_are_bounded(self):
        """Guards against new connections to replicas that were just heard from."""
        self.paths.record_life(A, 1.0)
        self.assertFalse(self.paths.take_check(A, 1.0 + LIFE_SECONDS / 2))
        self.assertTrue(self.paths.take_check(A, 1.0 + LIFE_SECONDS))
        self.assertFalse(self.paths.take_check(A, 1.1 + LIFE_SECONDS))
        self.paths.record_lost(B, PathState.SILENT, 1.0)
        self.assertFalse(self.paths.take_check(B, 9.0))
        self.assertTrue(self.paths.take_check_all(1.0))
        self.assertFalse(self.paths.take_check_all(1.0 + CHECK_ALL_SECONDS / 2))
        self.assertTrue(self.paths.take_check_all(1.0 + CHECK_ALL_SECONDS))

    def test_unreached_replica_is_not_asked_for(self):
        """Guards against requests to all hosts for a replica that is gone."""
        self.assertTrue(self.paths.may_tunnel(A, 1.0))
        self.paths.record_unreached(A, 1.0)
        self.assertFalse(self.paths.may_tunnel(A, 1.0 + UNREACHED_SECONDS / 2))
        self.assertTrue(self.paths.may_tunnel(A, 1.0 + UNREACHED_SECONDS))
        self.paths.record_unreached(A, 3.0)
        self.paths.record_direct(A, 3.1)
        self.assertTrue(self.paths.may_tunnel(A, 3.2))

    def test_only_a_host_that_connects_is_a_witness(self):
        """Guards against a host that is cut off itself and calls replicas gone."""
        self.assertFalse(self.paths.is_witness(1.0))
        self.paths.record_life(A, 1.0)
        self.assertFalse(self.paths.is_witness(1.0))
        self.paths.record_direct(A, 1.0)
        self.assertTrue(self.paths.is_witness(0.9 + WITNESS_SECONDS))
        self.assertFalse(self.paths.is_witness(1.0 + WITNESS_SECONDS))

    def test_addresses_that_are_gone_are_forgotten(self):
        """Guards against memory that grows with each replica that ever was."""
        self.paths.record_lost(A, PathState.SILENT, 1.0)
        self.paths.record_unreached(B, 1.0)
        self.paths.record_life(C, 1.0)
        self.listed = [C]
        self.paths.retain_listed()
        self.assertEqual(len(self.paths), 0)
        self.assertTrue(self.paths.may_tunnel(B, 1.0))
        self.assertTrue(self.paths.was_heard(C, 1.0))


class TunnelHostsTest(unittest.TestCase):
    """The order in which hosts are asked."""

    def setUp(self):
        self.records = [
            HostRecord(f"host-{number}", f"10.1.0.{number}:7380", f"d-{number % 2}")
            for number in range(20)
        ]
        rng = random.Random(1)
        self.hosts = TunnelHosts(HostName("host-0"), "d-0", lambda: self.records, rng)

    def names(self, now=1.0):
        """Return the names of the hosts to ask."""
        return [rec.host for rec in self.hosts.candidates(now)]

    def test_this_host_is_never_asked(self):
        """Guards against a host that asks itself."""
        found = {name for _ in range(50) for name in self.names()}
        self.assertEqual(found, {f"host-{number}" for number in range(1, 20)})
        self.assertEqual(len(self.names()), MAX_ASKED)

    def test_domains_alternate_while_nothing_is_known(self):
        """Guards against a search within a domain that is cut off as a whole."""
        domains = [rec.domain for rec in self.hosts.candidates(1.0)]
        self.assertEqual(domains, ["d-0", "d-1"] * (MAX_ASKED // 2))

    def test_hosts_that_opened_a_tunnel_come_first(self):
        """Guards against a search for each connection, and for a farther host."""
        self.hosts.record_opened("host-3", 1.0)
        self.assertEqual(self.names()[0], "host-3")
        self.hosts.record_opened("host-4", 1.0)
        self.assertEqual(self.names()[:2], ["host-4", "host-3"])
        self.hosts.record_failed("host-4", 1.0)
        self.assertEqual(self.names()[0], "host-3")

    def test_hosts_that_failed_are_asked_again_later(self):
        """Guards against hosts that are asked in vain, or never again."""
        for number in range(1, 19):
            self.hosts.record_failed(f"host-{number}", 1.0)
        self.assertEqual(self.names(), ["host-19"])
        self.hosts.record_failed("host-19", 1.0)
        self.assertEqual(len(self.names()), MAX_ASKED)
        self.assertEqual(len(self.names(1.0 + AVOID_SECONDS)), MAX_ASKED)

    def test_no_hosts_are_known_at_first(self):
        """Guards against an error before the list of hosts was read."""
        self.records = None
        self.assertEqual(self.names(), [])


class ConnectionRaceTest(VirtualTestCase):
    """Attempts that fail, hang or are late."""

    def race(self, *attempts, **options):
        """Run attempts, each of (seconds, error); return the winner and the time."""
        opened: list[SimulatedSocket] = []

        def make(seconds, error):
            async def attempt():
                await trio.sleep(seconds)
                if error is not None:
                    raise error
                near, _ = socket_pair()
                opened.append(near)
                return near

            return attempt

        async def task():
            started = trio.current_time()
            race = ConnectionRace(**options)
            found = await race.run([make(*each) for each in attempts])
            open_count = sum(not sock.closed for sock in opened)
            return opened.index(found), trio.current_time() - started, open_count

        return self.run_virtual(task)

    def test_fast_attempt_is_the_only_one(self):
        """Guards against needless attempts."""
        self.assertEqual(self.race((0.001, None), (0, None)), (0, 0.001, 1))

    def test_failed_attempt_is_followed_at_once(self):
        """Guards against a wait after a refusal."""
        index, seconds, _ = self.race((0.001, OSError()), (0.002, None))
        self.assertEqual(index, 0)
        self.assertAlmostEqual(seconds, 0.003)

    def test_hanging_attempt_delays_by_the_stagger(self):
        """Guards against a wait for an attempt that hangs."""
        _, seconds, count = self.race((1e9, None), (0.002, None))
        self.assertAlmostEqual(seconds, STAGGER_SECONDS + 0.002)
        self.assertEqual(count, 1)

    def test_last_error_is_raised(self):
        """Guards against a lost error when all attempts fail."""
        with self.assertRaisesRegex(OSError, "second"):
            self.race((0, OSError("first")), (0, OSError("second")))

    def test_hopeless_race_ends(self):
        """Guards against a wait for an attempt once the replica is known to be gone."""
        with self.assertRaisesRegex(OSError, "gone"):
            self.race((1e9, None), (0, OSError("gone")), is_hopeless=lambda: True)


if __name__ == "__main__":
    unittest.main()

"""What logs and metrics tell of attempts at replicas that are out of reach."""

import unittest

from berylshift.entry_gauges import set_gauges
from berylshift.stand_ins.entry_replica import Fault
from berylshift.tests.entry_world import run_entry

TOTAL = "berylshift_attempts_total"


class AttemptLogTest(unittest.TestCase):
    """Attempts of one request are told apart by what they waited for."""

    def run_request(self, prepare):
        """Return the attempts' texts of one request and the metrics after it."""

        async def task(world):
            prepare(world)
            with self.assertLogs("berylshift.request.routed_handler", "INFO") as logs:
                await world.ask("/book/1", left_ms=300)
            set_gauges(world.hosts[0])
            [ended] = [rec for rec in logs.records if rec.message == "request ended"]
            return ended.sends, world.hosts[0].telemetry

        return run_entry(task, plain=1)

    def value(self, telemetry, outcome):
        """Return how many attempts ended with ``outcome``."""
        labels = {"service": "booking", "outcome": outcome}
        return telemetry.registry.get_sample_value(TOTAL, labels)

    def test_attempt_without_a_connection_is_told_apart(self):
        """A request whose time passes while it waits for a connection."""
        sends, telemetry = self.run_request(
            lambda world: world.unresponsive.add("10.0.0.1:80")
        )
        self.assertIn(" connecting ", sends[0])
        self.assertEqual(self.value(telemetry, "connecting"), 1)
        name = "berylshift_replicas_not_reached"
        self.assertEqual(telemetry.registry.get_sample_value(name), 1)

    def test_attempt_without_a_response_is_told_apart(self):
        """A request whose time passes while it waits for a response."""
        sends, telemetry = self.run_request(
            lambda world: world.replicas["10.0.0.1:80"].faults.append(Fault.MUTE)
        )
        self.assertIn(" open ", sends[0])
        self.assertEqual(self.value(telemetry, "open"), 1)

    def test_reason_for_no_further_attempt_is_told(self):
        """A request that may have run ends with the reset of its connection."""
        _, telemetry = self.run_request(
            lambda world: world.replicas["10.0.0.1:80"].faults.append(Fault.RESET)
        )
        name = "berylshift_requests_not_retried_total"
        labels = {"service": "booking", "reason": "no more sends allowed"}
        self.assertEqual(telemetry.registry.get_sample_value(name, labels), 1)


if __name__ == "__main__":
    unittest.main()

"""Leader calls to the platform, and scaling in configuration and entries."""

import unittest
from dataclasses import replace

import msgspec
import trio
import trio.testing

from berylshift.connection.http_client import HttpClient
from berylshift.connection.http_request import HttpRequest
from berylshift.connection.http_server import HttpServer
from berylshift.connection.request_body import RequestBody
from berylshift.connection.responder import Responder
from berylshift.ids import CustomerName, DomainName, ServiceName
from berylshift.messages.leader_calls import CallResult, LeaseHolder
from berylshift.messages.scaling import ReplicaKind, ScaleOrder
from berylshift.messages.usage import CustomerCount, UsageReport
from berylshift.platform.configuration import parse_configuration
from berylshift.platform.entries import parse_replica_entry
from berylshift.platform.leader_calls import PlatformLeaderCalls
from berylshift.tests.support import run_virtual
from berylshift.tests.test_platform_adapter import CONFIGURATION, entry
from berylshift.version.routes import DomainPrice, Scaling

HOLDER = LeaseHolder("host-1", 12)
REPORT = UsageReport(353_445_120, (CustomerCount(CustomerName("c"), 412),))
TIMEOUT_SECONDS = 1.0
SCALING = (
    b'"scaling":{"min_replicas":1,"max_replicas":15,"boot_s":4.0,'
    b'"max_spot_price":0.18,"zone_prices":{"a":0.85,"b":1.2}},'
)


class FakeCloud:
    """Answers with ``status``; 0: never answers, negative: refuses connections."""

    def __init__(self, status: int = 200):
        self.status = status
        self.calls: list[HttpRequest] = []

    async def handle(self, http: HttpRequest, responder: Responder) -> None:
        # The server frees a body as its request ends.
        self.calls.append(replace(http, body_stream=RequestBody.of(http.body)))
        if not self.status:
            await trio.sleep_forever()
        await responder.full_raw(self.status, [], b"")


def call(cloud: FakeCloud, use):
    """Return ``use(leader_calls)``, run against ``cloud``."""

    async def main():
        async with trio.open_nursery() as nursery:
            server = HttpServer(cloud.handle)

            async def dial(address):
                if cloud.status < 0:
                    raise OSError("refused")
                near, far = trio.testing.memory_stream_pair()
                nursery.start_soon(server.serve_stream, far)
                return near

            client = HttpClient(dial)
            leader_calls = PlatformLeaderCalls(client, "10.0.0.1:80", TIMEOUT_SECONDS)
            result = await use(leader_calls)
            nursery.cancel_scope.cancel()
        return result

    return run_virtual(main)


class CallTest(unittest.TestCase):
    """Request contents, and how response statuses are interpreted."""

    def test_usage_report(self):
        cloud = FakeCloud()
        result = call(cloud, lambda calls: calls.report_usage(REPORT, HOLDER))
        sent = cloud.calls[0]
        self.assertEqual(result, CallResult.DONE)
        self.assertEqual((sent.method, sent.path), ("POST", "/usage"))
        self.assertEqual(sent.headers["berylshift-lease-holder"], "host-1")
        self.assertEqual(sent.headers["berylshift-fencing-token"], "12")
        self.assertEqual(
            msgspec.json.decode(sent.body),
            {"window_id": 353_445_120, "counts": {"c": 412}},
        )

    def test_scale_order_of_each_kind(self):
        for kind, interruptible in (
            (ReplicaKind.ON_DEMAND, False),
            (ReplicaKind.INTERRUPTIBLE, True),
        ):
            order = ScaleOrder(ServiceName("s"), DomainName("z"), kind, 6)
            cloud = FakeCloud()
            call(cloud, lambda calls, order=order: calls.scale(order, HOLDER))
            self.assertEqual(
                msgspec.json.decode(cloud.calls[0].body),
                {
                    "service": "s",
                    "zone": "z",
                    "desired": 6,
                    "spot_enabled": interruptible,
                },
            )

    def test_results_of_statuses(self):
        """Guards against treating a call that may have taken effect as not done."""
        expected = {
            200: CallResult.DONE,
            409: CallResult.UNAVAILABLE,
            429: CallResult.BUSY,
            503: CallResult.BUSY,
            400: CallResult.REFUSED,
            500: CallResult.UNKNOWN,
            0: CallResult.UNKNOWN,
            -1: CallResult.BUSY,
        }
        for status, result in expected.items():
            with self.subTest(status=status):
                found = call(
                    FakeCloud(status), lambda calls: calls.report_usage(REPORT, HOLDER)
                )
                self.assertEqual(found, result)


class ScalingTest(unittest.TestCase):
    """Bounds and prices in the configuration, replica kinds in entries."""

    def test_bounds_and_prices(self):
        data = CONFIGURATION.replace(b'"engine":', SCALING + b'"engine":', 1)
        services = parse_configuration(data).services
        prices = (DomainPrice("a", 0.85), DomainPrice("b", 1.2))
        self.assertEqual(services["s1"].scaling, Scaling(1, 15, 4.0, 0.18, prices))
        self.assertIsNone(services["s2"].scaling)

    def test_interruptible_replica(self):
        self.assertTrue(
            parse_replica_entry("i", entry(spot_enabled=True)).interruptible
        )
        self.assertFalse(parse_replica_entry("i", entry()).interruptible)


if __name__ == "__main__":
    unittest.main()

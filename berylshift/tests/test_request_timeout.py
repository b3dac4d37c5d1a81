"""The timeout of a request."""

import unittest

from berylshift.ids import RequestId
from berylshift.messages.routed import RoutedRequest
from berylshift.request.request_timeout import TimeoutSource, request_timeout
from berylshift.tests.entry_world import route
from berylshift.version.routes import RouteKind


class RequestTimeoutTest(unittest.TestCase):
    """The shorter of the route's timeout and the caller's."""

    def timeout_for(self, seconds_left):
        req = RoutedRequest(RequestId("r1"), b"POST", b"/", (), None, seconds_left)
        timeout = request_timeout(
            route("look", RouteKind.IDEMPOTENT, timeout_seconds=4.0), req
        )
        return timeout.seconds, timeout.source

    def test_the_shorter_timeout_applies(self):
        self.assertEqual(self.timeout_for(1.5), (1.5, TimeoutSource.CALLER))
        self.assertEqual(self.timeout_for(9.0), (4.0, TimeoutSource.ROUTE))

    def test_a_caller_without_a_timeout(self):
        self.assertEqual(self.timeout_for(None), (4.0, TimeoutSource.ROUTE))


if __name__ == "__main__":
    unittest.main()

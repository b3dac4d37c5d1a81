"""How long a request may take."""

import unittest

from berylshift.ids import RequestId
from berylshift.messages.routed import RoutedRequest
from berylshift.request.request_timeout import TimeoutSource, request_timeout
from berylshift.tests.entry_world import route
from berylshift.version.routes import RouteKind


class AllowanceTest(unittest.TestCase):
    """The least of the route's time and the caller's."""

    def allow(self, seconds_left):
        req = RoutedRequest(RequestId("r1"), b"POST", b"/", (), None, seconds_left)
        found = request_timeout(route("look", RouteKind.IDEMPOTENT, timeout=4.0), req)
        return found.seconds, found.bound

    def test_the_shorter_time_counts(self):
        self.assertEqual(self.allow(1.5), (1.5, TimeoutSource.CALLER))
        self.assertEqual(self.allow(9.0), (4.0, TimeoutSource.ROUTE))

    def test_a_caller_that_states_no_time(self):
        self.assertEqual(self.allow(None), (4.0, TimeoutSource.ROUTE))


if __name__ == "__main__":
    unittest.main()

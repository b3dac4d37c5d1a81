"""Route look-up."""

import unittest

from berylshift.tests.entry_world import HOST, route, routes
from berylshift.version.routes import RouteKind


class MatchTest(unittest.TestCase):
    """The longest matching prefix of a host is used."""

    def setUp(self):
        self.table = routes(
            1,
            route("deep", RouteKind.IDEMPOTENT),
            route("look/inner", RouteKind.AT_MOST_ONCE),
        )

    def matched_name(self, path: str, host: str = HOST) -> str | None:
        found = self.table.match(host, path)
        return None if found is None else found.name

    def test_longest_prefix(self):
        self.assertEqual(self.matched_name("/look/inner/x"), "look/inner")
        self.assertEqual(self.matched_name("/look/x"), "look")
        self.assertEqual(self.matched_name("/look/"), "look")

    def test_prefix_ends_at_a_slash(self):
        self.assertIsNone(self.matched_name("/lookup"))
        self.assertIsNone(self.matched_name("/look"))
        self.assertIsNone(self.matched_name("no-slash"))

    def test_routes_of_other_hosts_do_not_match(self):
        self.assertIsNone(self.matched_name("/look/x", "other.example"))

    def test_caller_of_a_stream_waits_four_times_the_objective(self):
        stream = route(
            "s",
            RouteKind.STREAM,
            objective_seconds=0.8,
            event_gap_seconds=0.3,
            timeout_seconds=6.0,
        )
        self.assertEqual(stream.caller_patience_seconds, 3.2)

    def test_caller_patience_is_bounded_by_the_timeout(self):
        stream = route(
            "s", RouteKind.STREAM, objective_seconds=0.8, timeout_seconds=1.0
        )
        self.assertEqual(stream.caller_patience_seconds, 1.0)

    def test_only_resumable_streams_are_repeatable(self):
        self.assertFalse(route("s", RouteKind.STREAM).repeatable)
        self.assertTrue(route("s", RouteKind.STREAM, resumable=True).repeatable)
        self.assertFalse(route("s", RouteKind.AT_MOST_ONCE, resumable=True).repeatable)

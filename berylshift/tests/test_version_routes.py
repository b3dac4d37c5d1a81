"""Route look-up."""

import unittest

from berylshift.tests.entry_world import HOST, route, routes
from berylshift.version.routes import RouteKind


class MatchTest(unittest.TestCase):
    """The longest prefix of a host wins."""

    def setUp(self):
        self.table = routes(
            1,
            route("deep", RouteKind.IDEMPOTENT),
            route("look/inner", RouteKind.AT_MOST_ONCE),
        )

    def name(self, path: str, host: str = HOST) -> str | None:
        found = self.table.match(host, path)
        return None if found is None else found.name

    def test_longest_prefix(self):
        self.assertEqual(self.name("/look/inner/x"), "look/inner")
        self.assertEqual(self.name("/look/x"), "look")
        self.assertEqual(self.name("/look/"), "look")

    def test_a_prefix_ends_at_a_slash(self):
        self.assertIsNone(self.name("/lookup"))
        self.assertIsNone(self.name("/look"))
        self.assertIsNone(self.name("no-slash"))

    def test_other_hosts_have_other_routes(self):
        self.assertIsNone(self.name("/look/x", "other.example"))

    def test_a_caller_of_a_stream_waits_four_objectives(self):
        stream = route(
            "s", RouteKind.STREAM, objective_seconds=0.8, pause=0.3, timeout=6.0
        )
        self.assertEqual(stream.patience, 3.2)

    def test_patience_ends_with_the_time_out(self):
        stream = route("s", RouteKind.STREAM, objective_seconds=0.8, timeout=1.0)
        self.assertEqual(stream.patience, 1.0)

    def test_only_streams_that_resume_may_be_repeated(self):
        self.assertFalse(route("s", RouteKind.STREAM).repeatable)
        self.assertTrue(route("s", RouteKind.STREAM, resumable=True).repeatable)
        self.assertFalse(route("s", RouteKind.AT_MOST_ONCE, resumable=True).repeatable)

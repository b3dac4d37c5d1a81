"""Whose key a caller shows, and what it is told; header lists of any kind."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from berylshift.connection.target_client import NO_BODY
from berylshift.ids import CustomerName, ReplicaName, TableVersion
from berylshift.messages.routed import Dispatch
from berylshift.platform import names
from berylshift.platform.exchange import LONGEST_KEY_BYTES, PlatformLanguage
from berylshift.process.directory.route_holder import RouteHolder
from berylshift.request.key_gate import KeyGate, KeyVerdict
from berylshift.tests.entry_world import route
from berylshift.tests.support import EXPLORE
from berylshift.version.customers import ApiKey, Customer, CustomerKeys
from berylshift.version.routes import CallerLimits, RouteKind, RouteTable

KEY = b"m82thhkmgjqnirth5mgj"
HOLDER = Customer(CustomerName("hobart"), 0)
IN_FORCE = 3.0
LOOK = route("look", RouteKind.IDEMPOTENT)
OPEN = route("open", RouteKind.IDEMPOTENT, public=True)
LANGUAGE = PlatformLanguage()
HEADER_NAMES = st.sampled_from(
    [b"host", names.AUTHORIZATION, names.CUSTOMER, b"connection", b"x-other"]
)
SCHEMES = st.sampled_from([b"Bearer", b"bearer", b"BEARER", b"Basic", b"", b"Bearer,"])
WORDS = st.one_of(
    st.sampled_from([KEY, KEY[:-1], KEY + b",", b'"' + KEY + b'"', b"\xff\xfe"]),
    st.binary(max_size=40),
)
VALUES = st.one_of(
    st.builds(lambda scheme, word: scheme + b" " + word, SCHEMES, WORDS),
    st.sampled_from([b"authorization", names.CUSTOMER, KEY, b""]),
)


def keys(*held: tuple[bytes, Customer]) -> CustomerKeys:
    """Return customers that hold keys."""
    found = CustomerKeys()
    for secret, customer in held:
        found.add(customer, [ApiKey(secret)])
    return found


def table(customers: CustomerKeys | None, version: int = 1) -> RouteTable:
    """Return a version of the routes."""
    limits = CallerLimits()
    return RouteTable(TableVersion(version), (LOOK, OPEN), (), limits, customers)


def request(*headers: tuple[bytes, bytes]):
    """Return a caller's request."""
    found = [(names.ATTEMPT_ID, b"r1"), *headers]
    return LANGUAGE.read_request(b"GET", b"/look/x", found, NO_BODY)


def shown(key: bytes):
    """Return a request that shows a key."""
    return request((names.AUTHORIZATION, b"Bearer " + key))


class KeyGateTest(unittest.TestCase):
    """What becomes of a request."""

    def setUp(self):
        self.routes = RouteHolder()
        self.routes.apply_if_newer(table(keys((KEY, HOLDER))), 0.0)
        self.gate = KeyGate(self.routes, IN_FORCE)

    def verdict(self, req, asked=LOOK, now=1.0):
        return self.gate.admit(req, asked, now).verdict

    def test_a_key_leads_to_its_customer(self):
        found = self.gate.admit(shown(KEY), LOOK, 1.0)
        self.assertEqual((found.verdict, found.customer), (KeyVerdict.ADMITTED, HOLDER))

    def test_a_missing_key_and_a_wrong_one_are_denied(self):
        self.assertEqual(self.verdict(request()), KeyVerdict.NO_KEY)
        self.assertEqual(self.verdict(shown(b"wrong")), KeyVerdict.UNKNOWN_KEY)

    def test_a_public_route_takes_all(self):
        for req in (request(), shown(b"wrong"), shown(KEY)):
            self.assertEqual(self.verdict(req, OPEN), KeyVerdict.ADMITTED)
        self.assertIsNone(self.gate.admit(shown(b"wrong"), OPEN, 1.0).customer)

    def test_a_host_with_old_routes_denies_no_key_that_may_be_new(self):
        """Guards against the first callers of a new key being sent away for good."""
        late = IN_FORCE + 1
        self.assertEqual(self.verdict(shown(b"new"), now=late), KeyVerdict.UNSURE)
        self.assertEqual(self.verdict(shown(KEY), now=late), KeyVerdict.ADMITTED)
        self.assertEqual(self.verdict(request(), now=late), KeyVerdict.NO_KEY)

    def test_known_keys_expire_with_the_routes_where_operators_ask_for_it(self):
        """Guards against a leaked key at a host that is cut off from the store."""
        gate = KeyGate(self.routes, IN_FORCE, expires=5.0)
        self.assertEqual(
            [gate.admit(shown(KEY), LOOK, now).verdict for now in (4.9, 5.1)],
            [KeyVerdict.ADMITTED, KeyVerdict.UNSURE],
        )

    def test_a_key_that_was_taken_away_holds_no_more(self):
        """Guards against a request that waited and is sent by a key without holder."""
        req = LANGUAGE.without_key(shown(KEY), HOLDER.name)
        self.assertTrue(self.gate.still_holds(req, LOOK))
        self.routes.apply_if_newer(table(keys(), 2), 1.0)
        self.assertFalse(self.gate.still_holds(req, LOOK))
        self.assertTrue(self.gate.still_holds(req, OPEN))

    def test_a_key_that_changed_hands_holds_no_more(self):
        """Guards against a request that runs on the account of the former holder."""
        req = LANGUAGE.without_key(shown(KEY), HOLDER.name)
        other = Customer(CustomerName("other"))
        self.routes.apply_if_newer(table(keys((KEY, other)), 2), 1.0)
        self.assertFalse(self.gate.still_holds(req, LOOK))

    def test_without_customers_all_is_as_sent(self):
        """Guards against a change for deployments that know no customers."""
        self.routes.apply_if_newer(table(None, 2), 1.0)
        req = request((names.AUTHORIZATION, b"Basic x"), (names.CUSTOMER, b"y"))
        found = self.gate.admit(req, LOOK, 1.0)
        self.assertEqual((found.verdict, found.keyed), (KeyVerdict.ADMITTED, False))
        sent = LANGUAGE.onward_headers(req, Dispatch(ReplicaName("i"), 1.0, 5))
        self.assertIn((names.AUTHORIZATION, b"Basic x"), sent)
        self.assertIn((names.CUSTOMER, b"y"), sent)


class HeaderTest(unittest.TestCase):
    """One rule for how a key is shown."""

    def test_one_word_behind_the_scheme(self):
        for value in (b"Bearer " + KEY, b"bearer  " + KEY, b"BEARER\t" + KEY + b" "):
            found = request((names.AUTHORIZATION, value))
            self.assertEqual(found.key, ApiKey(KEY), value)

    def test_anything_else_is_no_key(self):
        for value in (
            KEY,
            b"Basic " + KEY,
            b"Bearer",
            b"Bearer a b",
            b"Bearer " + b"k" * (LONGEST_KEY_BYTES + 1),
            b"",
        ):
            self.assertIsNone(request((names.AUTHORIZATION, value)).key, value[:20])

    def test_two_keys_are_none(self):
        """Guards against host and replica going by a different one of two keys."""
        pair = (names.AUTHORIZATION, b"Bearer " + KEY)
        self.assertIsNone(request(pair, pair).key)

    @EXPLORE
    @given(st.lists(st.tuples(HEADER_NAMES, VALUES), max_size=6))
    def test_no_header_list_passes_a_key_or_a_false_customer_on(self, headers):
        """Guards against a replica that hears a key, or a made-up customer."""
        routes = RouteHolder()
        routes.apply_if_newer(table(keys((KEY, HOLDER))), 0.0)
        req = request(*headers)
        found = KeyGate(routes, IN_FORCE).admit(req, LOOK, 0.0)
        wanted = [(names.AUTHORIZATION, b"Bearer " + KEY)]
        said = [pair for pair in headers if pair[0] == names.AUTHORIZATION]
        if said == wanted:
            self.assertIs(found.verdict, KeyVerdict.ADMITTED)
        if found.verdict is not KeyVerdict.ADMITTED:
            return
        self.assertEqual(len(said), 1)
        named = LANGUAGE.without_key(req, found.customer.name)
        sent = LANGUAGE.onward_headers(named, Dispatch(ReplicaName("i"), 1.0, 5))
        told = [value for name, value in sent if name == names.CUSTOMER]
        self.assertEqual(told, [HOLDER.name.encode()])
        self.assertFalse([name for name, _ in sent if name == names.AUTHORIZATION])


if __name__ == "__main__":
    unittest.main()

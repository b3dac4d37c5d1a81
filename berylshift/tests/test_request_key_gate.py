"""API key authentication, also with arbitrary header lists."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from berylshift.connection.target_request import NO_BODY
from berylshift.ids import CustomerName, ReplicaName, TableVersion
from berylshift.messages.routed import Dispatch
from berylshift.platform import names
from berylshift.platform.codec import MAX_KEY_BYTES, PlatformCodec
from berylshift.process.directory.route_holder import RouteHolder
from berylshift.request.key_gate import KeyGate, KeyVerdict
from berylshift.tests.entry_world import route
from berylshift.tests.support import EXPLORE
from berylshift.version.customers import ApiKey, Customer, CustomerKeys
from berylshift.version.routes import CallerLimits, RouteKind, RouteTable

KEY = b"m82thhkmgjqnirth5mgj"
KEY_OWNER = Customer(CustomerName("hobart"), 0)
PROPAGATION_SECONDS = 3.0
KEYED_ROUTE = route("look", RouteKind.IDEMPOTENT)
PUBLIC_ROUTE = route("open", RouteKind.IDEMPOTENT, public=True)
CODEC = PlatformCodec()
HEADER_NAMES = st.sampled_from(
    [b"host", names.AUTHORIZATION, names.CUSTOMER, b"connection", b"x-other"]
)
SCHEMES = st.sampled_from([b"Bearer", b"bearer", b"BEARER", b"Basic", b"", b"Bearer,"])
CREDENTIALS = st.one_of(
    st.sampled_from([KEY, KEY[:-1], KEY + b",", b'"' + KEY + b'"', b"\xff\xfe"]),
    st.binary(max_size=40),
)
VALUES = st.one_of(
    st.builds(lambda scheme, word: scheme + b" " + word, SCHEMES, CREDENTIALS),
    st.sampled_from([b"authorization", names.CUSTOMER, KEY, b""]),
)


def customer_keys(*key_owners: tuple[bytes, Customer]) -> CustomerKeys:
    """Return the keys of some customers."""
    result = CustomerKeys()
    for secret, customer in key_owners:
        result.add(customer, [ApiKey(secret)])
    return result


def table(customers: CustomerKeys | None, version: int = 1) -> RouteTable:
    """Return a version of the routes."""
    limits = CallerLimits()
    return RouteTable(
        TableVersion(version), (KEYED_ROUTE, PUBLIC_ROUTE), (), limits, customers
    )


def request(*headers: tuple[bytes, bytes]):
    """Return a caller's request."""
    all_headers = [(names.ATTEMPT_ID, b"r1"), *headers]
    return CODEC.parse_request(b"GET", b"/look/x", all_headers, NO_BODY)


def keyed_request(key: bytes):
    """Return a request that presents a key."""
    return request((names.AUTHORIZATION, b"Bearer " + key))


class KeyGateTest(unittest.TestCase):
    """The verdict on a request."""

    def setUp(self):
        self.routes = RouteHolder()
        self.routes.apply_if_newer(table(customer_keys((KEY, KEY_OWNER))), 0.0)
        self.gate = KeyGate(self.routes, PROPAGATION_SECONDS)

    def verdict(self, req, requested_route=KEYED_ROUTE, now=1.0):
        return self.gate.admit(req, requested_route, now).verdict

    def test_a_key_identifies_its_customer(self):
        admission = self.gate.admit(keyed_request(KEY), KEYED_ROUTE, 1.0)
        self.assertEqual(
            (admission.verdict, admission.customer), (KeyVerdict.ADMITTED, KEY_OWNER)
        )

    def test_missing_and_invalid_keys_are_denied(self):
        self.assertEqual(self.verdict(request()), KeyVerdict.NO_KEY)
        self.assertEqual(self.verdict(keyed_request(b"wrong")), KeyVerdict.UNKNOWN_KEY)

    def test_a_public_route_admits_every_request(self):
        for req in (request(), keyed_request(b"wrong"), keyed_request(KEY)):
            self.assertEqual(self.verdict(req, PUBLIC_ROUTE), KeyVerdict.ADMITTED)
        self.assertIsNone(
            self.gate.admit(keyed_request(b"wrong"), PUBLIC_ROUTE, 1.0).customer
        )

    def test_a_host_with_stale_routes_does_not_deny_unknown_keys(self):
        """Guards against denying the first callers of a new key, who never retry."""
        late = PROPAGATION_SECONDS + 1
        self.assertEqual(
            self.verdict(keyed_request(b"new"), now=late), KeyVerdict.STALE_ROUTES
        )
        self.assertEqual(
            self.verdict(keyed_request(KEY), now=late), KeyVerdict.ADMITTED
        )
        self.assertEqual(self.verdict(request(), now=late), KeyVerdict.NO_KEY)

    def test_known_keys_expire_with_the_routes_if_configured(self):
        """Guards against a leaked key that a host cut off from the store accepts."""
        gate = KeyGate(self.routes, PROPAGATION_SECONDS, key_expiry_seconds=5.0)
        self.assertEqual(
            [
                gate.admit(keyed_request(KEY), KEYED_ROUTE, now).verdict
                for now in (4.9, 5.1)
            ],
            [KeyVerdict.ADMITTED, KeyVerdict.STALE_ROUTES],
        )

    def test_a_revoked_key_is_no_longer_authorized(self):
        """Guards against a waiting request that is sent after its key was revoked."""
        req = CODEC.strip_key(keyed_request(KEY), KEY_OWNER.name)
        self.assertTrue(self.gate.is_still_authorized(req, KEYED_ROUTE))
        self.routes.apply_if_newer(table(customer_keys(), 2), 1.0)
        self.assertFalse(self.gate.is_still_authorized(req, KEYED_ROUTE))
        self.assertTrue(self.gate.is_still_authorized(req, PUBLIC_ROUTE))

    def test_a_reassigned_key_is_no_longer_authorized(self):
        """Guards against a request that runs on the account of the former owner."""
        req = CODEC.strip_key(keyed_request(KEY), KEY_OWNER.name)
        other = Customer(CustomerName("other"))
        self.routes.apply_if_newer(table(customer_keys((KEY, other)), 2), 1.0)
        self.assertFalse(self.gate.is_still_authorized(req, KEYED_ROUTE))

    def test_without_customers_headers_are_forwarded_unchanged(self):
        """Guards against a change of behaviour in deployments without customers."""
        self.routes.apply_if_newer(table(None, 2), 1.0)
        req = request((names.AUTHORIZATION, b"Basic x"), (names.CUSTOMER, b"y"))
        admission = self.gate.admit(req, KEYED_ROUTE, 1.0)
        self.assertEqual(
            (admission.verdict, admission.keys_configured), (KeyVerdict.ADMITTED, False)
        )
        sent = CODEC.forward_headers(req, Dispatch(ReplicaName("i"), 1.0, 5))
        self.assertIn((names.AUTHORIZATION, b"Basic x"), sent)
        self.assertIn((names.CUSTOMER, b"y"), sent)


class HeaderTest(unittest.TestCase):
    """The form in which a key must be presented."""

    def test_a_key_is_one_word_after_the_scheme(self):
        for value in (b"Bearer " + KEY, b"bearer  " + KEY, b"BEARER\t" + KEY + b" "):
            req = request((names.AUTHORIZATION, value))
            self.assertEqual(req.key, ApiKey(KEY), value)

    def test_anything_else_is_no_key(self):
        for value in (
            KEY,
            b"Basic " + KEY,
            b"Bearer",
            b"Bearer a b",
            b"Bearer " + b"k" * (MAX_KEY_BYTES + 1),
            b"",
        ):
            self.assertIsNone(request((names.AUTHORIZATION, value)).key, value[:20])

    def test_two_keys_count_as_no_key(self):
        """Guards against host and replica each using a different one of two keys."""
        pair = (names.AUTHORIZATION, b"Bearer " + KEY)
        self.assertIsNone(request(pair, pair).key)

    @EXPLORE
    @given(st.lists(st.tuples(HEADER_NAMES, VALUES), max_size=6))
    def test_no_key_or_forged_customer_is_forwarded(self, headers):
        """Guards against a replica that receives a key or a forged customer."""
        routes = RouteHolder()
        routes.apply_if_newer(table(customer_keys((KEY, KEY_OWNER))), 0.0)
        req = request(*headers)
        admission = KeyGate(routes, PROPAGATION_SECONDS).admit(req, KEYED_ROUTE, 0.0)
        valid = [(names.AUTHORIZATION, b"Bearer " + KEY)]
        authorizations = [pair for pair in headers if pair[0] == names.AUTHORIZATION]
        if authorizations == valid:
            self.assertIs(admission.verdict, KeyVerdict.ADMITTED)
        if admission.verdict is not KeyVerdict.ADMITTED:
            return
        self.assertEqual(len(authorizations), 1)
        forwarded = CODEC.strip_key(req, admission.customer.name)
        sent = CODEC.forward_headers(forwarded, Dispatch(ReplicaName("i"), 1.0, 5))
        sent_customers = [value for name, value in sent if name == names.CUSTOMER]
        self.assertEqual(sent_customers, [KEY_OWNER.name.encode()])
        self.assertFalse([name for name, _ in sent if name == names.AUTHORIZATION])


if __name__ == "__main__":
    unittest.main()

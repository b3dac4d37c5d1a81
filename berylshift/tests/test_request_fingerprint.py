"""Which tries count as the same request."""

import unittest

import msgspec

from berylshift.connection.request_body import RequestBody
from berylshift.ids import RequestId
from berylshift.messages.fingerprint import head_in, shown
from berylshift.messages.routed import RoutedRequest
from berylshift.platform import names
from berylshift.platform.exchange import PlatformLanguage
from berylshift.request.fingerprint import BODY_BYTES, Fingerprints
from berylshift.tests.entry_world import prompt_headers


def read(body: bytes = b"hello", target: bytes = b"/note/x", **more) -> RoutedRequest:
    """Return a request as a host reads it."""
    headers = [
        (b"host", more.pop("host", b"shop.example")),
        (names.ATTEMPT_ID, more.pop("request", b"r1")),
        (names.TIME_LEFT_MS, more.pop("left_ms", b"3000")),
        *more.pop("headers", prompt_headers()),
    ]
    language = PlatformLanguage()
    return language.read_request(b"POST", target, headers, RequestBody.of(body))


class FingerprintTest(unittest.TestCase):
    """The same path, caller and body make the same request."""

    def setUp(self):
        self.prints = Fingerprints()
        self.prints.use_key("shared by all hosts")
        self.first = self.prints.of(read())

    def test_ids_and_times_do_not_matter(self):
        again = read(request=b"r2", left_ms=b"1200")
        self.assertEqual(self.prints.of(again), self.first)

    def test_a_resumed_stream_is_the_same_request(self):
        headers = (*prompt_headers(), (names.LAST_EVENT_ID, b"7"))
        self.assertEqual(self.prints.of(read(headers=headers)), self.first)

    def test_what_is_asked_for_and_by_whom_matters(self):
        others = (
            read(body=b"hullo"),
            read(target=b"/note/y"),
            read(target=b"/note/x?page=2"),
            read(host=b"other.example"),
            read(headers=prompt_headers(part="b2")),
            read(headers=(*prompt_headers(), (b"authorization", b"Bearer b"))),
        )
        found = {self.prints.of(req) for req in others}
        self.assertEqual(len(found | {self.first}), 7)

    def test_none_while_the_body_still_comes(self):
        body = RequestBody(5)
        body.add(b"he")
        req = RoutedRequest(RequestId("r1"), b"POST", b"/note/x", (), body)
        self.assertIsNone(self.prints.of(req))
        self.assertIsNone(shown(None))

    def test_the_start_of_a_long_body_does(self):
        """Its head is known before: a request that begins alike may be held back."""
        long = b"x" * BODY_BYTES
        whole, coming = read(body=long + b"end"), RequestBody(2 * BODY_BYTES)
        coming.add(long)
        partly = msgspec.structs.replace(whole, body=coming)
        self.assertEqual(self.prints.of(partly), self.prints.of(whole))
        self.assertEqual(head_in(self.prints.of(whole)), self.prints.head_of(whole))

    def test_nobody_without_the_key_can_tell_them_beforehand(self):
        others = Fingerprints()
        others.use_key("another key")
        self.assertNotEqual(others.of(read()), self.first)

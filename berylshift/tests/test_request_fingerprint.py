"""Which attempts count as the same request."""

import unittest

import msgspec

from berylshift.connection.request_body import RequestBody
from berylshift.ids import RequestId
from berylshift.messages.fingerprint import fingerprint_hex, head_hash_of
from berylshift.messages.routed import RoutedRequest
from berylshift.platform import names
from berylshift.platform.codec import PlatformCodec
from berylshift.request.fingerprint import MAX_HASHED_BODY_BYTES, RequestFingerprinter
from berylshift.tests.entry_world import prompt_headers


def make_request(
    body: bytes = b"hello", target: bytes = b"/note/x", **fields
) -> RoutedRequest:
    """Return a request as a host parses it."""
    headers = [
        (b"host", fields.pop("host", b"shop.example")),
        (names.ATTEMPT_ID, fields.pop("request", b"r1")),
        (names.TIME_LEFT_MS, fields.pop("left_ms", b"3000")),
        *fields.pop("headers", prompt_headers()),
    ]
    codec = PlatformCodec()
    return codec.parse_request(b"POST", target, headers, RequestBody.of(body))


class FingerprintTest(unittest.TestCase):
    """Requests with the same path, caller and body have the same fingerprint."""

    def setUp(self):
        self.fingerprinter = RequestFingerprinter()
        self.fingerprinter.use_key("shared by all hosts")
        self.first = self.fingerprinter.hash_request(make_request())

    def test_ids_and_times_do_not_matter(self):
        retry = make_request(request=b"r2", left_ms=b"1200")
        self.assertEqual(self.fingerprinter.hash_request(retry), self.first)

    def test_a_resumed_stream_is_the_same_request(self):
        headers = (*prompt_headers(), (names.LAST_EVENT_ID, b"7"))
        self.assertEqual(
            self.fingerprinter.hash_request(make_request(headers=headers)), self.first
        )

    def test_the_resource_and_the_caller_matter(self):
        variants = (
            make_request(body=b"hullo"),
            make_request(target=b"/note/y"),
            make_request(target=b"/note/x?page=2"),
            make_request(host=b"other.example"),
            make_request(headers=prompt_headers(block="b2")),
            make_request(headers=(*prompt_headers(), (b"authorization", b"Bearer b"))),
        )
        fingerprints = {self.fingerprinter.hash_request(req) for req in variants}
        self.assertEqual(len(fingerprints | {self.first}), 7)

    def test_none_while_the_body_is_arriving(self):
        body = RequestBody(5)
        body.add(b"he")
        req = RoutedRequest(RequestId("r1"), b"POST", b"/note/x", (), body)
        self.assertIsNone(self.fingerprinter.hash_request(req))
        self.assertIsNone(fingerprint_hex(None))

    def test_the_start_of_a_long_body_is_enough(self):
        """The head hash alone, known earlier, finds possible quarantine matches."""
        long = b"x" * MAX_HASHED_BODY_BYTES
        whole, arriving = (
            make_request(body=long + b"end"),
            RequestBody(2 * MAX_HASHED_BODY_BYTES),
        )
        arriving.add(long)
        partial = msgspec.structs.replace(whole, body=arriving)
        self.assertEqual(
            self.fingerprinter.hash_request(partial),
            self.fingerprinter.hash_request(whole),
        )
        self.assertEqual(
            head_hash_of(self.fingerprinter.hash_request(whole)),
            self.fingerprinter.head_hash(whole),
        )

    def test_fingerprints_cannot_be_predicted_without_the_key(self):
        other = RequestFingerprinter()
        other.use_key("another key")
        self.assertNotEqual(other.hash_request(make_request()), self.first)

"""The platform adapter: names and formats on the wire."""

import ast
import contextlib
import json
import unittest
from pathlib import Path

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from berylshift.connection.target_request import NO_BODY
from berylshift.messages.replicas import EnginePhase
from berylshift.messages.routed import Dispatch
from berylshift.platform import names
from berylshift.platform.codec import PlatformCodec
from berylshift.platform.configuration import parse_configuration
from berylshift.platform.entries import parse_replica_entry
from berylshift.platform.unknown_headers import MAX_LOGGED_NAMES
from berylshift.request.errors import BadRequestError
from berylshift.store.interfaces import MalformedEntryError
from berylshift.tests.support import EXPLORE
from berylshift.version.routes import RouteKind

CONFIGURATION = b"""{"version":7,"routes":[
{"name":"r1","host":"A.example","prefix":"/x/","route_kind":"streaming",
 "timeout_ms":4000,"target_latency_ms":600,"priority":1,"service":"s1",
 "max_attempts":2,"session_affinity":true,"resumable":true,"target_itl_ms":300,
 "new_field":1},
{"name":"r2","host":"a.example","prefix":"/y/","route_kind":"non_idempotent",
 "timeout_ms":600,"backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}
],"services":[{"name":"s1","max_connections":370,"engine":{"batch_slots":64,
 "kv_capacity":467273,"kv_bytes":35136,"bandwidth_mbps":370000.0,"models":[]}},
 {"name":"s2","max_connections":110}],
"limits":{"max_header_bytes":8192,"max_body_bytes":1000,"header_timeout_ms":3000,
 "idle_timeout_ms":15000}}"""
ENTRY = {
    "service": "s1",
    "address": "10.0.0.9:80",
    "zone": "z",
    "version": "v1",
    "batch_slots": 64,
    "state": "ready",
    "cold_remaining_ms": 0,
    "phase": "decode",
    "models": [],
    "sequence": 4,
}
FORGED_HEADERS = [
    (names.PHASE, b"prefill"),
    (names.KV_SOURCE, b"10.0.0.1:80/x"),
    (names.KV_RESERVATION, b"x"),
    (names.KV_PIN_MS, b"4000"),
    (names.KV_BACKUP, b"10.0.0.1:80"),
    (names.KV_FETCH, b"10.0.0.1:80"),
    (names.TARGET_INSTANCE, b"other"),
    (names.RANK, b"0"),
    (names.EXPECTED_VERSION, b"3"),
    (names.NOT_RUN, b"1"),
]
REQUEST_HEADERS = [
    (b"host", b"a.example"),
    (names.ATTEMPT_ID, b"r1"),
    (names.TIME_LEFT_MS, b"6000"),
    (names.MODEL, b"m"),
    (names.TOKEN_COUNTS, b"1460,80"),
    (names.PREFIX_BLOCKS, b"5c:800,91:410,e4:250"),
    (names.LENGTH_HINT, b"20"),
]


def entry(**changes) -> bytes:
    """Return an entry as a replica writes it."""
    return msgspec.json.encode({**ENTRY, **changes})


class ConfigurationTest(unittest.TestCase):
    """The operators' configuration."""

    def test_routes(self):
        table = parse_configuration(CONFIGURATION)
        route = table.match("a.example", "/x/1")
        self.assertEqual(table.version, 7)
        self.assertEqual(
            (route.kind, route.timeout_seconds, route.objective_seconds),
            ("stream", 4, 0.6),
        )
        self.assertTrue(route.has_prompt_info and route.resumable)
        self.assertEqual(
            (route.rank, route.max_attempts, route.event_gap_seconds), (1, 2, 0.3)
        )

    def test_split_over_services(self):
        route = parse_configuration(CONFIGURATION).match("a.example", "/y/")
        self.assertEqual(route.kind, RouteKind.AT_MOST_ONCE)
        self.assertEqual([s.weight for s in route.shares], [90, 10])

    def test_limits_and_engines(self):
        table = parse_configuration(CONFIGURATION)
        self.assertEqual(table.limits.body_bytes, 1000)
        self.assertEqual(table.limits.header_seconds, 3.0)
        self.assertEqual(table.services["s1"].engine.slots, 64)
        self.assertIsNone(table.services["s2"].engine)

    def test_unknown_fields_are_logged(self):
        """Guards against a new configuration field that nobody notices."""
        data = CONFIGURATION[:-1] + b',"quotas":[{"secret":"x"}]}'
        with self.assertLogs("berylshift.platform.configuration", "WARNING") as logs:
            parse_configuration(data)
        self.assertEqual(logs.records[0].parts, ["quotas"])
        self.assertNotIn("secret", str(logs.records[0].__dict__))
        with self.assertNoLogs("berylshift.platform.configuration", "WARNING"):
            parse_configuration(CONFIGURATION)

    def test_malformed_configuration_error_names_the_value(self):
        malformed = {
            b"{": "configuration",
            CONFIGURATION.replace(b"4000", b'"soon"', 1): "timeout_ms",
            CONFIGURATION.replace(b"streaming", b"dancing"): "dancing",
        }
        for data, expected in malformed.items():
            with (
                self.subTest(expected=expected),
                self.assertRaisesRegex(MalformedEntryError, expected),
            ):
                parse_configuration(data)


class EntryTest(unittest.TestCase):
    """Replicas' entries."""

    def test_entry(self):
        data = (
            b'{"service":"s1","address":"10.0.0.9:80","zone":"z","version":"v1",'
            b'"batch_slots":64,"state":"draining","cold_remaining_ms":0,'
            b'"phase":"decode","models":[],"sequence":4}'
        )
        replica = parse_replica_entry("i-1", data)
        self.assertEqual((replica.instance, replica.domain), ("i-1", "z"))
        self.assertTrue(replica.draining)
        self.assertIs(replica.phase, EnginePhase.DECODE)

    def test_malformed_entry_error_names_the_replica(self):
        with self.assertRaisesRegex(MalformedEntryError, "i-9"):
            parse_replica_entry("i-9", b'{"service":3}')

    def test_each_start_is_a_separate_instance(self):
        first = parse_replica_entry("i-1", entry(born=1_700_000_000_000))
        second = parse_replica_entry("i-1", entry(born=1_700_000_009_000))
        self.assertEqual((first.name, second.name), ("i-1", "i-1"))
        self.assertNotEqual(first.instance, second.instance)
        self.assertEqual(parse_replica_entry("i-1", entry()).instance, "i-1")

    def test_foreign_entry_is_not_a_replica(self):
        """Another writer adds entries with missing, mistyped or unknown values.

        Guards against sending a request to an address without a replica, and against
        treating a draining replica as one that accepts work.
        """
        for field in ENTRY:
            if field not in ("phase", "models"):
                with self.subTest(missing=field):
                    self.check_malformed({k: v for k, v in ENTRY.items() if k != field})
        invalid = (
            {"state": "dancing"},
            {"phase": "resting"},
            {"address": "somewhere"},
            {"address": "10.0.0.9"},
            {"batch_slots": 0},
            {"batch_slots": "8"},
            {"batch_slots": True},
            {"service": ""},
            {"sequence": 1.5},
            {"born": "1700000000000"},
            {"born": 1700000000000.5},
            {"born": True},
            {"born": None},
        )
        for change in invalid:
            with self.subTest(change=change):
                self.check_malformed({**ENTRY, **change})

    def check_malformed(self, values: dict):
        with self.assertRaises(MalformedEntryError):
            parse_replica_entry("i-1", msgspec.json.encode(values))


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


class AnyBytesTest(unittest.TestCase):
    """Malformed rows raise ``MalformedEntryError`` and nothing else.

    Any other error would end the task that watches the list, and the host would route
    by its last state forever.
    """

    @EXPLORE
    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        self.parse_both(data)

    @EXPLORE
    @given(st.dictionaries(st.sampled_from([*ENTRY, "born"]), JSON_VALUES))
    def test_entry_with_some_fields_changed(self, changes):
        self.parse_both(json.dumps({**ENTRY, **changes}).encode())

    @EXPLORE
    @given(st.data())
    def test_configuration_with_one_value_changed(self, data):
        configuration = json.loads(CONFIGURATION)
        locations = list(locations_in(configuration))
        container, key = data.draw(st.sampled_from(locations))
        container[key] = data.draw(JSON_VALUES)
        self.parse_both(json.dumps(configuration).encode())

    def parse_both(self, data: bytes) -> None:
        for parse in (
            lambda: parse_replica_entry("i-1", data),
            lambda: parse_configuration(data),
        ):
            with contextlib.suppress(MalformedEntryError):
                parse()


def locations_in(value):
    """Yield the container and key of each value within a JSON value."""
    items = value.items() if isinstance(value, dict) else enumerate(value)
    for key, inner in list(items):
        yield value, key
        if isinstance(inner, (dict, list)):
            yield from locations_in(inner)


class ForwardedHeadersTest(unittest.TestCase):
    """Headers of a request as sent to a replica."""

    def setUp(self):
        self.codec = PlatformCodec()

    def forwarded(self, headers, **dispatch):
        req = self.codec.parse_request(b"POST", b"/x/", headers, NO_BODY)
        values = {"replica": "i-1", "seconds_left": 2.5, "rank": 2, **dispatch}
        return self.codec.forward_headers(req, Dispatch(**values))

    def test_forged_headers_do_not_reach_a_replica(self):
        """Callers send headers that only this system may send.

        Guards against callers that request a disaggregated prefill, pin memory or
        continue from another request's KV cache: it would cost other callers, or
        corrupt a response.
        """
        sent = dict(self.forwarded(REQUEST_HEADERS + FORGED_HEADERS))
        self.assertEqual(sent[names.TARGET_INSTANCE], b"i-1")
        self.assertEqual(sent[names.RANK], b"2")
        for name, _ in FORGED_HEADERS:
            if name not in (names.TARGET_INSTANCE, names.RANK):
                self.assertNotIn(name, sent)

    def test_headers_that_identify_the_request_are_forwarded(self):
        sent = dict(self.forwarded(REQUEST_HEADERS))
        for name, value in REQUEST_HEADERS:
            if name != names.TIME_LEFT_MS:
                self.assertEqual(sent[name], value)

    def test_connection_header_does_not_strip_identifying_headers(self):
        """A caller lists the attempt id in its Connection header.

        Guards against dropping it with the hop-by-hop headers: the replica would run a
        request whose outcome can't be attributed.
        """
        connection = (
            b"connection",
            b"close, x-one, berylshift-attempt-id, berylshift-model",
        )
        sent = dict(
            self.forwarded(
                [*REQUEST_HEADERS, connection, (b"x-one", b"1"), (b"x-two", b"2")]
            )
        )
        self.assertEqual(sent[names.ATTEMPT_ID], b"r1")
        self.assertEqual(sent[names.MODEL], b"m")
        self.assertNotIn(b"x-one", sent)
        self.assertNotIn(b"connection", sent)
        self.assertEqual(sent[b"x-two"], b"2")

    def test_time_left_is_the_remaining_time(self):
        sent = self.forwarded(REQUEST_HEADERS, seconds_left=1.2345)
        values = [value for name, value in sent if name == names.TIME_LEFT_MS]
        self.assertEqual(values, [b"1234"])

    def test_resuming_replaces_the_callers_last_event_id(self):
        headers = [*REQUEST_HEADERS, (names.LAST_EVENT_ID, b"3")]
        sent = self.forwarded(headers, resume_after=b"5")
        found = [value for name, value in sent if name == names.LAST_EVENT_ID]
        self.assertEqual(found, [b"5"])

    def test_duplicate_header_is_a_bad_request(self):
        for name in (names.ATTEMPT_ID, names.MODEL, names.TIME_LEFT_MS):
            with self.subTest(name=name), self.assertRaises(BadRequestError):
                self.forwarded([*REQUEST_HEADERS, (name, b"9")])

    def test_missing_attempt_id_is_a_bad_request(self):
        with self.assertRaises(BadRequestError):
            self.forwarded([(b"host", b"a")])

    def test_prompt(self):
        req = self.codec.parse_request(b"POST", b"/x/", REQUEST_HEADERS, NO_BODY)
        self.assertEqual(req.prompt.tokens, 1460)
        self.assertEqual(req.prompt.prefix_tokens, 1210)

    def test_malformed_prompt_announcement_is_ignored(self):
        for value in (b"a", b"a:b", b":,", b"\xff:1"):
            headers = [h for h in REQUEST_HEADERS if h[0] != names.PREFIX_BLOCKS]
            headers.append((names.PREFIX_BLOCKS, value))
            req = self.codec.parse_request(b"POST", b"/x/", headers, NO_BODY)
            self.assertIsNone(req.prompt)


class ResponseHeadTest(unittest.TestCase):
    """Heads of replicas' responses."""

    def parse(self, status: int, *headers):
        return PlatformCodec().parse_response_head(status, list(headers))

    def test_signed_response_is_genuine(self):
        head = self.parse(200, (names.SIGNATURE, b"s"), (names.ATTEMPT_ID, b"r1"))
        self.assertTrue(head.genuine)
        self.assertEqual(head.request, "r1")
        self.assertFalse(head.not_run)

    def test_encoded_or_unsigned_response_is_not_genuine(self):
        encoded = self.parse(
            200, (names.SIGNATURE, b"s"), (b"content-encoding", b"gzip")
        )
        self.assertFalse(encoded.genuine)
        self.assertFalse(self.parse(200).genuine)

    def test_only_the_header_or_status_421_means_not_run(self):
        self.assertTrue(self.parse(503, (names.NOT_RUN, b"1")).not_run)
        self.assertTrue(self.parse(421).not_run)
        self.assertFalse(self.parse(503).not_run)
        self.assertFalse(self.parse(429).not_run)

    def test_load_may_state_the_time_of_work(self):
        """A header with a fourth figure must not be discarded as a whole."""
        cases = {
            b"1,0,64": (1, 0, 64, None),
            b"1,0,64,70": (1, 0, 64, 70),
            b"1, 0, 64, 425, 9, x": (1, 0, 64, 425),
            b"1,0,64,": (1, 0, 64, None),
            b"1,0,64,fast": (1, 0, 64, None),
            b"1,0,64,1.5": (1, 0, 64, None),
            b"1,0,64,0": (1, 0, 64, None),
            b"1,0,64,-70": (1, 0, 64, None),
            b"1,0,64,\xff": (1, 0, 64, None),
            b"1,0,64," + b"9" * 5000: (1, 0, 64, None),
        }
        for value, wanted in cases.items():
            with self.subTest(value=value[:20]):
                load = self.parse(200, (names.LOAD, value)).load
                found = load and msgspec.structs.astuple(load)
                self.assertEqual(found, wanted)
        for value in (b"", b"1,0", b"1,x,64,70", b"\xff", b"9" * 5000 + b",0,64"):
            with self.subTest(value=value[:20]):
                self.assertIsNone(self.parse(200, (names.LOAD, value)).load)

    def test_load_and_keep_alive(self):
        head = self.parse(
            200, (names.LOAD, b"3,1,8"), (b"keep-alive", b"timeout=4, max=9")
        )
        self.assertEqual(
            (head.load.running, head.load.waiting, head.load.slots), (3, 1, 8)
        )
        self.assertEqual(head.keep_alive_seconds, 4.0)

    def test_malformed_values_are_none(self):
        head = self.parse(200, (names.LOAD, b"many"), (b"keep-alive", b"timeout=soon"))
        self.assertIsNone(head.load)
        self.assertIsNone(head.keep_alive_seconds)

    def test_unknown_headers_are_logged_once(self):
        codec = PlatformCodec()
        headers = [(b"x-news", b"secret"), (b"content-type", b"text/plain")]
        headers += [(names.ATTEMPT_ID, b"r1"), (names.SIGNATURE, b"s")]
        with self.assertLogs("berylshift.platform.unknown_headers") as logs:
            codec.parse_response_head(200, headers)
            codec.parse_response_head(200, headers)
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(logs.records[0].headers, ["x-news"])
        self.assertNotIn("secret", str(vars(logs.records[0])))

    def test_number_of_logged_unknown_headers_is_bounded(self):
        codec = PlatformCodec()
        with self.assertLogs("berylshift.platform.unknown_headers") as logs:
            for number in range(2 * MAX_LOGGED_NAMES):
                codec.parse_response_head(200, [(b"x-%d" % number, b"1")])
        self.assertEqual(len(logs.records), MAX_LOGGED_NAMES)

    def test_rate_limit_is_a_number_of_requests_per_second(self):
        def limit(value: bytes) -> float | None:
            return (
                PlatformCodec()
                .parse_flow_control(200, [(names.RATE_LIMIT, value)])
                .rate_limit
            )

        self.assertEqual(limit(b"2.6"), 2.6)
        self.assertEqual(limit(b"0"), 0)
        for value in (b"-1", b"nan", b"inf", b"soon", b""):
            self.assertIsNone(limit(value))
        self.assertIsNone(PlatformCodec().parse_flow_control(200, []).rate_limit)

    def test_refusal_may_ask_to_back_off(self):
        def back_off_seconds(status: int, value: bytes) -> float:
            headers = [(b"retry-after", value)]
            return PlatformCodec().parse_flow_control(status, headers).retry_after

        self.assertEqual(back_off_seconds(503, b"2.5"), 2.5)
        self.assertEqual(back_off_seconds(429, b"3"), 3)
        for status, value in ((200, b"3"), (503, b"-1"), (503, b"Thu, 03 Dec 2026")):
            self.assertEqual(back_off_seconds(status, value), 0)

    def test_draining_has_one_value(self):
        def is_draining(value: bytes) -> bool:
            return (
                PlatformCodec()
                .parse_flow_control(200, [(names.DRAINING, value)])
                .draining
            )

        self.assertTrue(is_draining(b"1"))
        self.assertFalse(is_draining(b"0"))

    def test_response_of_another_replica_has_no_flow_control(self):
        headers = [(names.RATE_LIMIT, b"2.6")]
        self.assertIsNone(PlatformCodec().parse_flow_control(421, headers))

    def test_hop_by_hop_headers_are_not_forwarded(self):
        head = self.parse(200, (b"connection", b"close"), (b"x-one", b"1"))
        self.assertEqual(head.headers, ((b"x-one", b"1"),))


class ImportsTest(unittest.TestCase):
    """The adapter makes no decisions, and no other module uses its names."""

    ALLOWED = (
        "berylshift.connection.errors",
        "berylshift.connection.http_client",
        "berylshift.connection.request_body",
        "berylshift.connection.target_client",
        "berylshift.ids",
        "berylshift.messages.",
        "berylshift.platform",
        "berylshift.request.errors",
        "berylshift.store.",
        "berylshift.version.customers",
        "berylshift.version.routes",
    )
    # The composition root wires the adapter; the demonstration acts as a caller.
    WIRING = {"serve_entry.py", "demo_entry.py"}

    def imports(self, path: Path) -> set[str]:
        found = set()
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.ImportFrom) and node.module:
                found.add(node.module)
            elif isinstance(node, ast.Import):
                found |= {alias.name for alias in node.names}
        return {name for name in found if name.startswith("berylshift")}

    def test_adapter_imports_no_module_that_decides(self):
        for path in Path("berylshift/platform").glob("*.py"):
            for name in self.imports(path):
                with self.subTest(path=path.name, name=name):
                    self.assertTrue(name.startswith(self.ALLOWED), name)

    def test_only_wiring_tests_and_stand_ins_import_the_adapter(self):
        for path in Path("berylshift").rglob("*.py"):
            if path.parts[1] in ("platform", "tests", "stand_ins"):
                continue
            if path.name in self.WIRING:
                continue
            platform_modules = {
                n for n in self.imports(path) if "berylshift.platform" in n
            }
            with self.subTest(path=str(path)):
                self.assertEqual(platform_modules, set())

    def test_no_other_module_contains_the_platforms_headers(self):
        for path in Path("berylshift").rglob("*.py"):
            if path.parts[1] in ("platform", "tests"):
                continue
            text = path.read_text(encoding="utf-8").lower()
            with self.subTest(path=str(path)):
                self.assertNotIn("berylshift-attempt-id", text)
                self.assertNotIn("berylshift-kv", text)
                self.assertNotIn("rows-feed", text)

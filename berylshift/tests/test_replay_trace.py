"""Tests of parsing and checking traces, and of short virtual replays."""

import tempfile
import unittest
from pathlib import Path

import msgspec
from cleo.testers.command_tester import CommandTester

from berylshift.replay.trace import (
    EventKind,
    Expect,
    Kind,
    TraceEvent,
    TraceHeader,
    TraceRequest,
    parse_trace,
    read_trace,
    write_trace,
)
from berylshift.replay.virtual import replay_virtual
from berylshift.replay.virtual_fleet import FleetSpec
from berylshift.replay.workloads import CONSORCIO, Mixture, Phase, make_trace
from berylshift.tools.replay_command import ReplayCommand
from berylshift.tools.session import Exit

HEADER = b'{"trace": "t", "expect": {"lost": 0}}'
REQUEST = TraceRequest(
    0, "c", "hobart", "nestwatch", Kind.MODEL, "m", "", "p", 100, 20, 30000
)


class ParseTest(unittest.TestCase):
    """Invalid lines are reported by number."""

    def errors(self, *lines: bytes) -> list[str]:
        return [str(error) for error in parse_trace("t", [*lines]).failure().errors]

    def test_valid_lines(self):
        trace = parse_trace("t", [HEADER, msgspec.json.encode(REQUEST)]).unwrap()
        self.assertEqual(trace.requests, [REQUEST])

    def test_every_invalid_line_is_reported(self):
        errors = self.errors(
            HEADER, b"{}", b"nonsense", b'{"at_ms": 1, "event": "fly"}'
        )
        self.assertEqual(
            [line.split(":")[0] for line in errors], ["line 2", "line 3", "line 4"]
        )

    def test_missing_header(self):
        self.assertTrue(self.errors(b"{}")[0].startswith("line 1"))

    def test_unknown_field(self):
        line = msgspec.json.encode(REQUEST)[:-1] + b',"colour":1}'
        self.assertIn("colour", self.errors(HEADER, line)[0])

    def test_request_without_model(self):
        line = msgspec.json.encode(msgspec.structs.replace(REQUEST, model=""))
        self.assertIn("names its model", self.errors(HEADER, line)[0])

    def test_event_without_who(self):
        self.assertIn(
            "names who", self.errors(HEADER, b'{"at_ms":1,"event":"kill"}')[0]
        )

    def test_written_trace_can_be_read(self):
        with tempfile.TemporaryDirectory() as name:
            path = Path(name, "t.jsonl")
            event = TraceEvent(5, EventKind.KILL, "host-1")
            write_trace(path, TraceHeader("t", Expect(lost=0)), [event, REQUEST])
            trace = read_trace(str(path)).unwrap()
        self.assertEqual((trace.requests, trace.events), ([REQUEST], [event]))

    def test_recorded_traces_are_valid(self):
        for path in sorted(Path("traces").glob("*.jsonl")):
            with self.subTest(path=path.name):
                self.assertGreater(len(read_trace(str(path)).unwrap().requests), 1000)


class VirtualReplayTest(unittest.TestCase):
    """Short replays on the virtual clock."""

    def trace(self, events=(), expect=None):
        mixture = Mixture(prompt=600, output=60, plain_share=0.4)
        phases = [Phase(12.0, 8.0, mixture)]
        expect = expect or Expect(lost=0, doubled=0, cut=0, goodput_min=0.9)
        return make_trace("short", CONSORCIO, phases, expect, list(events))

    def test_same_seed_gives_the_same_result(self):
        first = replay_virtual(self.trace(), FleetSpec(seed=3))
        second = replay_virtual(self.trace(), FleetSpec(seed=3))
        self.assertEqual(first, second)
        self.assertEqual(first.unmet, [])

    def test_failures_cause_no_lost_doubled_or_cut_requests(self):
        # Kills, a paused host, a cut link and a store outage within twelve seconds.
        events = [
            TraceEvent(1000, EventKind.KILL, "engine-1"),
            TraceEvent(2000, EventKind.KILL, "host-1"),
            TraceEvent(3000, EventKind.PAUSE, "host-2"),
            TraceEvent(4000, EventKind.CUT, "host-3", to="engine-2"),
            TraceEvent(5000, EventKind.STORE_DOWN),
            TraceEvent(6000, EventKind.KILL, "inventory-1"),
            TraceEvent(7000, EventKind.RESUME, "host-2"),
            TraceEvent(8000, EventKind.STORE_UP),
            TraceEvent(8500, EventKind.RESUME, "engine-1"),
            TraceEvent(9000, EventKind.DRAIN, "engine-4"),
            TraceEvent(9500, EventKind.HEAL, "host-3", to="engine-2"),
            TraceEvent(10000, EventKind.WITHDRAW, "host-5"),
        ]
        expect = Expect(lost=0, doubled=0, cut=0)
        result = replay_virtual(self.trace(events, expect), FleetSpec(seed=4))
        self.assertEqual(result.unmet, [], result)

    def test_command_exits_1_if_the_expected_outcome_is_not_met(self):
        code, _ = self.run_command(self.trace(expect=Expect(goodput_min=1.1)))
        self.assertEqual(code, Exit.NOT_DONE)

    def test_command_prints_one_json_object_per_trace(self):
        code, text = self.run_command(self.trace(), "--json")
        self.assertEqual(code, Exit.OK)
        self.assertEqual(msgspec.json.decode(text)["lost"], 0)

    def test_command_rejects_an_invalid_trace_and_policy(self):
        tester = CommandTester(ReplayCommand())
        self.assertEqual(tester.execute("/no/such --virtual"), Exit.BAD_INPUT)
        code, _ = self.run_command(self.trace(), "--policy magic")
        self.assertEqual(code, Exit.BAD_INPUT)

    def run_command(self, trace, *options):
        with tempfile.TemporaryDirectory() as name:
            path = Path(name, "t.jsonl")
            write_trace(path, TraceHeader(trace.name, trace.expect), trace.requests)
            tester = CommandTester(ReplayCommand())
            code = tester.execute(f"{path} --virtual {' '.join(options)}")
        return code, tester.io.fetch_output()

"""Tests of the operators' commands against an in-memory platform."""

import random
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import msgspec
from cleo.testers.application_tester import ApplicationTester

from berylshift.clock import LoopClock, ManualClock
from berylshift.connection.status import HostStatus, TargetStatus
from berylshift.ids import ChangeId, DomainName, HostName, Incarnation
from berylshift.process.limits.store_budget import StoreBudget
from berylshift.request.messages import CandidateEstimate, Decision
from berylshift.stand_ins.fake_platform import FakePlatform, MemoryPlatform
from berylshift.store.batch import TableGate
from berylshift.store.interfaces import HostEntry, HostState
from berylshift.tests.support import engines_table, run_virtual
from berylshift.tools.cli import make_application
from berylshift.tools.session import Exit, PlatformCommand, PlatformSession
from berylshift.version.changelog import TableLog
from berylshift.version.diff import Edit

ENTRY = HostEntry(
    HostName("host-1"),
    Incarnation("host-1/1/1"),
    DomainName("domain-1"),
    HostState.LIVE,
    "h:1",
    "h:2",
)


class FakeSession(PlatformSession):
    """A session with a fake platform and canned host responses."""

    def __init__(self, fake: FakePlatform, responses: dict[str, bytes]):
        store = MemoryPlatform(fake)
        budget = StoreBudget(1e6, random.Random(1))
        self.log = TableLog(
            TableGate(store, LoopClock(), budget, budget, 0.0, 1), store
        )
        self.responses = responses

    async def hosts(self):
        return [ENTRY]

    async def fetch(self, entry, path):
        return self.responses.get(path)


class ToolTest(unittest.TestCase):
    """The commands as operators enter them."""

    def setUp(self):
        self.fake = FakePlatform(ManualClock())
        self.responses: dict[str, bytes] = {}
        session = FakeSession(self.fake, self.responses)
        patch = mock.patch.multiple(
            PlatformCommand,
            make_session=lambda command, cfg: session,
            run_loop=lambda command, task: run_virtual(task),
        )
        patch.start()
        self.addCleanup(patch.stop)
        rows = list(engines_table(2).rows.values())
        edit = Edit(0, rows, [])
        run_virtual(session.log.commit, edit, ChangeId("first"), "op", "")
        self.session = session

    def run_tool(self, command_line: str) -> int:
        self.tester = ApplicationTester(make_application())
        return self.tester.execute(
            f"{command_line} --platform 127.0.0.1:1", decorated=False
        )

    @property
    def output(self) -> str:
        return self.tester.io.fetch_output()

    def test_show_prints_every_row(self):
        self.assertEqual(self.run_tool("table show"), Exit.OK)
        self.assertIn("engine-2", self.output)

    def test_set_changes_one_cell_and_is_in_the_history(self):
        command_line = "table set engine-1 weight 7 --fleet nestwatch"
        self.assertEqual(self.run_tool(command_line), Exit.OK)
        self.assertIn("version 2", self.output)
        self.run_tool("table history")
        self.assertIn("route:nestwatch:engine-1", self.output)

    def test_set_on_an_old_version_conflicts(self):
        command_line = "table set engine-1 weight {} --fleet nestwatch --at 1"
        self.run_tool(command_line.format(7))
        self.assertEqual(self.run_tool(command_line.format(8)), Exit.FAILED)

    def test_bad_cell_row_and_column_exit_2(self):
        for command_line in (
            "table set engine-1 weight heavy --fleet nestwatch",
            "table set engine-9 weight 1",
            "table set engine-1 colour red",
        ):
            self.assertEqual(self.run_tool(command_line), Exit.BAD_INPUT, command_line)

    def test_export_edit_import(self):
        with tempfile.TemporaryDirectory() as name:
            path = Path(name, "table.csv")
            self.run_tool(f"table export {path}")
            text = path.read_text(encoding="utf-8")
            path.write_text(text.replace(",100,", ",50,"), encoding="utf-8")
            self.assertEqual(self.run_tool(f"table import {path}"), Exit.OK)
            self.assertEqual(self.run_tool(f"table import {path}"), Exit.FAILED)

    def test_import_of_a_bad_file_changes_nothing(self):
        with tempfile.TemporaryDirectory() as name:
            path = Path(name, "table.csv")
            path.write_text("version,1\nkind,target\nengine,e\n", encoding="utf-8")
            self.assertEqual(self.run_tool(f"table import {path}"), Exit.BAD_INPUT)
        self.assertEqual(self.fake.commits, 1)

    def test_import_with_a_version_newer_than_the_table_is_rejected(self):
        with tempfile.TemporaryDirectory() as name:
            path = Path(name, "table.csv")
            self.run_tool(f"table export {path}")
            text = path.read_text(encoding="utf-8").replace("version,1", "version,9")
            path.write_text(text, encoding="utf-8")
            self.assertEqual(self.run_tool(f"table import {path}"), Exit.BAD_INPUT)

    def test_drain_and_withdraw_set_the_state(self):
        for command_line in ("engine drain engine-1", "host withdraw host-3"):
            self.assertEqual(self.run_tool(command_line), Exit.OK, command_line)
        self.run_tool("table show")
        output = self.output
        self.assertIn("draining", output)
        self.assertIn("withdrawn", output)

    def test_drain_of_an_unknown_engine_exits_2(self):
        self.assertEqual(self.run_tool("engine drain engine-9"), Exit.BAD_INPUT)

    def test_drain_waits_until_no_host_has_open_requests(self):
        self.responses["/status"] = msgspec.json.encode(self.status(open_here=0))
        self.assertEqual(self.run_tool("engine drain engine-1 --wait 5"), Exit.OK)
        self.assertIn("engine-1 is empty", self.output)
        self.responses["/status"] = msgspec.json.encode(self.status(open_here=1))
        code = self.run_tool("engine drain engine-2 --wait 0.1")
        self.assertEqual(code, Exit.FAILED)

    def status(self, open_here: int) -> HostStatus:
        targets = [
            TargetStatus(
                name, "engine", "m", "d", "active", "mixed", 1, 0, 0.5, open_here, False
            )
            for name in ("engine-1", "engine-2")
        ]
        return HostStatus(
            "host-1", "i", "d", True, "serving", 9, 0.1, 1, 0, 1, 0, 0, targets, []
        )

    def test_status_shows_hosts_and_targets(self):
        self.responses["/status"] = msgspec.json.encode(self.status(open_here=3))
        self.assertEqual(self.run_tool("status"), Exit.OK)
        self.assertIn("engine-1", self.output)

    def test_status_without_a_response_exits_1(self):
        self.assertEqual(self.run_tool("status"), Exit.FAILED)

    def test_explain_renders_the_candidates(self):
        weighed = [
            CandidateEstimate("engine-1", 0.1, 2.0, 3, 10),
            CandidateEstimate("engine-2", 0.2, 4.0),
        ]
        decision = Decision("r1", 0.0, "engine", "engine-1", "least", weighed)
        self.responses["/decisions/r1"] = msgspec.json.encode([decision])
        self.assertEqual(self.run_tool("explain r1"), Exit.OK)
        output = self.output
        self.assertIn("* engine-1", output)
        self.assertIn("end in 4.00 s", output)
        self.assertEqual(self.run_tool("explain r2"), Exit.FAILED)

    def test_unreachable_platform_exits_3(self):
        self.fake.script.down = True
        self.assertEqual(self.run_tool("table show"), Exit.PLATFORM_UNAVAILABLE)

    def test_edit_whose_responses_are_lost_is_found(self):
        self.fake.script.lose_answers = 1
        command_line = "table set engine-1 weight 7 --fleet nestwatch"
        self.assertEqual(self.run_tool(command_line), Exit.OK)
        self.assertEqual(self.fake.commits, 2)
        self.assertEqual(len(self.fake.rows), 3)

    def test_missing_platform_option_exits_2(self):
        tester = ApplicationTester(make_application())
        self.assertEqual(tester.execute("table show"), Exit.BAD_INPUT)

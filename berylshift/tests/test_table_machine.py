"""Interleavings of edits: concurrent operators, lost responses, following hosts."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Success

from berylshift.clock import ManualClock
from berylshift.ids import ChangeId
from berylshift.process.table.follower import TableHolder
from berylshift.stand_ins.fake_platform import FakePlatform
from berylshift.store.interfaces import PlatformError, ResponseLostError
from berylshift.tests.support import EXPLORE, engine_row, route_row
from berylshift.version.changelog import TableLog
from berylshift.version.diff import Edit

MACHINE = settings(EXPLORE, max_examples=150, stateful_step_count=60)


class _Yield:
    """Yields control before a store call, so that a test can interleave calls."""

    def __await__(self):
        yield


class SteppedStore:
    """Table service and object store that yield control before every call."""

    def __init__(self, fake: FakePlatform):
        self._fake = fake

    async def read(self, keys, priority):
        await _Yield()
        return self._fake.read(keys)

    async def transact(self, transaction, priority):
        await _Yield()
        return self._fake.transact(transaction)

    async def get(self, name):
        await _Yield()
        return self._fake.objects.get(name)

    async def put(self, name, data):
        await _Yield()
        self._fake.objects[name] = data


class Operator:
    """One operator whose edit is being committed."""

    def __init__(self, number: int, log: TableLog, edit: Edit):
        self.change_id = ChangeId(f"c{number}")
        self.edit = edit
        self.result = None
        self.response_lost = False
        self.done = False
        self._coroutine = log.commit(edit, self.change_id, f"op{number}", "")

    def step(self) -> None:
        """Run to the next store call."""
        if self.done:
            return
        try:
            self._coroutine.send(None)
        except StopIteration as stop:
            self.result, self.done = stop.value, True
        except ResponseLostError:
            self.done = self.response_lost = True
        except PlatformError:
            self.done = True

    def close(self) -> None:
        self._coroutine.close()


def make_log(fake: FakePlatform) -> TableLog:
    """Return a log whose store calls can be stepped."""
    store = SteppedStore(fake)
    return TableLog(store, store)


def run_now(coroutine):
    """Run a stepped coroutine to completion."""
    while True:
        try:
            coroutine.send(None)
        except StopIteration as stop:
            return stop.value


class TableMachine(RuleBasedStateMachine):
    """Operators and three hosts that share one store."""

    def __init__(self):
        super().__init__()
        self.fake = FakePlatform(ManualClock())
        self.log = make_log(self.fake)
        rows = []
        for number in (1, 2, 3):
            rows += [engine_row(f"engine-{number}"), route_row(f"engine-{number}")]
        run_now(self.log.commit(Edit(0, rows, []), ChangeId("c0"), "first", ""))
        self.operators: list[Operator] = []
        self.accepted: dict[str, Edit] = {}
        self.edit_count = 0
        self.hosts = [TableHolder() for _ in range(3)]
        self.highest = [0, 0, 0]

    @rule(engine=st.integers(1, 3), weight=st.integers(1, 9), lag=st.integers(0, 2))
    def edit(self, engine, weight, lag):
        """Let an operator start an edit, possibly from an old version."""
        self.edit_count += 1
        head, _ = run_now(self.log.read_head())
        row = route_row(f"engine-{engine}", weight=weight * 1000 + self.edit_count)
        edit = Edit(max(1, head.version - lag), [row], [])
        self.operators.append(Operator(self.edit_count, self.log, edit))

    @rule(index=st.integers(0, 3), lose_response=st.booleans())
    def step(self, index, lose_response):
        """Let one operator run to its next store call."""
        active = [item for item in self.operators if not item.done]
        if not active:
            return
        operator = active[index % len(active)]
        self.fake.script.lose_answers = 1 if lose_response else 0
        operator.step()
        self.fake.script.lose_answers = 0
        if isinstance(operator.result, Success):
            self.accepted[operator.change_id] = operator.edit

    @rule(host=st.integers(0, 2))
    def read_store(self, host):
        """Let a host read new versions from the store."""
        holder = self.hosts[host]
        head, _ = run_now(self.log.read_head())
        if head.version > holder.table.version:
            holder.offer(run_now(self.log.catch_up(holder.table, head)))

    @rule(host=st.integers(0, 2), peer=st.integers(0, 2))
    def copy_from_peer(self, host, peer):
        self.hosts[host].offer(self.hosts[peer].table)

    @invariant()
    def versions_never_decrease(self):
        for index, holder in enumerate(self.hosts):
            assert holder.table.version >= self.highest[index]
            self.highest[index] = holder.table.version

    @invariant()
    def accepted_edits_are_in_the_history_exactly_once(self):
        head, _ = run_now(self.log.read_head())
        history = run_now(self.log.read_changes(0, head.version))
        ids = [change.change_id for change in history]
        assert len(ids) == len(set(ids)), "a change was committed twice"
        assert set(self.accepted) <= set(ids), "an accepted change is lost"

    @invariant()
    def no_edit_overwrote_an_unseen_change_of_a_row(self):
        head, _ = run_now(self.log.read_head())
        history = run_now(self.log.read_changes(0, head.version))
        edits = {operator.change_id: operator.edit for operator in self.operators}
        for change in history[1:]:
            edit = edits[change.change_id]
            unseen = history[edit.base : change.version - 1]
            changed = {row.key for other in unseen for row in other.put}
            assert not changed & edit.keys

    def teardown(self):
        for operator in self.operators:
            operator.close()


class TableVersionsTest(TableMachine.TestCase):
    """Accepted edits persist, versions only increase, unseen changes are kept."""

    settings = MACHINE


class LostCommitTest(unittest.TestCase):
    """A commit whose response is lost, and reading through a snapshot."""

    def test_is_found_by_its_change_id_and_not_repeated(self):
        # The edit is committed but the response is lost. A plain retry would fail with
        # a conflict between the edit and itself.
        machine = TableMachine()
        machine.edit(1, 5, 0)
        operator = machine.operators[0]
        while not operator.done:
            machine.step(0, True)
        self.assertIsInstance(operator.result, Success)
        head, _ = run_now(machine.log.read_head())
        self.assertEqual(head.version, 2)
        machine.teardown()

    def test_many_versions_are_read_through_a_snapshot(self):
        machine = TableMachine()
        for number in range(70):
            row = route_row("engine-1", weight=number + 1)
            edit = Edit(number + 1, [row], [])
            run_now(machine.log.commit(edit, ChangeId(f"m{number}"), "op", ""))
        head, _ = run_now(machine.log.read_head())
        self.assertEqual(head.snapshot, 64)
        self.fake = machine.fake
        reads = self.fake.reads
        table = run_now(machine.log.load())
        self.assertEqual(table.version, 71)
        self.assertEqual(table.rows[row.key].weight, 70)
        self.assertLessEqual(self.fake.reads - reads, 2)
        self.assertEqual(run_now(machine.log.load_version(3)).rows[row.key].weight, 2)

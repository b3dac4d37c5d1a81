"""Edits, merges and validation of the table."""

import unittest

import msgspec

from berylshift.ids import TableVersion
from berylshift.tests.support import (
    engine_row,
    engines_table,
    route_row,
    service_row,
)
from berylshift.version.checks import check_rows
from berylshift.version.diff import Conflict, Edit, Rejected, edit_between, merge
from berylshift.version.rows import OrderCheck, Row, RowKind
from berylshift.version.table import Change, Table


def change(version: int, *rows: Row, drop=()) -> Change:
    """Return another operator's change."""
    return Change(TableVersion(version), f"c{version}", "other", "", list(rows), drop)


class MergeTest(unittest.TestCase):
    """Two operators edit the table concurrently."""

    def setUp(self):
        self.base = engines_table(3, version=4)

    def test_edits_of_different_rows_merge(self):
        # One operator changes the weight of engine-1, the other one that of engine-2.
        # Both edits are valid and neither conflicts with the other.
        theirs = change(5, route_row("engine-1", weight=7))
        mine = Edit(4, [route_row("engine-2", weight=9)], [])
        rows = merge(mine, self.base.apply(theirs), [theirs]).unwrap()
        weights = {row.target: row.weight for row in rows if row.kind is RowKind.ROUTE}
        self.assertEqual(weights["engine-1"], 7)
        self.assertEqual(weights["engine-2"], 9)

    def test_edits_of_the_same_row_conflict_and_name_it(self):
        theirs = change(5, route_row("engine-1", weight=7))
        mine = Edit(4, [route_row("engine-1", weight=9)], [])
        error = merge(mine, self.base.apply(theirs), [theirs]).failure()
        self.assertIsInstance(error, Conflict)
        self.assertEqual(error.rows, ["route:nestwatch:engine-1"])
        self.assertIn("version 4 to 5", str(error))

    def test_merge_that_makes_the_table_invalid_is_rejected(self):
        # The other operator removed the engine that this route names.
        engine = engine_row("engine-1").key
        route = route_row("engine-1").key
        theirs = change(5, drop=[engine, route])
        mine = Edit(4, [route_row("engine-1", fleet="consorcio")], [])
        error = merge(mine, self.base.apply(theirs), [theirs]).failure()
        self.assertIsInstance(error, Rejected)
        self.assertEqual(error.faults[0].column, "target")

    def test_edit_between_contains_only_the_differences(self):
        rows = [row for row in self.base.rows.values() if row.target != "engine-3"]
        rows[0] = msgspec.structs.replace(rows[0], limit=9)
        edit = edit_between(self.base, rows)
        self.assertEqual([row.target for row in edit.put], ["engine-1"])
        self.assertEqual({key.target for key in edit.drop}, {"engine-3"})

    def test_change_must_be_of_the_next_version(self):
        with self.assertRaises(ValueError):
            self.base.apply(change(6))


class CheckTest(unittest.TestCase):
    """Invalid and inconsistent rows."""

    def fault_columns(self, *rows: Row) -> list[str]:
        return [fault.column for fault in check_rows(rows)]

    def test_valid_rows_have_no_faults(self):
        self.assertEqual(self.fault_columns(*engines_table(3).rows.values()), [])

    def test_engine_requires_an_order_check(self):
        row = engine_row("engine-1", orders=OrderCheck.NONE)
        self.assertEqual(self.fault_columns(row), ["orders"])

    def test_services_accept_no_orders(self):
        row = service_row("booking-1", orders=OrderCheck.REFUSES)
        self.assertEqual(self.fault_columns(row), ["orders"])

    def test_route_to_an_unknown_target(self):
        self.assertEqual(self.fault_columns(route_row("engine-9")), ["target"])

    def test_route_limit_above_the_limit_of_its_target(self):
        rows = (engine_row("engine-1", limit=8), route_row("engine-1", limit=9))
        self.assertEqual(self.fault_columns(*rows), ["limit"])

    def test_two_targets_with_one_address(self):
        rows = (engine_row("engine-1"), engine_row("engine-2", address="10.0.0.1:8000"))
        self.assertEqual(self.fault_columns(*rows), ["address"])

    def test_customer_of_an_unknown_fleet(self):
        row = Row(RowKind.CUSTOMER, "c", fleet="nowhere")
        self.assertEqual(self.fault_columns(row), ["fleet"])

    def test_faults_name_row_value_and_reason(self):
        fault = check_rows([route_row("engine-9")])[0]
        self.assertEqual(
            str(fault),
            "row route:nestwatch:engine-9, column target: 'engine-9':"
            " no engine or service row has this name",
        )


class CandidatesTest(unittest.TestCase):
    """Targets that a table offers for new work."""

    def test_only_active_targets_with_a_weight_accept_work(self):
        rows = [
            engine_row("engine-1", state="draining"),
            route_row("engine-1"),
            engine_row("engine-2"),
            route_row("engine-2", weight=0),
            engine_row("engine-3"),
            route_row("engine-3", limit=5),
        ]
        rows = [msgspec.convert(msgspec.to_builtins(row), Row) for row in rows]
        found = Table(TableVersion(1), rows).candidates("nestwatch", "match-note")
        self.assertEqual([candidate.row.target for candidate in found], ["engine-3"])
        self.assertEqual(found[0].limit, 5)

    def test_another_fleet_has_no_candidates(self):
        self.assertEqual(engines_table(2).candidates("consorcio", "match-note"), [])

"""Tests of the table as CSV."""

import unittest

from returns.result import Failure, Success

from berylshift.tests.support import engines_table
from berylshift.version.rows import Row
from berylshift.version.table_csv import read_sheet, row_with, write_sheet


class SheetTest(unittest.TestCase):
    """Exports and imports."""

    def setUp(self):
        self.table = engines_table(2, version=7)
        self.text = write_sheet(self.table)

    def test_export_reads_back_as_the_same_rows_and_version(self):
        sheet = read_sheet(self.text).unwrap()
        self.assertEqual(sheet.base, 7)
        self.assertEqual({row.key: row for row in sheet.rows}, self.table.rows)

    def test_bad_weight_is_named_by_line_and_column(self):
        bad = self.text.replace(",100,", ",heavy,", 1)
        faults = read_sheet(bad).failure()
        self.assertEqual((faults[0].row, faults[0].column), ("line 3", "weight"))
        self.assertEqual(faults[0].value, "heavy")

    def test_unknown_column_is_a_fault(self):
        bad = self.text.replace("weight", "wieght", 1)
        self.assertIsInstance(read_sheet(bad), Failure)

    def test_missing_version_line_is_a_fault(self):
        bad = self.text.split("\n", 1)[1]
        faults = read_sheet(bad).failure()
        self.assertIn("version,N", faults[0].reason)

    def test_all_faults_are_reported_at_once(self):
        bad = self.text.replace("10.0.0.1:8000", "nowhere").replace(
            "10.0.0.2:8000", "10.0.0.2:0"
        )
        columns = [fault.column for fault in read_sheet(bad).failure()]
        self.assertEqual(columns, ["address", "address"])

    def test_two_rows_with_one_key_contradict_each_other(self):
        line = self.text.splitlines()[2]
        reasons = [fault.reason for fault in read_sheet(self.text + line).failure()]
        self.assertIn("another row has the same key", reasons)

    def test_one_cell_can_be_changed(self):
        row: Row = next(iter(self.table.rows.values()))
        match row_with(row, "weight", "5"):
            case Success(changed):
                self.assertEqual(changed.weight, 5)
        self.assertIsInstance(row_with(row, "weight", "-1x"), Failure)
        self.assertIsInstance(row_with(row, "colour", "red"), Failure)

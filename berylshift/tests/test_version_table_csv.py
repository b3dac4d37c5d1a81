"""Export and import of the table as CSV."""

import unittest

from returns.result import Failure, Success

from berylshift.tests.support import engines_table
from berylshift.version.rows import Row
from berylshift.version.table_csv import format_csv, parse_csv, with_cell


class TableCsvTest(unittest.TestCase):
    """Export, import and validation."""

    def setUp(self):
        self.table = engines_table(2, version=7)
        self.text = format_csv(self.table)

    def test_export_parses_to_the_same_rows_and_version(self):
        parsed = parse_csv(self.text).unwrap()
        self.assertEqual(parsed.base, 7)
        self.assertEqual({row.key: row for row in parsed.rows}, self.table.rows)

    def test_invalid_weight_is_reported_with_line_and_column(self):
        bad = self.text.replace(",100,", ",heavy,", 1)
        faults = parse_csv(bad).failure()
        self.assertEqual((faults[0].row, faults[0].column), ("line 3", "weight"))
        self.assertEqual(faults[0].value, "heavy")

    def test_unknown_column_is_a_fault(self):
        bad = self.text.replace("weight", "wieght", 1)
        self.assertIsInstance(parse_csv(bad), Failure)

    def test_missing_version_line_is_a_fault(self):
        bad = self.text.split("\n", 1)[1]
        faults = parse_csv(bad).failure()
        self.assertIn("version,N", faults[0].reason)

    def test_all_faults_are_reported_at_once(self):
        bad = self.text.replace("10.0.0.1:8000", "nowhere").replace(
            "10.0.0.2:8000", "10.0.0.2:0"
        )
        columns = [fault.column for fault in parse_csv(bad).failure()]
        self.assertEqual(columns, ["address", "address"])

    def test_duplicate_key_is_a_fault(self):
        line = self.text.splitlines()[2]
        reasons = [fault.reason for fault in parse_csv(self.text + line).failure()]
        self.assertIn("another row has the same key", reasons)

    def test_one_cell_can_be_changed(self):
        row: Row = next(iter(self.table.rows.values()))
        match with_cell(row, "weight", "5"):
            case Success(changed):
                self.assertEqual(changed.weight, 5)
        self.assertIsInstance(with_cell(row, "weight", "-1x"), Failure)
        self.assertIsInstance(with_cell(row, "colour", "red"), Failure)

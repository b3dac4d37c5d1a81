"""The operators' table as CSV, for editing in a spreadsheet."""

import csv
import io

import msgspec
from returns.result import Failure, Result, Success

from berylshift.version.checks import Fault, check_rows
from berylshift.version.rows import COLUMNS, Row
from berylshift.version.table import Table

VERSION_CELL = "version"


class CsvTable(msgspec.Struct, frozen=True):
    """Rows of a CSV file and the table version that it was exported from."""

    base: int
    rows: list[Row]


def format_csv(table: Table) -> str:
    """Return the table as CSV: version, column names, then one line per row."""
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow([VERSION_CELL, table.version])
    writer.writerow(COLUMNS)
    for key in sorted(table.rows):
        row = table.rows[key]
        writer.writerow([getattr(row, column) for column in COLUMNS])
    return out.getvalue()


def parse_csv(text: str) -> Result[CsvTable, list[Fault]]:
    """Return the parsed file, or all its faults with their lines."""
    lines = list(csv.reader(io.StringIO(text)))
    header_faults = _header_faults(lines)
    if header_faults:
        return Failure(header_faults)
    rows: list[Row] = []
    faults: list[Fault] = []
    for number, cells in enumerate(lines[2:], start=3):
        if not any(cells):
            continue
        match _parse_line(number, lines[1], cells):
            case Success(row):
                rows.append(row)
            case Failure(fault):
                faults.append(fault)
    faults += check_rows(rows)
    if faults:
        return Failure(faults)
    return Success(CsvTable(int(lines[0][1]), rows))


def _header_faults(lines: list[list[str]]) -> list[Fault]:
    if len(lines) < 2:
        return [Fault("1", "", "", "needs a version line and a line of column names")]
    first = [cell for cell in lines[0] if cell]
    if len(first) != 2 or first[0] != VERSION_CELL or not first[1].isdigit():
        reason = "must be 'version,N' as the export wrote it"
        return [Fault("1", "", ",".join(first), reason)]
    return [
        Fault("2", name, name, f"no such column; there are {', '.join(COLUMNS)}")
        for name in lines[1]
        if name not in COLUMNS
    ]


def _parse_line(number: int, names: list[str], cells: list[str]) -> Result[Row, Fault]:
    values = {
        name: cell.strip()
        for name, cell in zip(names, cells, strict=False)
        if cell.strip()
    }
    return row_from_cells(f"line {number}", values)


def row_from_cells(where: str, values: dict[str, str]) -> Result[Row, Fault]:
    """Return the row with these cells; ``where`` names it in a fault."""
    try:
        return Success(msgspec.convert(values, Row, strict=False))
    except msgspec.ValidationError as exc:
        reason, _, path = str(exc).partition(" - at `$.")
        column = path.rstrip("`") or "kind"
        return Failure(Fault(where, column, values.get(column, ""), reason))


def with_cell(row: Row, column: str, text: str) -> Result[Row, Fault]:
    """Return ``row`` with one cell changed."""
    where = str(row.key)
    if column not in COLUMNS:
        reason = f"no such column; there are {', '.join(COLUMNS)}"
        return Failure(Fault(where, column, text, reason))
    cells = {name: str(getattr(row, name)) for name in COLUMNS}
    return row_from_cells(where, {**cells, column: text})

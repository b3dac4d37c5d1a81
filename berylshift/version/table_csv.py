"""The table as CSV, so that a spreadsheet can edit it."""

import csv
import io

import msgspec
from returns.result import Failure, Result, Success

from berylshift.version.checks import Fault, check_rows
from berylshift.version.rows import COLUMNS, Row
from berylshift.version.table import Table

VERSION_CELL = "version"


class Sheet(msgspec.Struct, frozen=True):
    """A CSV file's rows and the table version that it was exported at."""

    base: int
    rows: list[Row]


def write_sheet(table: Table) -> str:
    """Return the table as CSV: version, column names, then a line a row."""
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow([VERSION_CELL, table.version])
    writer.writerow(COLUMNS)
    for key in sorted(table.rows):
        row = table.rows[key]
        writer.writerow([getattr(row, column) for column in COLUMNS])
    return out.getvalue()


def read_sheet(text: str) -> Result[Sheet, list[Fault]]:
    """Return the sheet, or every fault in it with its line."""
    lines = list(csv.reader(io.StringIO(text)))
    head_faults = _head_faults(lines)
    if head_faults:
        return Failure(head_faults)
    rows: list[Row] = []
    faults: list[Fault] = []
    for number, cells in enumerate(lines[2:], start=3):
        if not any(cells):
            continue
        match _read_line(number, lines[1], cells):
            case Success(row):
                rows.append(row)
            case Failure(fault):
                faults.append(fault)
    faults += check_rows(rows)
    if faults:
        return Failure(faults)
    return Success(Sheet(int(lines[0][1]), rows))


def _head_faults(lines: list[list[str]]) -> list[Fault]:
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


def _read_line(number: int, names: list[str], cells: list[str]) -> Result[Row, Fault]:
    values = {
        name: cell.strip()
        for name, cell in zip(names, cells, strict=False)
        if cell.strip()
    }
    return row_from_cells(f"line {number}", values)


def row_from_cells(where: str, values: dict[str, str]) -> Result[Row, Fault]:
    """Return the row that the cells spell; ``where`` names it in a fault."""
    try:
        return Success(msgspec.convert(values, Row, strict=False))
    except msgspec.ValidationError as exc:
        reason, _, path = str(exc).partition(" - at `$.")
        column = path.rstrip("`") or "kind"
        return Failure(Fault(where, column, values.get(column, ""), reason))


def row_with(row: Row, column: str, text: str) -> Result[Row, Fault]:
    """Return ``row`` with one cell changed."""
    where = str(row.key)
    if column not in COLUMNS:
        reason = f"no such column; there are {', '.join(COLUMNS)}"
        return Failure(Fault(where, column, text, reason))
    cells = {name: str(getattr(row, name)) for name in COLUMNS}
    return row_from_cells(where, {**cells, column: text})

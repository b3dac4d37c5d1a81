"""Commands on the operators' table."""

from pathlib import Path

from cleo.helpers import argument, option
from returns.result import Failure, Success

from berylshift.tools.session import (
    CONFIG,
    PLATFORM,
    Exit,
    PlatformCommand,
    PlatformSession,
    ToolError,
)
from berylshift.version.diff import Edit, edit_between
from berylshift.version.rows import COLUMNS, Row, RowKind
from berylshift.version.table import Table
from berylshift.version.table_csv import CsvTable, format_csv, parse_csv, with_cell


class TableShow(PlatformCommand):
    """Prints the table for reading."""

    name = "table show"
    description = "Print the table in force."
    options = [CONFIG, PLATFORM]

    async def work(self, session: PlatformSession) -> int:
        """Print the rows."""
        table = await session.log.load()
        self.line(f"version {table.version}")
        rendered = self.table()
        rendered.set_headers(list(COLUMNS))
        rendered.set_rows(
            [
                [str(getattr(table.rows[key], column)) for column in COLUMNS]
                for key in sorted(table.rows)
            ]
        )
        rendered.render()
        return Exit.OK


class TableExport(PlatformCommand):
    """Writes the table as CSV."""

    name = "table export"
    description = "Write the table as CSV, with its version, for a spreadsheet."
    arguments = [argument("file", "The file to write; '-' for standard output.")]
    options = [CONFIG, PLATFORM]

    async def work(self, session: PlatformSession) -> int:
        """Write the file."""
        text = format_csv(await session.log.load())
        path = self.argument("file")
        if path == "-":
            self.io.write(text)
        else:
            Path(path).write_text(text, encoding="utf-8")
        return Exit.OK


class TableImport(PlatformCommand):
    """Puts an edited CSV in force."""

    name = "table import"
    description = "Accept an edited export; conflicts name their rows."
    arguments = [argument("file", "The edited file.")]
    options = [CONFIG, PLATFORM]

    async def work(self, session: PlatformSession) -> int:
        """Commit what differs from the version that was exported."""
        sheet = self._read()
        head, _ = await session.log.read_head()
        if sheet.base > head.version:
            text = f"the file says version {sheet.base}, the newest is {head.version}"
            raise ToolError(Exit.BAD_INPUT, text)
        base = await session.log.load_version(sheet.base)
        edit = edit_between(base, sheet.rows)
        if not edit.keys:
            self.line("nothing differs")
            return Exit.OK
        return self.report(await session.commit(edit))

    def _read(self) -> CsvTable:
        try:
            text = Path(self.argument("file")).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as exc:
            raise ToolError(Exit.BAD_INPUT, f"file can't be read: {exc}") from exc
        match parse_csv(text):
            case Success(sheet):
                return sheet
            case Failure(faults):
                lines = "\n".join(str(fault) for fault in faults)
                raise ToolError(Exit.BAD_INPUT, f"nothing was changed:\n{lines}")
        raise ToolError(Exit.BAD_INPUT, "file can't be read")


def find_row(table: Table, name: str, fleet: str) -> Row:
    """Return the row of a target, or of a fleet's route to it."""
    for row in table.rows.values():
        route = row.kind is RowKind.ROUTE
        if row.target == name and route == bool(fleet) and row.fleet in (fleet, ""):
            return row
        if row.target == name and row.kind is RowKind.CUSTOMER and not fleet:
            return row
    raise ToolError(Exit.BAD_INPUT, f"no row {name!r}; see 'table show'")


class TableSet(PlatformCommand):
    """Changes one cell."""

    name = "table set"
    description = "Change one cell of a row."
    arguments = [
        argument("target", "The row's target."),
        argument("column", "The column."),
        argument("value", "The new value."),
    ]
    options = [
        CONFIG,
        PLATFORM,
        option("fleet", None, "Change the route row of this fleet.", flag=False),
        option("at", None, "The version that was read.", flag=False),
    ]

    async def work(self, session: PlatformSession) -> int:
        """Commit the changed row."""
        table = await self._table(session)
        row = find_row(table, self.argument("target"), self.option("fleet") or "")
        match with_cell(row, self.argument("column"), self.argument("value")):
            case Success(changed):
                edit = Edit(table.version, [changed], [])
                return self.report(await session.commit(edit))
            case Failure(fault):
                raise ToolError(Exit.BAD_INPUT, str(fault))
        return Exit.NOT_DONE

    async def _table(self, session: PlatformSession) -> Table:
        at = self.option("at")
        if at is None:
            return await session.log.load()
        if not at.isdigit():
            raise ToolError(Exit.BAD_INPUT, "--at takes a version's number")
        return await session.log.load_version(int(at))


class TableHistory(PlatformCommand):
    """Prints the accepted changes."""

    name = "table history"
    description = "Print the accepted changes, newest first."
    options = [
        CONFIG,
        PLATFORM,
        option("most", None, "How many to print.", flag=False, default="20"),
    ]

    async def work(self, session: PlatformSession) -> int:
        """Print one line a change."""
        most = self.option("most")
        if not most.isdigit():
            raise ToolError(Exit.BAD_INPUT, "--most takes a number")
        head, _ = await session.log.read_head()
        first = max(0, head.version - int(most))
        for change in reversed(await session.log.read_changes(first, head.version)):
            put = [str(row.key) for row in change.put]
            rows = ", ".join([*put, *(f"-{key}" for key in change.drop)])
            self.line(f"{change.version}  {change.at}  {change.operator}  {rows}")
        return Exit.OK

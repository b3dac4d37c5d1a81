"""Commands that mark engines, replicas and hosts as leaving or back."""

import trio
from cleo.helpers import argument, option

from berylshift.connection.status import HostStatus
from berylshift.tools.session import (
    CONFIG,
    PLATFORM,
    Exit,
    PlatformCommand,
    PlatformSession,
    ToolError,
    decode_or_none,
)
from berylshift.tools.table_commands import find_row
from berylshift.version.diff import Edit
from berylshift.version.rows import Row, RowKind, RowState
from berylshift.version.table_csv import with_cell

WAIT_STEP = 0.5
MARKS = {
    "drain": RowState.DRAINING,
    "replace": RowState.REPLACED,
    "withdraw": RowState.WITHDRAWN,
    "restore": RowState.ACTIVE,
}


class MarkCommand(PlatformCommand):
    """Marks one row; a subclass names the kind and the mark."""

    mark = RowState.ACTIVE
    arguments = [argument("name", "The row's target.")]
    options = [
        CONFIG,
        PLATFORM,
        option(
            "wait", None, "Wait up to this many seconds for it to be empty.", flag=False
        ),
        option("address", None, "With restore: the new IP:PORT.", flag=False),
    ]

    async def work(self, session: PlatformSession) -> int:
        """Commit the mark, then wait if asked to."""
        table = await session.log.load()
        row = self.row(table)
        changed = with_cell(row, "state", self.mark.value).unwrap()
        if self.option("address"):
            changed = with_cell(changed, "address", self.option("address")).unwrap()
        done = await session.commit(Edit(table.version, [changed], []))
        code = self.report(done)
        if code is not Exit.OK or not self.option("wait"):
            return code
        return await self._wait(session, done.unwrap().change.version)

    def row(self, table) -> Row:
        """Return the row to be marked."""
        row = find_row(table, self.argument("name"), "")
        if row.kind not in (RowKind.ENGINE, RowKind.SERVICE):
            raise ToolError(Exit.BAD_INPUT, f"{row.key} is no engine or replica")
        return row

    async def _wait(self, session: PlatformSession, version: int) -> int:
        """Wait until every listed host holds the version and has no work there."""
        name = self.argument("name")
        with trio.move_on_after(float(self.option("wait"))):
            while not await self._is_empty(session, name, version):
                await trio.sleep(WAIT_STEP)
            self.line(f"{name} is empty")
            return Exit.OK
        self.line_error(f"<error>{name} still has work; see 'status'</error>")
        return Exit.NOT_DONE

    async def _is_empty(
        self, session: PlatformSession, name: str, version: int
    ) -> bool:
        for entry in await session.hosts():
            status = decode_or_none(await session.ask(entry, "/status"), HostStatus)
            if status is None or status.table_version < version:
                return False
            here = [target for target in status.targets if target.target == name]
            if any(target.open_here for target in here):
                return False
        return True


class HostMarkCommand(MarkCommand):
    """Marks an entry host; it needs no row before."""

    options = [CONFIG, PLATFORM]

    def row(self, table) -> Row:
        """Return the host's row."""
        name = self.argument("name")
        return table.hosts.get(name) or Row(RowKind.HOST, name)

    def option(self, name: str | None = None):
        """Return an option; hosts have neither a wait nor an address."""
        if name in ("wait", "address"):
            return None
        return super().option(name)


def make_mark_commands() -> list[MarkCommand]:
    """Return a command for each kind and mark."""
    found = []
    for noun, base in (("engine", MarkCommand), ("host", HostMarkCommand)):
        for verb, state in MARKS.items():
            attributes = {
                "__doc__": f"Marks {noun}s as {state}.",
                "name": f"{noun} {verb}",
                "description": f"Mark the {noun} as {state}.",
                "mark": state,
            }
            kind = type(f"{noun.title()}{verb.title()}", (base,), attributes)
            found.append(kind())
    return found

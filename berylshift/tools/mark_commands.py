"""Commands that set the state of engines, replicas and hosts in the table."""

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

POLL_SECONDS = 0.5
STATES_BY_VERB = {
    "drain": RowState.DRAINING,
    "replace": RowState.REPLACED,
    "withdraw": RowState.WITHDRAWN,
    "restore": RowState.ACTIVE,
}


class MarkCommand(PlatformCommand):
    """Sets the state of one row; a subclass names the row's kind and the state."""

    state = RowState.ACTIVE
    arguments = [argument("name", "The row's target.")]
    options = [
        CONFIG,
        PLATFORM,
        option(
            "wait",
            None,
            "Wait up to this many seconds until it has no open requests.",
            flag=False,
        ),
        option("address", None, "With restore: the new IP:PORT.", flag=False),
    ]

    async def run_session(self, session: PlatformSession) -> int:
        """Commit the new state, then wait if ``--wait`` is given."""
        table = await session.log.load()
        row = self.row(table)
        changed = with_cell(row, "state", self.state.value).unwrap()
        if self.option("address"):
            changed = with_cell(changed, "address", self.option("address")).unwrap()
        result = await session.commit(Edit(table.version, [changed], []))
        code = self.print_result(result)
        if code is not Exit.OK or not self.option("wait"):
            return code
        return await self._wait(session, result.unwrap().change.version)

    def row(self, table) -> Row:
        """Return the row whose state is set."""
        row = find_row(table, self.argument("name"), "")
        if row.kind not in (RowKind.ENGINE, RowKind.SERVICE):
            raise ToolError(
                Exit.BAD_INPUT, f"{row.key} is neither an engine nor a service replica"
            )
        return row

    async def _wait(self, session: PlatformSession, version: int) -> int:
        """Wait until all listed hosts have the version and no open requests there."""
        name = self.argument("name")
        with trio.move_on_after(float(self.option("wait"))):
            while not await self._is_empty(session, name, version):
                await trio.sleep(POLL_SECONDS)
            self.line(f"{name} is empty")
            return Exit.OK
        self.line_error(f"<error>{name} still has open requests; see 'status'</error>")
        return Exit.FAILED

    async def _is_empty(
        self, session: PlatformSession, name: str, version: int
    ) -> bool:
        for entry in await session.hosts():
            status = decode_or_none(await session.fetch(entry, "/status"), HostStatus)
            if status is None or status.table_version < version:
                return False
            matching = [target for target in status.targets if target.target == name]
            if any(target.open_here for target in matching):
                return False
        return True


class HostMarkCommand(MarkCommand):
    """Sets the state of an entry host, which need not have a row yet."""

    options = [CONFIG, PLATFORM]

    def row(self, table) -> Row:
        """Return the host's row."""
        name = self.argument("name")
        return table.hosts.get(name) or Row(RowKind.HOST, name)

    def option(self, name: str | None = None):
        """Return an option's value; hosts have no ``--wait`` and no ``--address``."""
        if name in ("wait", "address"):
            return None
        return super().option(name)


def make_mark_commands() -> list[MarkCommand]:
    """Return a command for each kind of row and each verb."""
    commands = []
    for noun, base in (("engine", MarkCommand), ("host", HostMarkCommand)):
        for verb, state in STATES_BY_VERB.items():
            attributes = {
                "__doc__": f"Marks {noun}s as {state}.",
                "name": f"{noun} {verb}",
                "description": f"Mark the {noun} as {state}.",
                "state": state,
            }
            command_class = type(f"{noun.title()}{verb.title()}", (base,), attributes)
            commands.append(command_class())
    return commands

"""The operators' table as it lies in the platform: a head, changes, snapshots.

The head row names the newest version. Each version has a row with what it
changed, so that a process reads only what it lacks; every so often the whole
table goes to the object store.
"""

from dataclasses import dataclass
from typing import Protocol

import msgspec
from returns.result import Failure, Result, Success

from berylshift.ids import ChangeId, TableVersion
from berylshift.process.limits.store_budget import Priority
from berylshift.store.interfaces import (
    ABSENT,
    AnswerLostError,
    Condition,
    ObjectStore,
    PlatformError,
    StoredRow,
    Transaction,
    TransactionAnswer,
    Write,
    as_raw,
)
from berylshift.version.diff import Conflict, Edit, Rejected, merge
from berylshift.version.rows import Row
from berylshift.version.table import EMPTY_TABLE, Change, Table

HEAD_KEY = "table/head"
SNAPSHOT_EVERY = 64
CHANGES_A_READ = 64
COMMIT_TRIES = 5


class Head(msgspec.Struct, frozen=True):
    """The newest version, and the newest one with a snapshot (0: none)."""

    version: TableVersion
    change_id: ChangeId
    snapshot: int = 0
    snapshot_id: ChangeId = ChangeId("")


class Snapshot(msgspec.Struct, frozen=True):
    """A whole table of one version."""

    version: TableVersion
    rows: list[Row]


class TableLogError(Exception):
    """The table's history in the platform can't be read as it should."""


@dataclass(frozen=True)
class Accepted:
    """An accepted edit."""

    change: Change


def change_key(version: int) -> str:
    """Return the row key of a version's change."""
    return f"table/change/{version:010d}"


def snapshot_name(version: int, change_id: ChangeId) -> str:
    """Return the object name of a version's snapshot.

    Two operators may try for one version at once. The change id keeps the loser's
    snapshot from standing under the winner's name.
    """
    return f"table/snapshot/{version:010d}-{change_id}"


class RowAccess(Protocol):
    """Rows of the table service, by priority; raises ``PlatformError``."""

    async def read(self, keys: list[str], priority: Priority) -> list[StoredRow | None]:
        """Return the rows as of one moment."""

    async def transact(
        self, transaction: Transaction, priority: Priority
    ) -> TransactionAnswer:
        """Commit or name the failed conditions."""


class TableLog:
    """Reads and extends the table's history."""

    def __init__(self, gate: RowAccess, objects: ObjectStore):
        """Keep rows behind ``gate`` and snapshots in ``objects``."""
        self._gate = gate
        self._objects = objects

    async def head(self) -> tuple[Head, int]:
        """Return the head and its revision; raise ``PlatformError``."""
        found = await self._gate.read([HEAD_KEY], Priority.TABLE)
        if found[0] is None:
            return Head(TableVersion(0), ChangeId("")), ABSENT
        head = msgspec.json.decode(found[0].value, type=Head)
        return head, found[0].revision

    async def read_with_head(
        self, keys: list[str]
    ) -> tuple[Head, list[StoredRow | None]]:
        """Return the head and other rows as of the same moment."""
        found = await self._gate.read([HEAD_KEY, *keys], Priority.TABLE)
        if found[0] is None:
            return Head(TableVersion(0), ChangeId("")), found[1:]
        return msgspec.json.decode(found[0].value, type=Head), found[1:]

    async def changes(self, after: int, upto: int) -> list[Change]:
        """Return the changes of versions ``after + 1`` to ``upto``."""
        found: list[Change] = []
        for start in range(after + 1, upto + 1, CHANGES_A_READ):
            versions = range(start, min(upto + 1, start + CHANGES_A_READ))
            keys = [change_key(version) for version in versions]
            for stored in await self._gate.read(keys, Priority.TABLE):
                if stored is None:
                    raise TableLogError("a version's change is missing")
                found.append(msgspec.json.decode(stored.value, type=Change))
        return found

    async def catch_up(self, table: Table, head: Head) -> Table:
        """Return the table at ``head``, starting from ``table``."""
        if head.snapshot > table.version:
            table = await self._snapshot(head) or table
        for change in await self.changes(table.version, head.version):
            table = table.apply(change)
        return table

    async def load(self) -> Table:
        """Return the newest table; raise ``PlatformError``."""
        head, _ = await self.head()
        return await self.catch_up(EMPTY_TABLE, head)

    async def at(self, version: int) -> Table:
        """Return the table as it was at a version."""
        head, _ = await self.head()
        base = Head(TableVersion(version), ChangeId(""))
        if head.snapshot <= version:
            base = msgspec.structs.replace(head, version=TableVersion(version))
        return await self.catch_up(EMPTY_TABLE, base)

    async def _snapshot(self, head: Head) -> Table | None:
        name = snapshot_name(head.snapshot, head.snapshot_id)
        data = await self._objects.get(name)
        if data is None:
            return None
        found = msgspec.json.decode(data, type=Snapshot)
        return Table(found.version, found.rows)

    async def commit(
        self, edit: Edit, change_id: ChangeId, operator: str, at: str
    ) -> Result[Accepted, Conflict | Rejected]:
        """Have an edit accepted, or say why not; raise ``PlatformError``.

        A commit whose answer is lost is looked up by its change id: sent again
        blindly, it would conflict with itself.
        """
        for _ in range(COMMIT_TRIES):
            head, revision = await self.head()
            current = await self.catch_up(EMPTY_TABLE, head)
            since = await self.changes(edit.base, head.version)
            done = [change for change in since if change.change_id == change_id]
            if done:
                return Success(Accepted(done[0]))
            merged = merge(edit, current, since)
            if isinstance(merged, Failure):
                return merged
            change = Change(
                TableVersion(head.version + 1),
                change_id,
                operator,
                at,
                edit.put,
                edit.drop,
            )
            if await self._write(change, head, revision, merged.unwrap()):
                return Success(Accepted(change))
        raise AnswerLostError("the store gave no clear answer; look at the history")

    async def _write(
        self, change: Change, head: Head, revision: int, rows: list[Row]
    ) -> bool:
        change_id = ChangeId(change.change_id)
        new_head = msgspec.structs.replace(
            head, version=change.version, change_id=change_id
        )
        due = change.version - head.snapshot >= SNAPSHOT_EVERY
        if due and await self._put_snapshot(change, rows):
            new_head = Head(change.version, change_id, change.version, change_id)
        transaction = Transaction(
            [Condition(HEAD_KEY, revision), Condition(change_key(change.version), 0)],
            [
                Write(HEAD_KEY, as_raw(new_head)),
                Write(change_key(change.version), as_raw(change)),
            ],
        )
        try:
            answer = await self._gate.transact(transaction, Priority.TABLE)
        except AnswerLostError:
            return False
        return answer.committed

    async def _put_snapshot(self, change: Change, rows: list[Row]) -> bool:
        """Store a snapshot; a table without one is merely slower to read."""
        name = snapshot_name(change.version, ChangeId(change.change_id))
        data = msgspec.json.encode(Snapshot(change.version, rows))
        try:
            await self._objects.put(name, data)
        except PlatformError:
            return False
        return True

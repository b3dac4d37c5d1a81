"""The operators' table as stored on the platform: a head, changes and snapshots.

The head row names the newest version. Each version has a row with its changes, so
that a process reads only the versions it lacks. Every ``SNAPSHOT_INTERVAL_VERSIONS``
versions the whole table is written to the object store.
"""

from dataclasses import dataclass
from typing import Protocol

import msgspec
from returns.result import Failure, Result, Success

from berylshift.ids import ChangeId, TableVersion
from berylshift.messages.json_decoding import MalformedJsonError, decode_json
from berylshift.process.limits.store_budget import Priority
from berylshift.store.interfaces import (
    ABSENT,
    Condition,
    ObjectStore,
    PlatformError,
    ResponseLostError,
    StoredRow,
    Transaction,
    TransactionResult,
    Write,
    as_raw,
    decode_row,
)
from berylshift.version.diff import Conflict, Edit, Rejected, merge
from berylshift.version.rows import Row
from berylshift.version.table import EMPTY_TABLE, Change, Table

HEAD_KEY = "table/head"
SNAPSHOT_INTERVAL_VERSIONS = 64
CHANGES_PER_READ = 64
MAX_COMMIT_ATTEMPTS = 5


class Head(msgspec.Struct, frozen=True):
    """The newest version, and the newest version with a snapshot (0: none)."""

    version: TableVersion
    change_id: ChangeId
    snapshot: int = 0
    snapshot_id: ChangeId = ChangeId("")


class Snapshot(msgspec.Struct, frozen=True):
    """The whole table at one version."""

    version: TableVersion
    rows: list[Row]


class TableLogError(Exception):
    """The table's stored history is incomplete."""


@dataclass(frozen=True)
class Accepted:
    """An edit that was committed."""

    change: Change


def change_key(version: int) -> str:
    """Return the row key of a version's change."""
    return f"table/change/{version:010d}"


def snapshot_name(version: int, change_id: ChangeId) -> str:
    """Return the object name of a version's snapshot.

    Two operators may try to commit the same version concurrently. The change id keeps
    the snapshot of the one that fails from being read as the committed one's.
    """
    return f"table/snapshot/{version:010d}-{change_id}"


class RowAccess(Protocol):
    """Rows of the table service, by priority; all calls raise ``PlatformError``."""

    async def read(self, keys: list[str], priority: Priority) -> list[StoredRow | None]:
        """Return the rows from one consistent read."""

    async def transact(
        self, transaction: Transaction, priority: Priority
    ) -> TransactionResult:
        """Commit, or return the keys of the failed conditions."""


class TableLog:
    """Reads the table's history and appends to it."""

    def __init__(self, gate: RowAccess, objects: ObjectStore):
        """Store rows through ``gate`` and snapshots in ``objects``."""
        self._gate = gate
        self._objects = objects

    async def read_head(self) -> tuple[Head, int]:
        """Return the head and its revision; raise ``PlatformError``."""
        found = await self._gate.read([HEAD_KEY], Priority.TABLE)
        if found[0] is None:
            return Head(TableVersion(0), ChangeId("")), ABSENT
        head = decode_row(found[0], Head)
        return head, found[0].revision

    async def read_with_head(
        self, keys: list[str]
    ) -> tuple[Head, list[StoredRow | None]]:
        """Return the head and other rows from one consistent read."""
        found = await self._gate.read([HEAD_KEY, *keys], Priority.TABLE)
        if found[0] is None:
            return Head(TableVersion(0), ChangeId("")), found[1:]
        return decode_row(found[0], Head), found[1:]

    async def read_changes(self, after: int, last: int) -> list[Change]:
        """Return the changes of versions ``after + 1`` to ``last``."""
        found: list[Change] = []
        for start in range(after + 1, last + 1, CHANGES_PER_READ):
            versions = range(start, min(last + 1, start + CHANGES_PER_READ))
            keys = [change_key(version) for version in versions]
            for stored in await self._gate.read(keys, Priority.TABLE):
                if stored is None:
                    raise TableLogError(
                        f"no change row for a version in {versions[0]}-{versions[-1]}"
                    )
                found.append(decode_row(stored, Change))
        return found

    async def catch_up(self, table: Table, head: Head) -> Table:
        """Return the table at ``head``, applying changes to ``table`` or a snapshot."""
        if head.snapshot > table.version:
            table = await self._load_snapshot(head) or table
        for change in await self.read_changes(table.version, head.version):
            table = table.apply(change)
        return table

    async def load(self) -> Table:
        """Return the newest table; raise ``PlatformError``."""
        head, _ = await self.read_head()
        return await self.catch_up(EMPTY_TABLE, head)

    async def load_version(self, version: int) -> Table:
        """Return the table at a version."""
        head, _ = await self.read_head()
        base = Head(TableVersion(version), ChangeId(""))
        if head.snapshot <= version:
            base = msgspec.structs.replace(head, version=TableVersion(version))
        return await self.catch_up(EMPTY_TABLE, base)

    async def _load_snapshot(self, head: Head) -> Table | None:
        name = snapshot_name(head.snapshot, head.snapshot_id)
        data = await self._objects.get(name)
        if data is None:
            return None
        try:
            found = decode_json(data, Snapshot)
        except MalformedJsonError as exc:
            raise TableLogError(f"snapshot {name}: {exc}") from exc
        return Table(found.version, found.rows)

    async def commit(
        self, edit: Edit, change_id: ChangeId, operator: str, at: str
    ) -> Result[Accepted, Conflict | Rejected]:
        """Commit an edit, or return why it is refused; raise ``PlatformError``.

        If the response to a commit is lost, the commit is looked up by its change id:
        a plain retry would conflict with itself.
        """
        for _ in range(MAX_COMMIT_ATTEMPTS):
            head, revision = await self.read_head()
            current = await self.catch_up(EMPTY_TABLE, head)
            since = await self.read_changes(edit.base, head.version)
            committed = [change for change in since if change.change_id == change_id]
            if committed:
                return Success(Accepted(committed[0]))
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
        raise ResponseLostError(
            "outcome of the commit unknown; check the table history"
        )

    async def _write(
        self, change: Change, head: Head, revision: int, rows: list[Row]
    ) -> bool:
        change_id = ChangeId(change.change_id)
        new_head = msgspec.structs.replace(
            head, version=change.version, change_id=change_id
        )
        is_snapshot_due = change.version - head.snapshot >= SNAPSHOT_INTERVAL_VERSIONS
        if is_snapshot_due and await self._put_snapshot(change, rows):
            new_head = Head(change.version, change_id, change.version, change_id)
        transaction = Transaction(
            [Condition(HEAD_KEY, revision), Condition(change_key(change.version), 0)],
            [
                Write(HEAD_KEY, as_raw(new_head)),
                Write(change_key(change.version), as_raw(change)),
            ],
        )
        try:
            result = await self._gate.transact(transaction, Priority.TABLE)
        except ResponseLostError:
            return False
        return result.committed

    async def _put_snapshot(self, change: Change, rows: list[Row]) -> bool:
        """Store a snapshot; a failure is no error, since it only makes reads slower."""
        name = snapshot_name(change.version, ChangeId(change.change_id))
        data = msgspec.json.encode(Snapshot(change.version, rows))
        try:
            await self._objects.put(name, data)
        except PlatformError:
            return False
        return True

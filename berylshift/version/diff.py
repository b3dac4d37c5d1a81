"""Differences between tables, and the merge of an edit into a newer version."""

from collections.abc import Iterable

import msgspec
from returns.result import Failure, Result, Success

from berylshift.version.checks import Fault, check_rows
from berylshift.version.rows import Row, RowKey
from berylshift.version.table import Change, Table


class Edit(msgspec.Struct, frozen=True):
    """Rows that an operator changes, relative to the version that was read."""

    base: int
    put: list[Row]
    drop: list[RowKey]

    @property
    def keys(self) -> set[RowKey]:
        """Return the keys that the edit changes."""
        return {row.key for row in self.put} | set(self.drop)


class Conflict(msgspec.Struct, frozen=True):
    """Rows that another operator changed since the version that was read."""

    base: int
    current: int
    rows: list[str]

    def __str__(self) -> str:
        """Return the conflict as shown to operators."""
        names = ", ".join(self.rows)
        return (
            f"the table moved from version {self.base} to {self.current}, and these"
            f" rows were changed by another edit: {names}; export it again"
        )


class Rejected(msgspec.Struct, frozen=True):
    """An edit that would make the table invalid."""

    faults: list[Fault]

    def __str__(self) -> str:
        """Return the faults, one per line."""
        return "\n".join(str(fault) for fault in self.faults)


def edit_between(base: Table, rows: Iterable[Row]) -> Edit:
    """Return the edit that turns ``base`` into ``rows``."""
    wanted = {row.key: row for row in rows}
    put = [row for key, row in wanted.items() if base.rows.get(key) != row]
    drop = [key for key in base.rows if key not in wanted]
    return Edit(base.version, put, drop)


def merge(
    edit: Edit, current: Table, since: Iterable[Change]
) -> Result[list[Row], Conflict | Rejected]:
    """Return all rows after ``edit``, or why it can't be accepted.

    ``since`` holds the changes made after the version that the operator read. The edit
    is merged with them unless both change the same row.
    """
    changed: set[RowKey] = set()
    for change in since:
        changed.update(change.drop)
        changed.update(row.key for row in change.put)
    conflicting = sorted(str(key) for key in changed & edit.keys)
    if conflicting:
        return Failure(Conflict(edit.base, current.version, conflicting))
    rows = {key: row for key, row in current.rows.items() if key not in edit.drop}
    rows.update({row.key: row for row in edit.put})
    faults = check_rows(rows.values())
    if faults:
        return Failure(Rejected(faults))
    return Success(list(rows.values()))

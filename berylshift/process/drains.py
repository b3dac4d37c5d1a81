"""Who has said that it has no work at a leaving target, and since when."""

from dataclasses import dataclass, field

from berylshift.ids import Incarnation, TargetName
from berylshift.process.digest import Drained
from berylshift.process.load import LoadView
from berylshift.process.table_follower import TableHolder


@dataclass
class Drains:
    """Acknowledgements by incarnation and target; each names a table version."""

    load: LoadView
    holder: TableHolder
    acks: dict[tuple[Incarnation, TargetName], int] = field(default_factory=dict)

    def heard(self, incarnation: Incarnation, drained: list[Drained]) -> None:
        """Take a peer's word; what it no longer says no longer holds."""
        for key in [key for key in self.acks if key[0] == incarnation]:
            del self.acks[key]
        for item in drained:
            self.acks[incarnation, item.target] = item.version

    def own(self) -> list[Drained]:
        """Return this process's own word on the targets that are leaving."""
        table = self.holder.table
        return [
            Drained(row.name, table.version)
            for row in table.targets.values()
            if not row.takes_work and not self.load.open_here(row.name)
        ]

    def is_empty(
        self, target: TargetName, version: int, peers: list[Incarnation]
    ) -> bool:
        """Return whether this process and all ``peers`` vouch for a target."""
        if self.load.open_here(target):
            return False
        return all(self.acks.get((peer, target), -1) >= version for peer in peers)

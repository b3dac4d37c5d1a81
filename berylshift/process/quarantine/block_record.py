"""Replicas that crashed under prompts with one block, and for how long it is held."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from berylshift.messages.block_key import CustomerHash

# Crashes until a block is held that has not completed anywhere recently. Two may be a
# coincidence for a caller who retries once.
MIN_CRASHES = 3
# The same for a block that completed shortly before. Replicas that are lost together
# run the same common blocks.
MIN_CRASHES_AFTER_COMPLETION = 5
# The most likely coincidence by which such a block is held: that a sound one fails each
# time, as often as prompts fail at this host meanwhile.
MAX_COINCIDENCE = 1e-4
# Customers whose prompts must have crashed replicas until a block is held for all.
MIN_CUSTOMERS = 2
# How long a block is held after its latest crash: at first, and after each trial that
# crashed a replica. Three crashes may be a coincidence, which a trial shows.
HOLD_SECONDS = (3.0, 60.0, 600.0, 6_000.0, 86_400.0)
MAX_HOLD_SECONDS = HOLD_SECONDS[-1]
# Crashes by which a block is held as after a trial.
PROVEN_CRASHES = 5


@dataclass(frozen=True)
class PromptCounts:
    """Prompts that completed at this host, and that broke at crashes."""

    completed: int = 0
    broken: int = 0


@dataclass
class BlockCrash:
    """When a replica crashed, and whose prompts it was running.

    ``is_retracted``: the replica turned out to be alive.
    """

    at: float
    customers: set[CustomerHash] = field(default_factory=set)
    is_retracted: bool = False


@dataclass
class BlockTrial:
    """One request that may show that a held block is sound."""

    request: str
    at: float


@dataclass
class BlockRecord:
    """Crashes under prompts with one block since it last completed.

    ``crashes`` are by the hashes of the replicas' names. ``completed_at`` is when it
    completed before the first one, if that is known; ``ended_before`` how many prompts
    had ended at this host by then, and ``broken`` how many with the block broke since.
    """

    completed_at: float = float("-inf")
    ended_before: PromptCounts = PromptCounts()
    broken: int = 0
    crashes: dict[int, BlockCrash] = field(default_factory=dict)
    trial: BlockTrial | None = None

    def targets(self, customer: CustomerHash | None = None) -> set[int]:
        """Return the crashed replicas, those of one customer's prompts or all."""
        return {
            target
            for target, crash in self.crashes.items()
            if not crash.is_retracted
            and (customer is None or customer in crash.customers)
        }

    def targets_for(self, customer: CustomerHash) -> set[int]:
        """Return the crashed replicas that count for a customer.

        One customer's crashes count for that customer alone, so that nobody can have
        another's prompts refused. Those of several count for all.
        """
        customers = set().union(
            *(crash.customers for crash in self.crashes.values() if crash.customers)
        )
        if len(customers) >= MIN_CUSTOMERS:
            return self.targets()
        return self.targets(customer)

    def had_completed(self, seconds: float) -> bool:
        """Return whether the block completed at most so long before its crashes."""
        return self.first_crash_at - self.completed_at < seconds

    def coincidence(self, ended: PromptCounts) -> float:
        """Return how likely a sound block is to break as often as this one.

        ``ended`` are the prompts that have ended at this host by now.
        """
        broken = ended.broken - self.ended_before.broken
        all_ended = broken + ended.completed - self.ended_before.completed
        return (broken / all_ended) ** self.broken if all_ended else 1.0

    @property
    def first_crash_at(self) -> float:
        """Return the time of the earliest crash."""
        return min(crash.at for crash in self.crashes.values())

    @property
    def last_crash_at(self) -> float:
        """Return the time of the latest crash, retracted ones included."""
        return max(crash.at for crash in self.crashes.values())


def held_until(crash_times: Iterable[float]) -> float:
    """Return when a block is to be tried that is held for these crashes.

    Crashes at a time when it was held are those of requests that were under way.
    """
    level, until, count = 0, float("-inf"), 0
    for at in sorted(crash_times):
        count += 1
        if count < MIN_CRASHES:
            continue
        if count > MIN_CRASHES and at > until:
            level += 1
        elif count >= PROVEN_CRASHES:
            level = max(1, level)
        until = max(until, at + HOLD_SECONDS[min(level, len(HOLD_SECONDS) - 1)])
    return until

"""Quarantine of prompt blocks that crash the replicas that decode them.

Requests that have nothing but a block of their prompts in common may crash one replica
after the other. No such request comes twice, so crashes are also counted by block.

Many blocks are under way at each replica that crashes, and most are sound. They differ
from the cause: a sound block soon completes somewhere. So a block is held once several
replicas have crashed under it and nothing with it has completed since. Where several
blocks qualify, those whose crashes others explain better are let go. After some time
one request is let through as a trial.
"""

from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from dataclasses import replace
from math import isfinite

import msgspec

from berylshift.ids import BlockKey, Fingerprint, InstanceId
from berylshift.messages.block_key import BlockHash, block_of, customer_of, join_key
from berylshift.messages.load_digest import BlockReport, CrashReport, target_hash
from berylshift.process.quarantine.blame import Blame
from berylshift.process.quarantine.block_record import (
    MAX_COINCIDENCE,
    MAX_HOLD_SECONDS,
    MIN_CRASHES,
    MIN_CRASHES_AFTER_COMPLETION,
    BlockCrash,
    BlockRecord,
    BlockTrial,
    PromptCounts,
    held_until,
)
from berylshift.process.quarantine.crash_gossip import CrashGossip, CrashKey
from berylshift.process.quarantine.crash_record import PROVEN_QUARANTINE_SECONDS
from berylshift.process.quarantine.crash_row_queue import CrashRowQueue
from berylshift.process.quarantine.unsettled_completions import (
    SAME_CRASH_SECONDS,
    UnsettledCompletions,
)

# A block that completed this recently needs more crashes until it is held.
COMPLETED_SECONDS = 60.0
# Crashes of a block that completed this recently are not sent to other hosts: of the
# requests that a replica takes along most are prompts with common blocks.
COMMON_SECONDS = 10.0
# A cause crashes its replica within a tenth of a second of its first token.
SOUND_DECODING_SECONDS = 0.5
# How often a host answers a report by the news that the block has completed.
ANSWER_SECONDS = 1.0
# Until a trial that nothing is heard of is over.
TRIAL_SECONDS = 10.0
# The hosts that may make a trial double each time this passes without a result.
TRIAL_STEP_SECONDS = 2.0
# How long blocks below the number of crashes are remembered after the latest one.
OBSERVED_SECONDS = PROVEN_QUARANTINE_SECONDS
# How long the comparison of held blocks is used where nothing has crashed since.
BLAME_SECONDS = 0.25
# Memory bounds; beyond them the oldest records are dropped. Blocks with enough crashes
# are stored separately, so that many sound ones can't evict them.
MAX_OBSERVED = 4096
MAX_CANDIDATES = 1024
MAX_COMPLETED = 8192
# Stands in reports for whichever block was under way at a replica that crashed.
ANY_BLOCK = BlockHash(0)


class HeldBlock(msgspec.Struct, frozen=True):
    """A block that is held for ``seconds`` more, after ``crashes`` crashes."""

    block: BlockHash
    crashes: int
    seconds: float


class BlockQuarantine:
    """Crash records of prompt blocks at one host; times on the monotonic clock."""

    retention_seconds = MAX_HOLD_SECONDS

    def __init__(self, gossip_seconds: float) -> None:
        """Start without records; updates are sent to others for ``gossip_seconds``."""
        # Returns how many hosts precede this one in making the trial of a block.
        self.trial_rank: Callable[[BlockHash], int] = lambda block: 0
        self._observed: OrderedDict[BlockHash, BlockRecord] = OrderedDict()
        self._candidates: OrderedDict[BlockHash, BlockRecord] = OrderedDict()
        self._completed: OrderedDict[BlockHash, float] = OrderedDict()
        self._answered: dict[BlockHash, float] = {}
        self._blocks_by_target: dict[int, set[BlockHash]] = {}
        self._ended = PromptCounts()
        self._unsettled = UnsettledCompletions()
        self._blame: Blame | None = None
        self._gossip = CrashGossip(self._held_keys, gossip_seconds, self._weight)
        self.row_queue = CrashRowQueue()
        self.refused = 0

    def __len__(self) -> int:
        """Return how many blocks are held, or waiting for the result of a trial."""
        return sum(self._is_blamed(record) for record in self._candidates.values())

    # Events at this host

    def record_crash(
        self,
        keys: Collection[BlockKey],
        instance: InstanceId,
        now: float,
        decoded_seconds: float = 0.0,
    ) -> None:
        """Record that a replica crashed while it ran a prompt with these blocks.

        A prompt that had been decoded for a while, ``decoded_seconds``, was not the
        cause, which crashes a replica as it begins to decode.
        """
        if decoded_seconds >= SOUND_DECODING_SECONDS:
            self.record_completion(keys, now)
            return
        target, ended = target_hash(instance), self._ended
        self._note_crash(target, now, now, is_own_domain=True)
        for key in keys:
            self._add_crash(key, target, now).broken += 1
            if now - self._last_completion(block_of(key)) >= COMMON_SECONDS:
                self._gossip.add_crash(Fingerprint(key), target, now, True)
            self._queue_rows(block_of(key))
        if keys:
            self._ended = replace(ended, broken=ended.broken + 1)

    def record_end(
        self, keys: Collection[BlockKey], instance: InstanceId, now: float
    ) -> None:
        """Record that a prompt completed at a replica.

        A short answer may end before it crashes its replica. So a block that has not
        completed lately counts as completed only once the replica is known to live on.
        """
        self._settle(now)
        target = target_hash(instance)
        crashed_at = self._unsettled.crashed_at(target)
        if now - crashed_at < SOUND_DECODING_SECONDS:
            for key in keys:
                self._add_crash(key, target, crashed_at)
            return
        common = [key for key in keys if self._is_common(block_of(key), now)]
        self.record_completion(common, now)
        rest = tuple(key for key in keys if key not in common)
        if rest:
            self._unsettled.add(rest, target, now)

    def record_life(self, target: int, sent_at: float) -> None:
        """Record that a replica responded to a request that was sent at ``sent_at``."""
        for item in self._unsettled.take_survived(target, sent_at):
            self._record_completion_at(item.keys, item.at, sent_at)

    def _is_common(self, block: BlockHash, now: float) -> bool:
        return now - self._last_completion(block) < COMPLETED_SECONDS

    def _settle(self, now: float) -> None:
        """Count old completions of blocks under which no replica has crashed."""
        for item in self._unsettled.take_old(now):
            keys = [key for key in item.keys if self._record(block_of(key)) is None]
            self._record_completion_at(keys, item.at, now)

    def _note_crash(
        self, target: int, at: float, now: float, is_own_domain: bool
    ) -> None:
        """Record that a replica crashed, under whichever prompts.

        It counts against the prompts that had just completed there, at all hosts.
        """
        self._settle(now)
        if not self._unsettled.record_crash(target, at):
            return
        key = Fingerprint(join_key(ANY_BLOCK))
        self._gossip.add_crash(key, target, now, is_own_domain)
        for item in self._unsettled.take_all(target):
            if at - item.at >= SOUND_DECODING_SECONDS:
                self._record_completion_at(item.keys, item.at, now)
                continue
            for key in item.keys:
                self._add_crash(key, target, at)
                self._gossip.add_crash(Fingerprint(key), target, now, True)

    def record_completion(self, keys: Collection[BlockKey], now: float) -> None:
        """Record that a prompt with these blocks completed: none is a cause."""
        self._record_completion_at(keys, now, now)

    def _record_completion_at(
        self, keys: Collection[BlockKey], at: float, now: float
    ) -> None:
        if keys:
            self._ended = replace(self._ended, completed=self._ended.completed + 1)
        for key in keys:
            self._complete(block_of(key), at, now, is_own_domain=True)

    def retract_crash(
        self, target: int, has_survived: Callable[[BlockCrash], bool]
    ) -> None:
        """Retract crashes of a replica that turned out to be alive."""
        for block in list(self._blocks_by_target.get(target, ())):
            record = self._record(block)
            crash = record.crashes[target]
            if has_survived(crash):
                crash.is_retracted = True
                for customer in crash.customers:
                    key = Fingerprint(join_key(block, customer))
                    self.row_queue.drop((key, target))
                self._reclassify(block)

    # Queries

    def held_block(
        self, keys: Iterable[BlockKey], request: str, now: float
    ) -> HeldBlock | None:
        """Return the block by which a request is refused; ``None``: it may be sent.

        A request that is let through as the trial of a block stays so.
        """
        self._settle(now)
        if not self._candidates:
            return None
        found = [self._hold(key, request, now) for key in keys]
        held = [hold for hold in found if hold is not None]
        if not held:
            return None
        self.refused += 1
        return max(held, key=lambda hold: hold.seconds)

    @property
    def has_suspects(self) -> bool:
        """Return whether a crash is recorded for any block."""
        return bool(self._blocks_by_target)

    def crash_count(self, keys: Iterable[BlockKey]) -> int:
        """Return the most crashes of any of these blocks that may be their cause.

        Those of a block that completed shortly before are hardly its own.
        """
        if not self._blocks_by_target:
            return 0
        counts = [
            len(record.targets_for(customer_of(key)))
            for key in keys
            if (record := self._record(block_of(key))) is not None
            and not record.had_completed(COMPLETED_SECONDS)
        ]
        return max(counts, default=0)

    def crash_age_seconds(self, key: CrashKey, now: float) -> float:
        """Return the seconds since a replica crashed under a block; 0: unknown."""
        record = self._record(block_of(BlockKey(key[0])))
        crash = None if record is None else record.crashes.get(key[1])
        return 0.0 if crash is None else now - crash.at

    def _hold(self, key: BlockKey, request: str, now: float) -> HeldBlock | None:
        block = block_of(key)
        record = self._candidates.get(block)
        if record is None:
            return None
        targets = record.targets_for(customer_of(key))
        crashes = len(targets)
        explained = self._explained(block, now)
        if not self._has_enough(record, targets) or targets <= explained:
            return None
        times = [record.crashes[target].at for target in targets]
        left = held_until(times) - now
        if left > 0:
            return HeldBlock(block, crashes, left)
        if self._takes_trial(block, record, request, -left, now):
            return None
        return HeldBlock(block, crashes, TRIAL_STEP_SECONDS)

    def _has_enough(self, record: BlockRecord, targets: set[int]) -> bool:
        """Return whether so many crashes are no coincidence."""
        if len(targets) < MIN_CRASHES:
            return False
        if not record.had_completed(COMPLETED_SECONDS):
            return True
        return (
            len(targets) >= MIN_CRASHES_AFTER_COMPLETION
            and record.coincidence(self._ended) <= MAX_COINCIDENCE
        )

    def _is_blamed(self, record: BlockRecord) -> bool:
        """Return whether a block has enough crashes, of whichever customers."""
        return self._has_enough(record, record.targets())

    def _explained(self, block: BlockHash, now: float) -> set[int]:
        """Return the replicas whose crashes other blocks explain better."""
        if self._blame is None or now - self._blame.at >= BLAME_SECONDS:
            blamed = {
                other: record.targets()
                for other, record in self._candidates.items()
                if self._is_blamed(record)
            }
            self._blame = Blame(blamed, now)
        return self._blame.explained(block)

    def _takes_trial(
        self,
        block: BlockHash,
        record: BlockRecord,
        request: str,
        overdue_seconds: float,
        now: float,
    ) -> bool:
        """Return whether this host lets a request through as the trial of a block."""
        trial = record.trial
        if trial is not None and trial.request == request:
            return True
        if trial is not None and now - trial.at < TRIAL_SECONDS:
            return False
        steps = min(20, int(overdue_seconds / TRIAL_STEP_SECONDS))
        if self.trial_rank(block) >= 2**steps:
            return False
        record.trial = BlockTrial(request, now)
        return True

    # Exchange with other hosts

    def merge(
        self, reports: Iterable[BlockReport], now: float, is_own_domain: bool
    ) -> None:
        """Merge what another host has sent; see ``Quarantine.merge``."""
        for report in reports:
            if report.target is None:
                at = now - report.age_seconds
                self._complete(block_of(report.key), at, now, is_own_domain)
            else:
                self._merge_crash(report, report.target, now, is_own_domain)

    def restore(self, reports: Iterable[CrashReport], now: float) -> None:
        """Merge the crashes of earlier processes, which the store kept."""
        found = [
            BlockReport(BlockKey(rep.request), rep.target, rep.age_seconds)
            for rep in reports
            if rep.age_seconds < self.retention_seconds
        ]
        self.merge(found, now, is_own_domain=False)

    def _merge_crash(
        self, report: BlockReport, target: int, now: float, is_own_domain: bool
    ) -> None:
        block, at = block_of(report.key), now - report.age_seconds
        self._note_crash(target, at, now, is_own_domain)
        if block == ANY_BLOCK:
            return
        completed_at = self._last_completion(block)
        if now - completed_at < COMPLETED_SECONDS and self._may_answer(block, now):
            self._gossip.add_completion(Fingerprint(join_key(block)), now, True)
        if at <= completed_at or self._is_known(report.key, target, at):
            return
        self._add_crash(report.key, target, at)
        self._gossip.add_crash(Fingerprint(report.key), target, now, is_own_domain)

    def _may_answer(self, block: BlockHash, now: float) -> bool:
        if now - self._answered.get(block, float("-inf")) < ANSWER_SECONDS:
            return False
        if len(self._answered) >= MAX_OBSERVED:
            self._answered.clear()
        self._answered[block] = now
        return True

    def _is_known(self, key: BlockKey, target: int, at: float) -> bool:
        record = self._record(block_of(key))
        crash = None if record is None else record.crashes.get(target)
        if crash is None or customer_of(key) not in crash.customers:
            return False
        return not crash.is_retracted or at <= crash.at + SAME_CRASH_SECONDS

    def take_reports(
        self, now: float, own_domain_only: bool = False
    ) -> tuple[BlockReport, ...]:
        """Return the reports for the next digest."""
        self._settle(now)
        self._expire(now)
        found = []
        for key, target in self._gossip.take_crashes(now, own_domain_only):
            record = self._record(block_of(BlockKey(key)))
            crashed_at = self._unsettled.crashed_at(target)
            if block_of(BlockKey(key)) == ANY_BLOCK and isfinite(crashed_at):
                found.append(BlockReport(BlockKey(key), target, now - crashed_at))
            elif record is not None and target in record.targets():
                age = now - record.crashes[target].at
                found.append(BlockReport(BlockKey(key), target, age))
        for key in self._gossip.pending_completions(now, own_domain_only):
            at = self._completed.get(block_of(BlockKey(key)))
            if at is not None:
                found.append(BlockReport(BlockKey(key), None, now - at))
        return tuple(found)

    def count_pending_reports(self, now: float, own_domain_only: bool = False) -> int:
        """Return the maximum number of reports in the next digest."""
        return self._gossip.count_pending_crashes(now, own_domain_only) + len(
            self._gossip.pending_completions(now, own_domain_only)
        )

    def _weight(self, key: CrashKey) -> int:
        """Return the crashes of a block: reports of likely causes come first."""
        if block_of(BlockKey(key[0])) == ANY_BLOCK:
            return MIN_CRASHES
        record = self._record(block_of(BlockKey(key[0])))
        return 0 if record is None else len(record.targets())

    def _held_keys(self) -> list[CrashKey]:
        """Return the crashes to resend to hosts that missed them, the newest first."""
        return [
            (Fingerprint(join_key(block, customer)), target)
            for block, record in reversed(self._candidates.items())
            if self._is_blamed(record)
            for target in record.targets()
            for customer in record.crashes[target].customers
        ]

    # Records

    def _last_completion(self, block: BlockHash) -> float:
        return self._completed.get(block, float("-inf"))

    def _complete(
        self, block: BlockHash, at: float, now: float, is_own_domain: bool
    ) -> None:
        """Record a completion at ``at`` and forget the crashes before it."""
        if at <= self._last_completion(block):
            return
        self._completed[block] = at
        self._completed.move_to_end(block)
        if len(self._completed) > MAX_COMPLETED:
            self._completed.popitem(last=False)
        record = self._record(block)
        if record is None:
            return
        later = {key: crash for key, crash in record.crashes.items() if crash.at > at}
        is_cleared = len(later) < len(record.crashes)
        if is_cleared or at - record.completed_at >= COMMON_SECONDS:
            key = Fingerprint(join_key(block))
            self._gossip.add_completion(key, now, is_own_domain)
        if not is_cleared:
            record.completed_at = at
            return
        self._remove(block)
        for target, crash in later.items():
            for customer in crash.customers:
                self._add_crash(join_key(block, customer), target, crash.at)

    def _record(self, block: BlockHash) -> BlockRecord | None:
        return self._candidates.get(block) or self._observed.get(block)

    def _add_crash(self, key: BlockKey, target: int, at: float) -> BlockRecord:
        block = block_of(key)
        record = self._record(block)
        if record is None:
            record = self._observed[block] = BlockRecord(
                self._last_completion(block), self._ended
            )
        crash = record.crashes.get(target)
        if crash is None or crash.is_retracted:
            crash = record.crashes[target] = BlockCrash(at)
        crash.customers.add(customer_of(key))
        self._blocks_by_target.setdefault(target, set()).add(block)
        record.trial = None
        self._reclassify(block)
        if len(self._observed) > MAX_OBSERVED:
            self._remove(next(iter(self._observed)))
        if len(self._candidates) > MAX_CANDIDATES:
            self._remove(self._least_important())
        return record

    def _least_important(self) -> BlockHash:
        """Return the oldest candidate that is not held, or the oldest of all."""
        for block, record in self._candidates.items():
            if not self._is_blamed(record):
                return block
        return next(iter(self._candidates))

    def _reclassify(self, block: BlockHash) -> None:
        """Move a record to the observed ones or the candidates, as the newest."""
        self._blame = None
        record = self._observed.pop(block, None) or self._candidates.pop(block)
        is_candidate = len(record.targets()) >= MIN_CRASHES
        (self._candidates if is_candidate else self._observed)[block] = record

    def _remove(self, block: BlockHash) -> None:
        self._blame = None
        record = self._observed.pop(block, None) or self._candidates.pop(block)
        for target, crash in record.crashes.items():
            for customer in crash.customers:
                key = Fingerprint(join_key(block, customer))
                self.row_queue.drop((key, target))
            blocks = self._blocks_by_target[target]
            blocks.discard(block)
            if not blocks:
                del self._blocks_by_target[target]

    def _queue_rows(self, block: BlockHash) -> None:
        """Queue the rows of a held block for the store; see ``Quarantine``."""
        record = self._candidates.get(block)
        if record is None or not self._is_blamed(record):
            return
        for target in record.targets():
            for customer in record.crashes[target].customers:
                self.row_queue.put((Fingerprint(join_key(block, customer)), target))

    def _expire(self, now: float) -> None:
        """Remove records that have expired, the oldest of each kind first."""
        for records, seconds in (
            (self._observed, OBSERVED_SECONDS),
            (self._candidates, MAX_HOLD_SECONDS),
        ):
            while records:
                block, record = next(iter(records.items()))
                if now - record.last_crash_at < seconds:
                    break
                self._remove(block)

"""The platform in memory: rows, objects, hosts, weights, with scripted faults."""

from collections import deque
from dataclasses import dataclass, field

import msgspec
import trio
from sortedcontainers import SortedDict

from berylshift.clock import Clock
from berylshift.store.interfaces import (
    ABSENT,
    HostEntry,
    HostState,
    ResponseLostError,
    StoredRow,
    StoreThrottledError,
    StoreUnavailableError,
    Transaction,
    TransactionResult,
    WeightInfo,
)

DEFAULT_WEIGHT_BYTES = 8_000_000_000
WEIGHT_WINDOW_SECONDS = 60.0
WEIGHTS_KEPT = 1000


@dataclass
class PlatformScript:
    """Faults and limits; times in seconds, rates a second (0: no limit)."""

    down: bool = False
    lose_answers: int = 0
    refuse_next: int = 0
    delay: float = 0.0
    writes_per_second: float = 0.0
    reads_per_second: float = 0.0
    host_lag: float = 2.0
    host_timeout: float = 6.0
    weight_bytes_per_minute: int = 40_000_000_000


@dataclass
class RateBucket:
    """A token bucket that holds one second's quota."""

    tokens: float = 0.0
    filled_at: float | None = None

    def take(self, now: float, rate: float) -> bool:
        """Take one token if there is one; a rate of 0 always has one."""
        if not rate:
            return True
        if self.filled_at is None:
            self.tokens = rate
        else:
            self.tokens = min(rate, self.tokens + rate * (now - self.filled_at))
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass
class FakePlatform:
    """State of the platform; plain calls, no waiting."""

    clock: Clock
    script: PlatformScript = field(default_factory=PlatformScript)
    rows: SortedDict = field(default_factory=SortedDict)
    objects: dict[str, bytes] = field(default_factory=dict)
    commits: int = 0
    reads: int = 0
    transactions: int = 0
    throttled: int = 0
    _hosts: dict[str, tuple[float, float, HostEntry]] = field(default_factory=dict)
    _weights_taken: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=WEIGHTS_KEPT)
    )
    _write_bucket: RateBucket = field(default_factory=RateBucket)
    _read_bucket: RateBucket = field(default_factory=RateBucket)

    def read(self, keys: list[str]) -> list[StoredRow | None]:
        """Return rows by key."""
        self._admit(self._read_bucket, self.script.reads_per_second)
        self.reads += 1
        return [self.rows.get(key) for key in keys]

    def scan(self, prefix: str, after: str, limit: int) -> list[StoredRow]:
        """Return rows whose keys start with ``prefix``, after ``after``."""
        self._admit(self._read_bucket, self.script.reads_per_second)
        self.reads += 1
        start = max(prefix, after)
        found: list[StoredRow] = []
        for key in self.rows.irange(minimum=start):
            if not key.startswith(prefix) or len(found) == limit:
                break
            if key != after:
                found.append(self.rows[key])
        return found

    def transact(self, transaction: Transaction) -> TransactionResult:
        """Commit, or name the conditions that fail."""
        self._admit(self._write_bucket, self.script.writes_per_second)
        self.transactions += 1
        failed = [
            cond.key
            for cond in transaction.conditions
            if self._revision(cond.key) != cond.revision
        ]
        if not failed:
            self._commit(transaction)
        if self.script.lose_answers > 0:
            self.script.lose_answers -= 1
            raise ResponseLostError("scripted: the answer is lost")
        return TransactionResult(failed)

    def _commit(self, transaction: Transaction) -> None:
        self.commits += 1
        for write in transaction.writes:
            revision = self._revision(write.key) + 1
            if write.delete:
                self.rows.pop(write.key, None)
            else:
                value = msgspec.Raw(bytes(write.value))
                self.rows[write.key] = StoredRow(write.key, revision, value)

    def _revision(self, key: str) -> int:
        row = self.rows.get(key)
        return row.revision if row else ABSENT

    def _admit(self, bucket: RateBucket, rate: float) -> None:
        if self.script.down:
            raise StoreUnavailableError("scripted outage")
        if self.script.refuse_next > 0:
            self.script.refuse_next -= 1
            raise StoreUnavailableError("scripted refusal")
        if not bucket.take(self.clock.monotonic(), rate):
            self.throttled += 1
            raise StoreThrottledError("rate limit")

    def announce(self, entry: HostEntry) -> None:
        """Take a host's word of itself."""
        now = self.clock.monotonic()
        first = self._hosts[entry.host][0] if entry.host in self._hosts else now
        old = self._hosts.get(entry.host)
        if old and old[2].incarnation != entry.incarnation:
            first = now
        self._hosts[entry.host] = (first, now, entry)

    def hosts(self) -> list[HostEntry]:
        """Return hosts as they were some time ago; silent ones are leaving."""
        self._admit(self._read_bucket, 0)
        now = self.clock.monotonic()
        listed = []
        for first, last, entry in self._hosts.values():
            silent = now - last > self.script.host_timeout
            state = HostState.LEAVING if silent else entry.state
            if first + self.script.host_lag <= now or first == last:
                listed.append(msgspec.structs.replace(entry, state=state))
        return listed

    def weight_info(self, model: str, version: str) -> WeightInfo:
        """Return a model version's size and what is left of the quota."""
        self._admit(self._read_bucket, self.script.reads_per_second)
        return WeightInfo(
            model, version, DEFAULT_WEIGHT_BYTES, self._weight_bytes_left()
        )

    def take_weights(self, model: str, version: str) -> WeightInfo:
        """Hand out a model version's weights, as far as the quota goes."""
        info = self.weight_info(model, version)
        if info.bytes_left < info.size_bytes:
            raise StoreThrottledError("weights are rate-limited")
        self._weights_taken.append((self.clock.monotonic(), info.size_bytes))
        return info

    def _weight_bytes_left(self) -> int:
        since = self.clock.monotonic() - WEIGHT_WINDOW_SECONDS
        taken = sum(size for at, size in self._weights_taken if at > since)
        return self.script.weight_bytes_per_minute - taken


class MemoryPlatform:
    """The four platform protocols over one ``FakePlatform``, for one process."""

    def __init__(self, fake: FakePlatform):
        """Call ``fake``; ``cut`` makes it unreachable for this process alone."""
        self.fake = fake
        self.cut = False

    async def _reach(self) -> None:
        await trio.lowlevel.checkpoint()
        if self.cut:
            raise StoreUnavailableError("cut off")
        if self.fake.script.delay:
            await trio.sleep(self.fake.script.delay)

    async def read(self, keys: list[str]) -> list[StoredRow | None]:
        """Return the rows as of one moment."""
        await self._reach()
        return self.fake.read(keys)

    async def scan(self, prefix: str, after: str, limit: int) -> list[StoredRow]:
        """Return rows by key after ``after``."""
        await self._reach()
        return self.fake.scan(prefix, after, limit)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Commit or name the failed conditions."""
        await self._reach()
        return self.fake.transact(transaction)

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None``."""
        await self._reach()
        if self.fake.script.down:
            raise StoreUnavailableError("scripted outage")
        return self.fake.objects.get(name)

    async def put(self, name: str, data: bytes) -> None:
        """Store an object."""
        await self._reach()
        if self.fake.script.down:
            raise StoreUnavailableError("scripted outage")
        self.fake.objects[name] = data

    async def hosts(self) -> list[HostEntry]:
        """Return the hosts that the platform lists."""
        await self._reach()
        return self.fake.hosts()

    async def announce(self, entry: HostEntry) -> None:
        """Tell the platform of this process."""
        await self._reach()
        if self.fake.script.down:
            raise StoreUnavailableError("scripted outage")
        self.fake.announce(entry)

    async def info(self, model: str, version: str) -> WeightInfo | None:
        """Return what is known of a model version."""
        await self._reach()
        return self.fake.weight_info(model, version)

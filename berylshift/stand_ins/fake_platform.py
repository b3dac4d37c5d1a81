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
WEIGHT_QUOTA_WINDOW_SECONDS = 60.0
MAX_WEIGHT_DOWNLOADS = 1000


@dataclass
class PlatformScript:
    """Faults and limits; times in seconds, rates per second (0 means no limit)."""

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
class TokenBucket:
    """A token bucket with a capacity of one second's rate."""

    tokens: float = 0.0
    refilled_at: float | None = None

    def try_acquire(self, now: float, rate: float) -> bool:
        """Take one token if available; a rate of 0 means no limit."""
        if not rate:
            return True
        if self.refilled_at is None:
            self.tokens = rate
        else:
            self.tokens = min(rate, self.tokens + rate * (now - self.refilled_at))
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass
class FakePlatform:
    """State of the platform; its calls are synchronous."""

    clock: Clock
    script: PlatformScript = field(default_factory=PlatformScript)
    rows: SortedDict = field(default_factory=SortedDict)
    objects: dict[str, bytes] = field(default_factory=dict)
    commits: int = 0
    reads: int = 0
    transactions: int = 0
    throttled: int = 0
    _hosts: dict[str, tuple[float, float, HostEntry]] = field(default_factory=dict)
    _weight_downloads: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_WEIGHT_DOWNLOADS)
    )
    _write_bucket: TokenBucket = field(default_factory=TokenBucket)
    _read_bucket: TokenBucket = field(default_factory=TokenBucket)

    def read(self, keys: list[str]) -> list[StoredRow | None]:
        """Return rows by key."""
        self._check_admitted(self._read_bucket, self.script.reads_per_second)
        self.reads += 1
        return [self.rows.get(key) for key in keys]

    def scan(self, prefix: str, after: str, limit: int) -> list[StoredRow]:
        """Return rows whose keys start with ``prefix``, after ``after``."""
        self._check_admitted(self._read_bucket, self.script.reads_per_second)
        self.reads += 1
        start = max(prefix, after)
        rows: list[StoredRow] = []
        for key in self.rows.irange(minimum=start):
            if not key.startswith(prefix) or len(rows) == limit:
                break
            if key != after:
                rows.append(self.rows[key])
        return rows

    def transact(self, transaction: Transaction) -> TransactionResult:
        """Commit, or return the keys of the conditions that fail."""
        self._check_admitted(self._write_bucket, self.script.writes_per_second)
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
            raise ResponseLostError("scripted fault: response lost")
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

    def _check_admitted(self, bucket: TokenBucket, rate: float) -> None:
        if self.script.down:
            raise StoreUnavailableError("scripted outage")
        if self.script.refuse_next > 0:
            self.script.refuse_next -= 1
            raise StoreUnavailableError("scripted refusal")
        if not bucket.try_acquire(self.clock.monotonic(), rate):
            self.throttled += 1
            raise StoreThrottledError("platform rate limit reached")

    def announce(self, entry: HostEntry) -> None:
        """Record a host's announcement."""
        now = self.clock.monotonic()
        announced_at = self._hosts[entry.host][0] if entry.host in self._hosts else now
        old = self._hosts.get(entry.host)
        if old and old[2].incarnation != entry.incarnation:
            announced_at = now
        self._hosts[entry.host] = (announced_at, now, entry)

    def hosts(self) -> list[HostEntry]:
        """Return the hosts after the listing lag; unresponsive ones as leaving."""
        self._check_admitted(self._read_bucket, 0)
        now = self.clock.monotonic()
        listed = []
        for announced_at, renewed_at, entry in self._hosts.values():
            silent = now - renewed_at > self.script.host_timeout
            state = HostState.LEAVING if silent else entry.state
            if announced_at + self.script.host_lag <= now or announced_at == renewed_at:
                listed.append(msgspec.structs.replace(entry, state=state))
        return listed

    def weight_info(self, model: str, version: str) -> WeightInfo:
        """Return a model version's size and the bytes left of the download quota."""
        self._check_admitted(self._read_bucket, self.script.reads_per_second)
        return WeightInfo(
            model, version, DEFAULT_WEIGHT_BYTES, self._weight_bytes_left()
        )

    def download_weights(self, model: str, version: str) -> WeightInfo:
        """Download a model version's weights; raise if the quota is too small."""
        info = self.weight_info(model, version)
        if info.bytes_left < info.size_bytes:
            raise StoreThrottledError("weight download quota exceeded")
        self._weight_downloads.append((self.clock.monotonic(), info.size_bytes))
        return info

    def _weight_bytes_left(self) -> int:
        since = self.clock.monotonic() - WEIGHT_QUOTA_WINDOW_SECONDS
        downloaded = sum(size for at, size in self._weight_downloads if at > since)
        return self.script.weight_bytes_per_minute - downloaded


class MemoryPlatform:
    """The four platform protocols over one ``FakePlatform``, for one process."""

    def __init__(self, fake: FakePlatform):
        """Call ``fake``; ``is_unreachable`` cuts off this process alone."""
        self.fake = fake
        self.is_unreachable = False

    async def _reach(self) -> None:
        await trio.lowlevel.checkpoint()
        if self.is_unreachable:
            raise StoreUnavailableError("platform unreachable from this process")
        if self.fake.script.delay:
            await trio.sleep(self.fake.script.delay)

    async def read(self, keys: list[str]) -> list[StoredRow | None]:
        """Return rows by key, all read at the same time."""
        await self._reach()
        return self.fake.read(keys)

    async def scan(self, prefix: str, after: str, limit: int) -> list[StoredRow]:
        """Return rows with a key prefix, in key order, after ``after``."""
        await self._reach()
        return self.fake.scan(prefix, after, limit)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Commit, or return the keys of the conditions that fail."""
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
        """Announce this process to the platform."""
        await self._reach()
        if self.fake.script.down:
            raise StoreUnavailableError("scripted outage")
        self.fake.announce(entry)

    async def info(self, model: str, version: str) -> WeightInfo | None:
        """Return the size and download quota of a model version."""
        await self._reach()
        return self.fake.weight_info(model, version)

"""Encoding of load digests: capnp messages with an authentication tag."""

from pathlib import Path

import capnp

from berylshift.connection.datagram_tag import (
    TAG_BYTES,
    BadDatagramError,
    DatagramTagger,
)
from berylshift.connection.replica_piece_codec import pack_pieces, unpack_pieces
from berylshift.ids import BlockKey, Fingerprint, StoreEra
from berylshift.messages.addresses import is_endpoint
from berylshift.messages.load_digest import (
    BlockPrefill,
    BlockReport,
    CrashReport,
    CustomerTokens,
    FeedStatus,
    HandleCounts,
    LimitUpdate,
    LoadDigest,
    LoadEntry,
    PhaseUpdate,
    Scope,
    SpeedKind,
    SpeedUpdate,
    StoreStatus,
)
from berylshift.messages.replicas import EnginePhase
from berylshift.messages.usage import RunCount
from berylshift.messages.wire_numbers import MAX_REQUESTS
from berylshift.store.host_rows import HostRecord

TOKENS_PER_UNIT = 16
FAILURE_UNIT = 1 / 32
AGE_UNIT_SECONDS = 0.1
HANDLE_COUNT_UNIT = 1 / 16
MAX_U32 = 0xFFFFFFFF
MAX_U16 = 0xFFFF
MAX_U8 = 0xFF
# Disturbances of a replica last for some tenths of a second.
SPEED_AGE_UNIT_SECONDS = 0.02
# Units of the values of speed updates: percent, and milliseconds.
SPEED_UNITS = {
    SpeedKind.STATED: 100,
    SpeedKind.PREFILL: 100,
    SpeedKind.EVENT_GAP: 1000,
}
# Encodes that a replica no longer announces a rate limit.
NO_LIMIT = -1.0
# Encodes in the place of a crashed replica that a prompt block completed.
COMPLETED = 0

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("load_digest.capnp")))


class LoadCodec:
    """Encodes and decodes load digests."""

    def __init__(self, key: str):
        """Authenticate datagrams with ``key``, which all hosts of the system share."""
        self._tagger = DatagramTagger(key)

    def encode(self, message: LoadDigest, max_bytes: int) -> bytes:
        """Return a datagram of up to ``max_bytes``; entries are truncated to fit."""
        entry_count = len(message.entries)
        while True:
            body = _pack(message, entry_count)
            if len(body) + TAG_BYTES <= max_bytes or entry_count == 0:
                return self._tagger.seal(body)
            entry_count = entry_count * 3 // 4

    def decode(self, data: bytes) -> LoadDigest:
        """Return the digest; raise ``BadDatagramError``."""
        body = self._tagger.open(data)
        try:
            return _unpack(body)
        except Exception as exc:
            raise BadDatagramError(f"cannot be decoded: {exc}") from exc


def _pack(message: LoadDigest, entry_count: int) -> bytes:
    has_later_fields = (
        message.speeds
        or message.handles
        or message.demand
        or message.replicas
        or message.blocks
        or message.request_rate
        or message.joined
    )
    struct = _schema.LoadDigest if has_later_fields else _schema.BaseLoadDigest
    packed = struct.new_message(
        host=message.host,
        sequence=message.sequence,
        scope=int(message.scope),
        domain=message.domain,
        hosts=min(MAX_U16, message.hosts),
        follows=message.reads_feeds,
    )
    if message.store_status is not None:
        _pack_status(packed.init("word"), message.store_status)
    _pack_entries(packed.init("entries"), message.entries[:entry_count])
    _pack_prefills(packed.init("reads"), message.prefills)
    phases = packed.init("phases", len(message.phases))
    for slot, update in zip(phases, message.phases, strict=True):
        slot.target = update.target
        slot.reads = update.phase is EnginePhase.PREFILL
        slot.age = min(MAX_U8, int(update.age_seconds / AGE_UNIT_SECONDS))
    if message.crashes:
        _pack_crashes(packed.init("crashes"), message.crashes)
    if message.finished:
        packed.finished = list(message.finished)
    packed.start = message.started_ms
    packed.usageDone = message.usage_done
    if message.runs:
        _pack_runs(packed.init("runs"), message.runs)
    if message.limits:
        _pack_limits(packed.init("limits"), message.limits)
    if has_later_fields:
        _pack_later_fields(packed, message)
    return packed.to_bytes_packed()


def _pack_later_fields(packed, message: LoadDigest) -> None:
    packed.requestRate = message.request_rate
    if message.speeds:
        _pack_speeds(packed.init("speeds"), message.speeds)
    if message.handles:
        _pack_handles(packed.init("handles"), message.handles)
    if message.demand:
        _pack_demand(packed.init("demand"), message.demand)
    if message.replicas:
        pack_pieces(packed.init("replicas", len(message.replicas)), message.replicas)
    if message.blocks:
        _pack_block_reports(packed.init("blocks"), message.blocks)
    if message.joined:
        _pack_hosts(packed.init("joined", len(message.joined)), message.joined)


def _pack_hosts(slots, records: tuple[HostRecord, ...]) -> None:
    for slot, record in zip(slots, records, strict=True):
        slot.name, slot.address = record.host, record.address
        slot.domain, slot.era = record.domain, record.era
        slot.joinedMs = record.joined_ms


def _unpack_hosts(packed) -> tuple[HostRecord, ...]:
    return tuple(
        HostRecord(slot.name, slot.address, slot.domain, slot.era, slot.joinedMs)
        for slot in packed
        if is_endpoint(slot.address)
    )


def _pack_entries(packed, entries: tuple[LoadEntry, ...]) -> None:
    packed.targets = [entry.target for entry in entries]
    packed.inFlight = [min(MAX_U16, entry.in_flight) for entry in entries]
    packed.urgent = [_token_units(entry.prefill_tokens[0]) for entry in entries]
    packed.usual = [_token_units(entry.prefill_tokens[1]) for entry in entries]
    packed.patient = [_token_units(entry.prefill_tokens[2]) for entry in entries]
    packed.failures = [_failure_units(entry.failures) for entry in entries]
    packed.second = [_failure_units(entry.second_failures) for entry in entries]


def _unpack_entries(packed) -> tuple[LoadEntry, ...]:
    columns = zip(
        packed.targets,
        packed.inFlight,
        packed.urgent,
        packed.usual,
        packed.patient,
        packed.failures,
        packed.second,
        strict=True,
    )
    return tuple(
        LoadEntry(
            target,
            in_flight,
            (
                urgent * TOKENS_PER_UNIT,
                usual * TOKENS_PER_UNIT,
                patient * TOKENS_PER_UNIT,
            ),
            failures * FAILURE_UNIT,
            second * FAILURE_UNIT,
        )
        for target, in_flight, urgent, usual, patient, failures, second in columns
    )


def _pack_prefills(packed, prefills: tuple[BlockPrefill, ...]) -> None:
    packed.parts = [prefill.block for prefill in prefills]
    packed.targets = [prefill.target for prefill in prefills]
    packed.tokens = [_token_units(prefill.tokens) for prefill in prefills]


def _unpack_prefills(packed) -> tuple[BlockPrefill, ...]:
    columns = zip(packed.parts, packed.targets, packed.tokens, strict=True)
    return tuple(
        BlockPrefill(block, target, units * TOKENS_PER_UNIT)
        for block, target, units in columns
    )


def _pack_crashes(packed, crashes: tuple[CrashReport, ...]) -> None:
    packed.requests = [report.request for report in crashes]
    packed.targets = [report.target for report in crashes]
    packed.ages = [
        min(MAX_U16, int(report.age_seconds / AGE_UNIT_SECONDS)) for report in crashes
    ]


def _unpack_crashes(packed) -> tuple[CrashReport, ...]:
    columns = zip(packed.requests, packed.targets, packed.ages, strict=True)
    return tuple(
        CrashReport(Fingerprint(request), target, age * AGE_UNIT_SECONDS)
        for request, target, age in columns
    )


def _pack_block_reports(packed, reports: tuple[BlockReport, ...]) -> None:
    packed.requests = [report.key for report in reports]
    packed.targets = [report.target or COMPLETED for report in reports]
    packed.ages = [
        min(MAX_U16, int(report.age_seconds / AGE_UNIT_SECONDS)) for report in reports
    ]


def _unpack_block_reports(packed) -> tuple[BlockReport, ...]:
    columns = zip(packed.requests, packed.targets, packed.ages, strict=True)
    return tuple(
        BlockReport(BlockKey(key), target or None, age * AGE_UNIT_SECONDS)
        for key, target, age in columns
    )


def _pack_runs(packed, runs: tuple[RunCount, ...]) -> None:
    first = min(run.window for run in runs)
    in_range = [run for run in runs if run.window - first <= MAX_U8]
    packed.firstWindow = first
    packed.windows = [run.window - first for run in in_range]
    packed.customers = [run.customer for run in in_range]
    packed.counts = [run.count for run in in_range]


def _unpack_runs(packed) -> tuple[RunCount, ...]:
    first = packed.firstWindow
    columns = zip(packed.windows, packed.customers, packed.counts, strict=True)
    return tuple(
        RunCount(first + window, customer, count) for window, customer, count in columns
    )


def _pack_limits(packed, limits: tuple[LimitUpdate, ...]) -> None:
    packed.targets = [update.target for update in limits]
    packed.perSecond = [
        NO_LIMIT if update.requests_per_second is None else update.requests_per_second
        for update in limits
    ]
    packed.ages = [
        min(MAX_U8, int(update.age_seconds / AGE_UNIT_SECONDS)) for update in limits
    ]


def _unpack_limits(packed) -> tuple[LimitUpdate, ...]:
    columns = zip(packed.targets, packed.perSecond, packed.ages, strict=True)
    return tuple(
        LimitUpdate(target, _unpack_rate(rate), age * AGE_UNIT_SECONDS)
        for target, rate, age in columns
    )


def _unpack_rate(rate: float) -> float | None:
    """Return a limit of requests per second; ``None``: there is none."""
    return min(rate, MAX_REQUESTS) if rate >= 0 else None


def _pack_speeds(packed, speeds: tuple[SpeedUpdate, ...]) -> None:
    packed.targets = [update.target for update in speeds]
    packed.kinds = [int(update.kind) for update in speeds]
    packed.values = [
        min(MAX_U16, round(update.value * SPEED_UNITS[update.kind]))
        for update in speeds
    ]
    packed.ages = [
        min(MAX_U8, round(update.age_seconds / SPEED_AGE_UNIT_SECONDS))
        for update in speeds
    ]


def _unpack_speeds(packed) -> tuple[SpeedUpdate, ...]:
    """Return the updates; those of kinds that a newer build added are left out."""
    columns = zip(packed.targets, packed.kinds, packed.values, packed.ages, strict=True)
    return tuple(
        SpeedUpdate(
            target,
            SpeedKind(kind),
            value / SPEED_UNITS[SpeedKind(kind)],
            age * SPEED_AGE_UNIT_SECONDS,
        )
        for target, kind, value, age in columns
        if kind in SPEED_UNITS and value
    )


def _pack_handles(packed, handles: tuple[HandleCounts, ...]) -> None:
    packed.targets = [counts.target for counts in handles]
    packed.uses = [_handle_units(counts.uses) for counts in handles]
    packed.losses = [_handle_units(counts.losses) for counts in handles]


def _unpack_handles(packed) -> tuple[HandleCounts, ...]:
    columns = zip(packed.targets, packed.uses, packed.losses, strict=True)
    return tuple(
        HandleCounts(target, uses * HANDLE_COUNT_UNIT, losses * HANDLE_COUNT_UNIT)
        for target, uses, losses in columns
    )


def _handle_units(count: float) -> int:
    return min(MAX_U8, round(count / HANDLE_COUNT_UNIT))


def _pack_demand(packed, demand: tuple[CustomerTokens, ...]) -> None:
    packed.services = [count.service for count in demand]
    packed.customers = [count.customer for count in demand]
    packed.tokens = [min(MAX_U32, count.tokens) for count in demand]


def _unpack_demand(packed) -> tuple[CustomerTokens, ...]:
    columns = zip(packed.services, packed.customers, packed.tokens, strict=True)
    return tuple(
        CustomerTokens(service, customer, tokens)
        for service, customer, tokens in columns
    )


def _failure_units(weight: float) -> int:
    return min(MAX_U8, int(weight / FAILURE_UNIT))


def _pack_status(slot, status: StoreStatus) -> None:
    for packed_feed, feed in (
        (slot.routes, status.routes),
        (slot.replicas, status.replicas),
    ):
        packed_feed.changed = feed.last_change
        packed_feed.revision = feed.revision
        packed_feed.storeMs = feed.store_ms
        packed_feed.era = feed.era
    slot.backMs = status.recovered_ms


def _unpack_status(slot) -> StoreStatus:
    routes, replicas = (
        FeedStatus(feed.changed, feed.revision, feed.storeMs, StoreEra(feed.era))
        for feed in (slot.routes, slot.replicas)
    )
    return StoreStatus(routes, replicas, slot.backMs)


def _token_units(tokens: int) -> int:
    return min(MAX_U16, -(-max(0, tokens) // TOKENS_PER_UNIT))


def _unpack(body: bytes) -> LoadDigest:
    packed = _schema.LoadDigest.from_bytes_packed(body)
    phases = tuple(
        PhaseUpdate(
            slot.target,
            EnginePhase.PREFILL if slot.reads else EnginePhase.DECODE,
            slot.age * AGE_UNIT_SECONDS,
        )
        for slot in packed.phases
    )
    return LoadDigest(
        packed.host,
        packed.sequence,
        _unpack_entries(packed.entries),
        _unpack_prefills(packed.reads),
        phases,
        Scope(packed.scope),
        packed.domain,
        packed.hosts,
        packed.follows,
        _unpack_status(packed.word) if packed._has("word") else None,
        _unpack_crashes(packed.crashes) if packed._has("crashes") else (),
        tuple(Fingerprint(request) for request in packed.finished),
        packed.start,
        _unpack_runs(packed.runs) if packed._has("runs") else (),
        packed.usageDone,
        _unpack_limits(packed.limits) if packed._has("limits") else (),
        _unpack_speeds(packed.speeds) if packed._has("speeds") else (),
        _unpack_handles(packed.handles) if packed._has("handles") else (),
        _unpack_demand(packed.demand) if packed._has("demand") else (),
        unpack_pieces(packed.replicas) if packed._has("replicas") else (),
        _unpack_block_reports(packed.blocks) if packed._has("blocks") else (),
        _unpack_rate(packed.requestRate) or 0.0,
        _unpack_hosts(packed.joined) if packed._has("joined") else (),
    )

"""Load digests as capnp messages behind a keyed tag."""

from pathlib import Path

import capnp

from berylshift.connection.datagram_tag import (
    TAG_BYTES,
    BadDatagramError,
    Tagger,
)
from berylshift.ids import Fingerprint, StoreEra
from berylshift.messages.load_digest import (
    BlockPrefill,
    CrashReport,
    FeedStatus,
    LimitUpdate,
    LoadDigest,
    LoadEntry,
    PhaseUpdate,
    Scope,
    StoreStatus,
)
from berylshift.messages.replicas import EnginePhase
from berylshift.messages.usage import RunCount

TOKEN_UNIT = 16
FAILURE_UNIT = 1 / 32
AGE_UNIT = 0.1
MOST_U16 = 0xFFFF
MOST_U8 = 0xFF
# Stands for a replica that names no limit any more.
NO_LIMIT = -1.0

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("load_digest.capnp")))


class LoadCodec:
    """Encodes and decodes load digests."""

    def __init__(self, key: str):
        """Tag datagrams with ``key``, which all hosts of the system share."""
        self._tagger = Tagger(key)

    def encode(self, message: LoadDigest, most: int) -> bytes:
        """Return a datagram of at most ``most`` bytes; the list is cut to fit."""
        keep = len(message.entries)
        while True:
            body = _pack(message, keep)
            if len(body) + TAG_BYTES <= most or keep == 0:
                return self._tagger.seal(body)
            keep = keep * 3 // 4

    def decode(self, data: bytes) -> LoadDigest:
        """Return the digest; raise ``BadDatagramError``."""
        body = self._tagger.open(data)
        try:
            return _unpack(body)
        except Exception as exc:
            raise BadDatagramError(f"can't be read: {exc}") from exc


def _pack(message: LoadDigest, keep: int) -> bytes:
    packed = _schema.LoadDigest.new_message(
        host=message.host,
        sequence=message.sequence,
        scope=int(message.scope),
        domain=message.domain,
        hosts=min(MOST_U16, message.hosts),
        follows=message.reads_feeds,
    )
    if message.store_status is not None:
        _pack_word(packed.init("word"), message.store_status)
    _pack_entries(packed.init("entries"), message.entries[:keep])
    _pack_reads(packed.init("reads"), message.prefills)
    phases = packed.init("phases", len(message.phases))
    for slot, told in zip(phases, message.phases, strict=True):
        slot.target = told.target
        slot.reads = told.phase is EnginePhase.PREFILL
        slot.age = min(MOST_U8, int(told.age_seconds / AGE_UNIT))
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
    return packed.to_bytes_packed()


def _pack_entries(packed, entries: tuple[LoadEntry, ...]) -> None:
    packed.targets = [entry.target for entry in entries]
    packed.inFlight = [min(MOST_U16, entry.in_flight) for entry in entries]
    packed.urgent = [_units(entry.prefill_tokens[0]) for entry in entries]
    packed.usual = [_units(entry.prefill_tokens[1]) for entry in entries]
    packed.patient = [_units(entry.prefill_tokens[2]) for entry in entries]
    packed.failures = [_failures(entry.failures) for entry in entries]
    packed.second = [_failures(entry.second_failures) for entry in entries]


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
            (urgent * TOKEN_UNIT, usual * TOKEN_UNIT, patient * TOKEN_UNIT),
            failures * FAILURE_UNIT,
            second * FAILURE_UNIT,
        )
        for target, in_flight, urgent, usual, patient, failures, second in columns
    )


def _pack_reads(packed, reads: tuple[BlockPrefill, ...]) -> None:
    packed.parts = [read.block for read in reads]
    packed.targets = [read.target for read in reads]
    packed.tokens = [_units(read.tokens) for read in reads]


def _unpack_reads(packed) -> tuple[BlockPrefill, ...]:
    columns = zip(packed.parts, packed.targets, packed.tokens, strict=True)
    return tuple(
        BlockPrefill(part, target, units * TOKEN_UNIT)
        for part, target, units in columns
    )


def _pack_crashes(packed, crashes: tuple[CrashReport, ...]) -> None:
    packed.requests = [report.request for report in crashes]
    packed.targets = [report.target for report in crashes]
    packed.ages = [
        min(MOST_U16, int(report.age_seconds / AGE_UNIT)) for report in crashes
    ]


def _unpack_crashes(packed) -> tuple[CrashReport, ...]:
    columns = zip(packed.requests, packed.targets, packed.ages, strict=True)
    return tuple(
        CrashReport(Fingerprint(request), target, age * AGE_UNIT)
        for request, target, age in columns
    )


def _pack_runs(packed, runs: tuple[RunCount, ...]) -> None:
    first = min(run.window for run in runs)
    near = [run for run in runs if run.window - first <= MOST_U8]
    packed.firstWindow = first
    packed.windows = [run.window - first for run in near]
    packed.customers = [run.customer for run in near]
    packed.counts = [run.count for run in near]


def _unpack_runs(packed) -> tuple[RunCount, ...]:
    first = packed.firstWindow
    columns = zip(packed.windows, packed.customers, packed.counts, strict=True)
    return tuple(
        RunCount(first + window, customer, count) for window, customer, count in columns
    )


def _pack_limits(packed, limits: tuple[LimitUpdate, ...]) -> None:
    packed.targets = [told.target for told in limits]
    packed.perSecond = [
        NO_LIMIT if told.requests_per_second is None else told.requests_per_second
        for told in limits
    ]
    packed.ages = [min(MOST_U8, int(told.age_seconds / AGE_UNIT)) for told in limits]


def _unpack_limits(packed) -> tuple[LimitUpdate, ...]:
    columns = zip(packed.targets, packed.perSecond, packed.ages, strict=True)
    return tuple(
        LimitUpdate(target, rate if rate >= 0 else None, age * AGE_UNIT)
        for target, rate, age in columns
    )


def _failures(weight: float) -> int:
    return min(MOST_U8, int(weight / FAILURE_UNIT))


def _pack_word(slot, word: StoreStatus) -> None:
    for part, feed in ((slot.routes, word.routes), (slot.replicas, word.replicas)):
        part.changed = feed.last_change
        part.revision = feed.revision
        part.storeMs = feed.store_ms
        part.era = feed.era
    slot.backMs = word.recovered_ms


def _unpack_word(slot) -> StoreStatus:
    routes, replicas = (
        FeedStatus(part.changed, part.revision, part.storeMs, StoreEra(part.era))
        for part in (slot.routes, slot.replicas)
    )
    return StoreStatus(routes, replicas, slot.backMs)


def _units(tokens: int) -> int:
    return min(MOST_U16, -(-max(0, tokens) // TOKEN_UNIT))


def _unpack(body: bytes) -> LoadDigest:
    packed = _schema.LoadDigest.from_bytes_packed(body)
    phases = tuple(
        PhaseUpdate(
            slot.target,
            EnginePhase.PREFILL if slot.reads else EnginePhase.DECODE,
            slot.age * AGE_UNIT,
        )
        for slot in packed.phases
    )
    return LoadDigest(
        packed.host,
        packed.sequence,
        _unpack_entries(packed.entries),
        _unpack_reads(packed.reads),
        phases,
        Scope(packed.scope),
        packed.domain,
        packed.hosts,
        packed.follows,
        _unpack_word(packed.word) if packed._has("word") else None,
        _unpack_crashes(packed.crashes) if packed._has("crashes") else (),
        tuple(Fingerprint(request) for request in packed.finished),
        packed.start,
        _unpack_runs(packed.runs) if packed._has("runs") else (),
        packed.usageDone,
        _unpack_limits(packed.limits) if packed._has("limits") else (),
    )

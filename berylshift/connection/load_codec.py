"""Load digests as capnp messages behind a keyed tag."""

from pathlib import Path

import capnp

from berylshift.connection.datagram_tag import (
    TAG_BYTES,
    BadDatagramError,
    Tagger,
)
from berylshift.messages.load_digest import (
    FeedWord,
    LoadDigest,
    LoadEntry,
    PartRead,
    PhaseTold,
    Scope,
    StoreWord,
)
from berylshift.messages.replicas import EnginePhase

TOKEN_UNIT = 16
FAILURE_UNIT = 1 / 32
AGE_UNIT = 0.1
MOST_U16 = 0xFFFF
MOST_U8 = 0xFF

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
        follows=message.follows,
    )
    if message.word is not None:
        _pack_word(packed.init("word"), message.word)
    entries = packed.init("entries", keep)
    for slot, entry in zip(entries, message.entries, strict=False):
        slot.target = entry.target
        slot.inFlight = min(MOST_U16, entry.in_flight)
        slot.urgent = _units(entry.reading[0])
        slot.usual = _units(entry.reading[1])
        slot.patient = _units(entry.reading[2])
        slot.failures = min(MOST_U8, int(entry.failures / FAILURE_UNIT))
        slot.second = min(MOST_U8, int(entry.second / FAILURE_UNIT))
    reads = packed.init("reads", len(message.reads))
    for slot, read in zip(reads, message.reads, strict=True):
        slot.part = read.part
        slot.target = read.target
        slot.tokens = _units(read.tokens)
    phases = packed.init("phases", len(message.phases))
    for slot, told in zip(phases, message.phases, strict=True):
        slot.target = told.target
        slot.reads = told.phase is EnginePhase.PREFILL
        slot.age = min(MOST_U8, int(told.age / AGE_UNIT))
    return packed.to_bytes_packed()


def _pack_word(slot, word: StoreWord) -> None:
    for part, feed in ((slot.routes, word.routes), (slot.replicas, word.replicas)):
        part.changed = feed.changed
        part.revision = feed.revision
        part.storeMs = feed.store_ms
    slot.backMs = word.back_ms


def _unpack_word(slot) -> StoreWord:
    routes, replicas = (
        FeedWord(part.changed, part.revision, part.storeMs)
        for part in (slot.routes, slot.replicas)
    )
    return StoreWord(routes, replicas, slot.backMs)


def _units(tokens: int) -> int:
    return min(MOST_U16, -(-max(0, tokens) // TOKEN_UNIT))


def _unpack(body: bytes) -> LoadDigest:
    packed = _schema.LoadDigest.from_bytes_packed(body)
    entries = tuple(
        LoadEntry(
            target=slot.target,
            in_flight=slot.inFlight,
            reading=(
                slot.urgent * TOKEN_UNIT,
                slot.usual * TOKEN_UNIT,
                slot.patient * TOKEN_UNIT,
            ),
            failures=slot.failures * FAILURE_UNIT,
            second=slot.second * FAILURE_UNIT,
        )
        for slot in packed.entries
    )
    reads = tuple(
        PartRead(slot.part, slot.target, slot.tokens * TOKEN_UNIT)
        for slot in packed.reads
    )
    phases = tuple(
        PhaseTold(
            slot.target,
            EnginePhase.PREFILL if slot.reads else EnginePhase.DECODE,
            slot.age * AGE_UNIT,
        )
        for slot in packed.phases
    )
    return LoadDigest(
        packed.host,
        packed.sequence,
        entries,
        reads,
        phases,
        Scope(packed.scope),
        packed.domain,
        packed.hosts,
        packed.follows,
        _unpack_word(packed.word) if packed._has("word") else None,
    )

"""The origins of streams that this host began or was told of."""

from collections import OrderedDict

from berylshift.messages.stream_origins import StreamKey, Variant

# How long a stream's origin is kept after it was last told, in seconds: longer than
# streams last and callers take to resume them.
KEEP_SECONDS = 120.0
# A bound on memory: about 10 MB.
MAX_RECORDS = 50_000
# The variant of a stream that is said to have begun at several.
AMBIGUOUS = Variant(0)


class OriginRecords:
    """Variants by stream; times in seconds on the monotonic clock."""

    def __init__(self) -> None:
        """Start empty."""
        self._records: OrderedDict[StreamKey, tuple[Variant, float]] = OrderedDict()

    def record(self, stream: StreamKey, variant: Variant, now: float) -> None:
        """Record at which variant a stream began; callers may repeat an id."""
        known = self.find(stream, now)
        if known not in (None, variant):
            variant = AMBIGUOUS
        self._records[stream] = (variant, now)
        self._records.move_to_end(stream)
        self._drop_old(now)

    def find(self, stream: StreamKey, now: float) -> Variant | None:
        """Return the variant that began a stream; ``None``: not known."""
        found = self._records.get(stream)
        if found is None or now - found[1] > KEEP_SECONDS:
            return None
        return found[0]

    def __len__(self) -> int:
        """Return how many streams are known."""
        return len(self._records)

    def _drop_old(self, now: float) -> None:
        while self._records:
            _, at = next(iter(self._records.values()))
            if now - at <= KEEP_SECONDS and len(self._records) <= MAX_RECORDS:
                return
            self._records.popitem(last=False)

"""Estimates of one replica's speed; times in seconds on the monotonic clock."""

from collections import deque
from collections.abc import Sequence

# Statements within this time count as one: a disturbance lasts for some hundred ms, and
# a burst of responses in it must not outvote the time before.
STATEMENT_SPACING_SECONDS = 0.3
# With one statement each 0.3 s these are 3.6 s: six times as long as a disturbance.
MAX_STATEMENTS = 12
# Disturbances only add to the time that work takes and are there a small part of the
# time; one wrong low statement must not count either.
LASTING_QUANTILE = 0.25
# How long a stated disturbance is taken to go on.
DISTURBANCE_SECONDS = 0.3

# Prefills within this time may have waited in the same unknown queue. Such a wait only
# adds, so the fastest of them counts.
PREFILL_SPACING_SECONDS = 0.1
MAX_PREFILLS = 24
MIN_PREFILLS = 5
# Samples of the factor at present, about three seconds of all hosts' prompts.
RECENT_PREFILLS = 9
# If this many newest samples differ from the rest by more than the factor below, and in
# the same direction, the speed has changed: a slowdown begins or ends.
AGREEING_PREFILLS = 3
CHANGE_FACTOR = 1.6
# More samples are too slow (an unknown queue, blocks that were not cached) than too
# fast, so the factor is estimated below the median.
PREFILL_QUANTILE = 0.35
# A sample beyond this range is wrong about the prompt's cached prefix or the queue.
MIN_PREFILL_FACTOR = 0.2
MAX_PREFILL_FACTOR = 12.0
# Factors this close to 1.0 are noise of the samples.
DEAD_BAND = 1.2
# Without new samples the factor at present is valid for this long, the lasting factor
# for longer.
PRESENT_SECONDS = 3.0
LASTING_SECONDS = 30.0
# How far a statement may be from the responses, as a factor: the service's estimate is
# a quantile of replicas of all speeds, not their mean. Both ends allow for noise.
BOUND_FACTOR = 1.6
BOUND_QUANTILES = (0.2, 0.8)
# Samples by which a statement is bounded are not older than this.
BOUND_SECONDS = 10.0

MAX_GAPS = 16
MIN_GAPS = 3
GAP_QUANTILE = 0.8
# Older gaps no longer count, so an engine that got no streams because of them is tried
# again.
GAP_SECONDS = 6.0


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which ``share`` of ``values`` are."""
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))]


class StatedSpeed:
    """The time factor that a replica states: a lasting part and a disturbance."""

    def __init__(self) -> None:
        """Start without statements."""
        self._spaced: deque[tuple[float, float]] = deque(maxlen=MAX_STATEMENTS)
        self._newest = 1.0
        self.newest_at = float("-inf")
        self.lasting: float | None = None

    def add(self, factor: float, at: float) -> None:
        """Add a statement, which is newer than the former ones."""
        self._newest, self.newest_at = factor, at
        if self._spaced and at - self._spaced[-1][0] < STATEMENT_SPACING_SECONDS:
            first_at, lowest = self._spaced[-1]
            self._spaced[-1] = (first_at, min(lowest, factor))
        else:
            self._spaced.append((at, factor))
        self.lasting = quantile([each for _, each in self._spaced], LASTING_QUANTILE)

    def disturbance(self, now: float) -> float:
        """Return by how much more work takes at present; 1.0 if that is not known."""
        if self.lasting is None or now - self.newest_at > DISTURBANCE_SECONDS:
            return 1.0
        return max(1.0, self._newest / self.lasting)

    def __len__(self) -> int:
        """Return how many statements the lasting factor is estimated from."""
        return len(self._spaced)


class LearnedSpeed:
    """The time factor that the prefills of an engine show."""

    def __init__(self) -> None:
        """Start without samples."""
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_PREFILLS)
        self._lasting = 1.0
        self._present = 1.0
        self._newest_at = float("-inf")

    def add(self, factor: float, at: float) -> None:
        """Add a sample, which is newer than the former ones."""
        if not MIN_PREFILL_FACTOR <= factor <= MAX_PREFILL_FACTOR:
            return
        if self._samples and at - self._samples[-1][0] < PREFILL_SPACING_SECONDS:
            first_at, lowest = self._samples[-1]
            self._samples[-1] = (first_at, min(lowest, factor))
        else:
            self._samples.append((at, factor))
        self._newest_at = at
        while at - self._samples[0][0] > LASTING_SECONDS:
            self._samples.popleft()
        factors = [each for _, each in self._samples]
        if len(factors) < MIN_PREFILLS:
            return
        self._lasting = _without_noise(quantile(factors, PREFILL_QUANTILE))
        self._present = _without_noise(_present_factor(factors[-RECENT_PREFILLS:]))

    def lasting(self, now: float) -> float:
        """Return the factor over the last seconds."""
        return self._lasting if now - self._newest_at <= LASTING_SECONDS else 1.0

    def present(self, now: float) -> float:
        """Return the factor at present, or the lasting one without new samples."""
        if now - self._newest_at <= PRESENT_SECONDS:
            return self._present
        return self.lasting(now)

    def is_known(self, now: float) -> bool:
        """Return whether there are enough samples."""
        is_recent = now - self._newest_at <= LASTING_SECONDS
        return is_recent and len(self._samples) >= MIN_PREFILLS

    def bounded(self, stated: float, now: float) -> float:
        """Return a stated factor, or the nearest one that the samples allow."""
        recent = [each for at, each in self._samples if now - at <= BOUND_SECONDS]
        if len(recent) < MIN_PREFILLS:
            return stated
        low, high = (quantile(recent, share) for share in BOUND_QUANTILES)
        return min(max(stated, low / BOUND_FACTOR), high * BOUND_FACTOR)


class EventGaps:
    """The longest gaps between events in recent streams of an engine."""

    def __init__(self) -> None:
        """Start without streams."""
        self._gaps: deque[tuple[float, float]] = deque(maxlen=MAX_GAPS)
        # Each placement asks for the gaps of a dozen engines.
        self._value: float | None = None
        self._valid_until = float("-inf")

    def add(self, gap: float, at: float) -> None:
        """Add the longest gap of a stream, which ended after the former ones."""
        self._gaps.append((at, gap))
        self._valid_until = float("-inf")

    def value(self, now: float) -> float | None:
        """Return a high quantile of recent streams; ``None`` if they are too few."""
        if now <= self._valid_until:
            return self._value
        while self._gaps and now - self._gaps[0][0] > GAP_SECONDS:
            self._gaps.popleft()
        if len(self._gaps) < MIN_GAPS:
            return None
        self._value = quantile([gap for _, gap in self._gaps], GAP_QUANTILE)
        self._valid_until = self._gaps[0][0] + GAP_SECONDS
        return self._value


def _present_factor(recent: list[float]) -> float:
    """Return the factor that the newest samples agree on, or that of all of them."""
    found = quantile(recent, PREFILL_QUANTILE)
    newest = recent[-AGREEING_PREFILLS:]
    if min(newest) > CHANGE_FACTOR * found:
        return min(newest)
    if max(newest) * CHANGE_FACTOR < found:
        return max(newest)
    return found


def _without_noise(factor: float) -> float:
    return factor if not 1 / DEAD_BAND <= factor <= DEAD_BAND else 1.0

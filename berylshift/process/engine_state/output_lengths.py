"""Expected output lengths: running quantiles by customer and model."""

from collections import OrderedDict

from ddsketch import DDSketch

from berylshift.ids import CustomerName, WorkName

RELATIVE_ACCURACY = 0.05
CALLS_PER_SKETCH = 256
MAX_WINDOWS = 512
EXPECTED_QUANTILE = 0.6
DEFAULT_TOKENS = 128
MIN_CALLS = 8


class _Window:
    """Two sketches used in rotation, so that old calls are dropped."""

    def __init__(self) -> None:
        self.current = DDSketch(RELATIVE_ACCURACY)
        self.previous = DDSketch(RELATIVE_ACCURACY)

    def add(self, value: float) -> None:
        self.current.add(value)
        if self.current.count >= CALLS_PER_SKETCH:
            self.previous = self.current
            self.current = DDSketch(RELATIVE_ACCURACY)

    def quantile(self) -> float | None:
        newest = self.current
        if newest.count < MIN_CALLS:
            newest = self.previous
        if newest.count < MIN_CALLS:
            return None
        return newest.get_quantile_value(EXPECTED_QUANTILE)


class OutputLengths:
    """Learns how many tokens responses have; bounded in memory."""

    def __init__(self) -> None:
        """Start without data."""
        self._windows: OrderedDict[tuple[str, str], _Window] = OrderedDict()

    def learn(self, customer: CustomerName, model: WorkName, tokens: int) -> None:
        """Add the length of a complete response."""
        for key in ((customer, model), ("", model)):
            window = self._windows.setdefault(key, _Window())
            self._windows.move_to_end(key)
            window.add(max(1, tokens))
        while len(self._windows) > MAX_WINDOWS:
            self._windows.popitem(last=False)

    def expected(self, customer: CustomerName, model: WorkName, max_tokens: int) -> int:
        """Return the expected length, at most ``max_tokens``."""
        for key in ((customer, model), ("", model)):
            window = self._windows.get(key)
            value = window.quantile() if window else None
            if value is not None:
                return max(1, min(max_tokens, int(value)))
        return min(max_tokens, DEFAULT_TOKENS)

"""Expected output lengths: running quantiles by customer and model."""

from collections import OrderedDict

from ddsketch import DDSketch

from berylshift.ids import CustomerName, WorkName

RELATIVE_ACCURACY = 0.05
SKETCH_CALLS = 256
SKETCHES_KEPT = 512
EXPECTED_QUANTILE = 0.6
DEFAULT_TOKENS = 128
FEWEST_CALLS = 8


class _Window:
    """Two sketches in turn, so that old calls are forgotten."""

    def __init__(self) -> None:
        self.current = DDSketch(RELATIVE_ACCURACY)
        self.previous = DDSketch(RELATIVE_ACCURACY)

    def add(self, value: float) -> None:
        self.current.add(value)
        if self.current.count >= SKETCH_CALLS:
            self.previous = self.current
            self.current = DDSketch(RELATIVE_ACCURACY)

    def quantile(self) -> float | None:
        newest = self.current
        if newest.count < FEWEST_CALLS:
            newest = self.previous
        if newest.count < FEWEST_CALLS:
            return None
        return newest.get_quantile_value(EXPECTED_QUANTILE)


class OutputLengths:
    """Learns how many tokens answers have; bounded in memory."""

    def __init__(self) -> None:
        """Start knowing nothing."""
        self._windows: OrderedDict[tuple[str, str], _Window] = OrderedDict()

    def learn(self, customer: CustomerName, model: WorkName, tokens: int) -> None:
        """Take the length of a whole answer."""
        for key in ((customer, model), ("", model)):
            window = self._windows.setdefault(key, _Window())
            self._windows.move_to_end(key)
            window.add(max(1, tokens))
        while len(self._windows) > SKETCHES_KEPT:
            self._windows.popitem(last=False)

    def expected(self, customer: CustomerName, model: WorkName, most: int) -> int:
        """Return the expected length, at most ``most``."""
        for key in ((customer, model), ("", model)):
            window = self._windows.get(key)
            value = window.quantile() if window else None
            if value is not None:
                return max(1, min(most, int(value)))
        return min(most, DEFAULT_TOKENS)

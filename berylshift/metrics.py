"""Metrics over statsd, with a null client for hosts without a statsd address."""

from typing import Protocol

from statsd import StatsClient

PREFIX = "berylshift"


class Metrics(Protocol):
    """Counters, gauges and timings."""

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration."""


class NoMetrics:
    """Discards all metrics."""

    def incr(self, name: str, count: int = 1) -> None:
        """Discard a count."""

    def gauge(self, name: str, value: float) -> None:
        """Discard a value."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Discard a duration."""


def make_metrics(address: str) -> Metrics:
    """Return a client for the statsd daemon at ``IP:PORT``; ``""``: a null client."""
    if not address:
        return NoMetrics()
    host, _, port = address.rpartition(":")
    return StatsClient(host, int(port), prefix=PREFIX)

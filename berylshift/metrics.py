"""Metrics by statsd; a client that sends nothing where none is set."""

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
        """Note a duration."""


class NoMetrics:
    """Drops everything."""

    def incr(self, name: str, count: int = 1) -> None:
        """Drop a count."""

    def gauge(self, name: str, value: float) -> None:
        """Drop a value."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Drop a duration."""


def make_metrics(address: str) -> Metrics:
    """Return a client for the statsd daemon at ``IP:PORT``; empty: none."""
    if not address:
        return NoMetrics()
    host, _, port = address.rpartition(":")
    return StatsClient(host, int(port), prefix=PREFIX)

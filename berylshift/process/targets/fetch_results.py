"""Transfers of cached prefixes between engines that this host has requested.

An engine transfers one prefix after another, so a new transfer waits for those that are
known to be open. An engine from which fetches took too long or found nothing is not
used as a source for some seconds. All of it is soft state of this process.
"""

from collections import OrderedDict
from dataclasses import dataclass

from berylshift.ids import InstanceId

# A source that disappoints once is left out for this long, one that does so twice for
# twice as long: most causes (an evicted prefix, a restart) pass within seconds.
FAILURE_HALF_LIFE_SECONDS = 2.0
LEFT_OUT_FAILURE = 0.5
# Engines that are tracked, a bound on this process's memory; the least recently used
# ones are dropped.
MAX_ENGINES = 2048


@dataclass
class _EngineTransfers:
    """What is known of one engine as a source or a destination."""

    busy_until: float = 0.0
    failure: float = 0.0
    failure_at: float = 0.0

    def failures(self, now: float) -> float:
        """Return the weight of recent failures; 1.0 is one failure just now."""
        if not self.failure:
            return 0.0
        age = now - self.failure_at
        return self.failure * 0.5 ** (age / FAILURE_HALF_LIFE_SECONDS)


class FetchResults:
    """Open transfers and recent failures by engine; times in seconds."""

    def __init__(self) -> None:
        """Start without any transfer."""
        self._engines: OrderedDict[InstanceId, _EngineTransfers] = OrderedDict()
        self.sent = 0
        self.failed = 0

    def queued_seconds(self, instance: InstanceId, now: float) -> float:
        """Return how long the transfers of this host still occupy an engine's link."""
        engine = self._engines.get(instance)
        return 0.0 if engine is None else max(0.0, engine.busy_until - now)

    def record_sent(
        self, source: InstanceId, destination: InstanceId, seconds: float, now: float
    ) -> None:
        """Record a transfer that is predicted to be done in ``seconds``."""
        self.sent += 1
        for instance in (source, destination):
            engine = self._of(instance)
            engine.busy_until = max(engine.busy_until, now + seconds)

    def record_result(self, source: InstanceId, succeeded: bool, now: float) -> None:
        """Record whether a fetch from ``source`` saved the prefill.

        A success halves the weight of earlier failures.
        """
        engine = self._of(source)
        failure = engine.failures(now)
        engine.failure = failure / 2 if succeeded else failure + 1.0
        engine.failure_at = now
        self.failed += not succeeded

    def has_failed_lately(self, instance: InstanceId, now: float) -> bool:
        """Return whether an engine is left out as a source."""
        engine = self._engines.get(instance)
        return engine is not None and engine.failures(now) >= LEFT_OUT_FAILURE

    def forget(self, instance: InstanceId) -> None:
        """Remove an engine that is gone."""
        self._engines.pop(instance, None)

    def _of(self, instance: InstanceId) -> _EngineTransfers:
        engine = self._engines.get(instance)
        if engine is None:
            engine = self._engines[instance] = _EngineTransfers()
            if len(self._engines) > MAX_ENGINES:
                self._engines.popitem(last=False)
        else:
            self._engines.move_to_end(instance)
        return engine

    def __len__(self) -> int:
        """Return how many engines are tracked."""
        return len(self._engines)

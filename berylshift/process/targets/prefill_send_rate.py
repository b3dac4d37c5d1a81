"""The rate of prefill work that this host sends ahead of late prompts."""

import math

from berylshift.ids import ServiceName

# Half a period of the swings in the request mix: a shorter time would follow single
# long prompts.
DECAY_SECONDS = 1.0


class PrefillSendRate:
    """Prefill tokens a second by service, an exponentially decaying average."""

    def __init__(self) -> None:
        """Start at zero."""
        self._tokens: dict[ServiceName, float] = {}
        self._at: dict[ServiceName, float] = {}

    def record_sent(self, service: ServiceName, tokens: int, now: float) -> None:
        """Record that ``tokens`` are sent for prefill."""
        self._tokens[service] = self._decayed(service, now) + tokens
        self._at[service] = now

    def rate(self, service: ServiceName, now: float) -> float:
        """Return the tokens a second."""
        return self._decayed(service, now) / DECAY_SECONDS

    def _decayed(self, service: ServiceName, now: float) -> float:
        age = now - self._at.get(service, now)
        return self._tokens.get(service, 0.0) * math.exp(-age / DECAY_SECONDS)

"""How much reading this host has engines do that goes before late prompts."""

import math

from berylshift.ids import ServiceName

# Half a swing of the mix: a shorter time would follow single long prompts.
FLOW_SECONDS = 1.0


class ReadingFlow:
    """Tokens a second by service, averaged over about ``FLOW_SECONDS``."""

    def __init__(self) -> None:
        """Start without a flow."""
        self._tokens: dict[ServiceName, float] = {}
        self._at: dict[ServiceName, float] = {}

    def sent(self, service: ServiceName, tokens: int, now: float) -> None:
        """Note that ``tokens`` go out to be read."""
        self._tokens[service] = self._left(service, now) + tokens
        self._at[service] = now

    def rate(self, service: ServiceName, now: float) -> float:
        """Return the tokens a second."""
        return self._left(service, now) / FLOW_SECONDS

    def _left(self, service: ServiceName, now: float) -> float:
        age = now - self._at.get(service, now)
        return self._tokens.get(service, 0.0) * math.exp(-age / FLOW_SECONDS)

"""What registrars have just told this host of engines' queues."""

from berylshift.ids import InstanceId
from berylshift.messages.load_digest import PrefillTokens, target_hash

# A reply is used for the decision that asked for it, and for others at that moment. It
# takes a few milliseconds to arrive, and queues change within tens of them.
FRESH_SECONDS = 0.02


class QueueView:
    """Queues by engine; times in seconds."""

    def __init__(self) -> None:
        """Start without queues."""
        self._queues: dict[int, tuple[float, PrefillTokens, bool]] = {}

    def record(
        self, target: int, tokens: PrefillTokens, complete: bool, now: float
    ) -> None:
        """Record a queue that a registrar reported, ``complete`` if it knows it all."""
        self._queues[target] = (now, tokens, complete)

    def tokens(
        self, instance: InstanceId, known: PrefillTokens, now: float
    ) -> PrefillTokens:
        """Return the open work at an engine, by urgency.

        ``known`` is what this host knows otherwise.
        """
        found = self._queues.get(target_hash(instance))
        if found is None or now - found[0] > FRESH_SECONDS:
            return known
        _, tokens, complete = found
        if complete:
            return tokens
        return (
            max(tokens[0], known[0]),
            max(tokens[1], known[1]),
            max(tokens[2], known[2]),
        )

    def is_known(self, instance: InstanceId, now: float) -> bool:
        """Return whether a registrar has just reported an engine's queue."""
        found = self._queues.get(target_hash(instance))
        return found is not None and now - found[0] <= FRESH_SECONDS

    def forget(self, instance: InstanceId) -> None:
        """Remove an engine that is gone."""
        self._queues.pop(target_hash(instance), None)

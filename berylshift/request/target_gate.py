"""Stands between all calls to replicas and the connections that carry them."""

from berylshift.clock import Clock
from berylshift.connection.errors import ThrottledError
from berylshift.ids import InstanceId
from berylshift.messages.routed import Header, Language
from berylshift.process.targets.throttle import Throttle


class ThrottleGate:
    """Asks the throttle before each call, and tells it what each answer says."""

    def __init__(self, language: Language, throttle: Throttle, clock: Clock):
        """Read answers by ``language``."""
        self._language = language
        self._throttle = throttle
        self._clock = clock

    def enter(self, instance: InstanceId) -> float:
        """Return the time of a call that may go out; raise ``ThrottledError``."""
        now = self._clock.monotonic()
        wait = self._throttle.take(instance, now)
        if wait > 0:
            raise ThrottledError(f"{instance} takes no request for {wait:.2f} s")
        return now

    def answered(
        self,
        instance: InstanceId,
        status: int,
        headers: list[Header],
        entered_at: float,
    ) -> None:
        """Take over what the head of an answer asks for."""
        wishes = self._language.read_wishes(status, headers)
        if wishes is not None:
            now = self._clock.monotonic()
            self._throttle.heard(instance, wishes, entered_at, now)

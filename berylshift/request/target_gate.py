"""Stands between all calls to replicas and the connections that carry them."""

import logging

from berylshift.clock import Clock
from berylshift.connection.errors import ThrottledError
from berylshift.ids import InstanceId
from berylshift.messages.routed import Header, Language
from berylshift.process.directory.replica_set import ReplicaSet
from berylshift.process.targets.throttle import Throttle

logger = logging.getLogger(__name__)


class ReplicaGate:
    """Lets calls out that replicas take, by what their answers said."""

    def __init__(
        self,
        language: Language,
        throttle: Throttle,
        replicas: ReplicaSet,
        clock: Clock,
    ):
        """Read answers by ``language``; tell ``throttle`` and ``replicas`` of them."""
        self._language = language
        self._throttle = throttle
        self._replicas = replicas
        self._clock = clock

    def enter(self, instance: InstanceId, limit_exempt: bool) -> float:
        """Return the time of a call that may go out; raise ``ThrottledError``."""
        if self._replicas.is_draining(instance):
            raise ThrottledError(f"{instance} leaves")
        now = self._clock.monotonic()
        wait = self._throttle.acquire(instance, now, limit_exempt)
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
        control = self._language.read_flow_control(status, headers)
        if control is None:
            return
        now = self._clock.monotonic()
        self._throttle.apply_flow_control(instance, control, entered_at, now)
        if control.draining and self._replicas.mark_draining(instance, now):
            logger.info("replica leaves", extra={"instance": instance})

"""Flow control between all calls to replicas and their connections."""

import logging

from berylshift.clock import Clock
from berylshift.connection.errors import ThrottledError
from berylshift.ids import InstanceId
from berylshift.messages.routed import Header, WireCodec
from berylshift.process.directory.replica_set import ReplicaSet
from berylshift.process.targets.throttle import Throttle

logger = logging.getLogger(__name__)


class ReplicaGate:
    """Admits calls to replicas according to the flow control in their responses."""

    def __init__(
        self,
        codec: WireCodec,
        throttle: Throttle,
        replicas: ReplicaSet,
        clock: Clock,
    ):
        """Parse responses with ``codec``; update ``throttle`` and ``replicas``."""
        self._codec = codec
        self._throttle = throttle
        self._replicas = replicas
        self._clock = clock

    def admit(self, instance: InstanceId, limit_exempt: bool) -> float:
        """Return the time at which a call may be sent; raise ``ThrottledError``."""
        if self._replicas.is_draining(instance):
            raise ThrottledError(f"{instance} is draining")
        now = self._clock.monotonic()
        wait = self._throttle.acquire(instance, now, limit_exempt)
        if wait > 0:
            raise ThrottledError(f"{instance} accepts no request for {wait:.2f} s")
        return now

    def note_response(
        self,
        instance: InstanceId,
        status: int,
        headers: list[Header],
        admitted_at: float,
    ) -> None:
        """Apply the flow control in the head of a response."""
        control = self._codec.parse_flow_control(status, headers)
        if control is None:
            return
        now = self._clock.monotonic()
        self._throttle.apply_flow_control(instance, control, admitted_at, now)
        if control.draining and self._replicas.mark_draining(instance, now):
            logger.info("replica is draining", extra={"instance": instance})

"""Disaggregated prefill: one engine prefills a prompt, another one decodes it."""

import logging
from collections.abc import Callable

import msgspec
import trio

from berylshift.clock import Clock
from berylshift.connection.errors import (
    ConnectFailedError,
    ConnectionLayerError,
    PathLostError,
    ThrottledError,
)
from berylshift.connection.target_client import TargetClient
from berylshift.connection.target_request import ConnectionUse, TargetRequest
from berylshift.connection.target_response import TargetResponse
from berylshift.messages.load_digest import Urgency
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import WireCodec
from berylshift.process.directory.suspected_gone import SuspectedGone
from berylshift.process.targets.replica_speeds import ReplicaSpeeds
from berylshift.process.targets.target_load import TargetLoads
from berylshift.request.engine_queues import EngineQueues
from berylshift.request.retry_policy import AttemptOutcome
from berylshift.scheduling.placement import Placement

logger = logging.getLogger(__name__)

STATUS_OK = 200
# Maximum size of a response of an engine's native API.
MAX_CONTROL_BYTES = 65536
# Timeout of the call that releases an unused KV cache.
RELEASE_SECONDS = 0.3


class KvSource(msgspec.Struct, frozen=True):
    """A KV cache that an engine holds for one request."""

    engine: Replica
    handle: str

    @property
    def location(self) -> str:
        """Return ``IP:PORT/HANDLE``, as it is sent to the decode engine."""
        return f"{self.engine.address}/{self.handle}"


class PrefillResult(msgspec.Struct, frozen=True):
    """How a prefill ended; ``source`` is set if it succeeded.

    ``reason`` tells in the log why it broke.
    """

    end: AttemptOutcome
    source: KvSource | None = None
    reason: str = ""


class PrefillClient:
    """Sends prompts to prefill engines.

    A prefill alone does not count as running the request.
    """

    def __init__(
        self,
        codec: WireCodec,
        client: TargetClient,
        loads: TargetLoads,
        clock: Clock,
        background: Callable[..., None],
        replica_speeds: ReplicaSpeeds,
        queues: EngineQueues,
        suspects: SuspectedGone | None = None,
    ):
        """Send with ``client``; release KV caches in ``background`` tasks."""
        self._queues = queues
        self._codec = codec
        self._client = client
        self._loads = loads
        self._clock = clock
        self._background = background
        self._replica_speeds = replica_speeds
        self._suspects = SuspectedGone() if suspects is None else suspects

    async def prefill(
        self,
        placement: Placement,
        urgency: Urgency,
        out: TargetRequest,
        seconds: float,
        on_connected: Callable[[ConnectionUse], None] = lambda use: None,
    ) -> PrefillResult:
        """Have the engine of ``placement`` prefill the prompt of ``out``.

        The call times out after ``seconds``. ``on_connected`` is called once there is a
        connection.
        """
        instance = placement.target.instance
        self._loads.record_sent(instance, placement.tokens, urgency)
        opened = self._queues.open(placement.target, placement.tokens, urgency)
        try:
            with trio.move_on_after(seconds):
                async with self._client.exchange(out, on_connected) as response:
                    return await self._parse_response(placement.target, response)
            return PrefillResult(AttemptOutcome.SILENT)
        except ThrottledError:
            return PrefillResult(AttemptOutcome.THROTTLED)
        except ConnectFailedError:
            self._suspects.record_not_reached(instance, self._clock.monotonic())
            return PrefillResult(AttemptOutcome.NOT_REACHED)
        except PathLostError:
            return PrefillResult(AttemptOutcome.BROKEN, reason=" path-lost")
        except ConnectionLayerError:
            return PrefillResult(AttemptOutcome.BROKEN)
        finally:
            if opened is not None:
                opened.close()
            self._loads.record_prefilled(instance, placement.tokens, urgency)
            self._loads.record_ended(instance)

    async def _parse_response(
        self, engine: Replica, response: TargetResponse
    ) -> PrefillResult:
        if not response.is_identified:
            return PrefillResult(AttemptOutcome.INVALID)
        head = self._codec.parse_response_head(response.status, response.headers)
        self._suspects.record_response(engine.instance, head, self._clock.monotonic())
        if head.keep_alive_seconds is not None:
            response.keep_alive_seconds = head.keep_alive_seconds
        if head.load is not None:
            now = self._clock.monotonic()
            self._loads.record_report(engine.instance, head.load, now)
            self._replica_speeds.record_report(engine.instance, head.load, now)
        if head.status != STATUS_OK:
            await response.skip_body()
            return PrefillResult(
                AttemptOutcome.NOT_RUN if head.not_run else AttemptOutcome.FAILED
            )
        body = await response.read(MAX_CONTROL_BYTES)
        handle = self._codec.parse_kv_handle(body)
        if handle is None:
            return PrefillResult(AttemptOutcome.INVALID)
        return PrefillResult(AttemptOutcome.DONE, KvSource(engine, handle.handle))

    def release(self, source: KvSource) -> None:
        """Release an unused KV cache, which would hold memory until it expires."""
        engine = source.engine
        call = self._codec.kv_release_call(source.handle, engine.name)
        out = TargetRequest(
            engine.instance, engine.address, b"DELETE", call.path, list(call.headers)
        )
        self._background(self._send_release, out)

    async def _send_release(self, out: TargetRequest) -> None:
        with trio.move_on_after(RELEASE_SECONDS):
            try:
                async with self._client.exchange(out) as response:
                    await response.read(MAX_CONTROL_BYTES)
            except ConnectionLayerError as exc:
                logger.info(
                    "KV cache not released",
                    extra={"instance": out.instance, "reason": str(exc)},
                )

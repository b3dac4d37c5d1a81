"""Has an engine read a prompt apart, before another engine answers it."""

import logging
from collections.abc import Callable

import msgspec
import trio

from berylshift.clock import Clock
from berylshift.connection.errors import (
    ConnectFailedError,
    ConnectionLayerError,
    ThrottledError,
)
from berylshift.connection.target_client import (
    TargetAnswer,
    TargetClient,
    TargetRequest,
)
from berylshift.ids import RequestId
from berylshift.messages.load_digest import Urgency
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import Language
from berylshift.process.targets.target_load import TargetLoads
from berylshift.request.placement import Placement
from berylshift.request.retry_rule import SendEnd

logger = logging.getLogger(__name__)

STATUS_OK = 200
# The largest answer of an engine's own interface, in bytes.
MOST_CONTROL_BYTES = 65536
# Freeing a KV cache that is not needed is worth this long.
RELEASE_SECONDS = 0.3


class KvSource(msgspec.Struct, frozen=True):
    """A KV cache that an engine keeps for one request."""

    engine: Replica
    handle: str

    @property
    def place(self) -> str:
        """Return ``IP:PORT/HANDLE``, as another engine is told of it."""
        return f"{self.engine.address}/{self.handle}"


class ReadEnd(msgspec.Struct, frozen=True):
    """How a reading ended; ``source`` is set if it is done."""

    end: SendEnd
    source: KvSource | None = None


class PromptReads:
    """Sends prompts to engines that read them; the prompt is not run by that."""

    def __init__(
        self,
        language: Language,
        client: TargetClient,
        loads: TargetLoads,
        clock: Clock,
        background: Callable[..., None],
    ):
        """Send by ``client``; free caches by tasks given to ``background``."""
        self._language = language
        self._client = client
        self._loads = loads
        self._clock = clock
        self._background = background

    async def read(
        self,
        request: RequestId,
        place: Placement,
        urgency: Urgency,
        out: TargetRequest,
        seconds: float,
    ) -> ReadEnd:
        """Have ``place`` read the prompt of ``out`` within ``seconds``."""
        instance = place.target.instance
        self._loads.note_sent(instance, place.tokens, urgency)
        try:
            with trio.move_on_after(seconds):
                async with self._client.exchange(out) as answer:
                    return await self._take(request, place.target, answer)
            return ReadEnd(SendEnd.SILENT)
        except ThrottledError:
            return ReadEnd(SendEnd.THROTTLED)
        except ConnectFailedError:
            return ReadEnd(SendEnd.NOT_REACHED)
        except ConnectionLayerError:
            return ReadEnd(SendEnd.BROKEN)
        finally:
            self._loads.note_prefilled(instance, place.tokens, urgency)
            self._loads.note_ended(instance)

    async def _take(
        self, request: RequestId, engine: Replica, answer: TargetAnswer
    ) -> ReadEnd:
        head = self._language.read_answer(answer.status, answer.headers)
        if head.request is not None and head.request != request:
            # A late answer to an earlier request on a kept connection.
            answer.usable = False
            return ReadEnd(SendEnd.BROKEN)
        if head.keep_seconds is not None:
            answer.keep_seconds = head.keep_seconds
        if head.load is not None:
            now = self._clock.monotonic()
            self._loads.note_report(engine.instance, head.load, now)
        body = await answer.read(MOST_CONTROL_BYTES)
        if head.status != STATUS_OK:
            return ReadEnd(SendEnd.NOT_RUN if head.not_run else SendEnd.FAILED)
        handle = self._language.read_handle(body)
        if handle is None:
            return ReadEnd(SendEnd.SPOILED)
        return ReadEnd(SendEnd.DONE, KvSource(engine, handle.handle))

    def release(self, source: KvSource) -> None:
        """Free a KV cache that was not taken; it would hold memory until it expires."""
        engine = source.engine
        call = self._language.release_call(source.handle, engine.name)
        out = TargetRequest(
            engine.instance, engine.address, b"DELETE", call.path, list(call.headers)
        )
        self._background(self._free, out)

    async def _free(self, out: TargetRequest) -> None:
        with trio.move_on_after(RELEASE_SECONDS):
            try:
                async with self._client.exchange(out) as answer:
                    await answer.read(MOST_CONTROL_BYTES)
            except ConnectionLayerError as exc:
                logger.info(
                    "cache not freed",
                    extra={"instance": out.instance, "reason": str(exc)},
                )

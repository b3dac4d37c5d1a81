"""HTTP/1.1 server on trio streams, based on h11, with one task per connection."""

import errno
import logging
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from berylshift.connection.request_memory import RequestMemory
from berylshift.connection.responder import NEVER
from berylshift.connection.server_connection import (
    STATUS_UNAVAILABLE,
    Handler,
    ServerConnection,
    UnhandledOutcome,
)
from berylshift.connection.server_limits import (
    LINGER_SECONDS,
    ServerLimits,
    discard_input,
    final_read_deadline,
)

logger = logging.getLogger(__name__)

# Bodies up to this size are buffered before their request is handled, since a caller
# that sends slowly would occupy a target's slot meanwhile. Larger ones are streamed.
MAX_BUFFERED_BODY_BYTES = 65536
# Connections that linger after their last response at one time; further ones are closed
# immediately, so that refused callers cannot use up the file descriptors.
MAX_LINGERING_CONNECTIONS = 256
# Errors of accept() while descriptors or memory are exhausted. Both are released as
# other connections close, and callers wait a second for their connection.
RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
ACCEPT_RETRY_SECONDS = 0.05


class HttpServer:
    """Serves connections with one request handler, within limits."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        streams_bodies: bool = False,
        outcome_unhandled: UnhandledOutcome = lambda head: "not-run",
        memory: RequestMemory | None = None,
    ):
        """Serve with ``handler``, which is cancelled when its caller disconnects.

        With ``streams_bodies`` it receives long bodies while they still arrive.
        ``outcome_unhandled`` returns the outcome of a request that no handler has seen.
        ``memory`` bounds the bodies that are held; ``None``: nothing does.
        """
        self.handler = handler
        self.outcome_unhandled = outcome_unhandled
        self.max_buffered_bytes = (
            MAX_BUFFERED_BODY_BYTES if streams_bodies else float("inf")
        )
        self.memory = memory or RequestMemory()
        self._limits = limits or ServerLimits()
        self.draining = False
        self.accepts_requests = True
        self.open_connections = 0
        self._active_requests = 0
        self._started_requests = 0
        self._all_finished = trio.Event()
        self._lingering = 0
        # Start of the idle time of each idle connection, by the scope of its wait.
        self._idle: dict[trio.CancelScope, float] = {}
        self._read_scopes: set[trio.CancelScope] = set()
        self._write_scopes: set[trio.CancelScope] = set()
        self._write_deadline = NEVER

    @property
    def limits(self) -> ServerLimits:
        """Return the limits in effect."""
        return self._limits

    @limits.setter
    def limits(self, limits: ServerLimits) -> None:
        """Set the limits, also for connections that are already idle.

        Callers apply the latest idle timeout that they know, also to connections that
        were idle before. A shorter one closes no connection early, since some callers
        may not know it yet.
        """
        self._limits = limits
        for scope, start in self._idle.items():
            scope.deadline = max(scope.deadline, start + limits.idle_seconds)

    async def serve(self, listener: trio.SocketListener) -> None:
        """Accept connections until cancelled; cancellation also ends pending writes."""
        async with trio.open_nursery() as nursery:
            try:
                while True:
                    stream = await self._accept(listener)
                    nursery.start_soon(self.serve_stream, stream)
            finally:
                self._expire_writes()

    def _expire_writes(self) -> None:
        """Expire all writes now, so that none delays the end of the process."""
        self._write_deadline = trio.current_time()
        for scope in self._write_scopes:
            scope.deadline = self._write_deadline

    @contextmanager
    def write_scope(self, until: float) -> Iterator[trio.CancelScope]:
        """Shield the block from cancellation, up to the deadline of a write."""
        write_deadline = trio.current_time() + self.limits.write_seconds
        scope = trio.CancelScope(
            shield=True, deadline=min(write_deadline, until, self._write_deadline)
        )
        self._write_scopes.add(scope)
        try:
            with scope:
                yield scope
        finally:
            self._write_scopes.discard(scope)

    async def _accept(self, listener: trio.SocketListener) -> trio.abc.Stream:
        """Return the next connection; wait while system resources are exhausted.

        The error would end the listener and the process, and so abort all requests in
        flight. The connection stays in the listen backlog meanwhile.
        """
        while True:
            try:
                return await listener.accept()
            except OSError as exc:
                if exc.errno not in RESOURCE_ERRNOS:
                    raise
                logger.warning(
                    "cannot accept connections; out of system resources",
                    extra={"reason": str(exc)},
                )
                await trio.sleep(ACCEPT_RETRY_SECONDS)

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one connection; a failure affects this connection only.

        Any error that propagated from here would end the process, and all callers'
        requests with it. Nurseries raise exception groups, so catching specific
        exception types is not enough.
        """
        try:
            if await self._serve_and_count(stream):
                await self._linger(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            logger.debug("connection closed by peer")
        except Exception:
            logger.exception("connection failed")
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_and_count(self, stream: trio.abc.Stream) -> bool:
        """Serve a connection; return whether a response was sent last on it."""
        self.open_connections += 1
        connection = ServerConnection(self, stream)
        try:
            if not self.accepts_requests:
                logger.info("connection closed unread", extra={"reason": "stopping"})
                return False
            if self.open_connections > self.limits.connections:
                logger.info("connection refused", extra={"open": self.open_connections})
                await connection.refuse(STATUS_UNAVAILABLE, "too many connections")
                return True
            return await connection.run()
        finally:
            self.open_connections -= 1

    async def _linger(self, stream: trio.abc.Stream) -> None:
        """Read and discard what follows the last response, for a limited time.

        Closing a connection with unread bytes resets it, and the reset may destroy the
        response in transit. This is not a request: a shutdown does not wait for it.
        """
        if self._lingering >= MAX_LINGERING_CONNECTIONS:
            return
        self._lingering += 1
        try:
            with trio.move_on_after(LINGER_SECONDS):
                await stream.send_eof()
                await discard_input(stream)
        except trio.Cancelled:
            # The process ends. Received input would reset the connection then, too.
            with trio.CancelScope(shield=True, deadline=final_read_deadline()):
                await discard_input(stream)
            raise
        finally:
            self._lingering -= 1

    @contextmanager
    def count_request(self) -> Iterator[None]:
        """Count the block as a request: from its first byte to its response's end."""
        self._started_requests += 1
        self._active_requests += 1
        try:
            yield
        finally:
            self._active_requests -= 1
            if not self._active_requests:
                self._all_finished.set()
                self._all_finished = trio.Event()

    async def wait_until_idle(self, seconds: float) -> None:
        """Return once no request has been in flight for ``seconds``.

        Requests that are still being read count, since a caller may not be allowed to
        retry what was read in part.
        """
        last_count = -1
        while self._active_requests or self._started_requests != last_count:
            while self._active_requests:
                await self._all_finished.wait()
            last_count = self._started_requests
            await trio.sleep(seconds)

    async def finish(self) -> None:
        """Accept no more requests; return once all that were read are answered.

        Requests that are still being read are refused, since the rest may arrive only
        as the process ends. A reader task that was woken holds received bytes for one
        iteration of the event loop before they count as a request, so this waits until
        no reader is left.
        """
        self.accepts_requests = False
        self.close_idle()
        for scope in self._read_scopes:
            scope.cancel()
        while self._idle:
            await trio.lowlevel.checkpoint()
        await self.wait_until_idle(0)

    def close_idle(self) -> None:
        """Close the connections that wait for their next request."""
        for scope in self._idle:
            scope.cancel()

    def idle_scope(self) -> trio.CancelScope:
        """Return and register a scope for the wait for the next request."""
        start = trio.current_time()
        scope = trio.CancelScope(deadline=start + self.limits.idle_seconds)
        self._idle[scope] = start
        return scope

    def remove_idle_scope(self, scope: trio.CancelScope) -> None:
        """Unregister a scope that ``idle_scope`` returned."""
        self._idle.pop(scope, None)

    @contextmanager
    def read_scope(self, until: float) -> Iterator[trio.CancelScope]:
        """Limit the reading of a request, also by the server's shutdown."""
        if not self.accepts_requests:
            until = min(until, final_read_deadline())
        scope = trio.CancelScope(deadline=until)
        self._read_scopes.add(scope)
        try:
            with scope:
                yield scope
        finally:
            self._read_scopes.discard(scope)

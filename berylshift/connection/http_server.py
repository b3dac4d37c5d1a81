"""HTTP/1.1 server on trio streams, by h11; one task for each connection."""

import errno
import logging
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from berylshift.connection.responder import NEVER
from berylshift.connection.server_connection import (
    STATUS_UNAVAILABLE,
    Handler,
    ServerLink,
)
from berylshift.connection.server_limits import (
    REST_SECONDS,
    ServerLimits,
    drop_rest,
    last_look,
)

logger = logging.getLogger(__name__)

# Bodies up to this size are read before their request is handled: a caller that sends
# slowly would hold a target's slot meanwhile. Larger ones are handed on as they come.
HELD_BYTES = 65536
# Connections that are read on after their last answer at one time; further ones are
# closed at once, so that callers who are refused can't use up the descriptors.
MOST_LINGERING = 256
# What accept fails with while descriptors or memory are used up; they are free again
# when other connections end, and a caller waits a second for its connection.
NO_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
NO_ROOM_SECONDS = 0.05


class HttpServer:
    """Serves connections with one handler, within limits."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        hands_on_bodies: bool = False,
    ):
        """Serve with ``handler``; it is cancelled when its caller leaves.

        With ``hands_on_bodies`` it gets long bodies while they still come.
        """
        self.handler = handler
        self.held_bytes = HELD_BYTES if hands_on_bodies else float("inf")
        self._limits = limits or ServerLimits()
        self.draining = False
        self.taking = True
        self.open_connections = 0
        self._under_way = 0
        self._begun = 0
        self._all_ended = trio.Event()
        self._lingering = 0
        # Connections at rest, by the scope of their wait, with the start of the rest.
        self._idle: dict[trio.CancelScope, float] = {}
        self._reading: set[trio.CancelScope] = set()
        self._writes: set[trio.CancelScope] = set()
        self._writes_until = NEVER

    @property
    def limits(self) -> ServerLimits:
        """Return the bounds in force."""
        return self._limits

    @limits.setter
    def limits(self, limits: ServerLimits) -> None:
        """Take over bounds, for the connections at rest too.

        Callers go by the newest bound that they know, on connections too that were at
        rest before. A lower one ends no rest early: not all callers may know it yet.
        """
        self._limits = limits
        for scope, start in self._idle.items():
            scope.deadline = max(scope.deadline, start + limits.idle_seconds)

    async def serve(self, listener: trio.SocketListener) -> None:
        """Accept connections until cancelled; writes end with it."""
        async with trio.open_nursery() as nursery:
            try:
                while True:
                    stream = await self._accept(listener)
                    nursery.start_soon(self.serve_stream, stream)
            finally:
                self._end_writes()

    def _end_writes(self) -> None:
        """Bound all writes by now, so that none holds up the end of the process."""
        self._writes_until = trio.current_time()
        for scope in self._writes:
            scope.deadline = self._writes_until

    @contextmanager
    def write_scope(self, until: float) -> Iterator[trio.CancelScope]:
        """Shield the block, for the bounds of a write to a caller."""
        bound = trio.current_time() + self.limits.write_seconds
        scope = trio.CancelScope(
            shield=True, deadline=min(bound, until, self._writes_until)
        )
        self._writes.add(scope)
        try:
            with scope:
                yield scope
        finally:
            self._writes.discard(scope)

    async def _accept(self, listener: trio.SocketListener) -> trio.abc.Stream:
        """Return the next connection; wait while the system has no room for one.

        The error would end the listener and the process with it, and so cut all
        requests under way. The connection stays in the listener's queue meanwhile.
        """
        while True:
            try:
                return await listener.accept()
            except OSError as exc:
                if exc.errno not in NO_ROOM:
                    raise
                logger.warning("no room to accept", extra={"reason": str(exc)})
                await trio.sleep(NO_ROOM_SECONDS)

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one connection; whatever breaks costs this connection only.

        Any error that passed on from here would end the process, and all callers'
        requests with it. A nursery passes errors on in groups, so kinds of error do not
        tell what may pass.
        """
        try:
            if await self._serve_counted(stream):
                await self._linger(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            logger.debug("connection broken by its peer")
        except Exception:
            logger.exception("connection failed")
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_counted(self, stream: trio.abc.Stream) -> bool:
        """Serve a connection; return whether an answer was the last thing on it."""
        self.open_connections += 1
        link = ServerLink(self, stream)
        try:
            if not self.taking:
                logger.info("connection closed unread", extra={"reason": "stopping"})
                return False
            if self.open_connections > self.limits.connections:
                await link.refuse(STATUS_UNAVAILABLE, "too many connections")
                return True
            return await link.run()
        finally:
            self.open_connections -= 1

    async def _linger(self, stream: trio.abc.Stream) -> None:
        """Read on for a while what follows the last answer, and drop it.

        Closed with bytes unread, a connection is reset, and the reset may take along
        the answer on its way. It is no request: nothing waits for it to end.
        """
        if self._lingering >= MOST_LINGERING:
            return
        self._lingering += 1
        try:
            with trio.move_on_after(REST_SECONDS):
                await stream.send_eof()
                await drop_rest(stream)
        except trio.Cancelled:
            # The process ends. What has come resets the connection as well then.
            with trio.CancelScope(shield=True, deadline=last_look()):
                await drop_rest(stream)
            raise
        finally:
            self._lingering -= 1

    @contextmanager
    def request_under_way(self) -> Iterator[None]:
        """Count the block as a request: from its first byte to its answer's end."""
        self._begun += 1
        self._under_way += 1
        try:
            yield
        finally:
            self._under_way -= 1
            if not self._under_way:
                self._all_ended.set()
                self._all_ended = trio.Event()

    async def wait_until_quiet(self, seconds: float) -> None:
        """Return once no request has been under way for ``seconds``.

        Requests that are still being read count, since a caller may not repeat what
        was read in part.
        """
        seen = -1
        while self._under_way or self._begun != seen:
            while self._under_way:
                await self._all_ended.wait()
            seen = self._begun
            await trio.sleep(seconds)

    async def finish(self) -> None:
        """Take no more, and return once all that has been read is answered.

        What is still being read is refused: its rest may come as the process ends.
        A reader that has been woken holds bytes for a turn of the loop before they
        count as a request; while one still waits, or holds some, nothing may end.
        """
        self.taking = False
        self.close_idle()
        for scope in self._reading:
            scope.cancel()
        while self._idle:
            await trio.lowlevel.checkpoint()
        await self.wait_until_quiet(0)

    def close_idle(self) -> None:
        """Close the connections that wait for a next request."""
        for scope in self._idle:
            scope.cancel()

    def idle_scope(self) -> trio.CancelScope:
        """Return a scope for the wait for a next request."""
        start = trio.current_time()
        scope = trio.CancelScope(deadline=start + self.limits.idle_seconds)
        self._idle[scope] = start
        return scope

    def leave_idle(self, scope: trio.CancelScope) -> None:
        """Forget a scope that ``idle_scope`` returned."""
        self._idle.pop(scope, None)

    @contextmanager
    def reading_scope(self, until: float) -> Iterator[trio.CancelScope]:
        """Bound the reading of a request, also by the end of taking."""
        if not self.taking:
            until = min(until, last_look())
        scope = trio.CancelScope(deadline=until)
        self._reading.add(scope)
        try:
            with scope:
                yield scope
        finally:
            self._reading.discard(scope)

"""The sending half of a connection that another task reads."""

import trio


class SendingHalf:
    """Sends on a connection, and tells the reader whether it was reset.

    The kernel reports a reset once, to whichever half is used next. If that is this
    one, the reader gets an end of file, as after an orderly close.
    """

    def __init__(self, stream: trio.abc.Stream):
        """Send on ``stream``; one task at a time."""
        self.stream = stream
        self._call_scope = trio.CancelScope()
        self._call_ended = trio.Event()
        self._call_ended.set()
        self._is_stopped = False
        self._was_reset = False

    async def send_all(self, data: bytes) -> None:
        """Send bytes; raise ``trio.BrokenResourceError`` if the peer takes no more."""
        self._call_ended = trio.Event()
        try:
            with trio.CancelScope() as self._call_scope:
                if not self._is_stopped:
                    await self.stream.send_all(data)
                    return
        except trio.BrokenResourceError as exc:
            self._was_reset = not _follows_orderly_end(exc)
            raise
        finally:
            self._call_ended.set()
        raise trio.BrokenResourceError("the peer has ended the connection")

    async def hides_reset(self) -> bool:
        """Return whether an end of file that was read is a reset; stop sending.

        A call that is cancelled still raises an error that the kernel has given it.
        """
        self._is_stopped = True
        self._call_scope.cancel()
        await self._call_ended.wait()
        return self._was_reset


def _follows_orderly_end(exc: trio.BrokenResourceError) -> bool:
    """Return whether the peer had ended its half before the connection broke.

    The kernel reports EPIPE then, and another error if the connection was open.
    """
    return isinstance(exc.__cause__, BrokenPipeError)

"""Errors of the connection layer; socket and HTTP errors are converted to these."""


class ConnectionLayerError(Exception):
    """Base class of connection failures."""


class ConnectFailedError(ConnectionLayerError):
    """The connection was never established: no byte can have reached the peer."""


class ThrottledError(ConnectionLayerError):
    """The peer's rate limit is reached: nothing was sent."""


class ConnectionBrokenError(ConnectionLayerError):
    """The connection ended early: the peer may have received the whole request."""


class PathLostError(ConnectionBrokenError):
    """This host broke the connection, since its path to the peer is lost."""


class BadResponseError(ConnectionLayerError):
    """The peer's response violates the protocol."""


class RequestRejectedError(ConnectionLayerError):
    """A request is invalid or can't be served; ``status`` is for the caller.

    ``may_have_run``: a part of it has been sent to a target. The caller may retry it
    after ``retry_after_seconds``.
    """

    def __init__(self, status: int, reason: str, retry_after_seconds: float = 1.0):
        """Store the HTTP status, a readable reason and a delay."""
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_seconds = retry_after_seconds
        self.may_have_run = False

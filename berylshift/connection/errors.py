"""Errors of the connection layer; socket and HTTP errors are converted to these."""


class ConnectionLayerError(Exception):
    """Base class of connection failures."""


class ConnectFailedError(ConnectionLayerError):
    """The connection was never established: no byte can have reached the peer."""


class ThrottledError(ConnectionLayerError):
    """The peer's rate limit is reached: nothing was sent."""


class ConnectionBrokenError(ConnectionLayerError):
    """The connection ended early: the peer may have received the whole request."""


class BadResponseError(ConnectionLayerError):
    """The peer's response violates the protocol."""


class RequestRejectedError(ConnectionLayerError):
    """A request is invalid; ``status`` is the HTTP status for the caller.

    ``may_have_run``: a part of it has been sent to a target.
    """

    def __init__(self, status: int, reason: str):
        """Store the HTTP status and a readable reason."""
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.may_have_run = False

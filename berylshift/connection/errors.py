"""Errors of the connection layer, turned from those of sockets and HTTP."""


class ConnectionLayerError(Exception):
    """Any failure of a connection."""


class ConnectFailedError(ConnectionLayerError):
    """The connection was never made: no byte can have reached the peer."""


class ThrottledError(ConnectionLayerError):
    """The peer asked for fewer requests: nothing was sent."""


class ConnectionBrokenError(ConnectionLayerError):
    """The connection ended early: the peer may have read all of the request."""


class BadAnswerError(ConnectionLayerError):
    """The peer answered with something other than its published protocol."""


class RequestRejectedError(ConnectionLayerError):
    """A request can't be read; ``status`` is the answer for the caller."""

    def __init__(self, status: int, reason: str):
        """Keep the HTTP status and the reason in words."""
        super().__init__(reason)
        self.status = status
        self.reason = reason

"""Status interface of an entry host: readiness for the load balancer, and metrics."""

from collections.abc import Callable

from berylshift.connection.http_request import HttpRequest
from berylshift.connection.responder import Responder

TEXT_TYPE = {"content-type": "text/plain"}
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
METRICS_PATH = "/metrics"
LIVE_PATH = "/live"


class EntryStatus:
    """Handles HTTP requests on the status address."""

    def __init__(
        self,
        ready_path: str,
        is_ready: Callable[[], bool],
        metrics: Callable[[], bytes],
    ):
        """Serve readiness at ``ready_path``."""
        self._ready_path = ready_path
        self._is_ready = is_ready
        self._metrics = metrics

    async def handle(self, req: HttpRequest, responder: Responder) -> None:
        """Handle one request."""
        if req.path == self._ready_path:
            status = STATUS_OK if self._is_ready() else STATUS_UNAVAILABLE
            await responder.full(status, TEXT_TYPE, b"")
        elif req.path == METRICS_PATH:
            await responder.full(STATUS_OK, TEXT_TYPE, self._metrics())
        elif req.path == LIVE_PATH:
            await responder.full(STATUS_OK, TEXT_TYPE, b"live\n")
        else:
            await responder.full(STATUS_NOT_FOUND, TEXT_TYPE, b"no such path\n")

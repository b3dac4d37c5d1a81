"""Admin HTTP interface for the load balancer, operators' tools and peers."""

import hmac

import msgspec

from berylshift.application import Application
from berylshift.connection.http_request import HttpRequest
from berylshift.connection.responder import Responder
from berylshift.connection.status import make_status
from berylshift.ids import RequestId

JSON_TYPE = {"content-type": "application/json"}
TEXT_TYPE = {"content-type": "text/plain"}
STATUS_OK = 200
STATUS_FORBIDDEN = 403
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503


class Admin:
    """Handles HTTP requests on the admin address."""

    def __init__(self, app: Application, cluster_key: str):
        """Serve the state of ``app``; ``/peer/table`` requires ``cluster_key``."""
        self._app = app
        self._cluster_key = cluster_key

    async def handle(self, req: HttpRequest, responder: Responder) -> None:
        """Handle one request."""
        if req.path == "/live":
            await responder.full(STATUS_OK, TEXT_TYPE, b"live\n")
        elif req.path == "/ready":
            await self._ready(responder)
        elif req.path == "/status":
            body = msgspec.json.encode(make_status(self._app))
            await responder.full(STATUS_OK, JSON_TYPE, body)
        elif req.path.startswith("/decisions/"):
            await self._decisions(req, responder)
        elif req.path == "/peer/table":
            await self._peer_table(req, responder)
        else:
            await responder.full(STATUS_NOT_FOUND, TEXT_TYPE, b"no such path\n")

    async def _ready(self, responder: Responder) -> None:
        if self._app.readiness.is_ready():
            await responder.full(STATUS_OK, TEXT_TYPE, b"ready\n")
        else:
            await responder.full(STATUS_UNAVAILABLE, TEXT_TYPE, b"not ready\n")

    async def _decisions(self, req: HttpRequest, responder: Responder) -> None:
        request = RequestId(req.path.removeprefix("/decisions/"))
        decision = self._app.decisions.explain(request)
        status = STATUS_OK if decision else STATUS_NOT_FOUND
        await responder.full(status, JSON_TYPE, msgspec.json.encode(decision))

    async def _peer_table(self, req: HttpRequest, responder: Responder) -> None:
        token = req.headers.get("authorization", "").removeprefix("Bearer ")
        if not hmac.compare_digest(token.encode(), self._cluster_key.encode()):
            await responder.full(STATUS_FORBIDDEN, TEXT_TYPE, b"not a peer\n")
            return
        view = self._app.peer_view()
        await responder.full(STATUS_OK, JSON_TYPE, msgspec.json.encode(view))

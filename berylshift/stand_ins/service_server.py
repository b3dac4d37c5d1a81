"""The fake plain service as an HTTP server."""

import msgspec
import trio

from berylshift.connection.http_request import HttpRequest
from berylshift.connection.responder import Responder
from berylshift.connection.service_client import (
    ATTEMPT_HEADER,
    KEY_HEADER,
    REFUSED_HEADER,
)
from berylshift.ids import AttemptId
from berylshift.stand_ins.fake_service import FakeService, ServiceScript
from berylshift.targets import ServiceCall, TargetRefusedError

JSON_TYPE = {"content-type": "application/json"}
STATUS_OK = 200
STATUS_REFUSED = 503


class ServiceServer:
    """Runs each call, except those on the control paths of tests."""

    def __init__(self, service: FakeService):
        """Serve ``service``."""
        self._service = service

    async def handle(self, req: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        if req.path == "/control/ran":
            body = msgspec.json.encode(dict(self._service.ran))
            await responder.full(STATUS_OK, JSON_TYPE, body)
        elif req.path == "/control/script":
            script = msgspec.json.decode(req.body, type=ServiceScript)
            self._service.script = script
            await responder.full(STATUS_OK, JSON_TYPE, b"{}")
        else:
            await self._run(req, responder)

    async def _run(self, req: HttpRequest, responder: Responder) -> None:
        call = ServiceCall(
            attempt=AttemptId(req.headers.get(ATTEMPT_HEADER, "")),
            service="",
            method=req.method,
            path=req.path,
            headers=req.headers,
            body=req.body,
            idempotent=True,
            key=req.headers.get(KEY_HEADER, ""),
        )
        try:
            answer = self._service.run(call)
        except TargetRefusedError as exc:
            headers = {**JSON_TYPE, REFUSED_HEADER: "true"}
            if exc.retry_after:
                headers["retry-after"] = f"{exc.retry_after:.1f}"
            await responder.full(STATUS_REFUSED, headers, b"{}")
            return
        await trio.sleep(self._service.script.seconds)
        if not self._service.take_lost_answer():
            await responder.full(answer.status, answer.headers, answer.body)

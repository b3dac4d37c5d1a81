"""The fake platform as an HTTP server."""

import msgspec
import trio

from berylshift.connection.http_request import HttpRequest
from berylshift.connection.responder import Responder
from berylshift.stand_ins.fake_platform import FakePlatform, PlatformScript
from berylshift.store.interfaces import (
    HostEntry,
    ResponseLostError,
    StoreThrottledError,
    StoreUnavailableError,
    Transaction,
)

JSON_TYPE = {"content-type": "application/json"}
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_THROTTLED = 429
STATUS_UNAVAILABLE = 503


class PlatformServer:
    """Serves the platform's published HTTP API; see docs/platform.md."""

    def __init__(self, fake: FakePlatform):
        """Serve ``fake``."""
        self._fake = fake

    async def handle(self, req: HttpRequest, responder: Responder) -> None:
        """Answer one request; a scripted lost response closes the connection."""
        if self._fake.script.delay:
            await trio.sleep(self._fake.script.delay)
        try:
            status, body = self._respond(req)
        except StoreThrottledError:
            status, body = STATUS_THROTTLED, b"{}"
        except StoreUnavailableError:
            status, body = STATUS_UNAVAILABLE, b"{}"
        except ResponseLostError:
            return
        await responder.full(status, JSON_TYPE, body)

    def _respond(self, req: HttpRequest) -> tuple[int, bytes]:
        if req.path == "/script":
            script = msgspec.json.decode(req.body, type=PlatformScript)
            self._fake.script = script
            return STATUS_OK, b"{}"
        if req.path.startswith("/objects/"):
            return self._handle_object(req)
        if req.path == "/hosts" and req.method == "POST":
            self._fake.announce(msgspec.json.decode(req.body, type=HostEntry))
            return STATUS_OK, b"{}"
        result = self._handle_store_call(req)
        if result is None:
            return STATUS_NOT_FOUND, b"{}"
        return STATUS_OK, msgspec.json.encode(result)

    def _handle_store_call(self, req: HttpRequest) -> object:
        fake = self._fake
        if req.path == "/rows":
            return fake.read(req.query_values("key"))
        if req.path == "/scan":
            limit = int(req.query["limit"])
            return fake.scan(req.query["prefix"], req.query.get("after", ""), limit)
        if req.path == "/transactions":
            return fake.transact(msgspec.json.decode(req.body, type=Transaction))
        if req.path == "/hosts":
            return fake.hosts()
        if req.path.startswith("/weights/"):
            _, _, model, version = req.path.split("/")
            if req.method == "POST":
                return fake.download_weights(model, version)
            return fake.weight_info(model, version)
        return None

    def _handle_object(self, req: HttpRequest) -> tuple[int, bytes]:
        if self._fake.script.down:
            raise StoreUnavailableError("scripted outage")
        name = req.path.removeprefix("/objects/")
        if req.method == "PUT":
            self._fake.objects[name] = req.body
            return STATUS_OK, b"{}"
        data = self._fake.objects.get(name)
        return (STATUS_NOT_FOUND, b"{}") if data is None else (STATUS_OK, data)

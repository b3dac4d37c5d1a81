"""HTTP clients of the platform's services, with timeouts."""

from typing import TypeVar
from urllib.parse import quote

import msgspec
import trio

from berylshift.connection.errors import (
    ConnectFailedError,
    ConnectionLayerError,
)
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.messages.json_decoding import MalformedJsonError, decode_json
from berylshift.store.interfaces import (
    HostEntry,
    ResponseLostError,
    StoredRow,
    StoreThrottledError,
    StoreUnavailableError,
    Transaction,
    TransactionResult,
    WeightInfo,
)

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_THROTTLED = 429
STATUS_UNAVAILABLE = 503
JSON_TYPE = {"content-type": "application/json"}
Item = TypeVar("Item")


class _HttpService:
    """Common part of the clients: one address and one timeout."""

    def __init__(self, client: HttpClient, address: str, timeout_seconds: float):
        """Call ``address``; each call takes at most ``timeout_seconds``."""
        self._client = client
        self._address = address
        self._timeout_seconds = timeout_seconds

    async def _call(self, method: str, path: str, body: bytes = b"") -> bytes | None:
        """Return the response body, or ``None`` if the object does not exist."""
        reuse = method == "GET"
        out = Outgoing(self._address, method, path, JSON_TYPE, body, reuse)
        with trio.move_on_after(self._timeout_seconds):
            try:
                async with self._client.request(out) as resp:
                    data = await resp.read()
                    return _check_status(resp.status, data)
            except ConnectFailedError as exc:
                raise StoreUnavailableError(str(exc)) from exc
            except ConnectionLayerError as exc:
                raise ResponseLostError(str(exc)) from exc
        raise ResponseLostError(f"no response within {self._timeout_seconds} s")


def _check_status(status: int, data: bytes) -> bytes | None:
    if status == STATUS_OK:
        return data
    if status == STATUS_NOT_FOUND:
        return None
    if status == STATUS_THROTTLED:
        raise StoreThrottledError("rate limit exceeded")
    if status == STATUS_UNAVAILABLE:
        raise StoreUnavailableError("service unavailable")
    raise ResponseLostError(f"status {status}")


def _decode(data: bytes | None, kind: type[Item]) -> Item:
    try:
        return decode_json(data or b"null", kind)
    except MalformedJsonError as exc:
        raise ResponseLostError(f"malformed response: {exc}") from exc


class HttpTableService(_HttpService):
    """Client of the table service."""

    async def read(self, keys: list[str]) -> list[StoredRow | None]:
        """Return the rows from one consistent read."""
        names = "&".join(f"key={quote(key, safe='')}" for key in keys)
        data = await self._call("GET", f"/rows?{names}")
        return _decode(data, list[StoredRow | None])

    async def scan(self, prefix: str, after: str, limit: int) -> list[StoredRow]:
        """Return up to ``limit`` rows in key order, after the key ``after``."""
        where = f"prefix={quote(prefix, safe='')}&after={quote(after, safe='')}"
        data = await self._call("GET", f"/scan?{where}&limit={limit}")
        return _decode(data, list[StoredRow])

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Commit, or return the keys of the failed conditions."""
        body = msgspec.json.encode(transaction)
        data = await self._call("POST", "/transactions", body)
        return _decode(data, TransactionResult)


class HttpObjectStore(_HttpService):
    """Client of the object store."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None``."""
        return await self._call("GET", f"/objects/{quote(name, safe='')}")

    async def put(self, name: str, data: bytes) -> None:
        """Store an object."""
        await self._call("PUT", f"/objects/{quote(name, safe='')}", data)


class HttpHostList(_HttpService):
    """Client of the host list."""

    async def hosts(self) -> list[HostEntry]:
        """Return the hosts that the platform lists."""
        return _decode(await self._call("GET", "/hosts"), list[HostEntry])

    async def announce(self, entry: HostEntry) -> None:
        """Register this process in the host list."""
        await self._call("POST", "/hosts", msgspec.json.encode(entry))


class HttpWeightStore(_HttpService):
    """Client of the weight store."""

    async def info(self, model: str, version: str) -> WeightInfo | None:
        """Return a model version, or ``None`` if it is unknown."""
        path = f"/weights/{quote(model, safe='')}/{quote(version, safe='')}"
        data = await self._call("GET", path)
        return None if data is None else _decode(data, WeightInfo)

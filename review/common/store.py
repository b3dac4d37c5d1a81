"""Stand-in of the platform's metadata store."""

import asyncio
import base64
import contextlib
import json
from urllib.parse import parse_qs, urlsplit

from wire import message, read_body, read_head

ANSWER_SECONDS = 0.004


class Store:
    """Rows, transactions and feeds, as PROTOCOL.md has them."""

    def __init__(self):
        """Start empty."""
        self.rows = {}
        self.log = []
        self.version = 1
        self.changed = asyncio.Event()
        self.server = None

    async def listen(self):
        """Listen; return the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "{}:{}".format(*self.server.sockets[0].getsockname())

    def put(self, table, key, value):
        """Write a row as the operator or a replica does."""
        self._apply([(table, key, json.dumps(value).encode())], [])

    def _apply(self, writes, removals):
        self.version += 1
        for table, key, value in writes:
            text = base64.b64encode(value).decode()
            self.rows[table, key] = self._log(table, key, value=text)
        for table, key in removals:
            if self.rows.pop((table, key), None) is not None:
                self._log(table, key, value="", deleted=True)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def _log(self, table, key, **fields):
        row = {"table": table, "part": "", "key": key, "row_version": self.version}
        self.log.append({**row, **fields})
        return self.log[-1]

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                await asyncio.sleep(ANSWER_SECONDS)
                status, found = await self._call(head[0], body)
                now = asyncio.get_running_loop().time()
                found |= {"row_version": self.version, "now_ms": int(now * 1000)}
                kind = [("content-type", "application/json")]
                data = json.dumps(found).encode()
                writer.write(message(f"HTTP/1.1 {status} X", kind, data))
                await writer.drain()
        writer.close()

    async def _call(self, start, body):
        url = urlsplit(start.split(" ")[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        if url.path == "/v1/rows-get":
            return self._get(query)
        if url.path == "/v1/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _get(self, query):
        first, limit = query.get("from", ""), int(query.get("limit", "500"))
        found = [
            row
            for (table, key), row in sorted(self.rows.items())
            if table == query["table"] and key >= first
        ]
        return 200, {"rows": found[:limit], "has_more": len(found) > limit}

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                while not self._after(table, after):
                    await self.changed.wait()
        return 200, {"rows": self._after(table, after)}

    def _after(self, table, after):
        found = [row for row in self.log if row["table"] == table]
        return [row for row in found if row["row_version"] > after]

    def _transact(self, tx):
        for need in tx.get("precondition", []):
            row = self.rows.get((need["table"], need["key"]))
            if need["row_version"] != (row["row_version"] if row else 0):
                return 412, {"rows": [row] if row else []}
        writes = [
            (row["table"], row["key"], base64.b64decode(row["value"]))
            for row in tx.get("write", [])
        ]
        self._apply(writes, [(it["table"], it["key"]) for it in tx.get("remove", [])])
        return 200, {}

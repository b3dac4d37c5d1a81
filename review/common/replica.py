"""Stand-ins of replicas: of a plain service, and engines."""

import asyncio
import contextlib
import json
import random

from wire import chunk, chunked_head, message, read_body, read_head

HEARTBEAT_SECONDS = 1.2
# How often a replica looks whether the connection of a request has closed.
WATCH_SECONDS = 0.01
OK = "HTTP/1.1 200 OK"
REFUSED = "HTTP/1.1 503 Service Unavailable"
MISDIRECTED = "HTTP/1.1 421 Misdirected Request"
CONFLICT = "HTTP/1.1 409 Conflict"
ACCEPTED = "HTTP/1.1 202 Accepted"


class Replica:
    """A replica that registers itself and follows PROTOCOL.md.

    ``phase`` is empty for a plain service. ``work`` is how long a request takes in
    seconds, or an engine's prefill and its time to the first event.
    """

    def __init__(self, world, name, service, zone, slots=64, work=0.03, phase=""):
        """Belong to ``world``, which records what happens."""
        self.world, self.name, self.service, self.zone = world, name, service, zone
        self.slots, self.work, self.phase = slots, work, phase
        self.address = ""
        self.running = 0
        self.orders = 0
        self.sequence = 0
        self.handles = {}
        self.events, self.gap = 3, 0.01
        # Further figures of the load that it states.
        self.load_suffix = ""
        # Whether the handles of its prefills lapse at once.
        self.lapses = False
        # Share of its answers that it sends a second time, late.
        self.extra = 0.0
        self.rng = random.Random(name)
        self.server = None

    async def start(self):
        """Listen and register."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, backlog=1024
        )
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        self._register()
        self.world.spawn(self._beat())

    def _register(self):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "batch_slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
        }
        if self.phase:
            entry["phase"] = self.phase
        self.world.store.put("servers", self.name, entry)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self._register()

    async def _serve(self, reader, writer):
        late = []
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                call = Call(head[0].split(" ")[1], head[1], body, reader, writer, late)
                for former, data in late:
                    self.world.note("second answer", former, self.name, call.id)
                    writer.write(data)
                late.clear()
                if not await self._handle(call):
                    break
        writer.close()

    def _headers(self, call, signed=False):
        load = f"{self.running},0,{self.slots}{self.load_suffix}"
        found = [("berylshift-instance-load", load), ("keep-alive", "timeout=5")]
        if call.id:
            found.append(("berylshift-attempt-id", call.id))
        if signed:
            found.append(("berylshift-response-signature", f"{self.name}.sig"))
        return found

    def _answer(self, call, start, body=b"", more=(), signed=False):
        """Send an answer; a garbling replica keeps a copy for the next request."""
        data = message(start, [*self._headers(call, signed), *more], body)
        call.writer.write(data)
        if call.id and self.rng.random() < self.extra:
            call.late.append((call.id, data))
        return True

    async def _handle(self, call):
        named = call.headers.get("berylshift-target-instance", self.name)
        if named != self.name:
            return self._answer(call, MISDIRECTED)
        if call.target == "/v1/report":
            return self._answer(call, OK, json.dumps(self._report()).encode())
        if call.target == "/v1/order":
            return self._order(call)
        if call.target.startswith("/v1/kv-handle/"):
            self.handles.pop(call.target.rpartition("/")[2], None)
            return self._answer(call, OK)
        if call.headers.get("berylshift-phase") == "prefill":
            return await self._prefill(call)
        return await self._request(call)

    def _report(self):
        return {
            "phase": self.phase,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": self.orders,
            "queued": 0,
            "active": self.running,
            "kv_used": 0,
            "kv_total": 534448,
            "kv_handles": len(self.handles),
        }

    def _order(self, call):
        order = json.loads(call.body)
        if order.get("precondition", self.orders) != self.orders:
            return self._answer(call, CONFLICT)
        self.orders += 1
        self.phase = order["phase"]
        self.world.note("order", "", self.name, self.phase)
        self._register()
        return self._answer(call, ACCEPTED)

    async def _prefill(self, call):
        if self.phase != "prefill":
            return self._answer(call, MISDIRECTED)
        self.world.note("prefill", call.id, self.name)
        await asyncio.sleep(self.work)
        handle = f"{self.rng.getrandbits(48):012x}"
        if not self.lapses:
            self.handles[handle] = call.id
        body = json.dumps({"kv_handle": handle, "tokens": 1, "version": 1}).encode()
        return self._answer(call, OK, body)

    async def _request(self, call):
        source = call.headers.get("berylshift-kv-source")
        is_gone = source is not None and not self.world.take_handle(source)
        if is_gone or self.running >= self.slots:
            self.world.note("refused", call.id, self.name)
            more = [("berylshift-not-executed", "1")]
            return self._answer(call, REFUSED, more=more)
        self.world.note("run", call.id, self.name)
        self.running += 1
        job = asyncio.ensure_future(self._run(call))
        try:
            while not job.done() and not call.reader.at_eof():
                await asyncio.wait({job}, timeout=WATCH_SECONDS)
            if not job.done():
                self.world.note("dropped", call.id, self.name)
                return False
            await job
        finally:
            self.running -= 1
            job.cancel()
        self.world.note("ran", call.id, self.name)
        return True

    async def _run(self, call):
        await asyncio.sleep(self.work)
        if not self.phase:
            self._answer(call, OK, call.id.encode() + b"x" * 800, signed=True)
            await call.writer.drain()
            return
        call.writer.write(chunked_head(OK, self._headers(call, signed=True)))
        first = int(call.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.gap)
            event = f"id: {number}\ndata: {call.id} {number}\n\n".encode()
            call.writer.write(chunk(event))
            await call.writer.drain()
        call.writer.write(chunk(b""))
        await call.writer.drain()


class Call:
    """One request to a replica, and the connection that it came on."""

    def __init__(self, target, headers, body, reader, writer, late):
        """Keep what was read; ``late``: copies of answers to be sent late."""
        self.target, self.headers, self.body = target, headers, body
        self.reader, self.writer, self.late = reader, writer, late
        self.id = headers.get("berylshift-attempt-id", "")

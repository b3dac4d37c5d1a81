"""A small deployment on loopback addresses, and the record of what happens there."""

import asyncio
import itertools
import os
import random
import shutil
import signal
import sys
import tempfile
from collections import defaultdict
from pathlib import Path

from host import Host
from store import Store
from wire import message, read_body, read_head

BROKEN, HELD, NOT_RUN = 1, 0, 2
START_SECONDS = 20.0
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class World:
    """The store, the replicas and the hosts' processes."""

    def __init__(self, zones):
        """Have one host in each of ``zones``."""
        self.store = Store()
        self.replicas = {}
        self.records = []
        self.by_id = defaultdict(list)
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        rng = random.SystemRandom()
        net = f"127.{rng.randrange(32, 250)}.{rng.randrange(1, 250)}"
        self.hosts = [
            Host(f"frontend-{number}", zone, f"{net}.{number}", self.directory)
            for number, zone in enumerate(zones, 1)
        ]
        self._tasks = set()
        self._numbers = itertools.count()
        self._started = self.now()

    @staticmethod
    def now():
        """Return seconds on a steady clock."""
        return asyncio.get_running_loop().time()

    def note(self, what, request="", where="", more=""):
        """Record an event."""
        at = self.now() - self._started
        record = (f"{at:.4f}", what, request, where, str(more))
        self.records.append(record)
        if request:
            self.by_id[request].append(record)

    def spawn(self, coroutine):
        """Run a task in the background."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def new_id(self):
        """Return a new attempt id."""
        return f"{random.getrandbits(40):010x}{next(self._numbers):06x}"

    def take_handle(self, source):
        """Take a handle from the engine that holds it; return whether it was there."""
        address, _, handle = source.partition("/")
        for replica in self.replicas.values():
            if replica.address == address:
                return replica.handles.pop(handle, None) is not None
        return False

    async def add(self, replica):
        """Start a replica."""
        self.replicas[replica.name] = replica
        await replica.start()

    async def start(self, routes, services):
        """Write the configuration and start the hosts; return once all are ready."""
        config = {"version": 11, "routes": routes, "services": services}
        self.store.put("op", "config", {**config, "limits": LIMITS})
        address = await self.store.listen()
        for host in self.hosts:
            host.store = address
            host.start()
        async with asyncio.timeout(START_SECONDS):
            while not all(host.is_ready for host in self.hosts):
                await asyncio.gather(*(self.probe(host) for host in self.hosts))
                await asyncio.sleep(0.1)

    async def probe(self, host):
        """Ask a host once whether it is ready, as the platform does."""
        host.is_ready = False
        ip, port = host.readiness.split(":")
        try:
            async with asyncio.timeout(0.9):
                reader, writer = await asyncio.open_connection(ip, int(port))
                call = message("GET /v1/readyz HTTP/1.1", [("host", host.readiness)])
                writer.write(call)
                head = await read_head(reader)
                writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return
        host.is_ready = head is not None and head[0].split(" ")[1] == "200"

    def stop(self):
        """End all processes that were started, and remove their files."""
        for host in self.hosts:
            host.end()
        for task in list(self._tasks):
            task.cancel()
        shutil.rmtree(self.directory, ignore_errors=True)

    def write_record(self, path):
        """Write what was sent, answered and run: time, event, id, place, more."""
        lines = ["\t".join(record) for record in self.records]
        path.write_text("\n".join(lines) + "\n")


class Consumer:
    """A consumer with one connection to a host, which it keeps."""

    def __init__(self, world, host):
        """Use ``host``, which the balancer has chosen."""
        self.world, self.host = world, host
        self._reader = self._writer = None

    async def ask(self, start, headers, body=b"", budget_ms=6000):
        """Send a request; return its id, and the status or 0, and the answer."""
        ident = self.world.new_id()
        fields = [
            ("host", "shop.example"),
            ("berylshift-attempt-id", ident),
            ("berylshift-deadline-ms", budget_ms),
            *headers,
        ]
        kept = "new" if self._writer is None else "kept"
        try:
            async with asyncio.timeout(budget_ms / 1000 + 1):
                if self._writer is None:
                    ip, port = self.host.front.split(":")
                    streams = await asyncio.open_connection(ip, int(port))
                    self._reader, self._writer = streams
                self.world.note("sent", ident, self.host.name, kept)
                self._writer.write(message(f"{start} HTTP/1.1", fields, body))
                status, answer = await self._read()
        except TimeoutError:
            self.world.note("not answered", ident, self.host.name)
            self.close()
            return ident, 0, b""
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.world.note("closed without an answer", ident, self.host.name)
            self.close()
            return ident, 0, b""
        self.world.note("answered", ident, self.host.name, status)
        return ident, status, answer

    async def _read(self):
        head = await read_head(self._reader)
        if head is None:
            raise ConnectionResetError("closed")
        answer = await read_body(self._reader, head[1])
        if head[1].get("connection", "").lower() == "close":
            self.close()
        return int(head[0].split(" ")[1]), answer

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def has_trouble():
    """Return whether the disruption takes place: not with ``TROUBLE=0``."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(case, world_for, path):
    """Run ``case`` in the world that ``world_for`` makes; exit with its verdict."""

    async def play():
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        world = world_for()
        try:
            return await case(world)
        finally:
            world.stop()
            world.write_record(path)

    # Ends the processes that were started also if the script is told to stop.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(NOT_RUN))
    try:
        verdict = asyncio.run(play())
    except Exception as exc:
        sys.stderr.write(f"the case could not run: {exc!r}\n")
        verdict = NOT_RUN
    sys.exit(verdict)

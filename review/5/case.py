"""A late second answer ends the host, and all requests that it has passed on."""

import asyncio
import json
import os
import random
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common2"))

from fleet import SITE, Fleet, Host, fail_as_not_run, stop_on_sigterm  # noqa: E402

HOSTS = 4
SECONDS = 90.0
# RULES.md, In touch: stable_window_ms after the start of a machine.
STABLE_WINDOW_SECONDS = 3.0
# The longest "extra late" of the site file is for_s = 5.0. It comes more than once
# (BENCH.md), with pauses as long.
GARBLE_SECONDS = 5.0
# The largest dose of a site file is how = "extra late", share = 0.6, x = 0.03. Here
# one of the two replicas of a service garbles, and none of the other service's.
GARBLED_SHARE = 0.03
# How much later than the answer the second one comes.
MIN_LATE_SECONDS = 0.002
MAX_LATE_SECONDS = 0.0055
# Requests of 9,200 bytes (nestwatch-tas, sitter-vetting) and answers of 800.
REQUEST = b"q" * 9200
ANSWER_BYTES = 800


class Load(NamedTuple):
    """One service: its route, its replicas, its work and its clients at each host."""

    service: str
    work_seconds: float
    replicas: int
    garbling: int
    clients: int


# Work as in nestwatch-tas (a booking, 15 ms) and celazime-auth-grown (a hold, 90 ms).
LOADS = (Load("desk", 0.015, 2, 1, 2), Load("hold", 0.09, 2, 0, 8))
# RULES.md, LOST: "more than three times".
MAX_LOST = 3


class Replica:
    """A replica of a plain service that serves one request a connection at a time."""

    def __init__(
        self, name: str, work_seconds: float, garbled_share: float, rng: random.Random
    ):
        """Send a second answer to a share of the requests."""
        self.name = name
        self._work_seconds = work_seconds
        self.address = ""
        self.second_answers = 0
        self.runs: list[str] = []
        self._garbled_share = garbled_share
        self._rng = rng
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def _may_garble(self) -> bool:
        """Return whether a second answer stays within length and share."""
        if asyncio.get_running_loop().time() % (2 * GARBLE_SECONDS) >= GARBLE_SECONDS:
            return False
        return self.second_answers < self._garbled_share * len(self.runs)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                await self._serve_one(reader, writer)
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines[1:] if line)
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        await reader.readexactly(int(headers.get("content-length", "0")))
        request = headers["berylshift-attempt-id"]
        if headers.get("berylshift-target-instance") != self.name:
            writer.write(_answer(request, 421, b"", "Berylshift-Not-Executed: 1"))
            return
        self.runs.append(request)
        await asyncio.sleep(self._work_seconds)
        answer = _answer(request, 200, b"a" * ANSWER_BYTES)
        writer.write(answer)
        await writer.drain()
        if self._may_garble() and self._rng.random() < self._garbled_share:
            late = self._rng.uniform(MIN_LATE_SECONDS, MAX_LATE_SECONDS)
            self.second_answers += 1
            await asyncio.sleep(late)
            writer.write(answer)
            await writer.drain()


def _answer(request: str, status: int, body: bytes, *extra: str) -> bytes:
    lines = [
        f"HTTP/1.1 {status} Answer",
        f"Berylshift-Attempt-Id: {request}",
        f"Berylshift-Response-Signature: mac-{request}",
        f"Content-Length: {len(body)}",
        "Keep-Alive: timeout=5",
        *extra,
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + body


class Clients:
    """Clients that keep their connections and send one request after the other."""

    def __init__(self, fleet: Fleet):
        """Send to the hosts of ``fleet``."""
        self._fleet = fleet
        self.answers: dict[str, int] = {}
        # Requests whose kept connection ended without an answer, and their hosts.
        self.unanswered: list[tuple[float, str, str]] = []

    async def run(self, host: Host, service: str, number: int, until: float) -> None:
        """Send requests to one host until a time."""
        count = 0
        while self._fleet.now() < until:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", host.front)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            on_connection = 0
            try:
                while self._fleet.now() < until:
                    count += 1
                    request = f"{service}-{host.peer}-{number}-{count}"
                    status = await self._ask(reader, writer, service, request)
                    self.answers[request] = status
                    on_connection += 1
            except (OSError, EOFError):
                if on_connection:
                    self.unanswered.append((self._fleet.now(), request, host.name))
            finally:
                writer.close()

    async def _ask(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        service: str,
        request: str,
    ) -> int:
        lines = [
            f"POST /{service}/x HTTP/1.1",
            f"Host: {SITE}",
            f"Berylshift-Attempt-Id: {request}",
            "Berylshift-Deadline-Ms: 2000",
            f"Content-Length: {len(REQUEST)}",
            "",
            "",
        ]
        writer.write("\r\n".join(lines).encode() + REQUEST)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        for line in head[1:]:
            name, _, value = line.partition(":")
            if name.lower() == "content-length":
                await reader.readexactly(int(value))
        return int(head[0].split()[1])


def configuration() -> bytes:
    """Return the operator's only configuration."""
    routes = [
        {
            "name": load.service,
            "host": SITE,
            "prefix": f"/{load.service}/",
            "route_kind": "non_idempotent",
            "timeout_ms": 2000,
            "target_latency_ms": 300,
            "service": load.service,
            "max_attempts": 1,
        }
        for load in LOADS
    ]
    services = [{"name": load.service} for load in LOADS]
    return json.dumps({"version": 1, "routes": routes, "services": services}).encode()


async def start_replicas(
    fleet: Fleet, has_trouble: bool
) -> tuple[list[Replica], list[Replica]]:
    """Start the replicas and write their entries; return garbling and sound ones."""
    rng = random.Random(5)
    garbling: list[Replica] = []
    sound: list[Replica] = []
    for load in LOADS:
        for number in range(load.replicas):
            group = garbling if number < load.garbling else sound
            share = GARBLED_SHARE if has_trouble and group is garbling else 0.0
            name = f"{load.service}-{number}"
            replica = Replica(name, load.work_seconds, share, rng)
            await replica.start()
            group.append(replica)
            entry = {
                "service": load.service,
                "address": replica.address,
                "zone": "zone-a",
                "version": "1",
                "batch_slots": 64,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": 1,
            }
            await fleet.write("servers", replica.name, json.dumps(entry).encode())
    return garbling, sound


async def play(fleet: Fleet, has_trouble: bool) -> bool:
    """Play the case; return whether the rule was broken."""
    fleet.store = await fleet.stand_in("store")
    await fleet.write("op", "config", configuration())
    garbling, sound = await start_replicas(fleet, has_trouble)
    await fleet.start_hosts(HOSTS)
    fleet.note("all hosts are ready")
    await asyncio.sleep(STABLE_WINDOW_SECONDS)
    clients = Clients(fleet)
    until = fleet.now() + SECONDS
    await asyncio.gather(
        *(
            clients.run(host, load.service, number, until)
            for host in fleet.hosts
            for load in LOADS
            for number in range(load.clients)
        )
    )
    ran_at_sound = {run for replica in sound for run in replica.runs}
    lost = [item for item in clients.unanswered if item[1] in ran_at_sound]
    for at, request, host in clients.unanswered:
        where = "sound replica" if request in ran_at_sound else "other"
        fleet.note(f"{request} to {host} closed without an answer at {at:.3f}: {where}")
    for replica in (*garbling, *sound):
        fleet.note(
            f"{replica.name}: {len(replica.runs)} runs, "
            f"{replica.second_answers} second answers"
        )
    for request, status in clients.answers.items():
        fleet.note(f"{request} answered {status}")
    for replica in (*garbling, *sound):
        for request in replica.runs:
            fleet.note(f"{request} ran at {replica.name}")
    counts = {status: 0 for status in sorted(set(clients.answers.values()))}
    for status in clients.answers.values():
        counts[status] += 1
    fleet.note(f"answers by status: {counts}")
    for host in fleet.hosts:
        fleet.note(f"{host.name}: {len(host.exits)} ends by itself")
    fleet.note(f"passed on to a sound replica and closed unanswered: {len(lost)}")
    if not counts.get(200):
        fail_as_not_run("nothing was served")
    return len(lost) > MAX_LOST


async def main() -> int:
    """Run the case and return its exit code."""
    stop_on_sigterm()
    with tempfile.TemporaryDirectory(prefix="review-5-") as folder:
        fleet = Fleet(Path(folder), HERE / "record.txt")
        try:
            is_broken = await play(fleet, os.environ.get("TROUBLE") != "0")
            fleet.note("rule broken" if is_broken else "rule held")
        finally:
            await fleet.stop()
    return int(is_broken)


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(main()))
    except (TimeoutError, RuntimeError, OSError) as error:
        fail_as_not_run(str(error))

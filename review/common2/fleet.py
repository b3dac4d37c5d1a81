"""Starts a small fleet for a case: a store, replicas and hosts, on loopback addresses.

The store and the replicas are the project's stand-ins. Hosts run the command of the
deploy file and are started again when they end, as the platform does.
"""

import asyncio
import base64
import json
import os
import signal
import socket
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
RESTART_SECONDS = 0.5
START_SECONDS = 20.0
STOP_SECONDS = 5.0
SITE = "shop.example"
SETTINGS = """[host]
name = {name}
domain = zone-a
address = 127.0.0.1:{front}
peer_address = 127.0.0.1:{peer}
memory_mb = 300
[directory]
kind = platform
address = {store}
in_force_ms = 2000
leaving_ms = 2000
heartbeat_ms = 1200

[entry]
status_address = 127.0.0.1:{status}
ready_path = /v1/readyz
retry_ratio = 0.2
retry_window = 10
retry_burst = 58
grace = 8
orders_apart_ms = 3000
first_start = {first}
[peers]
byte_budget = 16384

[scheduling]
contracts = base,drain,config,cost,retry,recover,split,stream,engine,platform
"""


def free_ports(count: int) -> list[int]:
    """Return ports that are unused now."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def free_port_row(length: int) -> int:
    """Return the first of several unused ports in a row."""
    for _ in range(200):
        first = free_ports(1)[0]
        socks = [socket.socket() for _ in range(length)]
        try:
            for number, sock in enumerate(socks):
                sock.bind(("127.0.0.1", first + number))
            return first
        except (OSError, OverflowError):
            continue
        finally:
            for sock in socks:
                sock.close()
    raise RuntimeError("no ports are free")


def environment() -> dict[str, str]:
    """Return the variables that the platform hands on, and the paths of the build."""
    kept = ("PATH", "HOME", "LANG")
    env = {key: os.environ[key] for key in kept if key in os.environ}
    env["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}"
    return env


class Host:
    """One entry host; ``exits`` has the exit codes of processes that nobody ended."""

    def __init__(self, fleet: "Fleet", number: int):
        """Choose the host's addresses."""
        self.name = f"frontend-zone-a-{number}"
        self.front, self.status = free_ports(2)
        self.peer = free_port_row(16)
        self.exits: list[tuple[float, int]] = []
        self.starts = 0
        self.process: asyncio.subprocess.Process | None = None
        self._fleet = fleet
        self._is_ending = False

    async def run(self) -> None:
        """Keep the host's process running until the fleet stops."""
        while not self._is_ending:
            path = self._fleet.folder / f"{self.name}.ini"
            text = SETTINGS.format(
                name=self.name,
                front=self.front,
                peer=self.peer,
                status=self.status,
                store=self._fleet.store,
                first=str(not self.starts).lower(),
            )
            path.write_text(text, encoding="utf-8")
            with (self._fleet.folder / f"{self.name}.log").open("ab") as log:
                self.process = await asyncio.create_subprocess_exec(
                    "python3",
                    "deploy/berylshiftd.py",
                    "--config",
                    str(path),
                    cwd=ROOT,
                    env=environment(),
                    stdout=log,
                    stderr=log,
                )
            self.starts += 1
            if self._is_ending:
                self.process.kill()
            code = await self.process.wait()
            if not self._is_ending:
                self.exits.append((self._fleet.now(), code))
                self._fleet.note(f"{self.name} ended by itself, exit code {code}")
                await asyncio.sleep(RESTART_SECONDS)

    def end(self) -> None:
        """End the process and start it no more."""
        self._is_ending = True
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()

    async def is_ready(self) -> bool:
        """Return whether the host answers 200 to the platform's question."""
        try:
            status, _, _ = await call(f"127.0.0.1:{self.status}", "GET", "/v1/readyz")
        except (TimeoutError, OSError, EOFError, ValueError):
            return False
        return status == 200


class Fleet:
    """The processes of a case, and its record."""

    def __init__(self, folder: Path, record: Path):
        """Keep settings and logs in ``folder``, which is temporary."""
        self.folder = folder
        self.hosts: list[Host] = []
        self.store = ""
        self.replicas: dict[str, str] = {}
        self._record = record.open("w", encoding="utf-8")
        self._programs: list[asyncio.subprocess.Process] = []
        self._tasks: list[asyncio.Task] = []
        self._start = asyncio.get_running_loop().time()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return asyncio.get_running_loop().time() - self._start

    def note(self, text: str) -> None:
        """Write a line of the record."""
        self._record.write(f"{self.now():8.3f} {text}\n")
        self._record.flush()

    async def stand_in(self, *args: str) -> str:
        """Start one of the project's stand-ins; return its address."""
        process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "berylshift.stand_ins",
            *args,
            "--address",
            "127.0.0.1:0",
            cwd=ROOT,
            env=environment(),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self._programs.append(process)
        line = await asyncio.wait_for(process.stdout.readline(), START_SECONDS)
        return line.decode().split()[1]

    async def write(self, table: str, key: str, value: bytes) -> None:
        """Write a row to the store."""
        row = {"table": table, "key": key, "value": base64.b64encode(value).decode()}
        body = json.dumps({"precondition": [], "write": [row], "remove": []})
        status, _, _ = await call(self.store, "POST", "/v1/rows-tx", body=body.encode())
        if status != 200:
            raise RuntimeError(f"the store answered {status}")

    async def add_plain_replica(self, name: str, service: str) -> None:
        """Start a replica of a plain service and write its entry."""
        address = await self.stand_in("replica", "--name", name)
        self.replicas[name] = address
        entry = {
            "service": service,
            "address": address,
            "zone": "zone-a",
            "version": "1",
            "batch_slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        await self.write("servers", name, json.dumps(entry).encode())

    async def start_hosts(self, count: int) -> None:
        """Start hosts and wait until all of them are ready."""
        for number in range(1, count + 1):
            host = Host(self, number)
            self.hosts.append(host)
            self._tasks.append(asyncio.create_task(host.run()))
        until = asyncio.get_running_loop().time() + START_SECONDS
        for host in self.hosts:
            while not await host.is_ready():
                if asyncio.get_running_loop().time() > until:
                    raise RuntimeError(f"{host.name} did not become ready")
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """End all processes that were started."""
        for host in self.hosts:
            host.end()
        for task in self._tasks:
            await asyncio.wait_for(asyncio.shield(task), STOP_SECONDS)
        for process in self._programs:
            if process.returncode is None:
                process.kill()
            await process.wait()
        self._record.close()


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    seconds: float = 3.0,
) -> tuple[int, dict[str, str], bytes]:
    """Make one call on a new connection; return status, headers and body."""
    return await asyncio.wait_for(
        _call(address, method, path, headers or {}, body), seconds
    )


async def _call(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes
) -> tuple[int, dict[str, str], bytes]:
    ip, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        lines = [f"{method} {path} HTTP/1.1"]
        sent = {"Host": address, "Content-Length": str(len(body)), **headers}
        lines += [f"{name}: {value}" for name, value in sent.items()]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        status = int((await reader.readline()).split()[1:2][0])
        found: dict[str, str] = {}
        while line := (await reader.readline()).strip():
            name, _, value = line.decode("latin-1").partition(":")
            found[name.lower()] = value.strip()
        if "content-length" in found:
            data = await reader.readexactly(int(found["content-length"]))
        else:
            data = await reader.read()
        return status, found, data
    except IndexError as exc:
        raise EOFError("closed without an answer") from exc
    finally:
        writer.close()


def stop_on_sigterm() -> None:
    """Cancel the current task on SIGTERM, so that it ends what it has started."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)


def fail_as_not_run(reason: str) -> None:
    """Exit with 2: the case could not run."""
    sys.stderr.write(f"could not run: {reason}\n")
    sys.exit(2)

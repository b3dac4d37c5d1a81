"""Seeded scenario: hosts change and shut down under load; every request is checked."""

import contextlib
import random
from dataclasses import dataclass, field

import h11
import trio

from berylshift.ids import ServiceName
from berylshift.platform import names
from berylshift.request.relay import FINAL_RESPONSE_SECONDS
from berylshift.settings import parse_settings
from berylshift.stand_ins.entry_replica import EntryReplica, Fault, _Session
from berylshift.tests.entry_world import (
    PLAIN,
    SETTINGS,
    Reply,
    prompt_headers,
    route,
    routes,
    stream_body,
)
from berylshift.tests.socket_world import (
    Caller,
    DelayedReadSocket,
    HostProcess,
    SimulatedSocket,
    request_bytes,
    stall_loop,
    start_process,
)
from berylshift.version.routes import CallerLimits, RouteKind, RouteTable, ServiceShare

SCENARIO_SECONDS = 12.0
CALLER_COUNT = 12
# Delay before a caller reconnects after a failed exchange. Without it, a connection
# that is closed at once would be followed by others without any time passing.
CONNECT_SECONDS = 0.01
# Work that any host can finish before it exits: a shutdown takes 7 s, and a request
# accepted during it may need 4.5 s of them.
MAX_WORK_SECONDS = 2.2
OTHER_SERVICE = ServiceName("archive")
KINDS = ("look", "book", "note", "brief")
# Times after the stop signal at which idle connections close, a quiet host exits, open
# requests end, and the process exits.
SHUTDOWN_STEP_SECONDS = (2.5, 3.0, 3.05, 6.98, 7.0, 7.2)
# Smaller than the difference between any two times of a scenario.
TIME_TOLERANCE_SECONDS = 1e-9
STREAM_BREAKS = (Fault.CUT, Fault.HALF_EVENT, Fault.RESET)
FAULTS = (*STREAM_BREAKS, Fault.REFUSE, Fault.ERROR, Fault.UNSIGNED, Fault.MUTE)


class PlannedReplica(EntryReplica):
    """A replica with faults planned by request id."""

    plan: dict[str, Fault]

    async def serve(self, stream: SimulatedSocket, host: str = "") -> None:
        """Serve one connection until either side ends it."""
        session = _PlannedSession(self, stream, host)
        try:
            while await session.serve_one():
                pass
        except* (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
        ):
            pass
        finally:
            stream.close()


class _PlannedSession(_Session):
    async def _request(self, headers, body: bytes, fault) -> None:
        request = headers.get(names.ATTEMPT_ID, b"").decode()
        await super()._request(headers, body, self.replica.plan.pop(request, None))


@dataclass
class RequestRecord:
    """One request; ``end_offset`` is the offset of its end on ``stream``."""

    request: str
    kind: str
    started_at: float
    budget_seconds: float
    stream: SimulatedSocket
    end_offset: int = 0
    pieces: int = 0
    sent_at: float | None = None
    fault: Fault | None = None
    reply: Reply | None = None
    ended_at: float = 0.0
    has_response_data: bool = False
    caller_left: bool = False

    @property
    def was_read(self) -> bool:
        """Return whether the host has read the whole request."""
        return (
            self.sent_at is not None and self.stream.peer.bytes_read >= self.end_offset
        )


@dataclass
class ShutdownScenario:
    """One run of the scenario; ``records`` lists all requests."""

    world: object
    rng: random.Random
    pipelined: bool
    records: list[RequestRecord] = field(default_factory=list)
    processes: list[HostProcess] = field(default_factory=list)
    other_violations: list[str] = field(default_factory=list)
    tables: list[tuple[float, RouteTable]] = field(default_factory=list)
    shutdown_times: list[float] = field(default_factory=list)
    faults: dict[str, Fault] = field(default_factory=dict)
    version: int = 1

    async def run(self) -> None:
        """Run until all callers have their responses."""
        self._plan_faults()
        for number in range(len(self.world.hosts)):
            self.processes.append(await start_process(self.world, number))
        end_at = trio.current_time() + SCENARIO_SECONDS
        async with trio.open_nursery() as callers:
            async with trio.open_nursery() as changes:
                changes.start_soon(self._run_changes, end_at)
                for _ in range(CALLER_COUNT):
                    callers.start_soon(self._run_caller, end_at)
                await trio.sleep_until(end_at)
                changes.cancel_scope.cancel()

    # Changes to the hosts

    def _plan_faults(self) -> None:
        for replica in self.world.replicas.values():
            replica.__class__ = PlannedReplica
            replica.plan = self.faults
        other = self.world.add_replica("other-1", OTHER_SERVICE)
        other.__class__, other.plan = PlannedReplica, self.faults

    async def _run_changes(self, end_at: float) -> None:
        async with trio.open_nursery() as nursery:
            for process in self.processes:
                nursery.start_soon(self._restart_host, process)
            while trio.current_time() < end_at:
                await trio.sleep(self.rng.choice([0.0, 0.02, 0.2, 0.6]))
                self.rng.choice(
                    [self._put_routes, self._apply_settings, self._change_work_times]
                )()

    def _put_routes(self) -> None:
        """Publish routes with other timeouts, idle timeouts and services."""
        rng = self.rng
        self.version += 1
        table = routes(self.version)
        changed = []
        for item in table.routes:
            if item.name == "look" and rng.random() < 0.1:
                continue
            shares = item.shares
            if item.kind is not RouteKind.STREAM:
                shares = (ServiceShare(rng.choice([PLAIN, OTHER_SERVICE]), 1),)
            timeout = rng.choice([0.4, 1.0, 2.5, 4.0, 6.0])
            changed.append(
                route(
                    item.name,
                    item.kind,
                    timeout_seconds=timeout,
                    shares=shares,
                    max_attempts=item.max_attempts,
                    has_prompt_info=item.has_prompt_info,
                    resumable=item.resumable,
                )
            )
        if rng.random() < 0.3:
            changed.append(route("new", RouteKind.IDEMPOTENT))
        limits = CallerLimits(idle_seconds=rng.choice([0.2, 1.0, 15.0]))
        services = tuple(table.services.values())
        table = RouteTable(table.version, tuple(changed), services, limits)
        self.tables.append((trio.current_time(), table))
        self.world.directory.put_routes(table)

    def _apply_settings(self) -> None:
        """Apply changed settings at a host."""
        if not self.processes:
            return
        app = self.rng.choice(self.processes).app
        host = app.cfg.host
        text = SETTINGS.format(
            name=host.name, domain=host.domain, peer_address=host.peer_address
        )
        text += f"retry_ratio = {self.rng.choice([0.1, 0.3])}\n"
        text += "grace = 8\nreading_share = 0\n"
        text += f"[callers]\nconnections = {self.rng.choice([8, 2048])}\n"
        app.apply_settings(parse_settings(text).unwrap())

    def _change_work_times(self) -> None:
        """Change the time that replicas take for a request."""
        for replica in self.world.replicas.values():
            replica.work_seconds = self.rng.choice([0.005, 0.05, 0.3, 1.0])
            replica.event_seconds = self.rng.choice([0.005, 0.05, 0.2])

    async def _restart_host(self, process: HostProcess) -> None:
        """Shut a host down at a random time and start another one in its place."""
        await trio.sleep(self.rng.uniform(0.5, 4.0))
        self.shutdown_times.append(trio.current_time())
        process.stop.set()
        await process.ended.wait()
        if process.error is not None:
            self.other_violations.append(f"host process failed: {process.error!r}")
        await trio.sleep(0.3)
        self.processes.remove(process)
        await self.world.add_host()
        number = len(self.world.hosts) - 1
        self.processes.append(await start_process(self.world, number))

    # Callers

    async def _run_caller(self, end_at: float) -> None:
        while trio.current_time() < end_at:
            caller = self._connect()
            if caller is None:
                await trio.sleep(0.1)
                continue
            for _ in range(self.rng.choice([1, 1, 3, 8])):
                if caller.stream.was_reset or not await self._exchange(caller):
                    await trio.sleep(CONNECT_SECONDS)
                    break
                await trio.sleep(self._idle_seconds())
            self._close(caller)

    def _close(self, caller: Caller) -> None:
        """Close the connection; unsolicited bytes are a violation."""
        is_waiting = any(
            record.reply is None or not record.reply.whole
            for record in self.records
            if record.stream is caller.stream
        )
        if not is_waiting and caller.unsolicited():
            self.other_violations.append(f"unsolicited: {caller.unsolicited()[:60]!r}")
        caller.stream.close()

    def _connect(self) -> Caller | None:
        if not self.processes:
            return None
        process = self.rng.choice(self.processes)
        socket_type = self.rng.choice([SimulatedSocket, DelayedReadSocket])
        try:
            caller = process.connect(self.rng.choice([64, 65536, 65536]), socket_type)
        except OSError:
            return None
        caller.stream.peer.on_send = self._maybe_stall
        return caller

    def _maybe_stall(self, data: bytes) -> None:
        """Stall the host's event loop after some of its writes."""
        if self.rng.random() < 0.02:
            stall_loop(self.rng.choice([0.005, 0.03, 0.1]))

    def _idle_seconds(self) -> float:
        return self.rng.choice([0.0, 0.0, 0.01, 0.2, 0.9, 1.2, 2.0])

    async def _exchange(self, caller: Caller) -> bool:
        """Send some requests and read their responses; return whether to continue."""
        count = self.rng.choice([1, 1, 1, 1, 2, 3]) if self.pipelined else 1
        requests = [self._make_request(caller) for _ in range(count)]
        with contextlib.suppress(trio.BrokenResourceError):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_all, caller, requests)
                leaves = self.rng.random() < 0.05
                with trio.move_on_after(0.3 if leaves else 60) as scope:
                    await self._read_all(caller, requests)
                nursery.cancel_scope.cancel()
        for record, _ in requests:
            record.caller_left = scope.cancelled_caught and record.reply is None
        return all(
            record.reply is not None
            and record.reply.whole
            and record.sent_at is not None
            and record.reply.headers.get(b"connection") != b"close"
            for record, _ in requests
        )

    def _make_request(self, caller: Caller) -> tuple[RequestRecord, bytes]:
        rng = self.rng
        request, kind = f"r{len(self.records)}", rng.choice(KINDS)
        budget_seconds = rng.choice([0.05, 0.4, 1.0, 2.5, 6.0, 12.0])
        record = RequestRecord(
            request, kind, trio.current_time(), budget_seconds, caller.stream
        )
        headers, body = (), b"hello"
        if kind in ("note", "brief"):
            record.pieces = rng.choice([1, 4, 10])
            headers = prompt_headers(record.pieces, prefix_tokens=0)
        else:
            body = b"x" * rng.choice([0, 5, 5, 5000, 50_000, 150_000])
        if rng.random() < 0.15:
            record.fault = self.faults[request] = rng.choice(FAULTS)
        self.records.append(record)
        left_ms = int(budget_seconds * 1000)
        data = request_bytes(f"/{kind}/x", request, body, headers, left_ms)
        return record, data

    async def _send_all(self, caller: Caller, requests) -> None:
        """Send the requests; sometimes time the last byte to a step of a shutdown."""
        with contextlib.suppress(trio.BrokenResourceError):
            for record, data in requests:
                if self.rng.random() < 0.3:
                    await self._send_slowly(caller, data[:-1])
                else:
                    await caller.stream.send_all(data[:-1])
                if self.rng.random() < 0.2:
                    await trio.sleep_until(self._next_shutdown_step())
                await caller.stream.send_all(data[-1:])
                record.end_offset = caller.stream.bytes_sent
                record.sent_at = trio.current_time()
        await trio.sleep_forever()

    async def _send_slowly(self, caller: Caller, data: bytes) -> None:
        pause = self.rng.choice([0.005, 0.05, 0.3])
        size = max(1, len(data) // 4)
        for start in range(0, len(data), size):
            await caller.stream.send_all(data[start : start + size])
            await trio.sleep(pause)

    def _next_shutdown_step(self) -> float:
        """Return the time of the next shutdown step within 2 s, or the present."""
        now = trio.current_time()
        steps = [
            at + after for at in self.shutdown_times for after in SHUTDOWN_STEP_SECONDS
        ]
        return min((at for at in steps if now <= at < now + 2), default=now)

    async def _read_all(self, caller: Caller, requests) -> None:
        for record, _ in requests:
            record.reply = await caller.read()
            record.has_response_data = caller.has_response_data
            record.ended_at = trio.current_time()
            if not record.reply.whole:
                return

    # Checks

    def violations(self) -> list[str]:
        """Return the violations found, one line each."""
        found = list(self.other_violations)
        for record in self.records:
            problem = self._violation(record)
            if problem:
                found.append(f"{problem}: {self._describe(record)}")
        return found

    def _violation(self, record: RequestRecord) -> str:
        """Return what is wrong with a request that a host has read, or ``""``."""
        if (
            record.caller_left
            or not record.was_read
            or self._follows_final_response(record)
        ):
            return ""
        if record.reply is None or not record.has_response_data:
            return "neither response nor refusal"
        if not record.reply.whole:
            return "" if self._may_be_cut(record) else "incomplete response"
        return "" if self._is_valid(record) else "response of another request"

    def _follows_final_response(self, record: RequestRecord) -> bool:
        """Return whether the previous response on the connection was its last one.

        This is so if it announced the close, or was cut; a cut response is checked for
        its own request.
        """
        before = [
            other.reply
            for other in self.records[: self.records.index(record)]
            if other.stream is record.stream
        ]
        if not before:
            return False
        last = before[-1]
        if last is None or not last.whole:
            return True
        return last.headers.get(b"connection") == b"close"

    def _may_be_cut(self, record: RequestRecord) -> bool:
        """Return whether the replica cut its stream or the deadline had passed."""
        stream = record.pieces > 0
        if stream and record.fault in STREAM_BREAKS:
            return True
        slack = FINAL_RESPONSE_SECONDS if stream else 0.0
        return (
            record.ended_at >= self._deadline(record) - slack - TIME_TOLERANCE_SECONDS
        )

    def _deadline(self, record: RequestRecord) -> float:
        """Return the caller's deadline or the earliest one by any route version."""
        times = [
            item.timeout_seconds for item in routes().routes if item.name == record.kind
        ]
        for at, table in self.tables:
            if at <= record.ended_at:
                times += [
                    item.timeout_seconds
                    for item in table.routes
                    if item.name == record.kind
                ]
        return record.started_at + min(record.budget_seconds, *times)

    def _is_valid(self, record: RequestRecord) -> bool:
        if record.reply.status != 200:
            return record.reply.status in (404, 408, 500, 502, 503, 504)
        if record.pieces:
            return record.reply.body == stream_body(1, record.pieces)
        return record.reply.body == b"body of " + record.request.encode()

    def _describe(self, record: RequestRecord) -> str:
        replicas = self.world.replicas.values()
        attempts = [rep.instance for rep in replicas if record.request in rep.arrivals]
        after_shutdowns = [round(record.ended_at - at, 3) for at in self.shutdown_times]
        sent_at = record.sent_at and round(record.sent_at, 3)
        status = record.reply.status if record.reply else None
        return (
            f"{record.request} {record.kind} started_at={record.started_at:.3f}"
            f" sent_at={sent_at} budget={record.budget_seconds}"
            f" ended={record.ended_at:.3f} after_shutdowns={after_shutdowns}"
            f" status={status} attempts={attempts} fault={record.fault}"
        )


def scenario_task(seed: int, pipelined: bool):
    """Return a task for ``run_socket_world`` that runs and returns a scenario.

    If ``pipelined``, callers send further requests before the first response.
    """

    async def task(world) -> ShutdownScenario:
        scenario = ShutdownScenario(world, random.Random(seed), pipelined)
        await scenario.run()
        return scenario

    return task

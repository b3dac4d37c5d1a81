"""Callers of hosts that change and stop, by a seed, and a ledger of their requests."""

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
from berylshift.tests.ledger import (
    Caller,
    HostProcess,
    KernelEnd,
    LateLook,
    pass_time,
    request_bytes,
    start_process,
)
from berylshift.version.routes import CallerLimits, RouteKind, RouteTable, ServiceShare

PLAY_SECONDS = 12.0
CALLERS = 12
# What a caller's next connection takes when its last one gave it nothing more; without
# it, one that is closed at once would be followed by others before any time passes.
CONNECT_SECONDS = 0.01
# Work that any host may finish before it ends: a stop gives 7 s, 4.5 s of which a
# request may need that is still taken.
LONGEST_WORK = 2.2
OTHER = ServiceName("archive")
KINDS = ("look", "book", "note", "brief")
# After the word to stop: connections at rest close, a quiet host ends, open requests
# end, the process ends.
STOP_MOMENTS = (2.5, 3.0, 3.05, 6.98, 7.0, 7.2)
# Less than any two times of a play are apart, in seconds.
MOMENT = 1e-9
BREAKS = (Fault.CUT, Fault.HALF_EVENT, Fault.RESET)
FAULTS = (*BREAKS, Fault.REFUSE, Fault.ERROR, Fault.UNSIGNED, Fault.MUTE)


class PlannedReplica(EntryReplica):
    """A replica whose faults are planned for requests by their ids."""

    plan: dict[str, Fault]

    async def serve(self, stream: KernelEnd) -> None:
        """Serve one connection until either side ends it."""
        session = _PlannedSession(self, stream)
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
class Entry:
    """What is noted of one request; ``end`` is its last byte's place on ``stream``."""

    request: str
    kind: str
    begun: float
    left: float
    stream: KernelEnd
    end: int = 0
    pieces: int = 0
    whole_at: float | None = None
    fault: Fault | None = None
    reply: Reply | None = None
    ended: float = 0.0
    heard: bool = False
    left_early: bool = False

    @property
    def read(self) -> bool:
        """Return whether the host has read the whole request."""
        return self.whole_at is not None and self.stream.peer.taken >= self.end


@dataclass
class Play:
    """One play; ``entries`` is its ledger."""

    world: object
    rng: random.Random
    ahead: bool
    entries: list[Entry] = field(default_factory=list)
    processes: list[HostProcess] = field(default_factory=list)
    others: list[str] = field(default_factory=list)
    tables: list[tuple[float, RouteTable]] = field(default_factory=list)
    stops: list[float] = field(default_factory=list)
    faults: dict[str, Fault] = field(default_factory=dict)
    version: int = 1

    async def run(self) -> None:
        """Play until all callers have what they wait for."""
        self._plan_faults()
        for number in range(len(self.world.hosts)):
            self.processes.append(await start_process(self.world, number))
        over = trio.current_time() + PLAY_SECONDS
        async with trio.open_nursery() as callers:
            async with trio.open_nursery() as changes:
                changes.start_soon(self._change, over)
                for _ in range(CALLERS):
                    callers.start_soon(self._call, over)
                await trio.sleep_until(over)
                changes.cancel_scope.cancel()

    # What happens to the hosts

    def _plan_faults(self) -> None:
        for replica in self.world.replicas.values():
            replica.__class__ = PlannedReplica
            replica.plan = self.faults
        other = self.world.add_replica("other-1", OTHER)
        other.__class__, other.plan = PlannedReplica, self.faults

    async def _change(self, over: float) -> None:
        async with trio.open_nursery() as nursery:
            for process in self.processes:
                nursery.start_soon(self._stop, process)
            while trio.current_time() < over:
                await trio.sleep(self.rng.choice([0.0, 0.02, 0.2, 0.6]))
                self.rng.choice([self._routes, self._adopt, self._work])()

    def _routes(self) -> None:
        """Put new routes: times, rests, services; routes come and go."""
        rng = self.rng
        self.version += 1
        table = routes(self.version)
        changed = []
        for way in table.routes:
            if way.name == "look" and rng.random() < 0.1:
                continue
            shares = way.shares
            if way.kind is not RouteKind.STREAM:
                shares = (ServiceShare(rng.choice([PLAIN, OTHER]), 1),)
            timeout = rng.choice([0.4, 1.0, 2.5, 4.0, 6.0])
            changed.append(
                route(
                    way.name,
                    way.kind,
                    timeout=timeout,
                    shares=shares,
                    most_attempts=way.most_attempts,
                    prompted=way.prompted,
                    resumable=way.resumable,
                )
            )
        if rng.random() < 0.3:
            changed.append(route("new", RouteKind.IDEMPOTENT))
        limits = CallerLimits(idle_seconds=rng.choice([0.2, 1.0, 15.0]))
        services = tuple(table.services.values())
        table = RouteTable(table.version, tuple(changed), services, limits)
        self.tables.append((trio.current_time(), table))
        self.world.directory.put_routes(table)

    def _adopt(self) -> None:
        """Have a host take over changed settings."""
        if not self.processes:
            return
        app = self.rng.choice(self.processes).app
        text = SETTINGS.format(name=app.cfg.host.name)
        text += f"retry_ratio = {self.rng.choice([0.1, 0.3])}\n"
        text += "grace = 8\nreading_share = 0\n"
        text += f"[callers]\nconnections = {self.rng.choice([8, 2048])}\n"
        app.adopt(parse_settings(text).unwrap())

    def _work(self) -> None:
        """Have replicas take another time for their work."""
        for replica in self.world.replicas.values():
            replica.work_seconds = self.rng.choice([0.005, 0.05, 0.3, 1.0])
            replica.event_seconds = self.rng.choice([0.005, 0.05, 0.2])

    async def _stop(self, process: HostProcess) -> None:
        """Stop a host at some time; a new one takes its place."""
        await trio.sleep(self.rng.uniform(0.5, 4.0))
        self.stops.append(trio.current_time())
        process.stop.set()
        await process.ended.wait()
        if process.fault is not None:
            self.others.append(f"host ended by itself: {process.fault!r}")
        await trio.sleep(0.3)
        self.processes.remove(process)
        await self.world.add_host()
        number = len(self.world.hosts) - 1
        self.processes.append(await start_process(self.world, number))

    # What callers do

    async def _call(self, over: float) -> None:
        while trio.current_time() < over:
            caller = self._connect()
            if caller is None:
                await trio.sleep(0.1)
                continue
            for _ in range(self.rng.choice([1, 1, 3, 8])):
                if caller.stream.was_reset or not await self._exchange(caller):
                    await trio.sleep(CONNECT_SECONDS)
                    break
                await trio.sleep(self._rest())
            self._close(caller)

    def _close(self, caller: Caller) -> None:
        """Leave; what came without having been asked for is noted."""
        waits = any(
            entry.reply is None or not entry.reply.whole
            for entry in self.entries
            if entry.stream is caller.stream
        )
        if not waits and caller.unasked():
            self.others.append(f"unasked: {caller.unasked()[:60]!r}")
        caller.stream.close()

    def _connect(self) -> Caller | None:
        if not self.processes:
            return None
        process = self.rng.choice(self.processes)
        near = self.rng.choice([KernelEnd, LateLook])
        try:
            caller = process.connect(self.rng.choice([64, 65536, 65536]), near)
        except OSError:
            return None
        caller.stream.peer.on_put = self._stall
        return caller

    def _stall(self, data: bytes) -> None:
        """Leave the host without processor time after some of its writes."""
        if self.rng.random() < 0.02:
            pass_time(self.rng.choice([0.005, 0.03, 0.1]))

    def _rest(self) -> float:
        return self.rng.choice([0.0, 0.0, 0.01, 0.2, 0.9, 1.2, 2.0])

    async def _exchange(self, caller: Caller) -> bool:
        """Send some requests at once, read their answers; return whether to go on."""
        count = self.rng.choice([1, 1, 1, 1, 2, 3]) if self.ahead else 1
        found = [self._entry(caller) for _ in range(count)]
        with contextlib.suppress(trio.BrokenResourceError):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_all, caller, found)
                leaves = self.rng.random() < 0.05
                with trio.move_on_after(0.3 if leaves else 60) as scope:
                    await self._read_all(caller, found)
                nursery.cancel_scope.cancel()
        for entry, _ in found:
            entry.left_early = scope.cancelled_caught and entry.reply is None
        return all(
            entry.reply is not None
            and entry.reply.whole
            and entry.whole_at is not None
            and entry.reply.headers.get(b"connection") != b"close"
            for entry, _ in found
        )

    def _entry(self, caller: Caller) -> tuple[Entry, bytes]:
        rng = self.rng
        request, kind = f"r{len(self.entries)}", rng.choice(KINDS)
        left = rng.choice([0.05, 0.4, 1.0, 2.5, 6.0, 12.0])
        entry = Entry(request, kind, trio.current_time(), left, caller.stream)
        headers, body = (), b"hello"
        if kind in ("note", "brief"):
            entry.pieces = rng.choice([1, 4, 10])
            headers = prompt_headers(entry.pieces, shared=0)
        else:
            body = b"x" * rng.choice([0, 5, 5, 5000, 50_000, 150_000])
        if rng.random() < 0.15:
            entry.fault = self.faults[request] = rng.choice(FAULTS)
        self.entries.append(entry)
        left_ms = int(left * 1000)
        data = request_bytes(f"/{kind}/x", request, body, headers, left_ms)
        return entry, data

    async def _send_all(self, caller: Caller, found) -> None:
        """Send in pieces, the last byte at times at a moment that matters."""
        with contextlib.suppress(trio.BrokenResourceError):
            for entry, data in found:
                if self.rng.random() < 0.3:
                    await self._send_slowly(caller, data[:-1])
                else:
                    await caller.stream.send_all(data[:-1])
                if self.rng.random() < 0.2:
                    await trio.sleep_until(self._moment())
                await caller.stream.send_all(data[-1:])
                entry.end = caller.stream.put
                entry.whole_at = trio.current_time()
        await trio.sleep_forever()

    async def _send_slowly(self, caller: Caller, data: bytes) -> None:
        pause = self.rng.choice([0.005, 0.05, 0.3])
        size = max(1, len(data) // 4)
        for start in range(0, len(data), size):
            await caller.stream.send_all(data[start : start + size])
            await trio.sleep(pause)

    def _moment(self) -> float:
        """Return the next moment of a stop's."""
        now = trio.current_time()
        moments = [at + after for at in self.stops for after in STOP_MOMENTS]
        return min((at for at in moments if now <= at < now + 2), default=now)

    async def _read_all(self, caller: Caller, found) -> None:
        for entry, _ in found:
            entry.reply = await caller.read()
            entry.heard = caller.heard
            entry.ended = trio.current_time()
            if not entry.reply.whole:
                return

    # What came of it

    def lost(self) -> list[str]:
        """Return what breaks the promise, a line each."""
        found = list(self.others)
        for entry in self.entries:
            fault = self._judge(entry)
            if fault:
                found.append(f"{fault}: {self._tell(entry)}")
        return found

    def _judge(self, entry: Entry) -> str:
        """Return what is wrong with a request that its host has read, if anything."""
        if entry.left_early or not entry.read or self._came_behind_the_last(entry):
            return ""
        if entry.reply is None or not entry.heard:
            return "neither answer nor refusal"
        if not entry.reply.whole:
            return "" if self._may_be_cut(entry) else "no whole answer"
        return "" if self._is_right(entry) else "another's answer"

    def _came_behind_the_last(self, entry: Entry) -> bool:
        """Return whether the answer before it said that its connection ends.

        Or that answer itself was cut: then it is the one to be judged.
        """
        before = [
            other.reply
            for other in self.entries[: self.entries.index(entry)]
            if other.stream is entry.stream
        ]
        if not before:
            return False
        last = before[-1]
        if last is None or not last.whole:
            return True
        return last.headers.get(b"connection") == b"close"

    def _may_be_cut(self, entry: Entry) -> bool:
        """Return whether its replica broke off or its own time was over."""
        stream = entry.pieces > 0
        if stream and entry.fault in BREAKS:
            return True
        slack = FINAL_RESPONSE_SECONDS if stream else 0.0
        return entry.ended >= self._time_over(entry) - slack - MOMENT

    def _time_over(self, entry: Entry) -> float:
        """Return when a caller's time is over, or its route's by any version."""
        times = [way.timeout for way in routes().routes if way.name == entry.kind]
        for at, table in self.tables:
            if at <= entry.ended:
                times += [w.timeout for w in table.routes if w.name == entry.kind]
        return entry.begun + min(entry.left, *times)

    def _is_right(self, entry: Entry) -> bool:
        if entry.reply.status != 200:
            return entry.reply.status in (404, 408, 500, 502, 503, 504)
        if entry.pieces:
            return entry.reply.body == stream_body(1, entry.pieces)
        return entry.reply.body == b"body of " + entry.request.encode()

    def _tell(self, entry: Entry) -> str:
        replicas = self.world.replicas.values()
        sends = [rep.instance for rep in replicas if entry.request in rep.arrivals]
        stops = [round(entry.ended - at, 3) for at in self.stops]
        whole = entry.whole_at and round(entry.whole_at, 3)
        status = entry.reply.status if entry.reply else None
        return (
            f"{entry.request} {entry.kind} begun={entry.begun:.3f} whole_at={whole}"
            f" left={entry.left} ended={entry.ended:.3f} after_stops={stops}"
            f" status={status} sends={sends} fault={entry.fault}"
        )


def play_ledger(seed: int, ahead: bool):
    """Return a task for ``run_ledger`` that plays ``seed`` and returns its ledger.

    With ``ahead`` callers send further requests before their answers have come.
    """

    async def task(world) -> Play:
        play = Play(world, random.Random(seed), ahead)
        await play.run()
        return play

    return task

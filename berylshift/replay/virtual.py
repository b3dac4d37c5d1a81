"""Replays on a virtual clock: callers, events and counts in one process."""

import trio
import trio.testing

from berylshift.ids import ChangeId, CustomerName, FleetName, WorkName
from berylshift.replay.determinism import fix_schedule
from berylshift.replay.result import Fate, ReplayResult, RequestResult
from berylshift.replay.runner import BookCounts, Progress, play
from berylshift.replay.trace import (
    EventKind,
    Kind,
    Trace,
    TraceEvent,
    TraceRequest,
)
from berylshift.replay.virtual_fleet import (
    STORE,
    FleetSpec,
    HostDownError,
    VirtualHost,
    VirtualWorld,
    row_of,
    trace_rows,
    with_cell,
)
from berylshift.request.messages import (
    Caller,
    ModelCall,
    Outcome,
    PlainCall,
)
from berylshift.stand_ins.fake_service import service_echo
from berylshift.stand_ins.text import completion_text, make_prompt
from berylshift.version.diff import Edit
from berylshift.version.rows import Row, RowKind

TIMES_ASKED = 4
ASK_AGAIN_PAUSE = 0.2
GRACE_SECONDS = 60.0
FATES = {
    Outcome.COMPLETE: Fate.COMPLETE,
    Outcome.NOT_RUN: Fate.NOT_RUN,
    Outcome.UNKNOWN: Fate.UNKNOWN,
}


class _Sink:
    """Takes one answer's text as its caller does."""

    def __init__(self) -> None:
        self.parts: list[str] = []
        self.first_at: float | None = None

    async def text(self, text: str) -> None:
        if self.first_at is None:
            self.first_at = trio.current_time()
        self.parts.append(text)


class VirtualFleet:
    """Plays a trace's callers against a virtual world."""

    def __init__(self, world: VirtualWorld):
        """Send to the hosts of ``world``."""
        self.world = world
        self._turn = 0
        self._edits = 0

    async def send(self, number: int, request: TraceRequest) -> RequestResult:
        """Send one request; where its host died, ask again elsewhere."""
        start = trio.current_time()
        deadline = start + request.deadline_ms / 1000
        result = RequestResult(Fate.LOST, 0.0, False, detail="no host answered")
        with trio.move_on_at(deadline + GRACE_SECONDS):
            for _ in range(TIMES_ASKED):
                try:
                    result = await self._ask(number, request, start, deadline)
                    break
                except HostDownError:
                    await trio.sleep(ASK_AGAIN_PAUSE)
        if not request.idempotent:
            self.world.book.told(str(number), result.fate)
        return result

    def _pick(self) -> VirtualHost:
        ready = [host for host in self.world.hosts.values() if host.ready]
        self._turn += 1
        among = ready or list(self.world.hosts.values())
        return among[self._turn % len(among)]

    async def _ask(
        self, number: int, request: TraceRequest, start: float, deadline: float
    ) -> RequestResult:
        host = self._pick()
        await trio.sleep(self.world.network.latency_seconds)
        await self.world.network.wait_resumed(host.name)
        with host.call() as app:
            caller = Caller(CustomerName(request.customer), FleetName(request.fleet))
            if request.kind is Kind.MODEL:
                return await self._model(app, caller, number, request, start, deadline)
            return await self._service(app, caller, number, request, start, deadline)
        raise HostDownError(host.name)

    async def _model(
        self, app, caller, number: int, request: TraceRequest, start, deadline
    ) -> RequestResult:
        prompt = make_prompt(
            request.prefix, str(number), request.prompt_tokens, request.output_tokens
        )
        call = ModelCall(
            request=app.handler.new_request(),
            caller=caller,
            model=WorkName(request.model),
            prompt=prompt,
            max_tokens=request.output_tokens,
            deadline=deadline,
        )
        sink = _Sink()
        ending = await app.handler.complete(call, sink)
        await self.world.network.wait_resumed(app.cfg.host.name)
        fate = FATES[ending.outcome]
        wanted = completion_text(prompt, request.output_tokens)
        if fate is Fate.COMPLETE and "".join(sink.parts) != wanted:
            fate = Fate.CUT
        elif fate is not Fate.COMPLETE and sink.parts:
            fate = Fate.CUT
        first = sink.first_at - start if sink.first_at is not None else None
        return _result(fate, start, deadline, first, f"{number}: {ending}")

    async def _service(
        self, app, caller, number: int, request: TraceRequest, start, deadline
    ) -> RequestResult:
        body = str(number).encode()
        call = PlainCall(
            request=app.handler.new_request(),
            caller=caller,
            service=WorkName(request.service),
            method="POST",
            path="/calls",
            headers={},
            body=body,
            deadline=deadline,
            idempotent=request.idempotent,
            key="" if request.idempotent else str(number),
        )
        found = await app.handler.call_service(call)
        await self.world.network.wait_resumed(app.cfg.host.name)
        fate = FATES[found.ending.outcome]
        if fate is Fate.COMPLETE and service_echo(body).encode() not in found.body:
            fate = Fate.CUT
        return _result(fate, start, deadline, None, f"{number}: {found.ending}")

    async def close(self) -> BookCounts:
        """Compare what callers were told with what the services ran."""
        return self.world.book.check(self.world.ran, self.world.role_changes())

    # Events

    async def act(self, event: TraceEvent) -> None:
        """Bring an event about."""
        world = self.world
        match event.event:
            case EventKind.STORE_DOWN:
                world.platform.script.down = True
            case EventKind.STORE_UP:
                world.platform.script.down = False
            case EventKind.CUT | EventKind.HEAL:
                self._link(event)
            case EventKind.PAUSE:
                world.network.pause(event.who)
            case EventKind.KILL:
                self._kill(event.who)
            case EventKind.RESUME:
                self._resume(event.who)
            case EventKind.DRAIN | EventKind.WITHDRAW | EventKind.EDIT:
                await self._mark(event)

    def _link(self, event: TraceEvent) -> None:
        world = self.world
        cut = event.event is EventKind.CUT
        others = [event.to] if event.to else [STORE, *world.hosts, *world.engines]
        for other in others:
            if other == STORE and event.who in world.store_links:
                world.store_links[event.who].is_unreachable = cut
            elif cut:
                world.network.cut(event.who, other)
            else:
                world.network.heal(event.who, other)

    def _kill(self, name: str) -> None:
        world = self.world
        if name in world.hosts:
            world.hosts[name].kill()
        elif name in world.engines:
            world.engines[name].crash(trio.current_time())
        elif name in world.services:
            world.services[name].alive = False

    def _resume(self, name: str) -> None:
        world = self.world
        world.network.resume(name)
        if name in world.hosts and world.hosts[name].app is None:
            world.hosts[name].start()
        elif name in world.engines and not world.engines[name].alive:
            world.engines[name].restart(trio.current_time())
        elif name in world.services:
            world.services[name].alive = True

    async def _mark(self, event: TraceEvent) -> None:
        """Edit the table as operators do."""
        column, value = "state", "draining"
        if event.event is EventKind.WITHDRAW:
            value = "withdrawn"
        elif event.event is EventKind.EDIT:
            column, value = event.column, event.value
        log = self.world.table_log()
        table = await log.load()
        if event.who in self.world.hosts:
            row = table.hosts.get(event.who) or host_row(event.who)
        else:
            row = row_of(list(table.rows.values()), event.who)
        self._edits += 1
        edit = Edit(table.version, [with_cell(row, column, value)], [])
        change_id = ChangeId(f"edit-{self._edits}")
        (await log.commit(edit, change_id, "replay", "")).unwrap()


def host_row(name: str) -> Row:
    """Return the row of a host that has none yet."""
    return Row(RowKind.HOST, name)


def _result(
    fate: Fate, start: float, deadline: float, first: float | None, detail: str
) -> RequestResult:
    now = trio.current_time()
    return RequestResult(fate, now - start, now <= deadline, first, detail)


async def _replay(trace: Trace, spec: FleetSpec, progress: Progress) -> ReplayResult:
    async with trio.open_nursery() as nursery:
        world = VirtualWorld(spec, trace_rows(trace, spec), nursery)
        await world.start()
        result = await play(trace, VirtualFleet(world), progress)
        nursery.cancel_scope.cancel()
    return result


def replay_virtual(
    trace: Trace, spec: FleetSpec, progress: Progress = lambda: None
) -> ReplayResult:
    """Replay a trace on a virtual clock; the same each time for one seed."""
    fix_schedule(spec.seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(_replay, trace, spec, progress, clock=clock)

"""Replays on a virtual clock, with callers, events and counts in one process."""

import trio
import trio.testing

from berylshift.ids import ChangeId, CustomerName, FleetName, WorkName
from berylshift.replay.determinism import seed_scheduler
from berylshift.replay.result import CallerOutcome, ReplayResult, RequestResult
from berylshift.replay.runner import Progress, TargetCounts, replay_trace
from berylshift.replay.trace import EventKind, Kind, Trace, TraceEvent, TraceRequest
from berylshift.replay.virtual_fleet import (
    STORE,
    FleetSpec,
    HostDownError,
    VirtualHost,
    VirtualWorld,
    find_row,
    trace_rows,
    with_cell,
)
from berylshift.request.messages import Caller, ModelCall, Outcome, PlainCall
from berylshift.stand_ins.fake_service import service_echo
from berylshift.stand_ins.text import completion_text, make_prompt
from berylshift.version.diff import Edit
from berylshift.version.rows import Row, RowKind

MAX_ATTEMPTS = 4
RETRY_PAUSE_SECONDS = 0.2
GRACE_SECONDS = 60.0
CALLER_OUTCOMES = {
    Outcome.COMPLETE: CallerOutcome.COMPLETE,
    Outcome.NOT_RUN: CallerOutcome.NOT_RUN,
    Outcome.UNKNOWN: CallerOutcome.UNKNOWN,
}


class _TextSink:
    """Collects the text of one response as its caller does."""

    def __init__(self) -> None:
        self.texts: list[str] = []
        self.first_token_at: float | None = None

    async def write_text(self, text: str) -> None:
        if self.first_token_at is None:
            self.first_token_at = trio.current_time()
        self.texts.append(text)


class VirtualFleet:
    """Simulates a trace's callers against a virtual world."""

    def __init__(self, world: VirtualWorld):
        """Send to the hosts of ``world``."""
        self.world = world
        self._next_index = 0
        self._edit_count = 0

    async def send(self, number: int, request: TraceRequest) -> RequestResult:
        """Send one request; retry at another host if its host crashes."""
        start = trio.current_time()
        deadline = start + request.deadline_ms / 1000
        result = RequestResult(
            CallerOutcome.LOST, 0.0, False, detail="no host answered"
        )
        with trio.move_on_at(deadline + GRACE_SECONDS):
            for _ in range(MAX_ATTEMPTS):
                try:
                    result = await self._send_once(number, request, start, deadline)
                    break
                except HostDownError:
                    await trio.sleep(RETRY_PAUSE_SECONDS)
        if not request.idempotent:
            self.world.key_outcomes.record(str(number), result.outcome)
        return result

    def _pick(self) -> VirtualHost:
        ready = [host for host in self.world.hosts.values() if host.ready]
        self._next_index += 1
        candidates = ready or list(self.world.hosts.values())
        return candidates[self._next_index % len(candidates)]

    async def _send_once(
        self, number: int, request: TraceRequest, start: float, deadline: float
    ) -> RequestResult:
        host = self._pick()
        await trio.sleep(self.world.network.latency_seconds)
        await self.world.network.wait_resumed(host.name)
        with host.call() as app:
            caller = Caller(CustomerName(request.customer), FleetName(request.fleet))
            if request.kind is Kind.MODEL:
                return await self._complete(
                    app, caller, number, request, start, deadline
                )
            return await self._call_service(
                app, caller, number, request, start, deadline
            )
        raise HostDownError(host.name)

    async def _complete(
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
        sink = _TextSink()
        ending = await app.handler.complete(call, sink)
        await self.world.network.wait_resumed(app.cfg.host.name)
        outcome = CALLER_OUTCOMES[ending.outcome]
        expected_text = completion_text(prompt, request.output_tokens)
        if outcome is CallerOutcome.COMPLETE and "".join(sink.texts) != expected_text:
            outcome = CallerOutcome.CUT
        elif outcome is not CallerOutcome.COMPLETE and sink.texts:
            outcome = CallerOutcome.CUT
        first_token_seconds = (
            sink.first_token_at - start if sink.first_token_at is not None else None
        )
        return _result(
            outcome, start, deadline, first_token_seconds, f"{number}: {ending}"
        )

    async def _call_service(
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
        response = await app.handler.call_service(call)
        await self.world.network.wait_resumed(app.cfg.host.name)
        outcome = CALLER_OUTCOMES[response.result.outcome]
        if (
            outcome is CallerOutcome.COMPLETE
            and service_echo(body).encode() not in response.body
        ):
            outcome = CallerOutcome.CUT
        return _result(outcome, start, deadline, None, f"{number}: {response.result}")

    async def close(self) -> TargetCounts:
        """Compare the callers' outcomes with what the services ran."""
        return self.world.key_outcomes.check(self.world.ran, self.world.role_changes())

    # Events

    async def apply_event(self, event: TraceEvent) -> None:
        """Apply an event of the trace."""
        world = self.world
        match event.event:
            case EventKind.STORE_DOWN:
                world.platform.script.down = True
            case EventKind.STORE_UP:
                world.platform.script.down = False
            case EventKind.CUT | EventKind.HEAL:
                self._set_link(event)
            case EventKind.PAUSE:
                world.network.pause(event.who)
            case EventKind.KILL:
                self._kill(event.who)
            case EventKind.RESUME:
                self._resume(event.who)
            case EventKind.DRAIN | EventKind.WITHDRAW | EventKind.EDIT:
                await self._edit_table(event)

    def _set_link(self, event: TraceEvent) -> None:
        world = self.world
        cut = event.event is EventKind.CUT
        peers = [event.to] if event.to else [STORE, *world.hosts, *world.engines]
        for peer in peers:
            if peer == STORE and event.who in world.store_links:
                world.store_links[event.who].is_unreachable = cut
            elif cut:
                world.network.cut(event.who, peer)
            else:
                world.network.heal(event.who, peer)

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

    async def _edit_table(self, event: TraceEvent) -> None:
        """Edit the table as operators do."""
        column, value = "state", "draining"
        if event.event is EventKind.WITHDRAW:
            value = "withdrawn"
        elif event.event is EventKind.EDIT:
            column, value = event.column, event.value
        table_log = self.world.table_log()
        table = await table_log.load()
        if event.who in self.world.hosts:
            row = table.hosts.get(event.who) or host_row(event.who)
        else:
            row = find_row(list(table.rows.values()), event.who)
        self._edit_count += 1
        edit = Edit(table.version, [with_cell(row, column, value)], [])
        change_id = ChangeId(f"edit-{self._edit_count}")
        (await table_log.commit(edit, change_id, "replay", "")).unwrap()


def host_row(name: str) -> Row:
    """Return a table row for a host that has none yet."""
    return Row(RowKind.HOST, name)


def _result(
    outcome: CallerOutcome,
    start: float,
    deadline: float,
    first_token_seconds: float | None,
    detail: str,
) -> RequestResult:
    now = trio.current_time()
    return RequestResult(
        outcome, now - start, now <= deadline, first_token_seconds, detail
    )


async def _replay(trace: Trace, spec: FleetSpec, progress: Progress) -> ReplayResult:
    async with trio.open_nursery() as nursery:
        world = VirtualWorld(spec, trace_rows(trace, spec), nursery)
        await world.start()
        result = await replay_trace(trace, VirtualFleet(world), progress)
        nursery.cancel_scope.cancel()
    return result


def replay_virtual(
    trace: Trace, spec: FleetSpec, progress: Progress = lambda: None
) -> ReplayResult:
    """Replay a trace on a virtual clock; results are reproducible for a seed."""
    seed_scheduler(spec.seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(_replay, trace, spec, progress, clock=clock)

"""Virtual fleet for end-to-end tests: real hosts with fake dependencies."""

import trio

from berylshift.ids import CustomerName, FleetName, RequestId, WorkName
from berylshift.replay.virtual_fleet import FleetSpec, VirtualHost, VirtualWorld
from berylshift.request.messages import (
    Caller,
    Ending,
    ModelCall,
    PlainCall,
    PlainEnding,
)
from berylshift.stand_ins.text import completion_text, make_prompt
from berylshift.tests.support import (
    FLEET,
    MODEL,
    engine_row,
    route_row,
    run_virtual,
    service_row,
)
from berylshift.version.rows import Row

CALLER = Caller(CustomerName("hobart"), FleetName(FLEET))
SERVICE = "booking"


def small_rows(engines: int = 2, replicas: int = 2, **engine) -> list[Row]:
    """Return the rows and routes of a few engines and service replicas."""
    rows = [engine_row(f"engine-{i}", **engine) for i in range(1, engines + 1)]
    rows += [service_row(f"{SERVICE}-{i}") for i in range(1, replicas + 1)]
    return [*rows, *(route_row(row.target) for row in rows)]


class TextSink:
    """Collects the text of a response."""

    def __init__(self) -> None:
        self.parts: list[str] = []

    async def text(self, text: str) -> None:
        self.parts.append(text)

    def joined(self) -> str:
        return "".join(self.parts)


def run_world(task, rows: list[Row] | None = None, **spec):
    """Run ``task(world)`` on a virtual clock, 2 s after a fleet was started."""
    values = {"hosts": 2, **spec}

    async def main():
        async with trio.open_nursery() as nursery:
            world = VirtualWorld(FleetSpec(**values), rows or small_rows(), nursery)
            await world.start()
            await trio.sleep(2)
            result = await task(world)
            nursery.cancel_scope.cancel()
        return result

    return run_virtual(main)


def model_call(number: int, prompt=400, output=100, seconds=30.0) -> ModelCall:
    """Return a model call with a unique prefix, so that calls reach all engines."""
    text = make_prompt(f"family-{number}", str(number), prompt, output)
    deadline = trio.current_time() + seconds
    request = RequestId(f"r{number}")
    return ModelCall(request, CALLER, WorkName(MODEL), text, output, deadline)


def expected_text(call: ModelCall) -> str:
    """Return the text that a call must get."""
    return completion_text(call.prompt, call.max_tokens)


async def complete(host: VirtualHost, call: ModelCall) -> tuple[Ending, str]:
    """Make a model call at a host."""
    sink = TextSink()
    with host.call() as app:
        ending = await app.handler.complete(call, sink)
    return ending, sink.joined()


def plain_call(key: str = "", body: bytes = b"x", seconds: float = 5.0) -> PlainCall:
    """Return a confirmation (run at most once) if ``key`` is set, else a lookup."""
    return PlainCall(
        request=RequestId(f"p{key}"),
        caller=CALLER,
        service=WorkName(SERVICE),
        method="POST",
        path="/calls",
        headers={},
        body=body,
        deadline=trio.current_time() + seconds,
        idempotent=not key,
        key=key,
    )


async def call_service(host: VirtualHost, call: PlainCall) -> PlainEnding:
    """Make a plain call at a host."""
    with host.call() as app:
        return await app.handler.call_service(call)

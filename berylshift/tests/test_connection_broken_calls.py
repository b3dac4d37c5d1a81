"""Tests of broken answers to calls to engines, services, peers and the store."""

import unittest
from collections.abc import Awaitable, Callable

import trio

from berylshift.connection.engine_client import HttpEngineClient
from berylshift.connection.http_client import HttpClient
from berylshift.connection.peer_views import HttpPeerViews
from berylshift.connection.service_client import HttpServiceClient
from berylshift.connection.target_client import TargetClient
from berylshift.ids import AttemptId, DomainName, InstanceId, ServiceName
from berylshift.messages.engine_control import OrderAnswer, PhaseOrder
from berylshift.messages.leader_calls import CallResult, LeaseHolder
from berylshift.messages.replicas import EnginePhase, Replica
from berylshift.messages.usage import UsageReport
from berylshift.platform.engines import PlatformEngines
from berylshift.platform.leader_calls import PlatformLeaderCalls
from berylshift.store.client import StoreClient
from berylshift.store.http import HttpObjectStore
from berylshift.store.interfaces import ResponseLostError
from berylshift.targets import EngineCall, ServiceCall, TargetBrokenError
from berylshift.tests.tcp_world import (
    LIMIT_SECONDS,
    LONG_BYTES,
    OK,
    Peer,
    connect,
    listen,
)

TIMEOUT_SECONDS = 5.0
LONG = b"x" * LONG_BYTES
# The end of an engine's stream, a peer's view, and bytes for all other calls.
CHUNK = b'{"attempt":"a","texts":["t"],"end":1}\n'
VIEW = b'{"version":1,"rows":[],"plans":{}}'
REPORT = b'{"phase":"decode","busy":false,"sequence":1}'
Call = Callable[[str], Awaitable[bool]]


async def engine_stream(address: str) -> bool:
    """Read an engine's stream to its end."""
    engine = HttpEngineClient(HttpClient(connect), "")
    call = EngineCall(AttemptId("a"), "m", "p" * LONG_BYTES, 1)
    async with engine.generate(address, call) as batches:
        return bool([batch async for batch in batches])


async def service_call(address: str) -> bool:
    """Call a plain service."""
    call = ServiceCall(AttemptId("a"), "s", "POST", "/", {}, LONG, False)
    client = HttpServiceClient(HttpClient(connect), "")
    return bool((await client.call(address, call)).body)


async def store_read(address: str) -> bool:
    """Read from the store."""
    store = StoreClient(HttpClient(connect), address, TIMEOUT_SECONDS)
    return bool((await store.get("/x")).body)


async def store_write(address: str) -> bool:
    """Write to the store."""
    store = StoreClient(HttpClient(connect), address, TIMEOUT_SECONDS)
    return bool((await store.post("/x", LONG)).body)


async def object_read(address: str) -> bool:
    """Read an object."""
    store = HttpObjectStore(HttpClient(connect), address, TIMEOUT_SECONDS)
    return bool(await store.get("x"))


async def leader_call(address: str) -> bool:
    """Report usage."""
    client = PlatformLeaderCalls(HttpClient(connect), address, TIMEOUT_SECONDS)
    found = await client.report_usage(UsageReport(1, ()), LeaseHolder("host-1", 1))
    return found is not CallResult.UNKNOWN


async def peer_view(address: str) -> bool:
    """Fetch a peer's view."""
    return await HttpPeerViews(HttpClient(connect), "k").fetch(address) is not None


def engine(address: str) -> Replica:
    """Return an engine at ``address``."""
    return Replica(
        InstanceId("e"), ServiceName("s"), address, DomainName("domain-1"), 8
    )


async def engine_report(address: str) -> bool:
    """Get an engine's report."""
    engines = PlatformEngines(TargetClient(1.0, connect), TIMEOUT_SECONDS)
    return await engines.report(engine(address)) is not None


async def engine_order(address: str) -> bool:
    """Send an order to an engine."""
    engines = PlatformEngines(TargetClient(1.0, connect), TIMEOUT_SECONDS)
    order = PhaseOrder(EnginePhase.DECODE, "host-1", 1, 1)
    found = await engines.order(engine(address), order)
    return found is not OrderAnswer.UNKNOWN


CALLS: tuple[tuple[Call, bytes], ...] = (
    (engine_stream, CHUNK),
    (service_call, b"whole"),
    (store_read, b"whole"),
    (store_write, b"whole"),
    (object_read, b"whole"),
    (leader_call, b"whole"),
    (peer_view, VIEW),
    (engine_report, REPORT),
    (engine_order, b"whole"),
)


async def whole(peer: Peer, body: bytes) -> None:
    """Send a whole answer without length, and end the connection in order."""
    await peer.read_head()
    await peer.read_body()
    await peer.send(OK, body=body)
    await peer.end()


async def reset_early(peer: Peer, body: bytes) -> None:
    """Send an answer without length, and reset the connection; read no body."""
    await peer.read_head()
    await peer.send(OK, body=body)
    await peer.reset_after_pause()


async def folded_line(peer: Peer, body: bytes) -> None:
    """Send a head in which a line begins with a blank."""
    await peer.read_head()
    await peer.read_body()
    await peer.send(OK, b" content-length: 1", body=body)
    await peer.end()


async def status_000(peer: Peer, body: bytes) -> None:
    """Send an answer with the status 000."""
    await peer.read_head()
    await peer.read_body()
    await peer.send(b"HTTP/1.1 000 X", b"content-length: %d" % len(body), body=body)
    await peer.end()


class BrokenAnswerTest(unittest.TestCase):
    """Answers to each of the calls of a host."""

    def takers(self, send) -> list[str]:
        """Return the calls that take the answer that ``send(peer, body)`` sends."""

        async def main() -> list[str]:
            found = []
            for call, body in CALLS:

                async def script(peer: Peer, body=body) -> None:
                    await send(peer, body)

                async with trio.open_nursery() as nursery:
                    address = await listen(nursery, script)
                    with trio.fail_after(LIMIT_SECONDS):
                        if await takes(call, address):
                            found.append(call.__name__)
                    nursery.cancel_scope.cancel()
            return found

        return trio.run(main)

    def test_whole_answer(self):
        """Guards against a whole answer that is taken for a broken one."""
        self.assertEqual(self.takers(whole), [call.__name__ for call, _ in CALLS])

    def test_broken_answers(self):
        """Guards against an answer that was reset, or whose head is no HTTP."""
        for send in (reset_early, folded_line, status_000):
            with self.subTest(send.__name__):
                self.assertEqual(self.takers(send), [])


async def takes(call: Call, address: str) -> bool:
    """Return whether a call takes the answer that it gets."""
    try:
        return await call(address)
    except (TargetBrokenError, ResponseLostError):
        return False


if __name__ == "__main__":
    unittest.main()

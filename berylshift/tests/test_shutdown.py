"""Tests of the graceful shutdown of hosts that serve the native API."""

import contextlib
import unittest

import msgspec
import trio

from berylshift.process.control.roles import RoleChange
from berylshift.replay.virtual_fleet import HostDownError
from berylshift.request.confirmation import PREFIX, ConfirmRow, RowState
from berylshift.request.messages import Outcome
from berylshift.settings import Credential, ShutdownSettings
from berylshift.stand_ins.pipes import pipe_pair
from berylshift.stand_ins.text import make_prompt
from berylshift.targets import Role
from berylshift.tests.support import FLEET, MODEL
from berylshift.tests.test_process_pools import OneChangePlanner
from berylshift.tests.world import call_service, plain_call, run_world, small_rows
from berylshift.version.rows import OrderCheck

NOTICE_SECONDS = 1.0
MAX_SHUTDOWN_SECONDS = 9.0
TOKEN = "t"
IDEMPOTENT = "berylshift-idempotent: true"


class HostShutdown:
    """Shuts a host down as the daemon does, with callers over HTTP."""

    def __init__(
        self, world, longest_seconds: float = MAX_SHUTDOWN_SECONDS, host: str = "host-1"
    ):
        self.world = world
        self.host = world.hosts[host]
        self.app = self.host.app
        self.duration_seconds = 0.0
        self.app.handler._deps.callers[TOKEN] = Credential("hobart", FLEET)
        stop = ShutdownSettings(balancer_notice=NOTICE_SECONDS, longest=longest_seconds)
        self.app.cfg = msgspec.structs.replace(self.app.cfg, shutdown=stop)

    async def run(self, caller) -> None:
        """Begin the shutdown and run ``caller(ask)``; return once both have ended.

        ``ask(*parts)`` sends the parts of a request a second apart and returns all
        bytes received until the connection closes.
        """
        async with trio.open_nursery() as nursery, trio.open_nursery() as serving:

            async def ask(*parts: bytes) -> bytes:
                if serving.cancel_scope.cancel_called:
                    return b""
                near, far = pipe_pair()
                serving.start_soon(self.app.server.serve_stream, far)
                return await talk(near, parts)

            nursery.start_soon(caller, ask)
            start = trio.current_time()
            await self.app.on_shutdown()
            self.duration_seconds = trio.current_time() - start
            serving.cancel_scope.cancel()
            self.host.kill()

    def rows(self) -> list[RowState]:
        """Return the states of the confirmation rows."""
        rows = self.world.platform.rows
        found = [rows[key].value for key in rows if key.startswith(PREFIX)]
        return [msgspec.json.decode(row, type=ConfirmRow).state for row in found]


def request(path: str, body: bytes, *headers: str) -> bytes:
    """Return a caller's request as bytes."""
    lines = [f"POST {path} HTTP/1.1", "host: h", f"authorization: Bearer {TOKEN}"]
    lines += [f"content-length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def completion(output: int, stream: bool) -> bytes:
    """Return a model call as bytes; each token takes about 20 ms."""
    prompt = make_prompt("family", "1", 400, output)
    asked = {
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": output,
        "stream": stream,
    }
    return request("/v1/completions", msgspec.json.encode(asked))


async def talk(stream, parts: tuple[bytes, ...]) -> bytes:
    """Send ``parts`` a second apart; return all bytes received until the close."""
    got = b""
    try:
        await stream.send_all(parts[0])
        for part in parts[1:]:
            await trio.sleep(1.0)
            await stream.send_all(part)
        while part := await stream.receive_some():
            got += part
    except trio.BrokenResourceError:
        pass
    return got


class ResponseTest(unittest.TestCase):
    """Responses that are still in progress at the shutdown deadline."""

    def ask(self, stream: bool):
        """Request a long completion during a shutdown.

        Return the bytes received and the duration of the shutdown in seconds.
        """

        async def task(world):
            stop, got = HostShutdown(world), []

            async def caller(ask):
                await trio.sleep(NOTICE_SECONDS / 2)
                got.append(await ask(completion(2000, stream)))

            await stop.run(caller)
            return got[0], stop.duration_seconds

        return run_world(task)

    def test_stream_beyond_deadline_ends_with_its_outcome(self):
        """Guards against a cut stream that looks complete.

        A stream is accepted while the load balancer still uses the host, and lasts
        longer than the shutdown may. Its last event must tell the caller that the text
        is incomplete, and the response must not end as if it were complete.
        """
        got, duration_seconds = self.ask(stream=True)
        self.assertIn(b'event: outcome\ndata: {"outcome":"unknown"', got[-300:])
        self.assertFalse(got.endswith(b"0\r\n\r\n"))
        self.assertLessEqual(
            duration_seconds, NOTICE_SECONDS + MAX_SHUTDOWN_SECONDS + 1.0
        )

    def test_response_beyond_deadline_has_unknown_outcome(self):
        """The same without streaming: the engine has run a part of the request."""
        got, duration_seconds = self.ask(stream=False)
        self.assertEqual(got[:12], b"HTTP/1.1 503")
        self.assertIn(b"berylshift-outcome: unknown", got)
        self.assertIn(b"retry-after: ", got)


class ConfirmationTest(unittest.TestCase):
    """Calls that may run only once, at the shutdown deadline."""

    def test_none_is_sent_whose_outcome_can_not_be_recorded(self):
        """Guards against a booking that is sent shortly before the process exits.

        The store is unavailable while a host shuts down, and a booking waits for it.
        The store returns before the deadline. Either the booking is sent and its
        caller gets the response, or it is not sent and its caller is told so in time.
        If the process exited in between, the caller would learn nothing, and the key
        would stay "under way" for a day.
        """
        for back in (0.5, 2.0, 2.9, 3.1, 5.0, 8.5, 9.5, 9.9):
            with self.subTest(back=back):
                outcome, ran, rows = run_world(self.booking(back))
                if outcome is Outcome.COMPLETE:
                    self.assertEqual((ran, rows), (1, [RowState.DONE]))
                else:
                    self.assertEqual((outcome, ran), (Outcome.UNKNOWN, 0))
                    self.assertIn(rows, ([], [RowState.ABANDONED]))

    def test_late_confirmation_is_refused_as_not_run(self):
        """Guards against a booking that is sent without time for its response.

        It arrives while the load balancer still uses a host with a short shutdown. It
        is not sent, and its caller may retry at another host with the same key.
        """

        async def task(world):
            for service in world.services.values():
                service.script.seconds = 4.0
            stop, got = HostShutdown(world, longest_seconds=2.0), []

            async def caller(ask):
                await trio.sleep(NOTICE_SECONDS / 2)
                data = request("/services/booking/x", b"x", "idempotency-key: k")
                got.append(await ask(data))

            await stop.run(caller)
            return got[0], world.ran["k"], stop.rows()

        got, ran, rows = run_world(task)
        self.assertEqual((got[:12], ran, rows), (b"HTTP/1.1 503", 0, []))
        self.assertIn(b"berylshift-outcome: not-run", got)

    def test_confirmation_sent_before_shutdown_is_finished(self):
        """A booking is sent just before SIGTERM to a slow service."""
        outcome, ran, rows = run_world(self.booking(back=0.0))
        self.assertIs(outcome, Outcome.COMPLETE)
        self.assertEqual((ran, rows), (1, [RowState.DONE]))

    def test_confirmation_without_a_response_is_answered_before_the_end(self):
        """Guards against a booking that is awaited until its host is gone.

        Its caller waits for far longer than the shutdown may take.
        """

        async def task(world):
            for service in world.services.values():
                service.script.seconds = 1000.0
            stop, found = HostShutdown(world), [None]

            async def caller(ask):
                with contextlib.suppress(HostDownError):
                    call = plain_call("k", seconds=300.0)
                    found.append((await call_service(stop.host, call)).result.outcome)

            await stop.run(caller)
            return found[-1], world.ran["k"], stop.rows()

        outcome, ran, rows = run_world(task)
        self.assertIs(outcome, Outcome.UNKNOWN)
        self.assertEqual((ran, rows), (1, [RowState.UNKNOWN]))

    def booking(self, back: float):
        """Return a task with a booking; the store returns ``back`` s after SIGTERM.

        The task returns the outcome at the caller (``None``: no response), how often
        the booking ran, and the states of its rows.
        """

        async def task(world):
            for service in world.services.values():
                service.script.seconds = 4.0
            stop, found = HostShutdown(world), [None]
            world.platform.script.down = back > 0

            async def caller(ask):
                with contextlib.suppress(HostDownError):
                    call = plain_call("k", seconds=30.0)
                    found.append((await call_service(stop.host, call)).result.outcome)

            async def store():
                await trio.sleep(back)
                world.platform.script.down = False

            async with trio.open_nursery() as nursery:
                nursery.start_soon(store)
                await stop.run(caller)
            await trio.sleep(5)
            return found[-1], world.ran["k"], stop.rows()

        return task


class LookupTest(unittest.TestCase):
    """Calls that may be repeated, at the shutdown deadline."""

    def test_lookup_beyond_deadline_has_unknown_outcome(self):
        """Guards against a connection that closes without a response.

        A lookup's replica takes longer than the shutdown may. The caller must be told
        that the call may have run.
        """

        async def task(world):
            for service in world.services.values():
                service.script.seconds = 4.0
            stop, got = HostShutdown(world, longest_seconds=2.0), []

            async def caller(ask):
                await trio.sleep(NOTICE_SECONDS / 2)
                data = request("/services/booking/x", b"x", IDEMPOTENT)
                got.append(await ask(data))

            await stop.run(caller)
            return got[0]

        got = run_world(task)
        self.assertEqual(got[:12], b"HTTP/1.1 503")
        self.assertIn(b"berylshift-outcome: unknown", got)


class LastRequestTest(unittest.TestCase):
    """Requests that arrive when nothing else is in flight."""

    def test_request_with_pending_body_is_refused_not_cut(self):
        """Guards against a connection that closes while a body is being received.

        The host has nothing in flight when the time for the load balancer is over, and
        a caller is still sending a body. It must be told that its request was not run.
        """

        async def task(world):
            stop, got = HostShutdown(world), []

            async def caller(ask):
                await trio.sleep(NOTICE_SECONDS - 0.1)
                data = completion(10, stream=True)
                got.append(await ask(data[:200], data[200:]))

            await stop.run(caller)
            return got

        got = run_world(task)
        self.assertEqual(got[0][:12], b"HTTP/1.1 503")
        self.assertIn(b"berylshift-outcome: not-run", got[0])

    def test_pending_refusal_is_not_cut_by_exit(self):
        """Guards against an exit that cuts a refusal.

        A confirmation arrives while the host releases its leases, the last step of the
        shutdown. Before the refusal the key's row is read, which takes longer than the
        release. The refusal must still reach the caller.
        """

        async def task(world):
            await trio.sleep(20)
            stop, got = HostShutdown(world), []
            self.assertTrue(stop.app.pool_loop.held_pools())

            async def caller(ask):
                world.platform.script.delay = 0.2
                await trio.sleep(NOTICE_SECONDS + 0.15)
                data = request("/services/booking/x", b"x", "idempotency-key: k")
                got.append(await ask(data))

            await stop.run(caller)
            return got

        got = run_world(task, hosts=1)
        self.assertEqual(got[0][:12], b"HTTP/1.1 503")
        self.assertIn(b"berylshift-outcome: not-run", got[0])


class LeaseHolderTest(unittest.TestCase):
    """Leases and orders of a host that shuts down."""

    def test_lease_is_released_at_any_point_of_its_loop(self):
        """Guards against a lease that remains held by a process that has exited.

        The host shuts down while its loop is about to renew or use the lease. If the
        lease were not released, all other hosts would wait for a whole term.
        """

        async def task(world):
            stop = HostShutdown(world)
            world.platform.script.delay = 0.2
            await stop.app.on_shutdown()
            await trio.sleep(0.5)
            stop.host.kill()
            rows = world.platform.rows
            return [bytes(rows[key].value) for key in rows if key.startswith("lease/")]

        for shift in range(10):
            with self.subTest(shift=shift):
                rows = run_world(delay(task, 20 + shift * 0.15), hosts=1)
                self.assertEqual([b'"holder":""' in row for row in rows], [True], rows)

    def test_pending_order_is_resolved_before_exit(self):
        """Guards against an engine that is blocked by an unresolved order.

        A host stops permanently while its order is in transit to an engine. The engine
        would execute a stale order, so no host sends a new one while a copy may be in
        transit, and only the sender knows when none is. Without that record, the
        engine would keep its role until another process runs on that host.
        """

        async def end(stop):
            await stop.run(no_caller)

        self.assertEqual(self.change_roles(end), (Role.PREFILL, 0, [[], []]))

    def test_order_of_killed_host_is_resolved_by_lease_successor(self):
        """The same for a host that is killed and restarted.

        The next lease holder sees that the sender is gone, waits until no copy can
        arrive, and sends a new order. All hosts continue to serve meanwhile.
        """

        async def end(stop):
            await trio.sleep(0.5)
            stop.host.kill()
            stop.host.start()

        self.assertEqual(self.change_roles(end), (Role.PREFILL, 0, [[], [], []]))

    def change_roles(self, end):
        """Have the lease holder order a role change, and ``end(stop)`` it in transit.

        Return the engine's role a minute later, its count of conflicting orders, and
        the moves in the plans of the running hosts.
        """

        async def task(world):
            stop = HostShutdown(world, host=lease_holder_of(world))
            for pool in stop.app.pool_loop._pools.values():
                change = RoleChange("engine-1", Role.PREFILL, "test")
                pool.reconciler.planner = OneChangePlanner(change)
            slow_orders(stop.app)
            with trio.fail_after(60):
                while "order/engine-1" not in world.platform.rows:
                    await trio.sleep(0.01)
            await end(stop)
            await trio.sleep(60)
            engine = world.engines["engine-1"]
            rest = [host.app for host in world.hosts.values() if host.app is not None]
            moves = [plan.moves for app in rest for plan in app.plans.rows.values()]
            return engine.role, engine.conflicts, moves

        rows = small_rows(engines=3, orders=OrderCheck.IGNORES)
        return run_world(delay(task, 20), rows, hosts=3)


def lease_holder_of(world) -> str:
    """Return the name of the host that holds the pool lease."""
    return next(
        name for name, host in world.hosts.items() if host.app.pool_loop.held_pools()
    )


def slow_orders(app) -> None:
    """Delay the host's orders to engines by two seconds."""
    order = app.ports.engines.order

    async def slow(address, message):
        await trio.sleep(2.0)
        await order(address, message)

    app.ports.engines.order = slow


async def no_caller(ask) -> None:
    """Send no requests."""


def delay(task, seconds: float):
    """Return ``task``, started ``seconds`` later."""

    async def delayed(world):
        await trio.sleep(seconds)
        return await task(world)

    return delayed


if __name__ == "__main__":
    unittest.main()

"""Planned stops of hosts that serve the product's own interface."""

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

NOTICE = 1.0
LONGEST = 9.0
TOKEN = "t"
IDEMPOTENT = "berylshift-idempotent: true"


class Stop:
    """A host that stops as the daemon stops it, and callers by HTTP."""

    def __init__(self, world, longest: float = LONGEST, host: str = "host-1"):
        self.world = world
        self.host = world.hosts[host]
        self.app = self.host.app
        self.took = 0.0
        self.app.handler._deps.callers[TOKEN] = Credential("hobart", FLEET)
        stop = ShutdownSettings(balancer_notice=NOTICE, longest=longest)
        self.app.cfg = msgspec.structs.replace(self.app.cfg, shutdown=stop)

    async def run(self, caller) -> None:
        """Begin the stop and run ``caller(ask)``; return once both have ended.

        ``ask(*parts)`` sends the parts of a request a second apart and returns all
        that comes until the connection closes.
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
            self.took = trio.current_time() - start
            serving.cancel_scope.cancel()
            self.host.kill()

    def rows(self) -> list[RowState]:
        """Return the states of the confirmations' rows."""
        rows = self.world.platform.rows
        found = [rows[key].value for key in rows if key.startswith(PREFIX)]
        return [msgspec.json.decode(row, type=ConfirmRow).state for row in found]


def request(path: str, body: bytes, *headers: str) -> bytes:
    """Return a caller's request as bytes."""
    lines = [f"POST {path} HTTP/1.1", "host: h", f"authorization: Bearer {TOKEN}"]
    lines += [f"content-length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def completion(output: int, stream: bool) -> bytes:
    """Return a model call as bytes; each token takes 20 ms or so."""
    prompt = make_prompt("family", "1", 400, output)
    asked = {
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": output,
        "stream": stream,
    }
    return request("/v1/completions", msgspec.json.encode(asked))


async def talk(stream, parts: tuple[bytes, ...]) -> bytes:
    """Send ``parts`` a second apart; return all that comes until the end."""
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


class AnswerTest(unittest.TestCase):
    """Answers that are still under way when the time of a stop is over."""

    def ask(self, stream: bool):
        """Ask for a long answer while the host stops; return what comes."""

        async def task(world):
            stop, got = Stop(world), []

            async def caller(ask):
                await trio.sleep(NOTICE / 2)
                got.append(await ask(completion(2000, stream)))

            await stop.run(caller)
            return got[0], stop.took

        return run_world(task)

    def test_a_stream_that_outlasts_the_stop_ends_with_its_outcome(self):
        """A caller's stream is taken while the balancer learns of the stop.

        It lasts longer than the stop may. Its caller must learn by the last event
        that the text is not whole, and must not see it end as if it were.
        """
        got, took = self.ask(stream=True)
        self.assertIn(b'event: outcome\ndata: {"outcome":"unknown"', got[-300:])
        self.assertFalse(got.endswith(b"0\r\n\r\n"))
        self.assertLessEqual(took, NOTICE + LONGEST + 1.0)

    def test_an_answer_sent_whole_that_outlasts_the_stop_is_told_unknown(self):
        """The same of an answer that is sent whole: its engine has run it in part."""
        got, took = self.ask(stream=False)
        self.assertEqual(got[:12], b"HTTP/1.1 503")
        self.assertIn(b"berylshift-outcome: unknown", got)
        self.assertIn(b"retry-after: ", got)


class ConfirmationTest(unittest.TestCase):
    """Calls that may run once, when the time of a stop is over."""

    def test_none_is_sent_whose_end_the_host_will_not_see(self):
        """The store is away while a host stops; a caller's booking waits for it.

        The store is back before the stop's end. Either the booking is sent and its
        caller gets the answer, or it is not sent and its caller is told so in time. A
        process that ended between the two would tell the caller nothing, and the key
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

    def test_one_that_comes_too_late_is_told_not_run(self):
        """A booking comes while the balancer learns of a stop that has little time.

        It would be sent, and the process might end before its answer. It is not sent,
        and its caller may ask another host with the same key.
        """

        async def task(world):
            for service in world.services.values():
                service.script.seconds = 4.0
            stop, got = Stop(world, longest=2.0), []

            async def caller(ask):
                await trio.sleep(NOTICE / 2)
                data = request("/services/booking/x", b"x", "idempotency-key: k")
                got.append(await ask(data))

            await stop.run(caller)
            return got[0], world.ran["k"], stop.rows()

        got, ran, rows = run_world(task)
        self.assertEqual((got[:12], ran, rows), (b"HTTP/1.1 503", 0, []))
        self.assertIn(b"berylshift-outcome: not-run", got)

    def test_one_that_is_sent_as_the_stop_begins_is_finished(self):
        """A booking goes out just before SIGTERM; its service takes its time."""
        outcome, ran, rows = run_world(self.booking(back=0.0))
        self.assertIs(outcome, Outcome.COMPLETE)
        self.assertEqual((ran, rows), (1, [RowState.DONE]))

    def booking(self, back: float):
        """Return the task of a booking whose store is back ``back`` s after SIGTERM.

        It returns the caller's outcome (``None``: nothing was told), how often the
        booking ran, and its row's state.
        """

        async def task(world):
            for service in world.services.values():
                service.script.seconds = 4.0
            stop, found = Stop(world), [None]
            world.platform.script.down = back > 0

            async def caller(ask):
                with contextlib.suppress(HostDownError):
                    call = plain_call("k", seconds=30.0)
                    found.append((await call_service(stop.host, call)).ending.outcome)

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
    """Calls that may be repeated, when the time of a stop is over."""

    def test_one_that_outlasts_the_stop_is_told_unknown(self):
        """A look-up's replica is slow, and the stop has less time than that.

        Its caller is told that it may have run; its connection does not just close.
        """

        async def task(world):
            for service in world.services.values():
                service.script.seconds = 4.0
            stop, got = Stop(world, longest=2.0), []

            async def caller(ask):
                await trio.sleep(NOTICE / 2)
                data = request("/services/booking/x", b"x", IDEMPOTENT)
                got.append(await ask(data))

            await stop.run(caller)
            return got[0]

        got = run_world(task)
        self.assertEqual(got[:12], b"HTTP/1.1 503")
        self.assertIn(b"berylshift-outcome: unknown", got)


class LastRequestTest(unittest.TestCase):
    """Requests that still come in when nothing else is under way."""

    def test_a_request_whose_body_still_comes_is_refused_not_cut(self):
        """The host has nothing under way when its balancer's notice is over.

        A caller's body is still on its way then. The caller must be told that its
        request was not run; its connection must not just close.
        """

        async def task(world):
            stop, got = Stop(world), []

            async def caller(ask):
                await trio.sleep(NOTICE - 0.1)
                data = completion(10, stream=True)
                got.append(await ask(data[:200], data[200:]))

            await stop.run(caller)
            return got

        got = run_world(task)
        self.assertEqual(got[0][:12], b"HTTP/1.1 503")
        self.assertIn(b"berylshift-outcome: not-run", got[0])

    def test_a_refusal_under_way_is_not_cut_by_the_end(self):
        """A confirmation comes while the host gives up its leases, its last act.

        The refusal reads the key's row first. It must reach the caller although the
        leases are given up sooner.
        """

        async def task(world):
            await trio.sleep(20)
            stop, got = Stop(world), []
            self.assertTrue(stop.app.pool_loop.held_pools())

            async def caller(ask):
                world.platform.script.delay = 0.2
                await trio.sleep(NOTICE + 0.15)
                data = request("/services/booking/x", b"x", "idempotency-key: k")
                got.append(await ask(data))

            await stop.run(caller)
            return got

        got = run_world(task, hosts=1)
        self.assertEqual(got[0][:12], b"HTTP/1.1 503")
        self.assertIn(b"berylshift-outcome: not-run", got[0])


class HolderTest(unittest.TestCase):
    """Leases and orders of a host that stops."""

    def test_a_lease_is_given_up_whatever_its_loop_is_at(self):
        """The host leaves while its loop is about to renew or use the lease.

        The lease must be nobody's in the end. All others would wait for a whole term
        of a process that is gone.
        """

        async def task(world):
            stop = Stop(world)
            world.platform.script.delay = 0.2
            await stop.app.on_shutdown()
            await trio.sleep(0.5)
            stop.host.kill()
            rows = world.platform.rows
            return [bytes(rows[key].value) for key in rows if key.startswith("lease/")]

        for shift in range(10):
            with self.subTest(shift=shift):
                rows = run_world(later(task, 20 + shift * 0.15), hosts=1)
                self.assertEqual([b'"holder":""' in row for row in rows], [True], rows)

    def test_an_order_under_way_is_accounted_for_before_the_end(self):
        """A host stops for good while its order is on its way to an engine.

        The engine would obey an old order, so nobody orders it anew while a copy may
        be under way, and only its sender can say that none is. Left unsaid, the engine
        would keep its role until another process runs on that host.
        """

        async def end(stop):
            await stop.run(nobody)

        self.assertEqual(self.change_roles(end), (Role.PREFILL, 0, [[], []]))

    def test_an_order_of_a_killed_host_is_accounted_for_by_its_successor(self):
        """The same of a host that is killed, and starts again.

        Its successor in the lease finds that the sender is gone, waits until nothing
        of it can arrive, and orders anew. All hosts go on serving meanwhile.
        """

        async def end(stop):
            await trio.sleep(0.5)
            stop.host.kill()
            stop.host.start()

        self.assertEqual(self.change_roles(end), (Role.PREFILL, 0, [[], [], []]))

    def change_roles(self, end):
        """Have the holder order a change, and ``end(stop)`` it under way.

        Return the engine's role a minute later, its conflicting orders, and the moves
        in the plans of the hosts that run.
        """

        async def task(world):
            stop = Stop(world, host=holder_of(world))
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
        return run_world(later(task, 20), rows, hosts=3)


def holder_of(world) -> str:
    """Return the name of the host that holds the lease of the world's pool."""
    return next(
        name for name, host in world.hosts.items() if host.app.pool_loop.held_pools()
    )


def slow_orders(app) -> None:
    """Have the host's orders take two seconds to their engines."""
    order = app.ports.engines.order

    async def slow(address, message):
        await trio.sleep(2.0)
        await order(address, message)

    app.ports.engines.order = slow


async def nobody(ask) -> None:
    """Ask for nothing."""


def later(task, seconds: float):
    """Return ``task`` begun ``seconds`` later."""

    async def begun_later(world):
        await trio.sleep(seconds)
        return await task(world)

    return begun_later


if __name__ == "__main__":
    unittest.main()

"""Tests of the native API over HTTP, on in-memory connections."""

import msgspec
import trio
import trio.testing

from berylshift.connection.admin import Admin
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.connection.http_server import HttpServer, ServerLimits
from berylshift.replay.http_fleet import _read_stream
from berylshift.replay.result import CallerOutcome
from berylshift.settings import Credential
from berylshift.stand_ins.text import completion_text, make_prompt
from berylshift.tests.support import FLEET, MODEL, VirtualTestCase
from berylshift.tests.world import SERVICE, run_world

TOKEN = "secret"
AUTH = {"authorization": f"Bearer {TOKEN}"}


async def _outcome_of(server: HttpServer, data: bytes) -> str:
    """Send a part of a request; return the outcome in the response."""
    near, far = trio.testing.memory_stream_pair()
    received = b""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve_stream, far)
        await near.send_all(data)
        while part := await near.receive_some():
            received += part
        nursery.cancel_scope.cancel()
    lines = received.decode().split("\r\n")
    (line,) = [line for line in lines if line.startswith("berylshift-outcome: ")]
    return line.partition(": ")[2]


class Callers:
    """A client of one host of a virtual fleet."""

    def __init__(self, world, nursery):
        self.app = world.hosts["host-1"].app
        self.app.handler._deps.callers = {TOKEN: Credential("hobart", FLEET)}
        server = HttpServer(self.app.handler.handle)
        admin = HttpServer(Admin(self.app, "cluster").handle)

        async def dial(address):
            near, far = trio.testing.memory_stream_pair()
            chosen = admin if address == "admin" else server
            nursery.start_soon(chosen.serve_stream, far)
            return near

        self.client = HttpClient(dial)

    async def ask(self, path, body=b"", method="POST", headers=AUTH, address="front"):
        out = Outgoing(address, method, path, headers, body)
        async with self.client.request(out) as resp:
            return resp.status, resp.headers, await resp.read()

    async def complete(self, **body):
        data = {"model": MODEL, "prompt": "hello", **body}
        return await self.ask("/v1/completions", msgspec.json.encode(data))


class NativeHandlerTest(VirtualTestCase):
    """Requests and responses of the native API."""

    def with_callers(self, use, **spec):
        async def task(world):
            async with trio.open_nursery() as nursery:
                result = await use(Callers(world, nursery), world)
                nursery.cancel_scope.cancel()
            return result

        return run_world(task, **spec)

    def assert_problem(self, found, status, kind, outcome="not-run"):
        code, headers, body = found
        self.assertEqual(code, status)
        self.assertEqual(headers["berylshift-outcome"], outcome)
        self.assertEqual(headers["content-type"], "application/problem+json")
        self.assertEqual(msgspec.json.decode(body)["type"], f"urn:berylshift:{kind}")

    def test_body_without_room_is_refused_before_it_is_read(self):
        """Guards against a host that is killed for the bodies that it holds."""

        async def use(callers, world):
            server = callers.app.server
            pool = server.memory.large_bodies
            pool.record_hold(60.0)
            pool.take_now(int(pool.limit_bytes))
            head = b"POST /v1/completions HTTP/1.1\r\nhost: h\r\ncontent-length: 100000"
            return await _outcome_of(server, head + b"\r\n\r\n")

        self.assertEqual(self.with_callers(use), "not-run")

    def test_full_response_with_outcome_and_request_id(self):
        prompt = make_prompt("f", "1", 200, 30)

        async def use(callers, world):
            return await callers.complete(prompt=prompt, max_tokens=30)

        status, headers, body = self.with_callers(use)
        self.assertEqual(status, 200)
        self.assertEqual(headers["berylshift-outcome"], "complete")
        self.assertTrue(headers["berylshift-request"])
        text = msgspec.json.decode(body)["choices"][0]["text"]
        self.assertEqual(text, completion_text(prompt, 30))

    def test_stream_ends_with_its_outcome(self):
        prompt = make_prompt("f", "1", 200, 60)

        async def use(callers, world):
            body = {"model": MODEL, "prompt": prompt, "stream": True}
            out = Outgoing(
                "front", "POST", "/v1/completions", AUTH, msgspec.json.encode(body)
            )
            async with callers.client.request(out) as resp:
                return await _read_stream(resp)

        received = self.with_callers(use)
        self.assertIs(received.outcome, CallerOutcome.COMPLETE)
        self.assertEqual(received.text, completion_text(prompt, 256))

    def test_unfinished_stream_has_no_end_marker(self):
        # All engines crash in mid-stream and stay down. The last event has the outcome
        # "unknown", and there is no end marker.
        async def use(callers, world):
            prompt = make_prompt("f", "1", 200, 300)
            body = {"model": MODEL, "prompt": prompt, "stream": True}
            out = Outgoing(
                "front", "POST", "/v1/completions", AUTH, msgspec.json.encode(body)
            )

            async def kill():
                await trio.sleep(1)
                for engine in world.engines.values():
                    engine.crash(trio.current_time())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(kill)
                async with callers.client.request(out) as resp:
                    return await _read_stream(resp)

        received = self.with_callers(use)
        self.assertIs(received.outcome, CallerOutcome.CUT)

    def test_bad_requests_get_400(self):
        async def use(callers, world):
            return [
                await callers.ask("/v1/completions", b"not json"),
                await callers.ask("/v1/completions", b'{"model": "m"}'),
                await callers.complete(max_tokens=0),
                await callers.complete(prompt=""),
                await callers.ask("/v1/completions", method="GET"),
                await callers.ask(f"/services/{SERVICE}/book", b"x"),
                await callers.ask(
                    f"/services/{SERVICE}/find",
                    method="GET",
                    headers={**AUTH, "berylshift-deadline-ms": "soon"},
                ),
            ]

        for found in self.with_callers(use):
            self.assert_problem(found, 400, "bad-request")

    def test_unknown_caller_gets_401(self):
        async def use(callers, world):
            return await callers.ask("/v1/completions", b"{}", headers={})

        self.assert_problem(self.with_callers(use), 401, "unknown-caller")

    def test_refused_confirmation_whose_key_is_not_read_is_unknown(self):
        """Guards against "not run" for a key that ran with an earlier request."""

        async def use(callers, world):
            path = f"/services/{SERVICE}/book"
            key = {"idempotency-key": "k1"}
            await callers.ask(path, b"x", headers={**AUTH, **key})
            late = {"berylshift-deadline-ms": "soon"}
            return [
                await callers.ask(path, b"x", headers=key),
                await callers.ask(path, b"x", headers={**AUTH, **key, **late}),
            ]

        unauthorized, bad = self.with_callers(use)
        self.assert_problem(unauthorized, 401, "unknown-caller", "unknown")
        self.assert_problem(bad, 400, "bad-request", "unknown")

    def test_confirmation_refused_on_its_connection_is_unknown(self):
        """Guards against "not run" for a key that ran, from a busy or leaving host."""

        async def use(callers, world):
            server = callers.app.server
            head = b"POST /services/booking/book HTTP/1.1\r\nhost: h\r\n"
            key = b"idempotency-key: k1\r\n"
            slow = [head + key, head + key + b"content-length: 9\r\n\r\n"]
            plain = [head + b"content-length: 9\r\n\r\n"]
            found = []
            for data in slow + plain:
                server.limits = ServerLimits(request_seconds=1.0)
                found.append(await _outcome_of(server, data))
            server.limits = ServerLimits(connections=0)
            found.append(await _outcome_of(server, head + key))
            return found

        found = self.with_callers(use)
        self.assertEqual(found, ["unknown", "unknown", "not-run", "unknown"])

    def test_unknown_path_gets_404(self):
        async def use(callers, world):
            return await callers.ask("/v2/other")

        self.assert_problem(self.with_callers(use), 404, "no-such-work")

    def test_model_without_a_target_gets_503_with_retry_after(self):
        async def use(callers, world):
            return await callers.complete(model="other")

        found = self.with_callers(use)
        self.assert_problem(found, 503, "no-target")
        self.assertGreaterEqual(int(found[1]["retry-after"]), 1)

    def test_customer_over_its_limit_gets_429(self):
        async def use(callers, world):
            callers.app.limits.admit = lambda customer, now: 2.0
            return await callers.complete()

        found = self.with_callers(use)
        self.assert_problem(found, 429, "customer-limit")
        self.assertEqual(found[1]["retry-after"], "2")

    def test_confirmation_and_its_repetition(self):
        async def use(callers, world):
            headers = {**AUTH, "idempotency-key": "k1"}
            path = f"/services/{SERVICE}/book"
            return [await callers.ask(path, b"x", headers=headers) for _ in range(2)]

        first, second = self.with_callers(use)
        self.assertEqual(first[0], 200)
        self.assertEqual(first[1]["berylshift-outcome"], "complete")
        self.assertEqual(first[2], second[2])

    def test_key_used_with_another_body_gets_422(self):
        async def use(callers, world):
            headers = {**AUTH, "idempotency-key": "k1"}
            path = f"/services/{SERVICE}/book"
            await callers.ask(path, b"x", headers=headers)
            return await callers.ask(path, b"y", headers=headers)

        self.assert_problem(self.with_callers(use), 422, "key-reused")

    def test_health_needs_no_credential(self):
        async def use(callers, world):
            ready = await callers.ask("/ready", method="GET", headers={})
            live = await callers.ask("/live", method="GET", headers={})
            return ready[0], live[0]

        self.assertEqual(self.with_callers(use), (200, 200))

    def test_admin_explains_a_request(self):
        async def use(callers, world):
            _, headers, _ = await callers.complete()
            path = f"/decisions/{headers['berylshift-request']}"
            found = await callers.ask(path, method="GET", address="admin")
            missing = await callers.ask("/decisions/x", method="GET", address="admin")
            return found, missing

        found, missing = self.with_callers(use)
        kinds = [item["kind"] for item in msgspec.json.decode(found[2])]
        self.assertEqual(kinds, ["engine", "ending"])
        self.assertEqual(missing[0], 404)

    def test_admin_serves_status_and_protects_the_table(self):
        async def use(callers, world):
            status = await callers.ask("/status", method="GET", address="admin")
            stranger = await callers.ask("/peer/table", method="GET", address="admin")
            headers = {"authorization": "Bearer cluster"}
            peer = await callers.ask("/peer/table", b"", "GET", headers, "admin")
            return status, stranger, peer

        status, stranger, peer = self.with_callers(use)
        self.assertEqual(msgspec.json.decode(status[2])["host"], "host-1")
        self.assertEqual((stranger[0], peer[0]), (403, 200))

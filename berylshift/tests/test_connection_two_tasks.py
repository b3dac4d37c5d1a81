"""Tests of connections that one task reads while another one sends a long request."""

import socket
import unittest
from collections.abc import AsyncIterator

import h11
import trio
import trio.testing

from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.http_client import (
    ClientConnection,
    HttpClient,
    Outgoing,
    close_now,
    has_no_input,
)
from berylshift.connection.request_body import RequestBody
from berylshift.connection.target_client import MAX_INLINE_BYTES, TargetClient
from berylshift.connection.target_request import TargetRequest
from berylshift.ids import InstanceId, RequestId
from berylshift.stand_ins.pipes import pipe_pair
from berylshift.tests.support import run_virtual
from berylshift.tests.test_connection_target_response import read_id, response

# The late copy arrives after this long, and is skipped long before ``DELAY_SECONDS``.
COPY_SECONDS = 0.1
DELAY_SECONDS = 1.0
LONG_BODY = b"long" * MAX_INLINE_BYTES


class SlowStream:
    """A connection whose ``slow_call``-th write from now on is late."""

    def __init__(self, inner: trio.abc.Stream):
        self.inner = inner
        self.slow_call = 0
        self.send_stream, self.receive_stream = inner.send_stream, inner.receive_stream

    async def send_all(self, data: bytes) -> None:
        self.slow_call -= 1
        if self.slow_call == 0:
            await trio.sleep(DELAY_SECONDS)
        await self.inner.send_all(data)

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        return await self.inner.receive_some(max_bytes)


class LateNursery:
    """Starts tasks late."""

    def __init__(self, nursery: trio.Nursery):
        self._nursery = nursery

    def start_soon(self, task, *args) -> None:
        async def run() -> None:
            await trio.sleep(DELAY_SECONDS)
            await task(*args)

        self._nursery.start_soon(run)


class CopyingReplica:
    """Answers requests in order; sends its first answer again, late."""

    def __init__(self, nursery: trio.Nursery):
        self.nursery = nursery
        self.streams: list[SlowStream] = []
        self.bodies: list[bytes] = []

    async def dial(self, address: str) -> SlowStream:
        near, far = pipe_pair()
        self.nursery.start_soon(self._serve, far)
        self.streams.append(SlowStream(near))
        return self.streams[-1]

    async def _serve(self, stream: trio.abc.Stream) -> None:
        conn, body, name = h11.Connection(h11.SERVER), b"", ""
        while True:
            try:
                event = conn.next_event()
            except h11.RemoteProtocolError:
                return
            if event is h11.NEED_DATA:
                conn.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Request):
                name, body = dict(event.headers)[b"id"].decode(), b""
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self.bodies.append(body)
                await stream.send_all(response(200, f"id: {name}\r\n"))
                if len(self.bodies) == 1:
                    await trio.sleep(COPY_SECONDS)
                    await stream.send_all(response(503, f"id: {name}\r\n"))
                # Only the parser of requests is used.
                conn.send(h11.Response(status_code=200, headers=[]))
                conn.send(h11.EndOfMessage())
                conn.start_next_cycle()
            else:
                return


def request(name: str, body: RequestBody) -> TargetRequest:
    """Return a POST request."""
    headers = [(b"host", b"x"), (b"id", name.encode())]
    return TargetRequest(
        InstanceId("i"), "10.0.0.1:80", b"POST", b"/", headers, body, RequestId(name)
    )


class LateCopyTest(unittest.TestCase):
    """A late copy is skipped before, while and after a long request is sent."""

    def exchange(self, slow_call: int = 0, is_task_late: bool = False, body=None):
        """Send a short request and, with the copy pending, two long ones."""

        async def main():
            async with trio.open_nursery() as nursery:
                replica = CopyingReplica(nursery)
                client = TargetClient(1.0, replica.dial, read_id)
                nursery.start_soon(client.run)
                await trio.testing.wait_all_tasks_blocked()
                found = [await self.send(client, "one", RequestBody.of(b"short"))]
                await trio.sleep(2 * COPY_SECONDS)
                replica.streams[0].slow_call = slow_call
                prompt_nursery = client._send_nursery
                if is_task_late:
                    client._send_nursery = LateNursery(nursery)
                long_body = RequestBody.of(LONG_BODY) if body is None else body(nursery)
                found.append(await self.send(client, "two", long_body))
                client._send_nursery = prompt_nursery
                found.append(await self.send(client, "three", RequestBody.of(b"last")))
                nursery.cancel_scope.cancel()
            return found, replica.bodies, client.late_responses

        return run_virtual(main)

    async def send(self, client: TargetClient, name: str, body: RequestBody):
        """Return the status, or the error, of a request."""
        try:
            with trio.fail_after(10):
                async with client.exchange(request(name, body)) as answer:
                    await answer.read(100)
                    return answer.status if answer.is_identified else 0
        except ConnectionLayerError as exc:
            return type(exc).__name__

    def check(self, *args, **more) -> None:
        """Check that each request ran whole and got its own answer."""
        statuses, bodies, skipped = self.exchange(*args, **more)
        self.assertEqual(statuses, [200] * 3)
        self.assertEqual(bodies, [b"short", LONG_BODY, b"last"])
        self.assertEqual(skipped, 1)

    def test_before_the_sending_task_begins(self):
        """Guards against a task that goes on with the state that the reader made."""
        self.check(is_task_late=True)

    def test_within_the_head(self):
        """Guards against a sender that looks at the connection's state too late."""
        self.check(slow_call=1)

    def test_within_the_body(self):
        """Guards against a body whose rest is framed by another state."""
        self.check(slow_call=2)

    def test_at_the_end_of_the_body(self):
        """Guards against an end that another state does not allow."""
        self.check(slow_call=3)

    def test_while_the_caller_sends(self):
        """Guards against a body that its caller goes on with after the copy."""

        def body(nursery: trio.Nursery) -> RequestBody:
            found = RequestBody(len(LONG_BODY))

            async def fill() -> None:
                half = len(LONG_BODY) // 2
                found.add(LONG_BODY[:half])
                await trio.sleep(DELAY_SECONDS)
                found.add(LONG_BODY[half:])
                found.end()

            nursery.start_soon(fill)
            return found

        self.check(body=body)

    def test_after_the_request_was_sent(self):
        """Guards against a copy that is taken for the answer."""
        self.check()

    def test_body_that_its_caller_breaks_off(self):
        """Guards against half a body that looks whole, and against other requests."""

        def body(nursery: trio.Nursery) -> RequestBody:
            found = RequestBody(len(LONG_BODY))

            async def abort() -> None:
                found.add(LONG_BODY[:9000])
                await trio.sleep(DELAY_SECONDS)
                found.abort()

            nursery.start_soon(abort)
            return found

        statuses, bodies, _ = self.exchange(body=body)
        self.assertEqual(statuses, [200, "ConnectionBrokenError", 200])
        self.assertEqual(bodies, [b"short", b"last"])


class SendErrorTest(unittest.TestCase):
    """An error that nobody expects in the task that sends one request."""

    def test_other_requests_are_answered(self):
        """Guards against one request whose error ends all others."""

        class BadBody(RequestBody):
            async def chunks(self) -> AsyncIterator[bytes]:
                yield b"part"
                raise OverflowError

        async def main():
            async with trio.open_nursery() as nursery:
                replica = CopyingReplica(nursery)
                client = TargetClient(1.0, replica.dial, read_id)
                nursery.start_soon(client.run)
                await trio.testing.wait_all_tasks_blocked()
                bad = BadBody(len(LONG_BODY))
                send = LateCopyTest().send
                found = [await send(client, "bad", bad)]
                found.append(await send(client, "two", RequestBody.of(LONG_BODY)))
                nursery.cancel_scope.cancel()
            return found

        with self.assertLogs("berylshift.connection.target_client", "ERROR"):
            found = run_virtual(main)
        self.assertEqual(found, ["ConnectionBrokenError", 200])


class ClosedByAnotherTaskTest(unittest.TestCase):
    """A connection that another task closes once its response was read."""

    def test_it_is_not_used_again(self):
        """Guards against a closed connection in the pool."""

        async def main():
            near, far = map(trio.socket.from_stdlib_socket, socket.socketpair())
            stream = trio.SocketStream(near)
            connection = ClientConnection(stream)
            await connection.send_request(Outgoing("x", "GET", "/", {}))
            await far.send(response(200))
            await connection.read_head()
            await connection.read_body(10)
            before = connection.is_reusable()
            close_now(stream)
            far.close()
            return before, connection.is_reusable(), has_no_input(stream)

        self.assertEqual(trio.run(main), (True, False, False))

    def test_path_that_is_lost_as_the_response_ends(self):
        """Guards against a store call or a request that gets an internal error."""

        async def main():
            async with trio.open_nursery() as nursery:
                listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
                port = listener.socket.getsockname()[1]
                address = f"127.0.0.1:{port}"

                async def answer(stream: trio.abc.Stream) -> None:
                    while await stream.receive_some(65536):
                        await stream.send_all(response(200))

                nursery.start_soon(trio.serve_listeners, answer, [listener])
                client, found = HttpClient(), []
                for _ in range(2):
                    async with client.request(Outgoing(address, "GET", "/", {})) as got:
                        await got.read()
                        client.break_silent(address)
                    found.append(got.status)
                nursery.cancel_scope.cancel()
            return found

        self.assertEqual(trio.run(main), [200, 200])


if __name__ == "__main__":
    unittest.main()

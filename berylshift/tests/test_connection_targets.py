"""Tests of the check whether a replica accepts connections, over real sockets."""

import unittest
from unittest.mock import patch

import trio

from berylshift.connection.engine_client import HttpEngineClient
from berylshift.connection.http_client import HttpClient
from berylshift.connection.service_client import HttpServiceClient
from berylshift.connection.target_client import TargetClient
from berylshift.ids import AttemptId, InstanceId
from berylshift.process.control.orders import role_order
from berylshift.request.target_check import accepts_connections
from berylshift.targets import (
    EngineCall,
    Role,
    ServiceCall,
    TargetBrokenError,
    TargetError,
    TargetNotReachedError,
)

INSTANCE = InstanceId("engine-1")
# Long enough for a busy machine; a refused connection fails immediately.
TIMEOUT_SECONDS = 10.0


class AcceptsConnectionsTest(unittest.TestCase):
    """A running process accepts connections; one that has ended does not."""

    def run_task(self, task):
        async def main():
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            port = listener.socket.getsockname()[1]
            client = TargetClient(TIMEOUT_SECONDS)
            try:
                return await task(client, listener, f"127.0.0.1:{port}")
            finally:
                client.close()
                await listener.aclose()

        return trio.run(main)

    def test_running_replica_accepts_a_connection_and_it_is_pooled(self):
        async def task(client, listener, address):
            accepted = await client.accepts_connections(
                INSTANCE, address, TIMEOUT_SECONDS
            )
            return accepted, client.pooled_targets

        self.assertEqual(self.run_task(task), (True, 1))

    def test_ended_replica_refuses_a_connection(self):
        async def task(client, listener, address):
            await listener.aclose()
            return await client.accepts_connections(INSTANCE, address, TIMEOUT_SECONDS)

        self.assertFalse(self.run_task(task))

    @patch("berylshift.request.target_check.PROBE_TIMEOUT_SECONDS", TIMEOUT_SECONDS)
    def test_native_api_targets_are_checked_the_same_way(self):
        """A target that accepts connections but does not respond is busy, not down."""

        async def task(client, listener, address):
            accepted = []
            for client_class in (HttpEngineClient, HttpServiceClient):
                pool = HttpClient(connect_seconds=TIMEOUT_SECONDS)
                accepted.append(
                    await accepts_connections(client_class(pool, ""), address)
                )
                pool.close()
            await listener.aclose()
            ended_target = HttpEngineClient(
                HttpClient(connect_seconds=TIMEOUT_SECONDS), ""
            )
            return accepted, await accepts_connections(ended_target, address)

        self.assertEqual(self.run_task(task), ([True, True], False))


class ResentRequestTest(unittest.TestCase):
    """A target reads a request on a pooled connection, then its process ends."""

    def run_task(self, call, on_second: bytes | None):
        """Return the error of ``call(client, address)`` and how many requests came.

        The target closes the pooled connection once it has read the request. It
        answers a second connection with ``on_second``; ``None``: it refuses that.
        """
        requests = []

        async def serve(stream):
            async with stream:
                data = await stream.receive_some()
                if data:
                    requests.append(data)
                if len(requests) > 1:
                    await stream.send_all(on_second)

        async def main():
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
            client = HttpClient(connect_seconds=TIMEOUT_SECONDS)
            found = None
            async with trio.open_nursery() as nursery:
                await client.connect(address)
                nursery.start_soon(serve, await listener.accept())
                if on_second is None:
                    await listener.aclose()
                else:
                    nursery.start_soon(trio.serve_listeners, serve, [listener])
                try:
                    await call(client, address)
                except TargetError as exc:
                    found = type(exc)
                nursery.cancel_scope.cancel()
            client.close()
            return found, len(requests)

        return trio.run(main)

    async def lookup(self, client, address):
        call = ServiceCall(AttemptId("a"), "booking", "GET", "/", {}, b"", True, "")
        await HttpServiceClient(client, "").call(address, call)

    async def completion(self, client, address):
        call = EngineCall(AttemptId("a"), "m", "prompt", 1)
        async with HttpEngineClient(client, "").generate(address, call) as batches:
            async for _ in batches:
                pass

    async def order(self, client, address):
        await HttpEngineClient(client, "").order(address, role_order(Role.PREFILL))

    def test_request_is_not_counted_as_never_sent(self):
        """Guards against "not run" for a request that its target read and ran."""
        for call in (self.lookup, self.completion):
            with self.subTest(call=call.__name__):
                found = self.run_task(call, on_second=None)
                self.assertEqual(found, (TargetBrokenError, 1))

    def test_refusal_of_a_second_copy_does_not_count_for_the_first(self):
        """Guards against "not run" where only the resent copy was refused."""
        refusal = (
            b"HTTP/1.1 503 Full\r\nberylshift-refused: true\r\n"
            b"content-length: 0\r\n\r\n"
        )
        for call in (self.lookup, self.completion):
            with self.subTest(call=call.__name__):
                found = self.run_task(call, on_second=refusal)
                self.assertEqual(found, (TargetBrokenError, 2))

    def test_order_is_not_sent_on_a_pooled_connection(self):
        """Guards against an order that reaches its engine twice."""
        found = self.run_task(self.order, on_second=None)
        self.assertEqual(found, (TargetNotReachedError, 0))


if __name__ == "__main__":
    unittest.main()

"""Tests of the check whether a replica accepts connections, over real sockets."""

import unittest
from unittest.mock import patch

import trio

from berylshift.connection.engine_client import HttpEngineClient
from berylshift.connection.http_client import HttpClient
from berylshift.connection.service_client import HttpServiceClient
from berylshift.connection.target_client import TargetClient
from berylshift.ids import InstanceId
from berylshift.request.target_check import accepts_connections

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


if __name__ == "__main__":
    unittest.main()

"""Whether a replica is there, over real sockets."""

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
# Long for this computer, however busy it is; what is refused is refused at once.
SECONDS = 10.0


class TakesConnectionsTest(unittest.TestCase):
    """A process that has ended takes no connection; one that lives does."""

    def ask(self, task):
        async def main():
            listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
            port = listener.socket.getsockname()[1]
            client = TargetClient(SECONDS)
            try:
                return await task(client, listener, f"127.0.0.1:{port}")
            finally:
                client.close()
                await listener.aclose()

        return trio.run(main)

    def test_a_replica_that_lives_takes_one_and_it_is_kept(self):
        async def task(client, listener, address):
            found = await client.accepts_connections(INSTANCE, address, SECONDS)
            return found, client.kept_targets

        self.assertEqual(self.ask(task), (True, 1))

    def test_one_that_has_ended_refuses_it(self):
        async def task(client, listener, address):
            await listener.aclose()
            return await client.accepts_connections(INSTANCE, address, SECONDS)

        self.assertFalse(self.ask(task))

    @patch("berylshift.request.target_check.PROBE_TIMEOUT_SECONDS", SECONDS)
    def test_the_own_interfaces_targets_are_asked_alike(self):
        """One that takes connections and answers nothing is busy, and lives."""

        async def task(client, listener, address):
            found = []
            for make in (HttpEngineClient, HttpServiceClient):
                pool = HttpClient(connect_seconds=SECONDS)
                found.append(await accepts_connections(make(pool, ""), address))
                pool.close()
            await listener.aclose()
            gone = HttpEngineClient(HttpClient(connect_seconds=SECONDS), "")
            return found, await accepts_connections(gone, address)

        self.assertEqual(self.ask(task), ([True, True], False))


if __name__ == "__main__":
    unittest.main()

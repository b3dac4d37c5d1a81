"""Tests of how a host with the native API takes its ports."""

import socket
import unittest

import trio

from berylshift.connection.listeners import bound_address
from berylshift.serve_native import open_peer_port


class BesideConnection:
    """A datagram socket to which the system gives a port that TCP has in use."""

    def __init__(self, used_port: int):
        """Bind to ``used_port`` where any port will do."""
        self.used_port = used_port

    async def bind(self, address: str) -> str:
        """Return the address that is bound."""
        host, port = address.split(":")
        return f"{host}:{int(port) or self.used_port}"


class PeerPortTest(unittest.TestCase):
    """The port for datagrams and tunnels between hosts."""

    def test_port_that_a_connection_uses_is_not_taken(self):
        """Guards against a host that does not start: address already in use."""

        async def main():
            link = BesideConnection(used.getsockname()[1])
            listener, address = await open_peer_port("127.0.0.1:0", link)
            self.assertEqual(bound_address(listener), address)
            await listener.aclose()

        with socket.create_server(("127.0.0.1", 0)) as used:
            trio.run(main)


if __name__ == "__main__":
    unittest.main()

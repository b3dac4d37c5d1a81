"""Listening TCP sockets."""

import socket

import trio

from berylshift.utils import split_address

BACKLOG = 1024


def open_listener(address: str) -> trio.SocketListener:
    """Listen on ``IP:PORT``; a successor process may bind the port concurrently."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.setblocking(False)
    sock.bind(split_address(address))
    sock.listen(BACKLOG)
    return trio.SocketListener(trio.socket.from_stdlib_socket(sock))


def bound_address(listener: trio.SocketListener) -> str:
    """Return the ``IP:PORT`` that a listener is bound to."""
    host, port = listener.socket.getsockname()
    return f"{host}:{port}"

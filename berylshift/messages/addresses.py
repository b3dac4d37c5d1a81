"""Checks addresses that other processes wrote."""

import ipaddress

MAX_PORT = 65535


def is_endpoint(address: str, port_count: int = 1) -> bool:
    """Return whether a text is ``IP:PORT`` with an IPv4 address and a port.

    There must be ``port_count`` ports from that one on.
    """
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < int(port) <= MAX_PORT - port_count + 1

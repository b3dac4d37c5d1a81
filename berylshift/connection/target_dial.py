"""Dials targets by a dialer that is set once the process has been wired."""

from typing import Protocol

import trio

from berylshift.connection.http_client import Dial, dial_tcp
from berylshift.ids import InstanceId


class TargetDialer(Protocol):
    """Opens connections to targets; see ``ReplicaDialer``."""

    async def open(self, instance: InstanceId, address: str) -> trio.abc.Stream:
        """Return a connection, direct or a tunnel; raise ``OSError``."""

    def may_reuse(self, address: str) -> bool:
        """Return whether open connections may be used again."""


class TargetDial:
    """Dials targets that are known by their address alone."""

    def __init__(self, dial: Dial = dial_tcp):
        """Open direct connections by ``dial``, at first all of them."""
        self.direct = dial
        self._dialer: TargetDialer | None = None

    def set_dialer(self, dialer: TargetDialer) -> None:
        """Open connections by ``dialer`` from now on."""
        self._dialer = dialer

    async def dial(self, address: str) -> trio.abc.Stream:
        """Return a connection to ``IP:PORT``; raise ``OSError``."""
        if self._dialer is None:
            return await self.direct(address)
        return await self._dialer.open(InstanceId(address), address)

    def may_reuse(self, address: str) -> bool:
        """Return whether open connections to a target may be used again."""
        return self._dialer is None or self._dialer.may_reuse(address)

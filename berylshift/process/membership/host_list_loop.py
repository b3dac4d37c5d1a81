"""The loop that announces this host and reads the platform's list of hosts."""

import logging

import trio

from berylshift.process.membership.members import Membership
from berylshift.store.interfaces import HostEntry, HostList, PlatformError

logger = logging.getLogger(__name__)


class HostListLoop:
    """Announces this host to the platform and reads its list of hosts."""

    def __init__(
        self,
        hosts: HostList,
        members: Membership,
        entry: HostEntry,
        interval_seconds: float,
    ):
        """Announce ``entry`` every ``interval_seconds``."""
        self._hosts = hosts
        self._members = members
        self.entry = entry
        self._interval_seconds = interval_seconds

    async def run(self) -> None:
        """Announce and read until cancelled."""
        while True:
            await self.run_once()
            await trio.sleep(self._interval_seconds)

    async def run_once(self) -> None:
        """Announce and read once; if the platform is down, nothing changes."""
        try:
            await self._hosts.announce(self.entry)
            self._members.update_host_list(await self._hosts.hosts())
        except PlatformError as exc:
            logger.warning("host list not read", extra={"why": str(exc)})

"""Tells the other hosts of this host's work, and hears of theirs."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import trio

from berylshift.clock import Clock
from berylshift.messages.load_digest import LoadDigest
from berylshift.process.directory.store_era_tracker import StoreEraTracker
from berylshift.process.gossip.digest_builder import DigestParts
from berylshift.process.gossip.host_list import HostList
from berylshift.process.gossip.peer_loads import MEMBER_SECONDS
from berylshift.process.gossip.protocol import REPEAT_SECONDS, Role, Teller
from berylshift.store.host_rows import HostRecord, HostRows
from berylshift.store.interfaces import PlatformError

logger = logging.getLogger(__name__)

# How often the hosts' rows are read. New hosts are heard of by their own datagrams,
# which have the rows read at once.
HOSTS_SECONDS = 30.0
RETRY_SECONDS = 1.0


class LoadLink(Protocol):
    """Sends and receives digests."""

    async def send_to_all(self, addresses: list[str], message: LoadDigest) -> None:
        """Send a digest to each address; some may be lost."""

    async def receive(self, take: Callable[[LoadDigest], None]) -> None:
        """Give each digest to ``take`` until cancelled."""


@dataclass
class LoadParts:
    """What the loop works with."""

    digest: DigestParts
    address: str
    rows: HostRows
    make_link: Callable[[str], LoadLink]
    clock: Clock
    rng: random.Random
    byte_budget: int
    # Told that the store has something new for this host to read.
    on_news: Callable[[], None]
    # Tells when the store has come back older.
    eras: StoreEraTracker
    # Told the key that all hosts share.
    on_joined: Callable[[str], None] = lambda key: None


class LoadLoop:
    """One task tells, one hears, one learns which hosts there are."""

    def __init__(self, parts: LoadParts):
        """Work with ``parts``."""
        self._parts = parts
        self._hosts = HostList(parts.digest.host, parts.digest.domain)
        self._stranger = trio.Event()
        self._work = trio.Event()
        self._new_era = trio.Event()
        parts.eras.subscribe(lambda: self._new_era.set())
        self._teller = Teller(
            parts.digest, self._hosts, parts.byte_budget, self._on_role
        )

    @property
    def known_hosts(self) -> int | None:
        """Return how many hosts share the limits; ``None``: not known yet.

        A host that is listed counts until it has had time to be heard of: rows of
        hosts long gone stay in the store.
        """
        if not self._hosts.was_read:
            return None
        now = self._parts.clock.monotonic()
        peers = self._parts.digest.peers
        young = self._hosts.young(now, MEMBER_SECONDS)
        unheard = sum(not peers.heard(host, now) for host in young)
        return 1 + max(peers.heard_hosts(now) + unheard, peers.members(now))

    def sharing_hosts(self) -> list[HostRecord] | None:
        """Return the hosts that share limits, this one too; ``None``: not known yet.

        Where hosts tell each other directly, those that have been silent for long are
        left out. A host that hears few of the others may be cut off itself: taken for
        gone, they would go on using the limits beside it.
        """
        if not self._hosts.was_read:
            return None
        listed = self._hosts.records()
        found = listed if self._teller.is_gathered else self._not_silent(listed)
        if 2 * len(found) < len(listed):
            found = listed
        return [self._own_record(), *found]

    def _not_silent(self, records: list[HostRecord]) -> list[HostRecord]:
        """Return the hosts that were heard lately, or have had no time to be."""
        now = self._parts.clock.monotonic()
        peers = self._parts.digest.peers
        young = self._hosts.young(now, MEMBER_SECONDS)
        return [
            rec for rec in records if rec.host in young or peers.heard(rec.host, now)
        ]

    def _own_record(self) -> HostRecord:
        parts = self._parts
        return HostRecord(parts.digest.host, parts.address, parts.digest.domain)

    def duty_place(self, duty: str) -> int | None:
        """Return this host's place in order for a duty; ``None``: it is not to."""
        return self._teller.duty_place(duty, self._parts.clock.monotonic())

    def work_came(self) -> None:
        """Have the others told soon of work that has just come."""
        self._work.set()

    async def run(self) -> None:
        """Join the other hosts, then tell and hear until cancelled."""
        key = await self._join(f"{self._parts.rng.getrandbits(128):032x}")
        while True:
            key = await self._run_under(key)

    async def _run_under(self, key: str) -> str:
        """Tell and hear under a key until another one holds; return that."""
        self._parts.on_joined(key)
        link = self._parts.make_link(key)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.receive, self._hear)
            nursery.start_soon(self._tell, link)
            nursery.start_soon(self._follow_hosts)
            found = await self._another_key(key)
            nursery.cancel_scope.cancel()
        logger.warning("key changed", extra={"reason": "store came back older"})
        return found

    async def _another_key(self, key: str) -> str:
        """Join again in each new era; return the key once it is another one.

        The rows of hosts that joined since the copy are lost. So may be the key's: a
        host that starts meanwhile makes a new one, and hosts of two keys would not hear
        each other. Those that have one propose it again; the first that is written
        holds for all.
        """
        while True:
            await self._new_era.wait()
            self._new_era = trio.Event()
            found = await self._join(key)
            self._stranger.set()
            if found != key:
                return found

    async def _join(self, proposal: str) -> str:
        parts = self._parts
        record = self._own_record()
        while True:
            try:
                key = await parts.rows.shared_key(proposal)
                await parts.rows.announce(record)
                return key
            except PlatformError as exc:
                logger.info("not joined yet", extra={"reason": str(exc)})
                await trio.sleep(RETRY_SECONDS)

    async def _follow_hosts(self) -> None:
        while True:
            try:
                await self._read_hosts()
                wait = HOSTS_SECONDS if len(self._hosts) else RETRY_SECONDS
            except PlatformError as exc:
                logger.info("hosts not read", extra={"reason": str(exc)})
                wait = RETRY_SECONDS
            with trio.move_on_after(wait * self._parts.rng.uniform(0.8, 1.2)):
                await self._stranger.wait()
                # Several new hosts are read together.
                await trio.sleep(RETRY_SECONDS)
            self._stranger = trio.Event()

    async def _read_hosts(self) -> None:
        records = await self._parts.rows.hosts()
        if self._hosts.replace(records, self._parts.clock.monotonic()):
            self._teller.listed()
            logger.info("hosts known", extra={"hosts": self._hosts.names()})

    def _on_role(self, role: Role, holds: bool) -> None:
        logger.info("role taken" if holds else "role left", extra={"role": role})
        # A new follower reads at once, though the word that it has is still fresh.
        self._parts.on_news()

    def _hear(self, digest: LoadDigest) -> None:
        if digest.host not in self._hosts and self._teller.minds_stranger(digest):
            self._stranger.set()
        if self._teller.hear(digest, self._parts.clock.monotonic()):
            self._parts.on_news()

    async def _tell(self, link: LoadLink) -> None:
        while True:
            await trio.sleep(self._teller.interval)
            await self._while_idle()
            for telling in self._teller.due(self._parts.clock.monotonic()):
                await link.send_to_all(telling.addresses, telling.digest)

    async def _while_idle(self) -> None:
        """Wait for work where there is nothing to tell.

        Of many hosts most have none at a moment, and each look wakes the process.
        """
        if not self._teller.is_idle(self._parts.clock.monotonic()):
            return
        self._work = trio.Event()
        with trio.move_on_after(REPEAT_SECONDS):
            await self._work.wait()

"""Sends this host's load to the other hosts and receives theirs."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import trio

from berylshift.clock import Clock
from berylshift.messages.load_digest import LoadDigest
from berylshift.process.directory.store_era_tracker import StoreEraTracker
from berylshift.process.gossip.digest_builder import DigestSources
from berylshift.process.gossip.host_list import HostList
from berylshift.process.gossip.peer_loads import MEMBER_TTL_SECONDS
from berylshift.process.gossip.protocol import (
    PROBE_SECONDS,
    REPEAT_SECONDS,
    GossipProtocol,
    HostRole,
)
from berylshift.store.host_rows import HostRecord, HostRows
from berylshift.store.interfaces import PlatformError

logger = logging.getLogger(__name__)

# How often the hosts' rows are read. A new host is noticed by its own datagrams, which
# trigger a read of the rows at once.
HOST_LIST_SECONDS = 30.0
RETRY_SECONDS = 1.0
# An idle host that was not heard of for this long has not sent its usual digests.
SILENT_SECONDS = 1.5 * PROBE_SECONDS


class LoadLink(Protocol):
    """Sends and receives digests."""

    async def send_to_all(self, addresses: list[str], message: LoadDigest) -> None:
        """Send a digest to each address; some may be lost."""

    async def receive(self, on_message: Callable[[LoadDigest], None]) -> None:
        """Pass each digest to ``on_message`` until cancelled."""


@dataclass
class LoadLoopDependencies:
    """What the loop works with."""

    sources: DigestSources
    address: str
    rows: HostRows
    make_link: Callable[[str], LoadLink]
    clock: Clock
    rng: random.Random
    byte_budget: int
    # Called when the store has something new for this host to read.
    on_store_change: Callable[[], None]
    # Signals that the store was restored from an older copy.
    eras: StoreEraTracker
    # Called with the key that all hosts share.
    on_joined: Callable[[str], None] = lambda key: None


class LoadLoop:
    """Three tasks: one sends, one receives, one keeps the host list up to date."""

    def __init__(self, deps: LoadLoopDependencies):
        """Work with ``deps``."""
        self._deps = deps
        self._own = HostRecord(deps.sources.host, deps.address, deps.sources.domain)
        self._hosts = HostList(deps.sources.host, deps.sources.domain)
        self._unknown_host = trio.Event()
        self._new_work = trio.Event()
        self._new_era = trio.Event()
        deps.eras.subscribe(lambda: self._new_era.set())
        self._protocol = GossipProtocol(
            deps.sources, self._hosts, deps.byte_budget, self._on_role
        )

    @property
    def known_hosts(self) -> int | None:
        """Return how many hosts share the limits; ``None``: not known yet.

        A newly listed host counts before its first digest arrives. Later it counts only
        if it is heard from: rows of hosts long gone stay in the store.
        """
        if not self._hosts.is_loaded:
            return None
        now = self._deps.clock.monotonic()
        peers = self._deps.sources.peers
        recent = self._hosts.recently_listed(now, MEMBER_TTL_SECONDS)
        unheard = sum(not peers.was_heard(host, now) for host in recent)
        return 1 + max(peers.heard_host_count(now) + unheard, peers.member_count(now))

    @property
    def budget_hosts(self) -> int | None:
        """Return how many hosts share a budget; ``None``: not known yet.

        Hosts that fell silent lately may be partitioned and go on using the budget.
        Those of the larger part of a split fleet count them, too, or both parts
        together would use more than the budget.
        """
        known = self.known_hosts
        if known is None:
            return None
        most = 1 + self._deps.sources.peers.most_members(self._deps.clock.monotonic())
        return max(known, most)

    def sharing_hosts(self) -> list[HostRecord] | None:
        """Return the hosts that share limits, this one too; ``None``: not known yet.

        Without collectors, hosts that have been silent for long are left out. A host
        that hears from less than half of the others may be partitioned itself, and
        counts them all: they go on using the limits too.
        """
        if not self._hosts.is_loaded:
            return None
        listed = self._hosts.records()
        found = (
            listed if self._protocol.uses_collectors else self._recently_heard(listed)
        )
        if 2 * len(found) < len(listed):
            found = listed
        return [self._own, *found]

    def _recently_heard(self, records: list[HostRecord]) -> list[HostRecord]:
        """Return the hosts that were heard from, or listed, recently."""
        now = self._deps.clock.monotonic()
        peers = self._deps.sources.peers
        recent = self._hosts.recently_listed(now, MEMBER_TTL_SECONDS)
        return [
            rec
            for rec in records
            if rec.host in recent or peers.was_heard(rec.host, now)
        ]

    def hears_all(self) -> bool:
        """Return whether no listed host is silent.

        Where collectors are used, hosts are not heard of one by one: ``False``.
        """
        return not self._protocol.uses_collectors and self.hears_listed()

    def hears_listed(self) -> bool:
        """Return whether as many hosts are heard of as are listed."""
        return self.silent_hosts() == []

    def silent_hosts(self) -> list[str] | None:
        """Return the listed hosts that are not heard of; ``None``: not known.

        Where collectors are used, they count the hosts, and it is not known which of
        them are silent.
        """
        if not self._hosts.is_loaded:
            return None
        now, peers = self._deps.clock.monotonic(), self._deps.sources.peers
        if self._protocol.uses_collectors:
            return [] if peers.member_count(now) >= len(self._hosts) else None
        heard_since = now - SILENT_SECONDS
        return [
            host
            for host in self._hosts.names()
            if not peers.heard_since(host, heard_since)
        ]

    def task_rank(self, task: str) -> int | None:
        """Return this host's rank for a leader task; ``None``: not eligible."""
        return self._protocol.task_rank(task, self._deps.clock.monotonic())

    def notify_work(self) -> None:
        """Wake the sender: this host has new load to announce."""
        self._new_work.set()

    async def run(self) -> None:
        """Join the other hosts, then send and receive until cancelled."""
        key = await self._join(f"{self._deps.rng.getrandbits(128):032x}")
        while True:
            key = await self._run_with_key(key)

    async def _run_with_key(self, key: str) -> str:
        """Send and receive with a key until it changes; return the new key."""
        self._deps.on_joined(key)
        link = self._deps.make_link(key)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.receive, self._receive)
            nursery.start_soon(self._send, link)
            nursery.start_soon(self._refresh_hosts)
            found = await self._await_new_key(key)
            nursery.cancel_scope.cancel()
        logger.warning("key changed", extra={"reason": "store came back older"})
        return found

    async def _await_new_key(self, key: str) -> str:
        """Join again in each new era; return the key once it has changed.

        A restored store has lost the rows of hosts that joined after its copy was made,
        possibly also the key. A host that starts meanwhile creates a new key, and hosts
        with different keys would reject each other's digests. Hosts with a key
        therefore propose it again; the first one written becomes the key of all.
        """
        while True:
            await self._new_era.wait()
            self._new_era = trio.Event()
            found = await self._join(key)
            self._unknown_host.set()
            if found != key:
                return found

    async def _join(self, proposal: str) -> str:
        deps = self._deps
        while True:
            try:
                key = await deps.rows.get_or_set_shared_key(proposal)
                await self._announce()
                return key
            except PlatformError as exc:
                logger.info("joining failed; retrying", extra={"reason": str(exc)})
                await trio.sleep(RETRY_SECONDS)

    async def _announce(self) -> None:
        deps = self._deps
        self._own = await deps.rows.announce(self._own)
        deps.sources.host_updates.set_own(self._own)

    async def _refresh_hosts(self) -> None:
        while True:
            try:
                await self._read_hosts()
                wait = HOST_LIST_SECONDS if len(self._hosts) else RETRY_SECONDS
            except PlatformError as exc:
                logger.info(
                    "reading the host list failed; retrying",
                    extra={"reason": str(exc)},
                )
                wait = RETRY_SECONDS
            with trio.move_on_after(wait * self._deps.rng.uniform(0.8, 1.2)):
                await self._unknown_host.wait()
                # Hosts that start together are read together.
                await trio.sleep(RETRY_SECONDS)
            self._unknown_host = trio.Event()

    async def _read_hosts(self) -> None:
        read_at = self._deps.clock.monotonic()
        records = await self._deps.rows.hosts()
        now = self._deps.clock.monotonic()
        known = set(self._hosts.records())
        if self._hosts.replace(records, now, read_at):
            joined = [rec for rec in self._hosts.records() if rec not in known]
            self._protocol.on_hosts_changed(joined, now)
            logger.info("hosts known", extra={"hosts": self._hosts.names()})
        own = next((rec for rec in records if rec.host == self._own.host), None)
        if own is None or own.is_older_than(self._own):
            # A write of an earlier process of this host was performed late, or another
            # writer removed the row or made it unreadable.
            await self._announce()

    def _on_role(self, role: HostRole, is_holder: bool) -> None:
        logger.info("role taken" if is_holder else "role left", extra={"role": role})
        # A new feed reader reads at once, even if the status it received is fresh.
        self._deps.on_store_change()

    def _receive(self, digest: LoadDigest) -> None:
        # Where one host is missing, others that joined with it may be, too.
        if digest.host not in self._hosts and self._protocol.must_know_sender(digest):
            self._unknown_host.set()
        for rec in self._protocol.learn_hosts(digest, self._deps.clock.monotonic()):
            logger.info(
                "host joined", extra={"entry": rec.host, "address": rec.address}
            )
        if self._protocol.receive(digest, self._deps.clock.monotonic()):
            self._deps.on_store_change()

    async def _send(self, link: LoadLink) -> None:
        while True:
            await trio.sleep(self._protocol.interval_seconds)
            await self._wait_while_idle()
            for outgoing in self._protocol.due(self._deps.clock.monotonic()):
                await link.send_to_all(outgoing.addresses, outgoing.digest)

    async def _wait_while_idle(self) -> None:
        """Wait for work while there is nothing to send.

        Of many hosts most are idle at any moment, and each check wakes the process.
        """
        if not self._protocol.is_idle(self._deps.clock.monotonic()):
            return
        self._new_work = trio.Event()
        with trio.move_on_after(REPEAT_SECONDS):
            await self._new_work.wait()

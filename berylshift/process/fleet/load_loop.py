"""Tells the other hosts of this host's work, and hears of theirs."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import trio

from berylshift.clock import Clock
from berylshift.messages.load_digest import LoadDigest, LoadEntry
from berylshift.process.fleet.expected_phases import ExpectedPhases
from berylshift.process.fleet.peer_loads import MEMBER_SECONDS, PeerLoads
from berylshift.process.fleet.target_load import TargetLoads
from berylshift.process.fleet.warm_parts import WarmParts
from berylshift.store.host_rows import HostRecord, HostRows
from berylshift.store.interfaces import PlatformError

logger = logging.getLogger(__name__)

# Shorter than the time in which a usual prompt is read: a queue is seen as it grows.
TELL_SECONDS = 0.08
# A digest of a dozen engines on the wire, with its headers, in bytes.
DIGEST_BYTES = 130
# An unchanged digest is said again this often, so that it does not lapse.
REPEAT_SECONDS = 0.4
# A host that is not heard of is told only this often.
PROBE_SECONDS = 3.0
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

    host: str
    address: str
    rows: HostRows
    loads: TargetLoads
    peers: PeerLoads
    warm: WarmParts
    phases: ExpectedPhases
    make_link: Callable[[str], LoadLink]
    clock: Clock
    rng: random.Random
    byte_budget: int


class LoadLoop:
    """One task tells, one hears, one learns which hosts there are."""

    def __init__(self, parts: LoadParts):
        """Work with ``parts``."""
        self._parts = parts
        self._addresses: dict[str, str] = {}
        self._told_at: dict[str, float] = {}
        self._listed_since: dict[str, float] = {}
        self._read_once = False
        self._stranger = trio.Event()
        self._sequence = 0
        self._last: tuple[LoadEntry, ...] = ()
        self._last_at = float("-inf")

    @property
    def known_hosts(self) -> int | None:
        """Return how many hosts share the limits; ``None``: not known yet.

        A host that is listed counts until it has had time to be heard of: rows of
        hosts long gone stay in the store.
        """
        if not self._read_once:
            return None
        now = self._parts.clock.monotonic()
        peers = self._parts.peers
        unheard = sum(
            now - since < MEMBER_SECONDS and not peers.heard(host, now)
            for host, since in self._listed_since.items()
        )
        return 1 + peers.members(now) + unheard

    async def run(self) -> None:
        """Join the other hosts, then tell and hear until cancelled."""
        key = await self._join()
        link = self._parts.make_link(key)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.receive, self._hear)
            nursery.start_soon(self._tell, link)
            nursery.start_soon(self._follow_hosts)

    async def _join(self) -> str:
        parts = self._parts
        proposal = f"{parts.rng.getrandbits(128):032x}"
        while True:
            try:
                key = await parts.rows.shared_key(proposal)
                await parts.rows.announce(HostRecord(parts.host, parts.address))
                return key
            except PlatformError as exc:
                logger.info("not joined yet", extra={"reason": str(exc)})
                await trio.sleep(RETRY_SECONDS)

    async def _follow_hosts(self) -> None:
        while True:
            try:
                await self._read_hosts()
                wait = HOSTS_SECONDS if self._addresses else RETRY_SECONDS
            except PlatformError as exc:
                logger.info("hosts not read", extra={"reason": str(exc)})
                wait = RETRY_SECONDS
            with trio.move_on_after(wait * self._parts.rng.uniform(0.8, 1.2)):
                await self._stranger.wait()
                # Several new hosts are read together.
                await trio.sleep(RETRY_SECONDS)
            self._stranger = trio.Event()

    async def _read_hosts(self) -> None:
        found = await self._parts.rows.hosts()
        addresses = {rec.host: rec.address for rec in found}
        addresses.pop(self._parts.host, None)
        if addresses.keys() != self._addresses.keys():
            logger.info("hosts known", extra={"hosts": sorted(addresses)})
        self._addresses = addresses
        now = self._parts.clock.monotonic()
        for host in addresses:
            self._listed_since.setdefault(host, now)
        self._read_once = True

    def _hear(self, digest: LoadDigest) -> None:
        now = self._parts.clock.monotonic()
        known = digest.host in self._addresses or digest.host == self._parts.host
        if not known:
            self._stranger.set()
        self._parts.peers.take(digest, now)
        self._parts.warm.heard(digest.reads)
        self._parts.phases.heard(digest.phases, now)

    async def _tell(self, link: LoadLink) -> None:
        while True:
            await trio.sleep(self._interval())
            now = self._parts.clock.monotonic()
            entries = self._parts.loads.entries(now)
            reads = self._parts.warm.to_tell(now)
            phases = self._parts.phases.to_tell(now)
            changed = entries != self._last or bool(reads)
            if not changed and now - self._last_at < REPEAT_SECONDS:
                continue
            idle = not entries and not phases
            if not changed and idle and now - self._last_at < PROBE_SECONDS:
                continue
            self._last, self._last_at = entries, now
            self._sequence += 1
            digest = LoadDigest(
                self._parts.host, self._sequence, entries, reads, phases
            )
            due = [
                address
                for host, address in self._addresses.items()
                if self._is_due(host, now)
            ]
            await link.send_to_all(due, digest)

    def _interval(self) -> float:
        """Return the seconds between two digests: more hosts are told more seldom."""
        wanted = len(self._addresses) * DIGEST_BYTES / self._parts.byte_budget
        return max(TELL_SECONDS, wanted)

    def _is_due(self, host: str, now: float) -> bool:
        if self._parts.peers.heard(host, now):
            return True
        if now - self._told_at.get(host, float("-inf")) < PROBE_SECONDS:
            return False
        self._told_at[host] = now
        return True

"""Tells holders at which software version streams began, and asks for it."""

import random
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

import trio

from berylshift.clock import Clock
from berylshift.ids import (
    RequestId,
    Revision,
    ServiceName,
    SoftwareVersion,
    StoreEra,
    TableVersion,
)
from berylshift.messages.stream_origins import (
    OriginMessage,
    OriginQuery,
    OriginReply,
    ServiceKey,
    StreamKey,
    StreamOrigin,
    Variant,
    service_key,
    stream_key,
    variant_of,
)
from berylshift.process.datagrams.mailbox_loop import (
    MailboxLoop,
    MessageLink,
    address_beside,
)
from berylshift.process.streams.origin_holders import OriginHolders
from berylshift.process.streams.origin_records import KEEP_SECONDS, OriginRecords
from berylshift.process.streams.origin_search import (
    Evidence,
    Finding,
    OriginSearch,
    OwnKnowledge,
)
from berylshift.store.eras import FIRST_ERA
from berylshift.store.host_rows import HostRecord

# Origins are received at this many ports after the one for load digests.
PORT_OFFSET = 2
# Hosts that hold the record of a stream, besides the one that began it.
HOLDERS = 2
# How long the holders may take to reply. Then further hosts are asked: the one that
# began the stream, which also knows, may be any of them.
HOLDER_SECONDS = 0.05
MAX_ASKED = 16
REPLY_SECONDS = 0.15
# Queries are numbered in 32 bits; 0 is not used.
MAX_QUERY_NUMBER = 0xFFFFFFFF
# Origins in one datagram.
MAX_TOLD = 64
# A host that has sent nothing for this long is silent.
SILENT_SECONDS = 4.5
# Messages that wait to be sent: a further version makes each host tell all its streams.
MAX_PENDING = 2048

OriginLink = MessageLink[OriginMessage]


class RoutePast(Protocol):
    """What is known of the routes of the past; times in seconds."""

    # The version from which on all routes are known.
    known_from: TableVersion | None

    def is_complete(self, seconds: float, now: float) -> bool:
        """Return whether the routes of the last ``seconds`` are all known."""


@dataclass
class VersionSources:
    """What is known of services' versions; times in seconds."""

    # The versions of a service that were listed within some seconds.
    versions: Callable[[ServiceName, float, float], frozenset[SoftwareVersion]]
    # Whether all versions of the last seconds are known.
    is_complete: Callable[[float, float], bool]
    services: Callable[[], Iterable[ServiceName]]
    # The store's revision from which on all versions are known.
    known_from: Callable[[], Revision | None]
    # The era and revision of the store up to which the list is known.
    position: Callable[[], tuple[StoreEra, Revision] | None]
    # Learns as much of the past as the store can tell.
    learn_past: Callable[[], Awaitable[None]]
    # Asks the store whether no other version of a service was listed since.
    is_sole: Callable[[ServiceName, SoftwareVersion], Awaitable[bool]]
    # Whether the store can't be asked at present.
    is_store_lost: Callable[[], bool]
    # The listed hosts that are not heard of; ``None``: not known.
    silent_hosts: Callable[[], list[str] | None]
    # The routes, and the version in force; ``None``: none is.
    routes: RoutePast
    routes_version: Callable[[], TableVersion | None]


@dataclass
class OriginLoopDependencies:
    """What the loop works with."""

    host: str
    # Where this host receives digests.
    address: str
    hosts: Callable[[], Iterable[HostRecord] | None]
    make_link: Callable[[str], OriginLink]
    clock: Clock
    rng: random.Random
    versions: VersionSources


@dataclass
class _Query:
    search: OriginSearch
    asked: OriginQuery
    waiting: set[str] = field(default_factory=set)
    # Whether this host has learned what the store can tell of the past.
    has_learned: bool = False
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def needs_past(self) -> bool:
        """Return whether the past is unknown and the store may still tell of it."""
        evidence = self.search.finding(()).evidence
        return evidence is Evidence.UNKNOWN_PAST and not self.has_learned

    @property
    def needs_store(self) -> bool:
        """Return whether the store alone can still decide."""
        return self.search.finding(()).evidence is Evidence.UNCONFIRMED

    def notify(self) -> None:
        """Wake all who wait for a change."""
        former, self.changed = self.changed, trio.Event()
        former.set()


class OriginLoop:
    """The origins of streams, as one host tells, keeps and asks for them.

    While a service has one version, nothing is told: a stream that no host has a record
    of began at that version.
    """

    def __init__(self, deps: OriginLoopDependencies):
        """Work with ``deps``; nothing is sent before ``run``."""
        self._deps = deps
        self._mailbox = MailboxLoop(deps.make_link, self._receive, MAX_PENDING)
        self._holders = OriginHolders(deps.hosts)
        self.records = OriginRecords()
        # Streams that began here, may be resumed and were not told to holders.
        self._untold: OrderedDict[StreamKey, tuple[ServiceName, Variant, float]] = (
            OrderedDict()
        )
        self._queries: dict[int, _Query] = {}
        # When each host was last heard of.
        self._heard_at: dict[str, float] = {}
        self._last_query = deps.rng.randrange(MAX_QUERY_NUMBER)
        self.told = 0
        self.asked = 0
        self.not_found = 0
        self.inferred = 0

    # For requests

    def record(
        self,
        request: RequestId,
        service: ServiceName,
        version: SoftwareVersion,
        must_tell: bool = False,
    ) -> tuple[str, ...]:
        """Record that a stream's first event is about to be forwarded.

        Return the hosts that are told; ``must_tell``: also while there is one version.
        """
        now = self._deps.clock.monotonic()
        stream, variant = stream_key(request), variant_of(service, version)
        self.records.record(stream, variant, now)
        if not must_tell and self._has_sole_version(service, now):
            self._untold[stream] = (service, variant, now)
            self._drop_old(now)
            return ()
        return self._tell([StreamOrigin(stream, variant)], now)

    def on_complete(self, request: RequestId) -> None:
        """Record that a stream has reached its caller to its end."""
        self._untold.pop(stream_key(request), None)

    def tell_all(self, service: ServiceName | None = None) -> None:
        """Tell the origins of a service that is no longer the only one possible.

        It has got a further version, or a route of it has moved. Without a ``service``
        those of all services are told: their versions may not be known any more.
        """
        now = self._deps.clock.monotonic()
        self._drop_old(now)
        found = [
            StreamOrigin(stream, variant)
            for stream, (name, variant, _) in self._untold.items()
            if service in (None, name)
        ]
        for origin in found:
            del self._untold[origin.stream]
        self._tell(found, now)

    async def find(
        self, request: RequestId, service: ServiceName, seconds: float
    ) -> Finding:
        """Return what began the stream whose first event ``request`` brought.

        It may have begun ``seconds`` ago and is served by ``service``.
        """
        now = self._deps.clock.monotonic()
        number = self._last_query = self._last_query % MAX_QUERY_NUMBER + 1
        asked = OriginQuery(number, stream_key(request), service_key(service), seconds)
        query = _Query(OriginSearch(self._knowledge(asked, now)), asked)
        finding = query.search.finding(())
        if finding.evidence is Evidence.OWN_RECORD:
            return finding
        hosts = self._hosts_to_ask(asked.stream, now)
        self._queries[number] = query
        try:
            with trio.move_on_after(REPLY_SECONDS):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._learn_past, asked, query)
                    nursery.start_soon(self._confirm, asked, service, query)
                    await self._ask_all(hosts, asked, query)
                    while query.needs_past:
                        await query.changed.wait()
                    if not query.needs_store:
                        nursery.cancel_scope.cancel()
        finally:
            del self._queries[number]
        finding = query.search.finding([rec.host for rec in hosts])
        self.not_found += finding.variant is None
        self.inferred += finding.evidence is Evidence.SOLE_VERSION
        return finding

    async def _learn_past(self, asked: OriginQuery, query: _Query) -> None:
        """Learn what the store can tell of the past, if this host does not know it."""
        if query.needs_past:
            await self._deps.versions.learn_past()
            query.has_learned = True
            now = self._deps.clock.monotonic()
            query.search.learn(self._knowledge(asked, now))
            query.notify()

    async def _confirm(
        self, asked: OriginQuery, service: ServiceName, query: _Query
    ) -> None:
        """Confirm with the store that a service has had no other version.

        It is asked once that would settle the search.
        """
        while not query.needs_store:
            await query.changed.wait()
        now = self._deps.clock.monotonic()
        found = self._deps.versions.versions(service, asked.seconds, now)
        if len(found) != 1 or not await self._deps.versions.is_sole(service, *found):
            return
        now = self._deps.clock.monotonic()
        query.search.confirm(self._knowledge(asked, now))
        query.notify()

    async def _ask_all(
        self, hosts: list[HostRecord], asked: OriginQuery, query: _Query
    ) -> None:
        """Ask the holders of a stream, and then further hosts.

        A holder's record may arrive later than the store's confirmation.
        """
        search = query.search
        await self._ask(
            hosts[:HOLDERS], asked, query, HOLDER_SECONDS, lambda: search.has_record
        )
        if not search.is_settled:
            await self._ask(
                hosts[HOLDERS:], asked, query, REPLY_SECONDS, lambda: search.is_settled
            )

    def _has_sole_version(self, service: ServiceName, now: float) -> bool:
        versions = self._deps.versions
        if versions.is_store_lost() or not versions.is_complete(KEEP_SECONDS, now):
            return False
        return len(versions.versions(service, KEEP_SECONDS, now)) <= 1

    def _hosts_to_ask(self, stream: StreamKey, now: float) -> list[HostRecord]:
        ranked = self._holders.of(stream, MAX_ASKED, now)
        return [rec for rec in ranked if rec.host != self._deps.host]

    async def _ask(
        self,
        hosts: list[HostRecord],
        asked: OriginQuery,
        query: _Query,
        seconds: float,
        is_done: Callable[[], bool],
    ) -> None:
        """Ask hosts; return once ``is_done()`` or no reply is missing."""
        if not hosts or not self._mailbox.has_key:
            return
        self.asked += 1
        message = OriginMessage(
            self._deps.host, query=asked, address=self._deps.address
        )
        for rec in hosts:
            query.waiting.add(rec.host)
            self._post(rec.address, message)
        with trio.move_on_after(max(0.0, seconds)):
            while query.waiting and not is_done():
                await query.changed.wait()

    # Telling

    def _tell(self, origins: list[StreamOrigin], now: float) -> tuple[str, ...]:
        """Tell the holders of some streams their origins; return the hosts' names."""
        by_host: dict[HostRecord, list[StreamOrigin]] = {}
        for origin in origins:
            for rec in self._holders.of(origin.stream, HOLDERS, now):
                if rec.host != self._deps.host:
                    by_host.setdefault(rec, []).append(origin)
        self.told += len(origins)
        for rec, found in by_host.items():
            for start in range(0, len(found), MAX_TOLD):
                told = tuple(found[start : start + MAX_TOLD])
                self._post(rec.address, OriginMessage(told=told))
        return tuple(rec.host for rec in by_host)

    def _drop_old(self, now: float) -> None:
        while self._untold:
            _, _, at = next(iter(self._untold.values()))
            if now - at <= KEEP_SECONDS:
                return
            self._untold.popitem(last=False)

    def _post(self, peer_address: str, message: OriginMessage) -> None:
        self._mailbox.post(origin_address(peer_address), message)

    # Loop

    def use_key(self, key: str) -> None:
        """Authenticate messages with a key that all hosts share."""
        self._mailbox.use_key(key)

    async def run(self) -> None:
        """Send and receive until cancelled."""
        await self._mailbox.run()

    def _receive(self, message: OriginMessage) -> None:
        now = self._deps.clock.monotonic()
        if message.host:
            self._heard_at[message.host] = now
        for origin in message.told:
            self.records.record(origin.stream, origin.variant, now)
        if message.query is not None:
            address = message.address or self._listed_address(message.host, now)
            if address:
                reply = self._reply(message.query, now)
                self._post(address, OriginMessage(self._deps.host, reply=reply))
        if message.reply is not None:
            self._receive_reply(message.host, message.reply)

    def _listed_address(self, host: str, now: float) -> str:
        """Return the address of a host whose build does not send it; "": unknown."""
        found = self._holders.record(host, now)
        return "" if found is None else found.address

    def _receive_reply(self, host: str, reply: OriginReply) -> None:
        query = self._queries.get(reply.number)
        if query is None or host not in query.waiting:
            return
        query.waiting.discard(host)
        query.search.add(host, reply)
        if query.search.finding(()).evidence is Evidence.UNKNOWN_PAST:
            # It may have been the last host that was silent.
            now = self._deps.clock.monotonic()
            query.search.learn(self._knowledge(query.asked, now))
        query.notify()

    def _reply(self, query: OriginQuery, now: float) -> OriginReply:
        """Return what this host knows itself."""
        return self._knowledge(query, now).reply

    def _knowledge(self, query: OriginQuery, now: float) -> OwnKnowledge:
        """Return what this host knows of a stream and its service."""
        sources = self._deps.versions
        only, has_several = self._only_variant(query.service, query.seconds, now)
        seconds = query.seconds
        if self._may_be_out_of_step(now):
            seconds = max(seconds, KEEP_SECONDS)
        is_complete = sources.is_complete(seconds, now)
        is_complete = is_complete and sources.routes.is_complete(seconds, now)
        era, until = sources.position() or (FIRST_ERA, Revision(0))
        reply = OriginReply(
            query.number,
            self.records.find(query.stream, now),
            only if is_complete else None,
            has_several,
            until,
            era,
            sources.routes_version() or TableVersion(0),
        )
        return OwnKnowledge(
            reply, only, sources.known_from(), sources.routes.known_from
        )

    def _may_be_out_of_step(self, now: float) -> bool:
        """Return whether a host may begin streams by what was listed long ago.

        One that is listed and silent may have heard of nothing for long.
        """
        silent = self._deps.versions.silent_hosts()
        return silent is None or any(
            now - self._heard_at.get(host, float("-inf")) >= SILENT_SECONDS
            for host in silent
        )

    def _only_variant(
        self, key: ServiceKey, seconds: float, now: float
    ) -> tuple[Variant | None, bool]:
        """Return a service's only known variant, and whether it has had several."""
        sources = self._deps.versions
        for service in sources.services():
            if service_key(service) != key:
                continue
            found = sources.versions(service, seconds, now)
            if len(found) != 1:
                return None, len(found) > 1
            return variant_of(service, next(iter(found))), False
        return None, False


def origin_address(peer_address: str) -> str:
    """Return where a host receives origins, from its address for digests."""
    return address_beside(peer_address, PORT_OFFSET)

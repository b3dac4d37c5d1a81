"""Asks registrars for engines' queues, tells them of prefills, and answers as one."""

import logging
import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

import trio

from berylshift.clock import Clock
from berylshift.ids import InstanceId
from berylshift.messages.load_digest import Urgency, target_hash
from berylshift.messages.prefill_queue import (
    ClosedPrefill,
    EngineQueue,
    OpenedPrefill,
    QueueMessage,
)
from berylshift.process.datagrams.mailbox_loop import (
    MailboxLoop,
    MessageLink,
    address_beside,
)
from berylshift.process.queues.queue_register import QueueRegister
from berylshift.process.queues.queue_view import QueueView
from berylshift.process.queues.registrars import Registrars
from berylshift.store.host_rows import HostRecord

logger = logging.getLogger(__name__)

# How long a decision waits for replies. Hosts are up to some milliseconds apart, and a
# prompt that waits longer than that for a better engine gains little.
REPLY_SECONDS = 0.012
# Bytes that one decision costs at most: queries, replies and four notices.
DECISION_BYTES = 1000
# Decisions that may follow each other without a pause, in seconds of the budget.
BURST_SECONDS = 1.0
# Queries are numbered in 32 bits; 0 is not used.
MAX_QUERY_NUMBER = 0xFFFFFFFF
# Registrars receive at the port after the one for load digests.
PORT_OFFSET = 1


QueueLink = MessageLink[QueueMessage]


@dataclass
class _Query:
    waiting: set[str]
    done: trio.Event


@dataclass
class QueueLoopDependencies:
    """What the loop works with; ``byte_budget`` in bytes per second."""

    host: str
    # Where this host receives digests.
    address: str
    hosts: Callable[[], Iterable[HostRecord] | None]
    make_link: Callable[[str], QueueLink]
    clock: Clock
    rng: random.Random
    view: QueueView
    byte_budget: int


class QueueLoop:
    """Queries, notices and replies of one host."""

    def __init__(self, deps: QueueLoopDependencies):
        """Work with ``deps``; nothing is sent before ``run``."""
        self._deps = deps
        now = deps.clock.monotonic()
        self.register = QueueRegister(now)
        self._registrars = Registrars(deps.hosts)
        self._queries: dict[int, _Query] = {}
        self._last_query = 0
        self._last_ticket = deps.rng.getrandbits(62)
        self._mailbox = MailboxLoop(deps.make_link, self._receive)
        self._budget_at = now
        self._budget = 0.0
        self.asked = 0
        self.unanswered = 0

    # For requests

    async def refresh(self, instances: Collection[InstanceId]) -> list[InstanceId]:
        """Ask the registrars of some engines for their queues; wait a moment at most.

        Return the engines whose queues are known now.
        """
        now = self._deps.clock.monotonic()
        if not self._mailbox.has_key or not instances or not self._take_budget(now):
            return []
        query = _Query(set(), trio.Event())
        number = self._register(query)
        for host, targets in self._by_registrar(instances, now).items():
            if host.host == self._deps.host:
                self._answer_self(targets, now)
            elif self._ask(host, number, targets):
                query.waiting.add(host.host)
        if query.waiting:
            await self._await_replies(number, query)
        else:
            del self._queries[number]
        now = self._deps.clock.monotonic()
        return [name for name in instances if self._deps.view.is_known(name, now)]

    def open(
        self, instance: InstanceId, tokens: int, urgency: Urgency
    ) -> "OpenPrefill":
        """Tell the engine's registrars that a prompt was sent there."""
        self._last_ticket += 1
        opened = OpenedPrefill(
            target_hash(instance), self._last_ticket, tokens, urgency
        )
        now = self._deps.clock.monotonic()
        registrars = (
            self._registrars.of(opened.target, now) if self._mailbox.has_key else ()
        )
        for registrar in registrars:
            if registrar.host == self._deps.host:
                self.register.open(opened, now)
            else:
                message = QueueMessage(self._deps.host, opened=(opened,))
                self._post(registrar.address, message)
        return OpenPrefill(self, registrars, opened)

    def close(self, registrars: tuple[HostRecord, ...], opened: OpenedPrefill) -> None:
        """Tell the registrars that were told of a prefill that it has ended."""
        closed = ClosedPrefill(opened.target, opened.ticket)
        for registrar in registrars:
            if registrar.host == self._deps.host:
                self.register.close(closed, self._deps.clock.monotonic())
            else:
                message = QueueMessage(self._deps.host, closed=(closed,))
                self._post(registrar.address, message)

    def _register(self, query: _Query) -> int:
        """Return the number of a new query."""
        self._last_query = self._last_query % MAX_QUERY_NUMBER + 1
        self._queries[self._last_query] = query
        return self._last_query

    def _by_registrar(
        self, instances: Iterable[InstanceId], now: float
    ) -> dict[HostRecord, tuple[int, ...]]:
        found: dict[HostRecord, tuple[int, ...]] = {}
        for instance in instances:
            target = target_hash(instance)
            registrar = self._registrars.to_ask(target, now)
            if registrar is not None:
                found[registrar] = (*found.get(registrar, ()), target)
        return found

    def _ask(self, host: HostRecord, number: int, targets: tuple[int, ...]) -> bool:
        deps = self._deps
        message = QueueMessage(deps.host, number, targets, address=deps.address)
        return self._post(host.address, message)

    def _answer_self(self, targets: tuple[int, ...], now: float) -> None:
        for target in targets:
            tokens = self.register.tokens(target, now)
            complete = self.register.is_complete(now)
            self._deps.view.record(target, tokens, complete, now)

    async def _await_replies(self, number: int, query: _Query) -> None:
        self.asked += 1
        try:
            with trio.move_on_after(REPLY_SECONDS):
                await query.done.wait()
        finally:
            del self._queries[number]
        if query.waiting:
            self.unanswered += 1
            now = self._deps.clock.monotonic()
            for host in query.waiting:
                self._registrars.suspect(host, now)

    def _take_budget(self, now: float) -> bool:
        """Return whether the byte budget allows another decision."""
        per_second = self._deps.byte_budget / DECISION_BYTES
        earned = (now - self._budget_at) * per_second
        self._budget = min(per_second * BURST_SECONDS, self._budget + earned)
        self._budget_at = now
        if self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True

    def _post(self, peer_address: str, message: QueueMessage) -> bool:
        return self._mailbox.post(queue_address(peer_address), message)

    # Loop

    def use_key(self, key: str) -> None:
        """Authenticate messages with a key that all hosts share."""
        self._mailbox.use_key(key)

    async def run(self) -> None:
        """Send and receive until cancelled."""
        await self._mailbox.run()

    def _receive(self, message: QueueMessage) -> None:
        now = self._deps.clock.monotonic()
        for opened in message.opened:
            self.register.open(opened, now)
        for closed in message.closed:
            self.register.close(closed, now)
        if message.asked:
            self._reply(message, now)
        elif message.query:
            self._receive_reply(message, now)

    def _reply(self, message: QueueMessage, now: float) -> None:
        address = message.address or self._listed_address(message.host, now)
        if not address:
            return
        queues = tuple(
            EngineQueue(target, self.register.tokens(target, now))
            for target in message.asked
        )
        complete = self.register.is_complete(now)
        reply = QueueMessage(
            self._deps.host, message.query, queues=queues, complete=complete
        )
        self._post(address, reply)

    def _listed_address(self, host: str, now: float) -> str:
        """Return the address of a host whose build does not send it; "": unknown."""
        found = self._registrars.record(host, now)
        return "" if found is None else found.address

    def _receive_reply(self, message: QueueMessage, now: float) -> None:
        query = self._queries.get(message.query)
        if query is None or message.host not in query.waiting:
            return
        for queue in message.queues:
            self._deps.view.record(queue.target, queue.tokens, message.complete, now)
        query.waiting.discard(message.host)
        if not query.waiting:
            query.done.set()


class OpenPrefill:
    """A prefill of this host that its engine's registrars were told of."""

    def __init__(
        self,
        loop: QueueLoop,
        registrars: tuple[HostRecord, ...],
        opened: OpenedPrefill,
    ):
        """Remember the registrars that were told."""
        self._loop = loop
        self._registrars = registrars
        self._opened = opened

    def close(self) -> None:
        """Tell the registrars that it has ended."""
        self._loop.close(self._registrars, self._opened)


def queue_address(peer_address: str) -> str:
    """Return where a host receives queue messages, from its address for digests."""
    return address_beside(peer_address, PORT_OFFSET)

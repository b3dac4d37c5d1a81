"""A simulated host: the real placement and the state that it uses."""

import random

from berylshift.ids import DomainName
from berylshift.messages.load_digest import LoadDigest
from berylshift.model.event_queue import EventQueue
from berylshift.process.gossip.peer_loads import PeerLoads
from berylshift.process.gossip.protocol import REPEAT_SECONDS, SEND_SECONDS
from berylshift.process.quarantine.quarantine import Quarantine
from berylshift.process.targets.engine_speeds import EngineSpeeds
from berylshift.process.targets.prefix_cache_index import PrefixCacheIndex
from berylshift.process.targets.target_load import TargetLoads
from berylshift.scheduling.placement_policies import (
    PLACEMENT_POLICIES,
    PlacementContext,
)
from berylshift.scheduling.prefill_scheduler import PrefillScheduler
from berylshift.version.routes import EngineFacts

# Interval at which engines renew their directory entries.
HEARTBEAT_SECONDS = 1.2


class ModelHost:
    """One host, which sends the load digests that a real one sends."""

    def __init__(
        self,
        queue: EventQueue,
        name: str,
        domain: DomainName,
        placing: str,
        seed: int,
        facts: EngineFacts,
    ):
        """Place by the policy named ``placing``; ``facts`` are the configured ones."""
        self._queue = queue
        self.name = name
        self.domain = domain
        self.loads = TargetLoads()
        self.peers = PeerLoads(name)
        self.prefix_cache = PrefixCacheIndex()
        self.rng = random.Random(seed)
        self.speeds = EngineSpeeds(lambda service: facts)
        context = PlacementContext(
            self.loads, self.peers, self.prefix_cache, self.speeds, domain, self.rng
        )
        self.placer = PLACEMENT_POLICIES[placing](context)
        self.quarantine = Quarantine(HEARTBEAT_SECONDS)
        self._other_hosts: list[ModelHost] = []
        self.prefill_scheduler = PrefillScheduler(
            self.placer, self.speeds, lambda: len(self._other_hosts) + 1
        )
        self._sequence = 0
        self._last_entries: object = None
        self._last_sent_at = float("-inf")

    def start_gossip(self, others: list["ModelHost"]) -> None:
        """Start to send digests to ``others``."""
        self._other_hosts = others
        self._queue.call_after(self.rng.uniform(0, SEND_SECONDS), self._send_digest)

    def _send_digest(self) -> None:
        now = self._queue.monotonic()
        entries, prefills = (
            self.loads.entries(now),
            self.prefix_cache.prefills_to_send(now),
        )
        crashes = self.quarantine.take_reports(now)
        finished = self.quarantine.pending_completions(now)
        blocks = self.quarantine.blocks.take_reports(now)
        repeat_due = now - self._last_sent_at >= REPEAT_SECONDS
        if (
            entries != self._last_entries
            or prefills
            or crashes
            or finished
            or blocks
            or repeat_due
        ):
            self._last_entries, self._last_sent_at = entries, now
            self._sequence += 1
            digest = LoadDigest(
                self.name,
                self._sequence,
                entries,
                prefills,
                crashes=crashes,
                finished=finished,
                blocks=blocks,
            )
            for other in self._other_hosts:
                other.receive(digest)
        self._queue.call_after(SEND_SECONDS, self._send_digest)

    def receive(self, digest: LoadDigest) -> None:
        """Merge another host's digest."""
        now = self._queue.monotonic()
        self.peers.receive(digest, now)
        self.prefix_cache.merge(digest.prefills, now)
        self.quarantine.merge(digest.crashes, digest.finished, now, is_own_domain=False)
        self.quarantine.blocks.merge(digest.blocks, now, is_own_domain=False)

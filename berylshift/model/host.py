"""A modelled host: the real placement and what it knows."""

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
from berylshift.request.placement_policies import PLACEMENT_POLICIES, PlacementContext
from berylshift.request.prefill_scheduler import PrefillScheduler
from berylshift.version.routes import EngineFacts

# How often engines renew their entries.
HEARTBEAT_SECONDS = 1.2


class ModelHost:
    """One host; it tells the others what a real one tells."""

    def __init__(
        self,
        queue: EventQueue,
        name: str,
        domain: DomainName,
        placing: str,
        seed: int,
        facts: EngineFacts,
    ):
        """Place by the policy that ``placing`` names; ``facts`` are configured."""
        self._queue = queue
        self.name = name
        self.domain = domain
        self.loads = TargetLoads()
        self.peers = PeerLoads(name)
        self.warm = PrefixCacheIndex()
        self.rng = random.Random(seed)
        self.speeds = EngineSpeeds(lambda service: facts)
        parts = PlacementContext(
            self.loads, self.peers, self.warm, self.speeds, domain, self.rng
        )
        self.placer = PLACEMENT_POLICIES[placing](parts)
        self.quarantine = Quarantine(HEARTBEAT_SECONDS)
        self._others: list[ModelHost] = []
        self.readings = PrefillScheduler(
            self.placer, self.speeds, lambda: len(self._others) + 1
        )
        self._sequence = 0
        self._last: object = None
        self._last_at = float("-inf")

    def join(self, others: list["ModelHost"]) -> None:
        """Begin to tell ``others``."""
        self._others = others
        self._queue.after(self.rng.uniform(0, SEND_SECONDS), self._tell)

    def _tell(self) -> None:
        now = self._queue.monotonic()
        entries, reads = self.loads.entries(now), self.warm.prefills_to_send(now)
        crashes = self.quarantine.take_reports(now)
        finished = self.quarantine.pending_completions(now)
        due = now - self._last_at >= REPEAT_SECONDS
        if entries != self._last or reads or crashes or finished or due:
            self._last, self._last_at = entries, now
            self._sequence += 1
            digest = LoadDigest(
                self.name,
                self._sequence,
                entries,
                reads,
                crashes=crashes,
                finished=finished,
            )
            for other in self._others:
                other.hear(digest)
        self._queue.after(SEND_SECONDS, self._tell)

    def hear(self, digest: LoadDigest) -> None:
        """Take over what another host tells."""
        now = self._queue.monotonic()
        self.peers.receive(digest, now)
        self.warm.merge(digest.prefills)
        self.quarantine.merge(digest.crashes, digest.finished, now, is_own_domain=False)

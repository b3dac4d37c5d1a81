"""The queues of prefill engines, for the services that ask registrars for them."""

from collections.abc import Collection

from berylshift.ids import InstanceId, ServiceName
from berylshift.messages.load_digest import Urgency
from berylshift.messages.replicas import Replica
from berylshift.process.queues.queue_loop import OpenPrefill, QueueLoop
from berylshift.scheduling.features import NO_FEATURES, Feature, Features


class EngineQueues:
    """Queries and notices to registrars, where ``Feature.QUEUE_QUERIES`` is used."""

    def __init__(self, loop: QueueLoop | None = None, features: Features = NO_FEATURES):
        """Use ``loop``; ``None``: hosts exchange no queue messages."""
        self._loop = loop
        self._features = features

    def are_used(self, service: ServiceName) -> bool:
        """Return whether a service asks for queues."""
        return self._loop is not None and self._features.uses(
            Feature.QUEUE_QUERIES, service
        )

    async def ask(self, instances: Collection[InstanceId]) -> list[InstanceId]:
        """Ask for the queues of engines; return those whose queues are known now."""
        return [] if self._loop is None else await self._loop.refresh(instances)

    def open(
        self, engine: Replica, tokens: int, urgency: Urgency
    ) -> OpenPrefill | None:
        """Announce a prompt that is sent to an engine."""
        if self._loop is None or not self.are_used(engine.service):
            return None
        return self._loop.open(engine.instance, tokens, urgency)

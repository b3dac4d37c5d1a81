"""A plain service in memory: answers lookups, counts each confirmation it ran."""

from collections import Counter
from dataclasses import dataclass, field

import msgspec
import xxhash

from berylshift.targets import ServiceCall, ServiceResponse, TargetRefusedError

STATUS_OK = 200


@dataclass
class ServiceScript:
    """Faults of a service; ``lose_answers`` counts answers to be cut off.

    A call with the body ``crashes_on`` ends the replica that runs it.
    """

    refuse: bool = False
    # Seconds for which a refusal asks to back off.
    retry_after: float = 0.0
    crashes_on: bytes | None = None
    lose_answers: int = 0
    seconds: float = 0.02


class ServiceBody(msgspec.Struct, frozen=True):
    """What the service answers."""

    replica: str
    echo: str


@dataclass
class FakeService:
    """State of one replica; ``ran`` is shared by the replicas of a service."""

    name: str
    ran: Counter = field(default_factory=Counter)
    script: ServiceScript = field(default_factory=ServiceScript)
    calls: int = 0
    refused: int = 0
    alive: bool = True

    def run(self, call: ServiceCall) -> ServiceResponse:
        """Run a call and return its answer; raise ``TargetRefusedError``."""
        if self.script.refuse:
            self.refused += 1
            raise TargetRefusedError("scripted refusal", self.script.retry_after)
        self.calls += 1
        if self.script.crashes_on is not None:
            self.alive = self.alive and call.body != self.script.crashes_on
        if call.key:
            self.ran[call.key] += 1
        body = msgspec.json.encode(ServiceBody(self.name, service_echo(call.body)))
        return ServiceResponse(STATUS_OK, {"content-type": "application/json"}, body)

    def loses_answer(self) -> bool:
        """Return whether the answer just made is to be cut off."""
        if self.script.lose_answers <= 0:
            return False
        self.script.lose_answers -= 1
        return True


def service_echo(body: bytes) -> str:
    """Return what every replica answers to ``body``."""
    return xxhash.xxh64_hexdigest(body)

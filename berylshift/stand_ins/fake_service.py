"""A fake plain service: echoes calls and counts executions by idempotency key."""

from collections import Counter
from dataclasses import dataclass, field

import msgspec
import xxhash

from berylshift.targets import ServiceCall, ServiceResponse, TargetRefusedError

STATUS_OK = 200


@dataclass
class ServiceScript:
    """Faults of a service; ``lose_answers`` is how many responses to drop.

    A call with the body ``crashes_on`` crashes the replica that runs it.
    """

    refuse: bool = False
    # Back-off in seconds that a refusal asks for.
    retry_after: float = 0.0
    crashes_on: bytes | None = None
    lose_answers: int = 0
    seconds: float = 0.02


class ServiceBody(msgspec.Struct, frozen=True):
    """Body of the service's response."""

    replica: str
    echo: str


@dataclass
class FakeService:
    """One replica; ``ran`` counts executions by key over all replicas of a service."""

    name: str
    ran: Counter = field(default_factory=Counter)
    script: ServiceScript = field(default_factory=ServiceScript)
    calls: int = 0
    refused: int = 0
    alive: bool = True

    def run(self, call: ServiceCall) -> ServiceResponse:
        """Run a call and return its response; raise ``TargetRefusedError``."""
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

    def take_lost_answer(self) -> bool:
        """Return whether to drop the current response, and count it."""
        if self.script.lose_answers <= 0:
            return False
        self.script.lose_answers -= 1
        return True


def service_echo(body: bytes) -> str:
    """Return the echo field of every replica's response to ``body``."""
    return xxhash.xxh64_hexdigest(body)

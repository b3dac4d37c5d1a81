"""Generation of synthetic traces from phases with rates and sizes, by fixed seeds."""

import random
from dataclasses import dataclass

from berylshift.replay.trace import (
    Expect,
    Kind,
    Trace,
    TraceEvent,
    TraceRequest,
)

SECONDS_PER_TOKEN = 0.025
PREFILL_TOKENS_PER_SECOND = 8000
SLACK_SECONDS = 2.0
SLACK_FACTOR = 2.0
SERVICE_DEADLINE_MS = 3000
SIZE_SPREAD = 0.5


@dataclass(frozen=True)
class Mixture:
    """Mean sizes of model calls in tokens, and the fractions of other calls.

    ``plain_share`` of all calls go to the plain service; ``confirm_share`` of these are
    not idempotent.
    """

    prompt: int
    output: int
    plain_share: float = 0.2
    confirm_share: float = 0.3


@dataclass(frozen=True)
class Phase:
    """Requests at a constant rate; the mixture changes linearly to ``end``."""

    seconds: float
    rate: float
    start: Mixture
    end: Mixture | None = None

    def at(self, share: float) -> Mixture:
        """Return the mixture after a fraction ``share`` of the phase."""
        end = self.end or self.start
        return Mixture(
            prompt=_interpolate(self.start.prompt, end.prompt, share),
            output=_interpolate(self.start.output, end.output, share),
            plain_share=self.start.plain_share,
            confirm_share=self.start.confirm_share,
        )


@dataclass(frozen=True)
class Deployment:
    """Fleet, targets and callers of one of the two users."""

    fleet: str
    model: str
    service: str
    customers: tuple[str, ...]
    prefixes: int
    caller: str


NESTWATCH = Deployment(
    "nestwatch", "match-note", "booking", ("hobart", "launceston"), 60, "parent"
)
CONSORCIO = Deployment(
    "consorcio",
    "catalogue",
    "inventory",
    ("tornillos-1", "tornillos-2", "tornillos-3", "tornillos-4"),
    40,
    "clerk",
)


def _interpolate(first: int, last: int, share: float) -> int:
    return int(first + (last - first) * share)


def make_trace(
    name: str,
    deployment: Deployment,
    phases: list[Phase],
    expect: Expect,
    events: list[TraceEvent] = (),
    seed: int = 1,
) -> Trace:
    """Return a trace with random arrivals, reproducible for a seed."""
    rng = random.Random(f"{name}/{seed}")
    requests: list[TraceRequest] = []
    start = 0.0
    for phase in phases:
        at = start + rng.expovariate(phase.rate)
        while at < start + phase.seconds:
            mixture = phase.at((at - start) / phase.seconds)
            requests.append(_request(len(requests), at, deployment, mixture, rng))
            at += rng.expovariate(phase.rate)
        start += phase.seconds
    return Trace(name, expect, requests, list(events))


def _request(
    number: int,
    at: float,
    deployment: Deployment,
    mixture: Mixture,
    rng: random.Random,
) -> TraceRequest:
    common_fields = {
        "at_ms": int(at * 1000),
        "caller": f"{deployment.caller}-{number % 997}",
        "customer": rng.choice(deployment.customers),
        "fleet": deployment.fleet,
    }
    if rng.random() < mixture.plain_share:
        return TraceRequest(
            **common_fields,
            kind=Kind.SERVICE,
            service=deployment.service,
            deadline_ms=SERVICE_DEADLINE_MS,
            idempotent=rng.random() >= mixture.confirm_share,
        )
    prompt = _random_size(mixture.prompt, rng)
    output = _random_size(mixture.output, rng)
    return TraceRequest(
        **common_fields,
        kind=Kind.MODEL,
        model=deployment.model,
        prefix=f"{deployment.fleet}-{rng.randrange(deployment.prefixes)}",
        prompt_tokens=prompt,
        output_tokens=output,
        deadline_ms=deadline_ms(prompt, output),
    )


def _random_size(mean: int, rng: random.Random) -> int:
    return max(8, int(mean * rng.uniform(1 - SIZE_SPREAD, 1 + SIZE_SPREAD)))


def deadline_ms(prompt: int, output: int) -> int:
    """Return a deadline in milliseconds: twice an idle engine's time, plus slack."""
    idle_seconds = prompt / PREFILL_TOKENS_PER_SECOND + output * SECONDS_PER_TOKEN
    return int(1000 * (SLACK_SECONDS + SLACK_FACTOR * idle_seconds))

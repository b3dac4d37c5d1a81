"""Workloads that traces are made of: phases with rates and sizes, fixed seeds."""

import random
from dataclasses import dataclass

from berylshift.replay.trace import (
    Expect,
    Kind,
    Trace,
    TraceEvent,
    TraceRequest,
)

SECONDS_A_TOKEN = 0.025
PREFILL_RATE = 8000
SLACK_SECONDS = 2.0
SLACK_FACTOR = 2.0
SERVICE_DEADLINE_MS = 3000
SPREAD = 0.5


@dataclass(frozen=True)
class Mixture:
    """Sizes of a phase's model calls in tokens, and the share of plain calls."""

    prompt: int
    output: int
    plain_share: float = 0.2
    confirm_share: float = 0.3


@dataclass(frozen=True)
class Phase:
    """Some seconds at a rate; the mixture moves evenly from ``start`` to ``end``."""

    seconds: float
    rate: float
    start: Mixture
    end: Mixture | None = None

    def at(self, share: float) -> Mixture:
        """Return the mixture after ``share`` of the phase."""
        end = self.end or self.start
        return Mixture(
            prompt=_between(self.start.prompt, end.prompt, share),
            output=_between(self.start.output, end.output, share),
            plain_share=self.start.plain_share,
            confirm_share=self.start.confirm_share,
        )


@dataclass(frozen=True)
class Deployment:
    """Who asks what: one of the two users."""

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


def _between(one: int, other: int, share: float) -> int:
    return int(one + (other - one) * share)


def make_trace(
    name: str,
    deployment: Deployment,
    phases: list[Phase],
    expect: Expect,
    events: list[TraceEvent] = (),
    seed: int = 1,
) -> Trace:
    """Return a trace with arrivals at random, the same for one seed."""
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
    common = {
        "at_ms": int(at * 1000),
        "caller": f"{deployment.caller}-{number % 997}",
        "customer": rng.choice(deployment.customers),
        "fleet": deployment.fleet,
    }
    if rng.random() < mixture.plain_share:
        return TraceRequest(
            **common,
            kind=Kind.SERVICE,
            service=deployment.service,
            deadline_ms=SERVICE_DEADLINE_MS,
            idempotent=rng.random() >= mixture.confirm_share,
        )
    prompt = _spread(mixture.prompt, rng)
    output = _spread(mixture.output, rng)
    return TraceRequest(
        **common,
        kind=Kind.MODEL,
        model=deployment.model,
        prefix=f"{deployment.fleet}-{rng.randrange(deployment.prefixes)}",
        prompt_tokens=prompt,
        output_tokens=output,
        deadline_ms=deadline_ms(prompt, output),
    )


def _spread(mean: int, rng: random.Random) -> int:
    return max(8, int(mean * rng.uniform(1 - SPREAD, 1 + SPREAD)))


def deadline_ms(prompt: int, output: int) -> int:
    """Return a deadline that leaves a factor of two over an idle engine."""
    alone = prompt / PREFILL_RATE + output * SECONDS_A_TOKEN
    return int(1000 * (SLACK_SECONDS + SLACK_FACTOR * alone))

"""Prompts as callers send them: waves, bursts and swings between kinds."""

import math
import random
from functools import lru_cache

import msgspec

from berylshift.ids import BlockId, Fingerprint
from berylshift.messages.routed import Prompt, PromptBlock
from berylshift.model.figures import KindFigures, PartFigures, SiteFigures

OUTPUT_TOKENS = 80
BISECTIONS = 40
LEAST_EVENTS = 4


class Arrival(msgspec.Struct, frozen=True):
    """A prompt that reaches ``host`` at a time; its answer has ``events`` events.

    One that ``crashes`` ends each engine that begins to answer it.
    """

    at: float
    kind: KindFigures
    prompt: Prompt
    events: int
    host: int
    crashes: bool = False

    @property
    def fingerprint(self) -> Fingerprint:
        """Return what all tries of the prompt share."""
        own = self.prompt.blocks[-1].id
        return Fingerprint(int(own, 16))


class Crasher(msgspec.Struct, frozen=True):
    """A caller that comes ``tries`` times with a prompt that ends engines."""

    at: float
    pause: float
    tries: int


class Burst(msgspec.Struct, frozen=True):
    """``factor`` times the traffic of a kind, or of all, for some seconds."""

    at: float
    seconds: float
    factor: float
    kind: str = ""

    def touches(self, time: float, kind: KindFigures) -> bool:
        """Return whether it changes the rate of a kind at a time."""
        if self.kind and self.kind != kind.name:
            return False
        return self.at <= time < self.at + self.seconds


class Traffic:
    """Makes the prompts of one play."""

    def __init__(self, site: SiteFigures, rng: random.Random):
        """Draw the shared parts' sizes once: they belong to the site."""
        self._site = site
        self._rng = rng
        self._sizes: dict[BlockId, int] = {}

    def arrivals(self, seconds: float, bursts: tuple[Burst, ...]) -> list[Arrival]:
        """Return the prompts of so many seconds, in order."""
        found = []
        for kind in self._site.kinds:
            found += self._of_kind(kind, seconds, bursts)
        return sorted(found, key=lambda arrival: arrival.at)

    def of_crasher(self, crasher: Crasher) -> list[Arrival]:
        """Return the tries of one prompt, of a random kind, each at any host."""
        kind = self._rng.choice(self._site.kinds)
        prompt = self._prompt(kind)
        # Never so few that the answer is whole before it has ended its engine.
        events = max(LEAST_EVENTS, int(self._draw(kind.events)))
        return [
            Arrival(
                crasher.at + number * crasher.pause,
                kind,
                prompt,
                events,
                self._rng.randrange(self._site.hosts),
                True,
            )
            for number in range(crasher.tries)
        ]

    def _of_kind(
        self, kind: KindFigures, seconds: float, bursts: tuple[Burst, ...]
    ) -> list[Arrival]:
        """Draw arrivals at the highest rate and keep the share that the time has."""
        highest = 1 + self._site.swing
        for burst in bursts:
            highest *= max(1.0, burst.factor)
        found, time = [], 0.0
        while True:
            time += self._rng.expovariate(kind.rate * highest)
            if time >= seconds:
                return found
            host = self._rng.randrange(self._site.hosts)
            if self._rng.random() * highest < self._factor(kind, host, time, bursts):
                events = max(1, int(self._draw(kind.events)))
                found.append(Arrival(time, kind, self._prompt(kind), events, host))

    def _factor(
        self, kind: KindFigures, host: int, time: float, bursts: tuple[Burst, ...]
    ) -> float:
        site = self._site
        phase = (host % site.domains) / site.domains
        factor = 1 + site.swing * math.sin(2 * math.pi * (time / site.period + phase))
        for burst in bursts:
            if burst.touches(time, kind):
                factor *= burst.factor
        return factor

    def _prompt(self, kind: KindFigures) -> Prompt:
        parts = [
            self._shared(kind, place, part) for place, part in enumerate(kind.shared)
        ]
        own = max(1, round(self._draw(kind.own)))
        name = BlockId(f"{self._rng.getrandbits(64):016x}")
        parts.append(PromptBlock(name, own))
        tokens = sum(part.tokens for part in parts)
        return Prompt(tuple(parts), tokens, OUTPUT_TOKENS)

    def _shared(self, kind: KindFigures, place: int, part: PartFigures) -> PromptBlock:
        weights = [(number + 1) ** -part.skew for number in range(part.count)]
        (number,) = self._rng.choices(range(part.count), weights)
        name = BlockId(f"{kind.name}-{place}-{number}")
        size = self._sizes.get(name)
        if size is None:
            size = self._sizes[name] = max(1, round(self._draw(part)))
        return PromptBlock(name, size)

    def _draw(self, part: PartFigures) -> float:
        """Draw a size of the mean, spread and bound given, log-normally."""
        if not part.spread:
            return part.mean
        middle = _middle(part.mean, part.spread, part.most)
        return min(part.most, self._rng.lognormvariate(middle, part.spread))


@lru_cache
def _middle(mean: float, spread: float, most: float) -> float:
    """Return the logarithm of the median that gives ``mean`` once sizes are cut."""
    low, high = math.log(mean) - spread**2 / 2, math.log(mean)
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if _cut_mean(middle, spread, most) < mean:
            low = middle
        else:
            high = middle
    return (low + high) / 2


def _cut_mean(middle: float, spread: float, most: float) -> float:
    """Return the mean of log-normal sizes of which none counts over ``most``."""
    far = (math.log(most) - middle) / spread
    below = math.exp(middle + spread**2 / 2) * _normal(far - spread)
    return below + most * (1 - _normal(far))


def _normal(value: float) -> float:
    return (1 + math.erf(value / math.sqrt(2))) / 2

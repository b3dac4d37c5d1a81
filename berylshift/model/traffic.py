"""Simulated arrivals: rate oscillations, bursts and shifts between prompt kinds."""

import math
import random
from functools import lru_cache

import msgspec
import xxhash

from berylshift.ids import BlockId, BlockKey, Fingerprint
from berylshift.messages.block_key import BlockHash, join_key
from berylshift.messages.routed import Prompt, PromptBlock
from berylshift.model.parameters import KindParameters, SiteParameters, SizeDistribution

OUTPUT_TOKENS = 80
BISECTIONS = 40
MIN_EVENTS = 4
# Size of a prompt block that crashes engines.
BLOCK_TOKENS = 300


class Arrival(msgspec.Struct, frozen=True):
    """A prompt that reaches ``host``; its response has ``event_count`` events.

    One that ``crashes`` crashes each engine that starts to decode it.
    """

    at: float
    kind: KindParameters
    prompt: Prompt
    event_count: int
    host: int
    crashes: bool = False

    @property
    def fingerprint(self) -> Fingerprint:
        """Return the fingerprint that all attempts of the prompt share."""
        suffix_id = self.prompt.blocks[-1].id
        return Fingerprint(int(suffix_id, 16))

    @property
    def block_keys(self) -> tuple[BlockKey, ...]:
        """Return the keys of the blocks that other prompts may share."""
        return tuple(
            join_key(BlockHash(xxhash.xxh32_intdigest(block.id.encode())))
            for block in self.prompt.prefix_blocks
        )


class CrashingCaller(msgspec.Struct, frozen=True):
    """A caller that sends a prompt that crashes engines ``attempts`` times."""

    at: float
    interval_seconds: float
    attempts: int


class CrashingBlock(msgspec.Struct, frozen=True):
    """A prompt block in ``prompts`` new prompts, each of which crashes engines."""

    id: BlockId
    at: float
    interval_seconds: float
    prompts: int


class Burst(msgspec.Struct, frozen=True):
    """A rate increase by ``factor`` for one kind, or for all, for some seconds."""

    at: float
    seconds: float
    factor: float
    kind: str = ""

    def applies_to(self, time: float, kind: KindParameters) -> bool:
        """Return whether the burst changes the rate of a kind at a time."""
        if self.kind and self.kind != kind.name:
            return False
        return self.at <= time < self.at + self.seconds


class Traffic:
    """Generates the prompts of one simulation."""

    def __init__(self, site: SiteParameters, rng: random.Random):
        """Start without block sizes: each is drawn once, as it belongs to the site."""
        self._site = site
        self._rng = rng
        self._sizes: dict[BlockId, int] = {}

    def arrivals(self, seconds: float, bursts: tuple[Burst, ...]) -> list[Arrival]:
        """Return the arrivals within ``seconds``, in order of time."""
        found = []
        for kind in self._site.kinds:
            found += self._kind_arrivals(kind, seconds, bursts)
        return sorted(found, key=lambda arrival: arrival.at)

    def crashing_arrivals(self, caller: CrashingCaller) -> list[Arrival]:
        """Return the attempts of one prompt of a random kind, each at a random host."""
        kind = self._rng.choice(self._site.kinds)
        prompt = self._prompt(kind)
        # With fewer events the response could complete before it crashes its engine.
        event_count = max(MIN_EVENTS, int(self._draw(kind.event_counts)))
        return [
            Arrival(
                caller.at + number * caller.interval_seconds,
                kind,
                prompt,
                event_count,
                self._rng.randrange(self._site.hosts),
                True,
            )
            for number in range(caller.attempts)
        ]

    def crashing_block_arrivals(self, block: CrashingBlock) -> list[Arrival]:
        """Return prompts of all kinds with a block at a random place but the last."""
        found = []
        for number in range(block.prompts):
            kind = self._rng.choice(self._site.kinds)
            prompt = self._prompt(kind)
            blocks = list(prompt.blocks)
            place = self._rng.randrange(len(blocks))
            blocks.insert(place, PromptBlock(block.id, BLOCK_TOKENS))
            found.append(
                Arrival(
                    block.at + number * block.interval_seconds,
                    kind,
                    Prompt(tuple(blocks), prompt.tokens + BLOCK_TOKENS, OUTPUT_TOKENS),
                    max(MIN_EVENTS, int(self._draw(kind.event_counts))),
                    self._rng.randrange(self._site.hosts),
                    True,
                )
            )
        return found

    def _kind_arrivals(
        self, kind: KindParameters, seconds: float, bursts: tuple[Burst, ...]
    ) -> list[Arrival]:
        """Draw arrivals at the peak rate and thin them to the rate of each time."""
        peak_factor = 1 + self._site.swing_fraction
        for burst in bursts:
            peak_factor *= max(1.0, burst.factor)
        found, time = [], 0.0
        while True:
            time += self._rng.expovariate(kind.rate * peak_factor)
            if time >= seconds:
                return found
            host = self._rng.randrange(self._site.hosts)
            if self._rng.random() * peak_factor < self._rate_factor(
                kind, host, time, bursts
            ):
                event_count = max(1, int(self._draw(kind.event_counts)))
                found.append(Arrival(time, kind, self._prompt(kind), event_count, host))

    def _rate_factor(
        self, kind: KindParameters, host: int, time: float, bursts: tuple[Burst, ...]
    ) -> float:
        site = self._site
        phase = (host % site.domains) / site.domains
        factor = 1 + site.swing_fraction * math.sin(
            2 * math.pi * (time / site.swing_period_seconds + phase)
        )
        for burst in bursts:
            if burst.applies_to(time, kind):
                factor *= burst.factor
        return factor

    def _prompt(self, kind: KindParameters) -> Prompt:
        blocks = [
            self._prefix_block(kind, index, sizes)
            for index, sizes in enumerate(kind.prefix_blocks)
        ]
        suffix_tokens = max(1, round(self._draw(kind.suffix)))
        name = BlockId(f"{self._rng.getrandbits(64):016x}")
        blocks.append(PromptBlock(name, suffix_tokens))
        tokens = sum(block.tokens for block in blocks)
        return Prompt(tuple(blocks), tokens, OUTPUT_TOKENS)

    def _prefix_block(
        self, kind: KindParameters, index: int, sizes: SizeDistribution
    ) -> PromptBlock:
        weights = [(number + 1) ** -sizes.skew for number in range(sizes.count)]
        (number,) = self._rng.choices(range(sizes.count), weights)
        name = BlockId(f"{kind.name}-{index}-{number}")
        size = self._sizes.get(name)
        if size is None:
            size = self._sizes[name] = max(1, round(self._draw(sizes)))
        return PromptBlock(name, size)

    def _draw(self, sizes: SizeDistribution) -> float:
        """Draw a log-normal size, clipped at the maximum."""
        if not sizes.sigma:
            return sizes.mean
        log_median = _log_median(sizes.mean, sizes.sigma, sizes.maximum)
        return min(sizes.maximum, self._rng.lognormvariate(log_median, sizes.sigma))


@lru_cache
def _log_median(mean: float, sigma: float, maximum: float) -> float:
    """Return the log of the median whose clipped distribution has ``mean``."""
    low, high = math.log(mean) - sigma**2 / 2, math.log(mean)
    for _ in range(BISECTIONS):
        log_median = (low + high) / 2
        if _clipped_mean(log_median, sigma, maximum) < mean:
            low = log_median
        else:
            high = log_median
    return (low + high) / 2


def _clipped_mean(log_median: float, sigma: float, maximum: float) -> float:
    """Return the mean of a log-normal distribution clipped at ``maximum``."""
    bound = (math.log(maximum) - log_median) / sigma
    below = math.exp(log_median + sigma**2 / 2) * _normal_cdf(bound - sigma)
    return below + maximum * (1 - _normal_cdf(bound))


def _normal_cdf(value: float) -> float:
    return (1 + math.erf(value / math.sqrt(2))) / 2

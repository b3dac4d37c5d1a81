"""Published parameters of engines and of users' traffic; times in seconds."""

import msgspec

from berylshift.ids import RouteName, ServiceName
from berylshift.version.routes import EngineFacts

# The only service of a simulated fleet.
SERVICE = ServiceName("model")
# Exponent of the power law by which prompts use prefix blocks: the larger, the fewer
# blocks most prompts share.
POPULARITY_SKEW = 1.4


class EngineParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Performance of an engine, from its data sheet.

    ``attention_pair_seconds`` is the prefill time that each pair of a new token and an
    earlier one adds; ``prefill_latency_seconds`` is a prompt's additional latency,
    during which other prompts are prefilled; ``decode_engine_prefill_factor`` and
    ``decode_engine_chunk_tokens`` apply to prefills on a decode engine.
    """

    slots: int = 64
    step_seconds: float = 0.00455
    step_seconds_per_stream: float = 0.000181
    step_seconds_per_context_token: float = 3.66e-9
    prefill_tokens_per_second: float = 61_400.0
    attention_pair_seconds: float = 0.525e-9
    prefill_latency_seconds: float = 0.09
    prefill_chunk_tokens: int = 4096
    decode_engine_prefill_factor: float = 0.5
    decode_engine_chunk_tokens: int = 1024
    kv_capacity_tokens: int = 467_273
    kv_bytes_per_token: float = 35_136.0
    link_bits_per_second: float = 370e9
    kv_transfer_setup_seconds: float = 0.004
    role_change_seconds: float = 3.0
    tokens_per_event: int = 7

    @property
    def facts(self) -> EngineFacts:
        """Return the facts that a configuration states of such engines."""
        return EngineFacts(
            self.slots,
            self.kv_capacity_tokens,
            round(self.kv_bytes_per_token),
            self.link_bits_per_second / 1e6,
        )


class SizeDistribution(msgspec.Struct, frozen=True):
    """A log-normal size with a maximum; for prefix blocks also their count and skew."""

    mean: float
    sigma: float
    maximum: float
    count: int
    skew: float = 0.0


class KindParameters(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of prompt.

    ``rate`` is in prompts per second over all hosts, ``rank`` 0 is the most urgent;
    ``worth`` and ``late_worth`` are what an on-time and a late response are worth.
    """

    name: RouteName
    rank: int
    rate: float
    prefix_blocks: tuple[SizeDistribution, ...]
    suffix: SizeDistribution
    event_counts: SizeDistribution
    objective_seconds: float
    max_event_gap_seconds: float
    timeout_seconds: float
    worth: float
    late_worth: float
    retries: int = 1

    @property
    def caller_patience_seconds(self) -> float:
        """Return how long a caller waits for the first event."""
        return max(2.0, 4 * self.objective_seconds, 8 * self.max_event_gap_seconds)


class SiteParameters(msgspec.Struct, frozen=True, kw_only=True):
    """One deployment; its latencies are one-way.

    Each domain's rate oscillates by ``swing_fraction`` with ``swing_period_seconds``.
    """

    name: str
    hosts: int
    domains: int
    engines: int
    engine: EngineParameters
    kinds: tuple[KindParameters, ...]
    caller_latency_seconds: float
    cross_domain_latency_seconds: float = 0.0009
    swing_fraction: float = 0.15
    swing_period_seconds: float = 11.0


def _make_kinds(names: tuple[str, str, str], rates: tuple[float, float, float]):
    long, middle, short = names
    return (
        KindParameters(
            name=RouteName(long),
            rank=2,
            rate=rates[0],
            prefix_blocks=(
                SizeDistribution(13_300, 0.7, 39_900, 128, POPULARITY_SKEW),
            ),
            suffix=SizeDistribution(3_720, 1.1, 53_200, 0),
            event_counts=SizeDistribution(17.1, 1.4, 68.4, 0),
            objective_seconds=0.8,
            max_event_gap_seconds=0.3,
            timeout_seconds=6.0,
            worth=1.9,
            late_worth=0.58,
        ),
        KindParameters(
            name=RouteName(middle),
            rank=1,
            rate=rates[1],
            prefix_blocks=(
                SizeDistribution(2_520, 0.4, 6_290, 4),
                SizeDistribution(3_780, 0.7, 11_300, 39, POPULARITY_SKEW),
            ),
            suffix=SizeDistribution(2_890, 1.0, 39_600, 0),
            event_counts=SizeDistribution(7.44, 1.4, 29.8, 0),
            objective_seconds=0.6,
            max_event_gap_seconds=0.3,
            timeout_seconds=4.0,
            worth=2.0,
            late_worth=0.59,
        ),
        KindParameters(
            name=RouteName(short),
            rank=0,
            rate=rates[2],
            prefix_blocks=(
                SizeDistribution(210, 0.4, 524, 8),
                SizeDistribution(140, 0.7, 419, 127, POPULARITY_SKEW),
            ),
            suffix=SizeDistribution(1_110, 1.0, 3_790, 0),
            event_counts=SizeDistribution(24.6, 0.89, 85.9, 0),
            objective_seconds=0.5,
            max_event_gap_seconds=0.3,
            timeout_seconds=8.0,
            worth=1.6,
            late_worth=0.47,
        ),
    )


NESTWATCH = SiteParameters(
    name="nestwatch",
    hosts=9,
    domains=4,
    engines=9,
    engine=EngineParameters(),
    kinds=_make_kinds(
        ("family-dossier", "sitter-vetting", "quick-match-note"), (14.1, 6.57, 14.1)
    ),
    caller_latency_seconds=0.001,
)
CONSORCIO = SiteParameters(
    name="consorcio",
    hosts=9,
    domains=4,
    engines=9,
    engine=EngineParameters(kv_capacity_tokens=475_524),
    kinds=_make_kinds(("spec-match", "quote-draft", "cross-ref"), (14.1, 6.57, 14.1)),
    caller_latency_seconds=0.003,
)
SHIFTED = SiteParameters(
    name="shifted",
    hosts=79,
    domains=4,
    engines=30,
    engine=EngineParameters(kv_capacity_tokens=419_759, tokens_per_event=10),
    kinds=(
        KindParameters(
            name=RouteName("family-dossier"),
            rank=2,
            rate=26.2,
            prefix_blocks=(SizeDistribution(13_300, 0.7, 39_900, 264, 0.3),),
            suffix=SizeDistribution(3_720, 1.1, 53_200, 0),
            event_counts=SizeDistribution(12.0, 1.4, 47.9, 0),
            objective_seconds=0.863,
            max_event_gap_seconds=0.4,
            timeout_seconds=6.475,
            worth=1.9,
            late_worth=0.58,
        ),
        KindParameters(
            name=RouteName("sitter-vetting"),
            rank=1,
            rate=21.2,
            prefix_blocks=(
                SizeDistribution(2_520, 0.4, 6_290, 4),
                SizeDistribution(3_780, 0.7, 11_300, 184, 0.3),
            ),
            suffix=SizeDistribution(2_890, 1.0, 39_600, 0),
            event_counts=SizeDistribution(5.21, 1.4, 20.8, 0),
            objective_seconds=0.645,
            max_event_gap_seconds=0.4,
            timeout_seconds=4.298,
            worth=2.0,
            late_worth=0.59,
        ),
        KindParameters(
            name=RouteName("quick-match-note"),
            rank=0,
            rate=26.1,
            prefix_blocks=(
                SizeDistribution(210, 0.4, 524, 40),
                SizeDistribution(140, 0.7, 419, 591, 0.3),
            ),
            suffix=SizeDistribution(1_110, 1.0, 3_790, 0),
            event_counts=SizeDistribution(17.2, 0.89, 60.1, 0),
            objective_seconds=0.526,
            max_event_gap_seconds=0.4,
            timeout_seconds=8.419,
            worth=1.6,
            late_worth=0.47,
        ),
    ),
    caller_latency_seconds=0.003,
    cross_domain_latency_seconds=0.0014,
    swing_fraction=0.27,
)
SITES = {site.name: site for site in (NESTWATCH, CONSORCIO, SHIFTED)}

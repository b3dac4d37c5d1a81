"""Published figures of engines and of two users' traffic; times in seconds."""

import msgspec

from berylshift.ids import RouteName, ServiceName
from berylshift.version.routes import EngineFacts

# The one service of a modelled fleet.
SERVICE = ServiceName("model")
# How unevenly shared parts are asked for: the larger, the fewer parts most have.
SKEW = 1.4


class EngineFigures(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine can do, as its sheet says.

    ``pair_seconds`` is what each pair of a new token and one before it adds;
    ``read_latency`` is what a prompt takes on top, while others are read;
    ``answer_read_factor`` and ``answer_piece`` hold for an engine that answers.
    """

    slots: int = 64
    step: float = 0.00455
    step_per_running: float = 0.000181
    step_per_context_token: float = 3.66e-9
    read_rate: float = 61_400.0
    pair_seconds: float = 0.525e-9
    read_latency: float = 0.09
    piece: int = 4096
    answer_read_factor: float = 0.5
    answer_piece: int = 1024
    memory_tokens: int = 467_273
    kv_bytes: float = 35_136.0
    link_bits: float = 370e9
    move_setup: float = 0.004
    switch_seconds: float = 3.0
    tokens_per_event: int = 7

    @property
    def facts(self) -> EngineFacts:
        """Return what a configuration says of such engines."""
        return EngineFacts(
            self.slots,
            self.memory_tokens,
            round(self.kv_bytes),
            self.link_bits / 1e6,
        )


class PartFigures(msgspec.Struct, frozen=True):
    """A shared part: tokens (mean, spread, most), how many there are, their skew."""

    mean: float
    spread: float
    most: float
    count: int
    skew: float = 0.0


class KindFigures(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of prompt; ``rate`` a second over all hosts, ``rank`` 0 goes first."""

    name: RouteName
    rank: int
    rate: float
    shared: tuple[PartFigures, ...]
    own: PartFigures
    events: PartFigures
    objective_seconds: float
    longest_pause: float
    timeout: float
    worth: float
    late_worth: float
    retries: int = 1

    @property
    def patience(self) -> float:
        """Return how long a caller waits for a first event."""
        return max(2.0, 4 * self.objective_seconds, 8 * self.longest_pause)


class SiteFigures(msgspec.Struct, frozen=True, kw_only=True):
    """One deployment; one way ``caller_seconds`` to callers, ``domain_seconds`` across.

    Each domain's rate swings by ``swing`` in ``period`` seconds.
    """

    name: str
    hosts: int
    domains: int
    engines: int
    engine: EngineFigures
    kinds: tuple[KindFigures, ...]
    caller_seconds: float
    domain_seconds: float = 0.0009
    swing: float = 0.15
    period: float = 11.0


def _kinds(names: tuple[str, str, str], rates: tuple[float, float, float]):
    long, middle, short = names
    return (
        KindFigures(
            name=RouteName(long),
            rank=2,
            rate=rates[0],
            shared=(PartFigures(13_300, 0.7, 39_900, 128, SKEW),),
            own=PartFigures(3_720, 1.1, 53_200, 0),
            events=PartFigures(17.1, 1.4, 68.4, 0),
            objective_seconds=0.8,
            longest_pause=0.3,
            timeout=6.0,
            worth=1.9,
            late_worth=0.58,
        ),
        KindFigures(
            name=RouteName(middle),
            rank=1,
            rate=rates[1],
            shared=(
                PartFigures(2_520, 0.4, 6_290, 4),
                PartFigures(3_780, 0.7, 11_300, 39, SKEW),
            ),
            own=PartFigures(2_890, 1.0, 39_600, 0),
            events=PartFigures(7.44, 1.4, 29.8, 0),
            objective_seconds=0.6,
            longest_pause=0.3,
            timeout=4.0,
            worth=2.0,
            late_worth=0.59,
        ),
        KindFigures(
            name=RouteName(short),
            rank=0,
            rate=rates[2],
            shared=(
                PartFigures(210, 0.4, 524, 8),
                PartFigures(140, 0.7, 419, 127, SKEW),
            ),
            own=PartFigures(1_110, 1.0, 3_790, 0),
            events=PartFigures(24.6, 0.89, 85.9, 0),
            objective_seconds=0.5,
            longest_pause=0.3,
            timeout=8.0,
            worth=1.6,
            late_worth=0.47,
        ),
    )


NESTWATCH = SiteFigures(
    name="nestwatch",
    hosts=9,
    domains=4,
    engines=9,
    engine=EngineFigures(),
    kinds=_kinds(
        ("family-dossier", "sitter-vetting", "quick-match-note"), (14.1, 6.57, 14.1)
    ),
    caller_seconds=0.001,
)
CONSORCIO = SiteFigures(
    name="consorcio",
    hosts=9,
    domains=4,
    engines=9,
    engine=EngineFigures(memory_tokens=475_524),
    kinds=_kinds(("spec-match", "quote-draft", "cross-ref"), (14.1, 6.57, 14.1)),
    caller_seconds=0.003,
)
SHIFTED = SiteFigures(
    name="shifted",
    hosts=79,
    domains=4,
    engines=30,
    engine=EngineFigures(memory_tokens=419_759, tokens_per_event=10),
    kinds=(
        KindFigures(
            name=RouteName("family-dossier"),
            rank=2,
            rate=26.2,
            shared=(PartFigures(13_300, 0.7, 39_900, 264, 0.3),),
            own=PartFigures(3_720, 1.1, 53_200, 0),
            events=PartFigures(12.0, 1.4, 47.9, 0),
            objective_seconds=0.863,
            longest_pause=0.4,
            timeout=6.475,
            worth=1.9,
            late_worth=0.58,
        ),
        KindFigures(
            name=RouteName("sitter-vetting"),
            rank=1,
            rate=21.2,
            shared=(
                PartFigures(2_520, 0.4, 6_290, 4),
                PartFigures(3_780, 0.7, 11_300, 184, 0.3),
            ),
            own=PartFigures(2_890, 1.0, 39_600, 0),
            events=PartFigures(5.21, 1.4, 20.8, 0),
            objective_seconds=0.645,
            longest_pause=0.4,
            timeout=4.298,
            worth=2.0,
            late_worth=0.59,
        ),
        KindFigures(
            name=RouteName("quick-match-note"),
            rank=0,
            rate=26.1,
            shared=(
                PartFigures(210, 0.4, 524, 40),
                PartFigures(140, 0.7, 419, 591, 0.3),
            ),
            own=PartFigures(1_110, 1.0, 3_790, 0),
            events=PartFigures(17.2, 0.89, 60.1, 0),
            objective_seconds=0.526,
            longest_pause=0.4,
            timeout=8.419,
            worth=1.6,
            late_worth=0.47,
        ),
    ),
    caller_seconds=0.003,
    domain_seconds=0.0014,
    swing=0.27,
)
SITES = {site.name: site for site in (NESTWATCH, CONSORCIO, SHIFTED)}

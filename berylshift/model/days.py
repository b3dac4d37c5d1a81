"""Days to play: calm ones and heavy ones."""

from berylshift.model.fleet import Fault, PlaySpec
from berylshift.model.parameters import SiteFigures
from berylshift.model.traffic import Burst, Crasher

# Kinds of prompts take turns this long in a swing, as the users' traffic does.
SWING_SECONDS = 2.8
SWING_FACTOR = 1.9


def _swing(site: SiteFigures, start: float, turns: int) -> tuple[Burst, ...]:
    """Return bursts in which the kinds of a site take turns."""
    return tuple(
        Burst(
            start + turn * SWING_SECONDS,
            SWING_SECONDS,
            SWING_FACTOR,
            site.kinds[turn % len(site.kinds)].name,
        )
        for turn in range(turns)
    )


def calm(site: SiteFigures) -> PlaySpec:
    """Return a day without trouble."""
    return PlaySpec(site=site)


def swings(site: SiteFigures) -> PlaySpec:
    """Return a day on which the mix of prompts moves all the time."""
    return PlaySpec(site=site, bursts=_swing(site, 2.0, 9))


def crashes(site: SiteFigures) -> PlaySpec:
    """Return a day on which engines crash, one after the other."""
    faults = tuple(Fault(4.0 + 6 * turn, 2 * turn, 4.0) for turn in range(4))
    return PlaySpec(site=site, faults=faults)


def slow(site: SiteFigures) -> PlaySpec:
    """Return a day on which engines work slowly for some seconds."""
    faults = tuple(Fault(4.0 + 8 * turn, turn, 6.0, 4.0) for turn in range(3))
    return PlaySpec(site=site, faults=faults)


def heavy(site: SiteFigures) -> PlaySpec:
    """Return a day with swings, a rush, a crash and a slow engine."""
    rush = Burst(14.0, 4.0, 1.7)
    faults = (Fault(6.0, 1, 4.0), Fault(18.0, 3, 6.0, 4.0))
    return PlaySpec(site=site, bursts=(*_swing(site, 2.0, 9), rush), faults=faults)


def crashers(site: SiteFigures) -> PlaySpec:
    """Return a day with swings on which two callers' prompts end engines.

    Engines of one domain crash by themselves meanwhile.
    """
    callers = (Crasher(4.0, 0.6, 40), Crasher(9.0, 1.1, 18))
    faults = tuple(
        Fault(14.0, number, 4.0) for number in range(0, site.engines, site.domains)
    )
    return PlaySpec(
        site=site, bursts=_swing(site, 2.0, 9), faults=faults, crashers=callers
    )


MAKERS = (calm, swings, crashes, slow, heavy, crashers)
DAYS = {make.__name__: make for make in MAKERS}

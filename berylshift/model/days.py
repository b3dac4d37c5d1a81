"""Simulated days: scenarios of traffic and faults, by name."""

import msgspec

from berylshift.ids import BlockId
from berylshift.model.fleet import EngineFault, SimulationSpec
from berylshift.model.parameters import SiteParameters
from berylshift.model.traffic import Burst, CrashingBlock, CrashingCaller

# Each kind of prompt bursts in turn for this long, as in the users' traffic.
KIND_BURST_SECONDS = 2.8
KIND_BURST_FACTOR = 1.9


def _kind_bursts(site: SiteParameters, start: float, count: int) -> tuple[Burst, ...]:
    """Return consecutive bursts, of each of a site's kinds in turn."""
    return tuple(
        Burst(
            start + index * KIND_BURST_SECONDS,
            KIND_BURST_SECONDS,
            KIND_BURST_FACTOR,
            site.kinds[index % len(site.kinds)].name,
        )
        for index in range(count)
    )


def calm(site: SiteParameters) -> SimulationSpec:
    """Return a day without bursts and faults."""
    return SimulationSpec(site=site)


def swings(site: SiteParameters) -> SimulationSpec:
    """Return a day on which the mix of prompts shifts all the time."""
    return SimulationSpec(site=site, bursts=_kind_bursts(site, 2.0, 9))


def crashes(site: SiteParameters) -> SimulationSpec:
    """Return a day on which engines crash, one after the other."""
    faults = tuple(EngineFault(4.0 + 6 * index, 2 * index, 4.0) for index in range(4))
    return SimulationSpec(site=site, faults=faults)


def slow(site: SiteParameters) -> SimulationSpec:
    """Return a day on which engines are slow for some seconds each."""
    faults = tuple(EngineFault(4.0 + 8 * index, index, 6.0, 4.0) for index in range(3))
    return SimulationSpec(site=site, faults=faults)


def heavy(site: SiteParameters) -> SimulationSpec:
    """Return a day with mix shifts, a burst of all kinds, a crash and a slow engine."""
    surge = Burst(14.0, 4.0, 1.7)
    faults = (EngineFault(6.0, 1, 4.0), EngineFault(18.0, 3, 6.0, 4.0))
    return SimulationSpec(
        site=site, bursts=(*_kind_bursts(site, 2.0, 9), surge), faults=faults
    )


def crashers(site: SiteParameters) -> SimulationSpec:
    """Return a day with mix shifts on which two callers' prompts crash engines.

    The engines of one domain also crash for other reasons.
    """
    callers = (CrashingCaller(4.0, 0.6, 40), CrashingCaller(9.0, 1.1, 18))
    faults = tuple(
        EngineFault(14.0, number, 4.0)
        for number in range(0, site.engines, site.domains)
    )
    return SimulationSpec(
        site=site, bursts=_kind_bursts(site, 2.0, 9), faults=faults, crashers=callers
    )


def crashing_blocks(site: SiteParameters) -> SimulationSpec:
    """Return a day with mix shifts on which two blocks of new prompts crash engines.

    The engines of one domain also crash for other reasons.
    """
    blocks = (
        CrashingBlock(BlockId("deadly-1"), 4.0, 0.3, 60),
        CrashingBlock(BlockId("deadly-2"), 9.0, 0.7, 20),
    )
    return msgspec.structs.replace(crashers(site), crashers=(), crashing_blocks=blocks)


DAY_FACTORIES = (calm, swings, crashes, slow, heavy, crashers, crashing_blocks)
DAYS = {factory.__name__: factory for factory in DAY_FACTORIES}

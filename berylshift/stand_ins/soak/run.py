"""Runs one seed of the soak."""

import random
import tempfile
from collections import Counter
from pathlib import Path
from typing import Annotated

import msgspec
import trio

from berylshift.stand_ins.soak.callers import Kind
from berylshift.stand_ins.soak.checks import find_violations, stream_outcome
from berylshift.stand_ins.soak.partitions import Partitions
from berylshift.stand_ins.soak.release_world import ReleaseWorld
from berylshift.stand_ins.soak.schedule import (
    Event,
    draw_changes,
    draw_partitions,
    draw_rejoins,
    draw_schedule,
    draw_silences,
)
from berylshift.stand_ins.soak.stream_callers import count_streams
from berylshift.stand_ins.soak.world import MEMORY_MB, SoakWorld
from berylshift.tools.processes import Programs

MEBIBYTE = 1 << 20
# Lines of a host's log that show a failure of its own.
FAILURE_TEXTS = ("request handler failed", "connection failed", "Traceback")
# Requests that are open as the run ends may still get their answer.
END_SECONDS = 6.0


class SoakSpec(msgspec.Struct, frozen=True):
    """One run: its seed, size and length."""

    seed: int
    seconds: float = 20.0
    hosts: Annotated[int, msgspec.Meta(ge=1, le=250)] = 3
    callers: int = 20
    log_dir: str = ""
    # Whether decode engines pause, under streams that may be resumed.
    silences: bool = False
    # Whether engines of new versions replace others, under streams that are taken up.
    rejoins: bool = False
    # Whether hosts are partitioned from each other, with ``rejoins``.
    partitions: bool = False
    # Whether engines change their weights and routes move, with ``rejoins``.
    changes: bool = False
    # The source tree that the hosts run from; empty: this one.
    tree: str = ""


class SoakResult(msgspec.Struct, frozen=True):
    """What a run showed; ``violations`` is empty if all promises were kept."""

    seed: int
    requests: int
    statuses: dict[int, int]
    events: int
    peak_mb: float
    violations: list[str]
    # Streams that may be resumed, by their end.
    streams: dict[str, int]


async def run_soak(spec: SoakSpec) -> SoakResult:
    """Play a run, with its files in a directory of its own."""
    with tempfile.TemporaryDirectory(prefix="berylshift-soak-") as name:
        directory = Path(spec.log_dir or name).resolve()
        directory.mkdir(parents=True, exist_ok=True)
        return await _play(spec, directory, draw_events(spec))


def draw_events(spec: SoakSpec) -> list[Event]:
    """Return the faults of a run, in order."""
    if spec.rejoins:
        events = draw_rejoins(spec.seed, spec.seconds)
    else:
        events = draw_schedule(spec.seed, spec.seconds)
    if spec.rejoins and spec.partitions:
        events += draw_partitions(spec.seed, spec.seconds)
    if spec.rejoins and spec.changes:
        events += draw_changes(spec.seed, spec.seconds)
    if spec.silences and not spec.rejoins:
        events += draw_silences(spec.seed, spec.seconds)
    return sorted(events, key=lambda event: event.at)


async def _play(spec: SoakSpec, directory: Path, events: list[Event]) -> SoakResult:
    async with trio.open_nursery() as nursery:
        tree = Path(spec.tree).resolve() if spec.tree else None
        programs = Programs(directory, nursery, tree=tree)
        rng = random.Random(spec.seed)
        network = draw_network(random.SystemRandom())
        world = (ReleaseWorld if spec.rejoins else SoakWorld)(
            directory,
            programs,
            nursery,
            rng,
            spec.hosts,
            network,
            spec.silences,
        )
        world.has_changes = spec.changes
        if spec.partitions:
            world.partitions = Partitions(directory)
        try:
            await world.start()
            await _load(spec, world, events)
        finally:
            world.client.close()
            await programs.stop_all()
        nursery.cancel_scope.cancel()
    runs = Counter(world.runs())
    violations = world.violations + find_violations(
        world.requests, runs, world.disturbances, world.silences
    )
    if spec.rejoins:
        violations += world.stream_violations()
    violations += failures_in_logs(directory)
    peak_mb = max(host.peak_bytes for host in world.hosts) / MEBIBYTE
    if peak_mb > MEMORY_MB:
        violations.append(f"a host took {peak_mb:.0f} MiB")
    statuses = Counter(req.status for req in world.requests)
    streams = Counter(
        stream_outcome(req, runs[req.id], world.disturbances, world.silences)
        for req in world.requests
        if req.kind is Kind.BRIEF
    )
    if spec.rejoins:
        streams = count_streams(world.streams)
        statuses = Counter(item.status for rec in world.streams for item in rec.tries)
    return SoakResult(
        spec.seed,
        len(world.requests) + sum(len(rec.tries) for rec in world.streams),
        dict(statuses),
        len(events),
        round(peak_mb),
        violations,
        dict(streams),
    )


def draw_network(rng: random.Random) -> str:
    """Return three numbers of loopback addresses that no other run is likely to use."""
    return f"127.{rng.randrange(64, 192)}.{rng.randrange(256)}"


async def _load(spec: SoakSpec, world: SoakWorld, events: list[Event]) -> None:
    """Run callers and faults; return once both have ended."""
    began = trio.current_time()
    async with trio.open_nursery() as watch:
        watch.start_soon(world.watch_hosts)
        watch.start_soon(world.watch_own_stalls)
        async with trio.open_nursery() as faults:
            with trio.move_on_after(spec.seconds):
                async with trio.open_nursery() as callers:
                    for number in range(spec.callers):
                        world.start_caller(f"caller-{number}", callers)
                    for event in events:
                        await trio.sleep_until(began + event.at)
                        faults.start_soon(world.apply, event)
        watch.cancel_scope.cancel()


def failures_in_logs(directory: Path) -> list[str]:
    """Return the lines of the hosts' logs that show a failure of their own."""
    return [
        f"{path.stem}: {line[:300]}"
        for path in sorted(directory.glob("*.log"))
        for line in path.read_text(encoding="utf-8", errors="replace").splitlines()
        if any(text in line for text in FAILURE_TEXTS)
    ]

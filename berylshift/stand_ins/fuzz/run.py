"""Runs one seed of the fuzzer against a host process."""

import random
import re
import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import msgspec
import trio

from berylshift.stand_ins.entry_replica import EntryReplica
from berylshift.stand_ins.fuzz.odd_callers import (
    OddCallers,
    runs_of_odd,
    use_stream_script,
)
from berylshift.stand_ins.soak.callers import STATUS_OK
from berylshift.stand_ins.soak.checks import find_violations
from berylshift.stand_ins.soak.run import draw_network, failures_in_logs
from berylshift.stand_ins.soak.world import RESIDENT, SoakHost, SoakWorld
from berylshift.tools.processes import Programs

SOUND_CALLERS, ODD_CALLERS = 6, 40
SOUND_PREFIX = "caller-"
# Longer than the time for heads, so that some requests end by it.
PATIENCE_SECONDS = 5.0
READY_SECONDS = 0.5
WARM_SECONDS, SETTLE_SECONDS = 1.0, 12.0
POLL_SECONDS, PROGRESS_SECONDS = 0.1, 10.0
# Pools and the allocator may keep this much more than before.
SPARE_DESCRIPTORS, SPARE_BYTES = 32, 48 << 20
HELD = re.compile(
    rb"^berylshift_(?:in_flight|request_body_bytes_in_memory"
    rb"|(?:large_bodies|small_bodies|responses)_held_bytes) ([0-9.e+]+)$",
    re.MULTILINE,
)


class FuzzSpec(msgspec.Struct, frozen=True):
    """One run: its seed and length."""

    seed: int
    seconds: float = 20.0


class FuzzResult(msgspec.Struct, frozen=True):
    """What a run showed; ``violations`` is empty if nothing was wrong."""

    examples: int
    statuses: dict[int, int]
    sound: int
    slowest_ready: float
    violations: list[str]


class Usage(NamedTuple):
    """What a host process uses; ``held``: requests and bytes of their bodies."""

    descriptors: int
    resident: float
    held: tuple[float, ...]


class FuzzWorld(SoakWorld):
    """One host process with sound and odd callers."""

    slowest_ready = 0.0
    failed_at_replicas: frozenset[str] = frozenset()

    @property
    def host(self) -> SoakHost:
        """Return the only host."""
        return self.hosts[0]

    @property
    def process_path(self) -> Path:
        """Return the directory of the host's process in ``/proc``."""
        return Path(f"/proc/{self.programs.running[self.host.name].process.pid}")

    async def serve_replica(
        self, replica: EntryReplica, stream: trio.SocketStream
    ) -> None:
        """Serve one connection; note a request that the replica can't handle."""
        try:
            await replica.serve(stream)
        except* Exception:
            self.failed_at_replicas |= set(replica.arrivals[-1:])

    async def connect(self) -> trio.abc.Stream:
        """Connect to the host."""
        address, _, port = self.host.address.rpartition(":")
        return await trio.open_tcp_stream(address, int(port))

    async def usage(self) -> Usage:
        """Return what the host uses."""
        self.client.close()
        found = await self._get(self.host.metrics, "/metrics")
        text = found[1] if found else b""
        resident = RESIDENT.search(text)
        return Usage(
            len(list((self.process_path / "fd").iterdir())),
            float(resident[1]) if resident else float("inf"),
            tuple(map(float, HELD.findall(text))),
        )

    def _waited_for_cpu(self) -> float:
        """Return the seconds that the host was ready to run and had no processor."""
        text = (self.process_path / "schedstat").read_text(encoding="ascii")
        return int(text.split()[1]) / 1e9

    async def watch_readiness(self, odd: OddCallers) -> None:
        """Ask for the host's readiness; this process's own delays don't count."""
        while True:
            begin, waited = trio.current_time(), self._waited_for_cpu()
            is_ready = await self._is_ready(self.host)
            seconds = trio.current_time() - begin - (self._waited_for_cpu() - waited)
            data = list(odd.open.values())
            await trio.sleep(POLL_SECONDS)
            seconds -= sum(s.end - s.begin for s in self.silences if s.end > begin)
            self.slowest_ready = max(self.slowest_ready, seconds)
            if not is_ready or seconds > READY_SECONDS:
                self.violations.append(
                    f"readiness {is_ready} after {seconds:.2f} s, beside {data!r}"
                )


async def run_fuzz(spec: FuzzSpec, report: Callable[[str], None]) -> FuzzResult:
    """Play a run; ``report`` takes a line now and then."""
    with tempfile.TemporaryDirectory(prefix="berylshift-fuzz-") as name:
        directory = Path(name)
        async with trio.open_nursery() as nursery:
            programs = Programs(directory, nursery)
            network = draw_network(random.SystemRandom())
            world = FuzzWorld(
                directory, programs, nursery, random.Random(spec.seed), 1, network
            )
            odd = OddCallers(
                world.connect,
                lambda number: random.Random(f"{spec.seed}-{number}"),
                PATIENCE_SECONDS,
            )
            try:
                await world.start()
                use_stream_script(world.replicas)
                await _load(spec, world, odd, report)
            finally:
                world.client.close()
                await programs.stop_all()
            nursery.cancel_scope.cancel()
        violations = world.violations + failures_in_logs(directory)
    return FuzzResult(
        odd.count,
        dict(odd.statuses),
        len(world.requests),
        world.slowest_ready,
        violations + _broken_promises(world, odd),
    )


async def _load(
    spec: FuzzSpec, world: FuzzWorld, odd: OddCallers, report: Callable[[str], None]
) -> None:
    """Run all callers, then wait until the host uses no more than before."""
    async with trio.open_nursery() as nursery:
        for number in range(SOUND_CALLERS):
            world.start_caller(f"{SOUND_PREFIX}{number}", nursery)
        nursery.start_soon(world.watch_own_stalls)
        await trio.sleep(WARM_SECONDS)
        before = await world.usage()
        nursery.start_soon(world.watch_readiness, odd)
        nursery.start_soon(_report_progress, world, odd, report)
        with trio.move_on_after(spec.seconds):
            async with trio.open_nursery() as workers:
                for _ in range(ODD_CALLERS):
                    workers.start_soon(odd.run)
        await trio.sleep(1)
        nursery.cancel_scope.cancel()
    with trio.move_on_after(SETTLE_SECONDS):
        while _excess(before, after := await world.usage()):
            await trio.sleep(POLL_SECONDS)
    if _excess(before, after):
        world.violations.append(f"the host uses {after}, {before} before")


async def _report_progress(
    world: FuzzWorld, odd: OddCallers, report: Callable[[str], None]
) -> None:
    begin = trio.current_time()
    while True:
        await trio.sleep(PROGRESS_SECONDS)
        report(
            f"{trio.current_time() - begin:.0f} s: {odd.count} examples,"
            f" {len(world.requests)} other requests,"
            f" slowest readiness check {world.slowest_ready:.2f} s"
        )


def _excess(before: Usage, after: Usage) -> bool:
    return (
        after.descriptors > before.descriptors + SPARE_DESCRIPTORS
        or after.resident > before.resident + SPARE_BYTES
        or any(after.held)
        or not after.held
    )


def _broken_promises(world: FuzzWorld, odd: OddCallers) -> list[str]:
    """Return what is wrong with answers and runs."""
    silences = world.silences
    found = find_violations(world.requests, Counter(world.runs()), (), silences)
    found += [
        f"{req.id}: status {req.status} for a sound request"
        for req in world.requests
        if req.ended_at is not None and req.status != STATUS_OK
    ]
    found += [
        f"a replica failed, after {odd.show(request.encode('latin-1'))}"
        for request in world.failed_at_replicas
    ]
    found += [
        f"two lengths at a replica: {odd.show(run.request.encode('latin-1'))}"
        for replica in world.replicas
        for run in replica.runs
        if {b"content-length", b"transfer-encoding"} <= run.headers.keys()
    ]
    return found + odd.violations(runs_of_odd(world.replicas, SOUND_PREFIX))

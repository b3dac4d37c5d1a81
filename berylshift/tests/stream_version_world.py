"""Streams while replicas of several software versions serve side by side.

Callers break off and take their streams up at another host; streams break at replicas;
hosts are killed, stop or are cut off from the others.
"""

import random
import re
from dataclasses import dataclass, field
from enum import Enum

import trio

from berylshift.messages.replicas import EnginePhase
from berylshift.platform import names
from berylshift.tests.entry_world import ENGINES, EntryWorld, prompt_headers, routes
from berylshift.tests.support import run_virtual

HOSTS = 4
DOMAINS = 2
EVENTS = 6
EVENT_PATTERN = re.compile(rb"id: (\d+)\ndata: piece-\d+@(\S+)\n\n")
RETURN_SECONDS = 0.1
# No stream is cut for want of retry budget.
RETRY_BURST = 1000


class FirstHost(Enum):
    """What becomes of the host that began a stream before its caller returns."""

    LIVES = "lives"
    DEAD = "is dead"
    STOPS = "stops"
    CUT_OFF = "is cut off"


@dataclass
class Stream:
    """The events that one caller holds, over all of its tries."""

    ids: list[int] = field(default_factory=list)
    versions: list[str] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    refused_after: list[float] = field(default_factory=list)
    # The host of each try.
    hosts: list[int] = field(default_factory=list)

    @property
    def is_mixed(self) -> bool:
        """Return whether events of several versions are held."""
        return len(set(self.versions)) > 1

    @property
    def is_whole(self) -> bool:
        """Return whether each event is held once, in order."""
        return self.ids == list(range(1, EVENTS + 1))

    @property
    def went_on(self) -> bool:
        """Return whether a stream that was taken up got further events."""
        return len(self.hosts) > 1 and self.statuses[-1] == 200

    def add(self, body: bytes) -> None:
        """Add the whole events of a try."""
        for number, version in EVENT_PATTERN.findall(body):
            self.ids.append(int(number))
            self.versions.append(version.decode())


class StreamVersionWorld(EntryWorld):
    """Hosts in two failure domains before engines of several versions."""

    def add_engines(self, version: str, decode: int, prefill: int = 0) -> None:
        """Start engines of a software version."""
        for number in range(decode + prefill):
            phase = EnginePhase.DECODE if number < decode else EnginePhase.PREFILL
            name = f"engine-{version}-{number}"
            self.add_replica(name, ENGINES, phase, version=version)

    async def stream(
        self,
        stream: Stream,
        request: str,
        host: int,
        resumes: str | None = None,
        leave_after: float | None = None,
        path: str = "/brief/x",
    ) -> None:
        """Make one try of a caller; it leaves after ``leave_after`` seconds."""
        headers = prompt_headers(EVENTS, 1000, 0)
        if stream.ids:
            headers += ((names.LAST_EVENT_ID, b"%d" % stream.ids[-1]),)
        if resumes is not None:
            headers += ((names.RESUMES, resumes.encode()),)
        stream.hosts.append(host)
        began = trio.current_time()
        try:
            link = self.connect(host)
        except RuntimeError:
            # The host is dead.
            stream.statuses.append(0)
            return
        await link.send(path, request, headers=headers)
        with trio.move_on_after(leave_after or float("inf")):
            await link.read()
        status = link.head.status_code if link.head else 0
        stream.statuses.append(status)
        if status != 200:
            stream.refused_after.append(trio.current_time() - began)
        else:
            stream.add(link.body)
        await link.close()

    async def take_up(
        self, request: str, first: int, then: int, first_host: FirstHost, **more
    ) -> Stream:
        """Return a stream whose caller breaks off and resumes it at another host.

        ``more`` are arguments of ``stream`` for the second try.
        """
        stream = Stream()
        await self.stream(stream, request, first, leave_after=0.22)
        await self.end_host(first, first_host)
        await trio.sleep(RETURN_SECONDS)
        values = {"resumes": request, **more}
        await self.stream(stream, f"{request}-again", then, **values)
        return stream

    async def storm(
        self, rng: random.Random, count: int, seconds: float
    ) -> list[Stream]:
        """Return streams that break, are broken off and taken up, while hosts end.

        A third version starts half-way, and the first version's engines leave. The last
        host ends in some way; the others stay in touch.
        """
        streams: list[Stream] = []
        ends = [end for end in FirstHost if end is not FirstHost.LIVES]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._release, seconds / 2)
            for number in range(count):
                streams.append(Stream())
                nursery.start_soon(self._caller, streams[-1], f"r{number}", rng)
                if number == count // 3:
                    nursery.start_soon(self.end_host, HOSTS - 1, rng.choice(ends))
                await trio.sleep(rng.uniform(0, 2 * seconds / count))
        return streams

    async def _release(self, after: float) -> None:
        await trio.sleep(after)
        self.add_engines("v1.2", 3, prefill=1)
        await trio.sleep(1.0)
        for replica in list(self.replicas.values()):
            if replica.version == "v1":
                self.list_replica(replica, ENGINES, draining=True)

    async def _caller(self, stream: Stream, request: str, rng: random.Random) -> None:
        """Make one caller's tries, each at another host; three in ten break off."""
        leave_after = rng.uniform(0.1, 0.4) if rng.random() < 0.3 else None
        if rng.random() < 0.2:
            self.fleet_state.breaks[request] = rng.randint(1, EVENTS - 1)
        host = rng.randrange(HOSTS)
        await self.stream(stream, request, host, leave_after=leave_after)
        if stream.ids and not stream.is_whole:
            await trio.sleep(RETURN_SECONDS)
            again = (host + rng.randrange(1, HOSTS)) % HOSTS
            await self.stream(stream, f"{request}-again", again, resumes=request)

    async def end_host(self, host: int, end: FirstHost) -> None:
        """Make a host end as ``end`` says; it may have ended before."""
        if end is FirstHost.DEAD:
            self.kill_host(host)
        elif end is FirstHost.STOPS and not self.hosts[host].is_stopping:
            self.host_nurseries[host].start_soon(self.hosts[host].on_shutdown)
        elif end is FirstHost.CUT_OFF:
            self.cut_hosts.add(f"10.1.0.{host + 1}")


def run_versions(task, versions: dict[str, int], seed: int = 1, hosts: int = HOSTS):
    """Run ``task(world, rng)`` before ``versions``: decode engines by version.

    Each version has a prefill engine, too.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            world = StreamVersionWorld(nursery)
            world.directory.put_routes(routes())
            for version, decode in versions.items():
                world.add_engines(version, decode, prefill=1)
            for number in range(hosts):
                await world.add_host(
                    domain=f"domain-{number % DOMAINS}", retry_burst=RETRY_BURST
                )
            await trio.sleep(1.0)
            found = await task(world, random.Random(seed))
            nursery.cancel_scope.cancel()
            return found

    return run_virtual(main)

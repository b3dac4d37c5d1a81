"""Hosts whose paths to all replicas can be cut, on simulated sockets.

The store, the callers and the other hosts stay in reach of a host that is cut off.
"""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from functools import partial

import trio

from berylshift.messages.replicas import EnginePhase
from berylshift.tests.entry_world import ENGINES, EntryWorld, prompt_headers, routes
from berylshift.tests.socket_world import LATENCY_SECONDS, SimulatedSocket, socket_pair
from berylshift.tests.support import run_virtual

DOMAINS = 2
# Requests of one host: one each interval, of each kind in turn.
REQUEST_SECONDS = 0.1
CALLER_SECONDS = 1.0
KINDS = {"look": (), "book": (), "note": prompt_headers(prefix_tokens=0)}


class Cut(Enum):
    """What becomes of a host's connections to replicas."""

    NONE = "none"
    # Open ones fall silent, new ones are never established.
    HANG = "hang"
    # Open ones are reset, new ones are refused.
    RESET = "reset"
    # Open ones go on, new ones are refused.
    REFUSE_NEW = "refuse new"


class CutSocket(SimulatedSocket):
    """A connection to a replica; while it hangs, bytes are held in both directions."""

    def __init__(self, window: int):
        """Start in reach."""
        super().__init__(window)
        self.address = ""
        self.hangs = False
        self.held = bytearray()

    def send_nowait(self, data: bytes) -> int | None:
        """Send what fits, or hold it."""
        if not self.hangs:
            return super().send_nowait(data)
        self._check_open()
        self.held += data
        return len(data)

    def _read_nowait(self, max_bytes: int) -> bytes | None:
        if not self.hangs:
            return super()._read_nowait(max_bytes)
        self._check_open()
        return None

    def close(self) -> None:
        """Close this end; the other end learns of it once the path is back."""
        if not self.hangs:
            super().close()
            return
        self.closed = True
        self.held.clear()
        self._notify()

    def heal(self) -> None:
        """Deliver what was held."""
        self.hangs = False
        if self.closed:
            self.peer.reset()
            return
        held, self.held = bytes(self.held), bytearray()
        if held:
            super().send_nowait(held)
        self._notify()


@dataclass
class Tally:
    """First attempts of one host's callers, and how many were served."""

    sent: int = 0
    served: int = 0
    failures: list[tuple[float, str, int]] = field(default_factory=list)


class LostPathsWorld(EntryWorld):
    """Hosts in two failure domains."""

    def __init__(self, nursery: trio.Nursery):
        """Start with all paths open."""
        super().__init__(nursery)
        # Cuts of each host, by address; the empty address stands for all others.
        self.cuts: dict[str, dict[str, Cut]] = {}
        self.sockets: dict[str, list[CutSocket]] = {}
        self.host_links: list[SimulatedSocket] = []
        # Addresses of hosts of an older build, which serve no tunnels.
        self.without_tunnels: set[str] = set()
        self.ids = itertools.count(1)
        self.dial_seconds = LATENCY_SECONDS

    def cut(self, host: str, cut: Cut, addresses: Iterable[str] = ("",)) -> None:
        """Cut a host off from some replicas; default: all."""
        self.cuts[host] = cuts = dict.fromkeys(addresses, cut)
        for sock in self.sockets.get(host, []):
            if cuts.get(sock.address, cuts.get("", Cut.NONE)) is Cut.NONE:
                continue
            if cut is Cut.HANG:
                sock.hangs = True
            elif cut is Cut.RESET and not sock.closed:
                sock.reset()
                sock.peer.reset()

    def heal(self, host: str) -> None:
        """Restore a host's paths."""
        self.cuts[host] = {}
        for sock in self.sockets.get(host, []):
            if sock.hangs:
                sock.heal()

    async def dial(self, address: str, host: str = "") -> SimulatedSocket:
        """Connect ``host`` to a replica, unless it is cut off."""
        self.dials += 1
        await trio.sleep(self.dial_seconds)
        cuts = self.cuts.get(host, {})
        cut = cuts.get(address, cuts.get("", Cut.NONE))
        if cut is Cut.HANG:
            await trio.sleep_forever()
        replica = self.replicas.get(address)
        if cut is not Cut.NONE or replica is None or not replica.alive:
            raise OSError("connection refused")
        near, far = socket_pair(near_type=CutSocket)
        near.address = address
        self.sockets.setdefault(host, []).append(near)
        self.nursery.start_soon(replica.serve, far, host)
        return near

    async def dial_host(self, address: str) -> trio.abc.Stream:
        """Connect to a host, for a tunnel."""
        if address in self.without_tunnels:
            raise OSError("connection refused")
        return await super().dial_host(address)

    def host_link(self) -> tuple[SimulatedSocket, SimulatedSocket]:
        """Return the ends of a connection between two hosts."""
        near, far = socket_pair()
        self.host_links.append(far)
        return near, far

    async def call_steadily(self, host: int, seconds: float) -> Tally:
        """Send a host requests of each kind for ``seconds`` and count the answers."""
        tally = Tally()
        async with trio.open_nursery() as nursery:
            kinds = itertools.cycle(KINDS)
            end = trio.current_time() + seconds
            while trio.current_time() < end:
                nursery.start_soon(self._call, host, next(kinds), tally)
                await trio.sleep(REQUEST_SECONDS)
        return tally

    async def _call(self, host: int, kind: str, tally: Tally) -> None:
        tally.sent += 1
        sent_at, status, whole = trio.current_time(), 0, False
        with trio.move_on_after(CALLER_SECONDS):
            reply = await self.ask(
                f"/{kind}/1",
                f"r{next(self.ids)}",
                host,
                headers=KINDS[kind],
                left_ms=int(CALLER_SECONDS * 1000),
            )
            status, whole = reply.status, reply.whole
        if status == 200 and whole:
            tally.served += 1
        else:
            tally.failures.append((round(sent_at, 2), kind, status))


def run_lost_paths(task, hosts: int, **settings):
    """Run ``task(world)`` with ``hosts`` hosts, plain replicas and engines.

    ``settings`` are those of the hosts' section ``[entry]``.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            world = LostPathsWorld(nursery)
            world.directory.put_routes(routes())
            for number in range(4):
                world.add_replica(f"plain-{number + 1}")
            for number, phase in enumerate([EnginePhase.PREFILL, EnginePhase.DECODE]):
                for copy in range(3):
                    name = f"engine-{3 * number + copy + 1}"
                    world.add_replica(name, ENGINES, phase)
            for number in range(hosts):
                await world.add_host(
                    f"host-{number + 1}",
                    domain=f"domain-{number % DOMAINS + 1}",
                    **settings,
                )
            result = await task(world)
            nursery.cancel_scope.cancel()
        return result

    return run_virtual(main)


async def tally_all(world: LostPathsWorld, seconds: float) -> list[Tally]:
    """Call all hosts for ``seconds``; return a tally each."""
    found: list[Tally | None] = [None] * len(world.hosts)

    async def call(number: int) -> None:
        found[number] = await world.call_steadily(number, seconds)

    async with trio.open_nursery() as nursery:
        for number in range(len(world.hosts)):
            nursery.start_soon(partial(call, number))
    return [tally for tally in found if tally is not None]

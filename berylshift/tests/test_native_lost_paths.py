"""Tests of hosts with the native API that lost their paths to all targets."""

import unittest
from dataclasses import replace
from functools import partial

import trio

from berylshift.application import Application
from berylshift.connection.engine_client import HttpEngineClient
from berylshift.connection.http_client import HttpClient
from berylshift.connection.http_server import HttpServer
from berylshift.connection.service_client import HttpServiceClient
from berylshift.connection.target_dial import TargetDial
from berylshift.replay.virtual_fleet import FleetSpec, VirtualWorld
from berylshift.request.messages import Outcome
from berylshift.stand_ins.engine_server import EngineServer
from berylshift.stand_ins.service_server import ServiceServer
from berylshift.tests.lost_paths_world import Cut, CutSocket
from berylshift.tests.socket_world import LATENCY_SECONDS, socket_pair
from berylshift.tests.support import run_virtual
from berylshift.tests.world import (
    call_service,
    complete,
    expected_text,
    model_call,
    plain_call,
    small_rows,
)

KEY = "cluster"
SETTLED_SECONDS = 3.0
CALLS = 12
CALL_SECONDS = 3.0


class NativePathsWorld(VirtualWorld):
    """Hosts that call targets over HTTP, on sockets that can be cut."""

    def __init__(self, *args):
        """Start with all paths open."""
        super().__init__(*args)
        self.cuts: dict[str, Cut] = {}
        self.sockets: dict[str, list[CutSocket]] = {}
        self.apps: dict[str, Application] = {}

    def _make_app(self, cfg, rng) -> Application:
        """Wire a host as the daemon does, over simulated sockets."""
        name = cfg.host.name
        dial = TargetDial(partial(self.dial, name))
        targets = HttpClient(dial.dial, 0.5, may_reuse=dial.may_reuse)
        ports = replace(
            super()._make_app(cfg, rng).ports,
            engines=HttpEngineClient(targets, ""),
            services=HttpServiceClient(targets, ""),
            target_dial=dial,
            dial_peer=self.dial_host,
            break_silent=targets.break_silent,
        )
        app = Application(cfg, ports, self.addresses_of(name), {})
        app.paths.use_key(KEY)
        self.hub.views[f"{name}:admin"] = app.peer_view
        self.apps[name] = app
        return app

    async def dial(self, host: str, address: str) -> CutSocket:
        """Connect ``host`` to a target, unless it is cut off."""
        await trio.sleep(LATENCY_SECONDS)
        cut = self.cuts.get(host, Cut.NONE)
        if cut is Cut.HANG:
            await trio.sleep_forever()
        if cut is not Cut.NONE:
            raise OSError("connection refused")
        if address in self.runners:
            handler = EngineServer(self.runners[address]).handle
        else:
            handler = ServiceServer(self.replicas[address]).handle
        near, far = socket_pair(near_type=CutSocket)
        self.sockets.setdefault(host, []).append(near)
        self._nursery.start_soon(HttpServer(handler).serve_stream, far)
        return near

    async def dial_host(self, address: str) -> trio.abc.Stream:
        """Connect to a host, for a tunnel."""
        await trio.sleep(LATENCY_SECONDS)
        near, far = socket_pair()
        server = self.apps[address.partition(":")[0]].paths.tunnel_server
        self._nursery.start_soon(server.serve_stream, far)
        return near

    def cut(self, host: str, cut: Cut) -> None:
        """Cut a host off from all targets."""
        self.cuts[host] = cut
        for sock in self.sockets.get(host, []):
            if cut is Cut.HANG:
                sock.hangs = True
            elif cut is Cut.RESET and not sock.closed:
                sock.reset()
                sock.peer.reset()


class NativeLostPathsTest(unittest.TestCase):
    """Callers of a host that is cut off are served like those of the others."""

    def served(self, cut):
        """Return how many calls of each host were completed, of ``CALLS`` each."""

        async def main():
            async with trio.open_nursery() as nursery:
                rows = small_rows(engines=2, replicas=2)
                world = NativePathsWorld(FleetSpec(hosts=3), rows, nursery)
                await world.start()
                await trio.sleep(2)
                await self.call_all(world, 0)
                world.cut("host-1", cut)
                await self.call_all(world, 1)
                await trio.sleep(SETTLED_SECONDS)
                found = await self.call_all(world, 2)
                nursery.cancel_scope.cancel()
            return found

        return run_virtual(main)

    async def call_all(self, world, turn):
        """Make calls of each kind at each host; return how many were completed."""
        found = dict.fromkeys(world.hosts, 0)

        async def call(name, number):
            host, key = world.hosts[name], f"{name}-{turn}-{number}"
            with trio.move_on_after(CALL_SECONDS):
                if number % 3 == 0:
                    made = model_call(number + 100 * turn, 100, 10)
                    result, text = await complete(host, made)
                    found[name] += text == expected_text(made)
                    return
                made = plain_call("" if number % 3 == 1 else key)
                result = (await call_service(host, made)).result
                found[name] += result.outcome is Outcome.COMPLETE

        async with trio.open_nursery() as nursery:
            for number in range(CALLS):
                for name in world.hosts:
                    nursery.start_soon(call, name, number)
                await trio.sleep(0.2)
        return found

    def test_calls_at_a_host_that_is_cut_off_are_completed(self):
        """Guards against hosts that refuse calls which others can complete."""
        for cut in (Cut.HANG, Cut.RESET, Cut.REFUSE_NEW):
            with self.subTest(cut):
                self.assertEqual(set(self.served(cut).values()), {CALLS})


if __name__ == "__main__":
    unittest.main()

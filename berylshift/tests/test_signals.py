"""Tests of repeated signals, as operators and the platform send them."""

import signal
import tempfile
import unittest
from pathlib import Path

import trio
import trio.testing

from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.platform import names
from berylshift.signals import watch_signals
from berylshift.tools.demo_entry import SITE, EntryDemo
from berylshift.tools.processes import Programs

PIECES = 40


class WatchTest(unittest.TestCase):
    """``watch_signals`` in this process."""

    def test_signals_after_the_first_sigterm_change_nothing(self):
        async def task():
            stop, causes = trio.Event(), []
            async with trio.open_nursery() as nursery:
                await nursery.start(watch_signals, causes.append, stop)
                signal.raise_signal(signal.SIGHUP)
                await trio.testing.wait_all_tasks_blocked()
                before = stop.is_set()
                signal.raise_signal(signal.SIGTERM)
                await stop.wait()
                signal.raise_signal(signal.SIGHUP)
                signal.raise_signal(signal.SIGTERM)
                await trio.testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()
            return before, causes

        self.assertEqual(trio.run(task), (False, ["SIGHUP", "SIGHUP"]))


class DaemonTest(unittest.TestCase):
    """The daemon as a separate process."""

    def test_signals_during_shutdown_do_not_cut_responses(self):
        # A host is stopped while a stream is open. Operators' tools then send it SIGHUP
        # and another SIGTERM. The default action of either signal would end the
        # process, and cut the stream.
        async def ask(demo: EntryDemo) -> bytes:
            headers = {
                "host": SITE,
                names.ATTEMPT_ID.decode(): "r1",
                names.TIME_LEFT_MS.decode(): "9000",
                names.TOKEN_COUNTS.decode(): "3000,80",
                names.PREFIX_BLOCKS.decode(): "a1:2000,ff:1000",
                "x-pieces": str(PIECES),
                **demo.shown_key(),
            }
            address = demo.hosts[0].address
            out = Outgoing(address, "POST", "/note/x", headers, b"{}", reuse=False)
            body = b""
            signalled = False
            async with HttpClient().request(out) as resp:
                async for data in resp.chunks():
                    body += data
                    if not signalled:
                        signalled = True
                        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                            demo.programs.signal(demo.hosts[0].name, number)
                            await trio.sleep(0.1)
            return body

        async def task(directory: Path) -> bytes:
            async with trio.open_nursery() as nursery:
                programs = Programs(directory, nursery)
                demo = EntryDemo(directory, programs)
                try:
                    await demo.start(hosts=1)
                    return await ask(demo)
                finally:
                    await programs.end_all()
                    nursery.cancel_scope.cancel()

        with tempfile.TemporaryDirectory() as tmp:
            body = trio.run(task, Path(tmp))
        self.assertEqual(body.count(b"data: "), PIECES)


if __name__ == "__main__":
    unittest.main()

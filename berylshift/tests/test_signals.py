"""Signals that come in series, as operators and the platform send them."""

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
    """The watch alone, in this process."""

    def test_signals_after_the_first_end_change_nothing(self):
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
    """The daemon as a process of its own."""

    def test_no_signal_cuts_the_answers_that_a_shutdown_waits_for(self):
        # A host is stopped while a stream is under way. Operators' tools then tell it
        # to reload, and to stop once more. Were either signal to take its default
        # action, the caller's stream would be cut.
        async def ask(demo: EntryDemo) -> bytes:
            headers = {
                "host": SITE,
                names.ATTEMPT_ID.decode(): "r1",
                names.TIME_LEFT_MS.decode(): "9000",
                names.TOKEN_COUNTS.decode(): "3000,80",
                names.PROMPT_PARTS.decode(): "a1:2000,ff:1000",
                "x-pieces": str(PIECES),
                **demo.auth_header(),
            }
            address = demo.hosts[0].address
            out = Outgoing(address, "POST", "/note/x", headers, b"{}", reuse=False)
            body = b""
            told = False
            async with HttpClient().request(out) as resp:
                async for data in resp.chunks():
                    body += data
                    if not told:
                        told = True
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
                    await programs.stop_all()
                    nursery.cancel_scope.cancel()

        with tempfile.TemporaryDirectory() as folder:
            body = trio.run(task, Path(folder))
        self.assertEqual(body.count(b"data: "), PIECES)


if __name__ == "__main__":
    unittest.main()

"""Tests of the fuzzer: what it reads, what it finds, and one short run."""

import random
import unittest
from collections import Counter

import trio

from berylshift.platform import names
from berylshift.stand_ins.fuzz.grammar import draw, requests_in, statuses_in
from berylshift.stand_ins.fuzz.odd_callers import OddCallers
from berylshift.stand_ins.fuzz.run import FuzzSpec, run_fuzz
from berylshift.stand_ins.pipes import pipe_pair
from berylshift.tests.support import run_virtual

RUN_SECONDS = 6.0
HEAD = b"POST /book/x HTTP/1.1\r\nhost: h\r\n" + names.ATTEMPT_ID + b": %s\r\n"
SENT = HEAD % b"a" + b"content-length: 1\r\n\r\nx" + HEAD % b"b" + b"\r\n"
REFUSAL = b"HTTP/1.1 503 x\r\ncontent-length: 2\r\n\r\nno"


class GrammarTest(unittest.TestCase):
    """How requests are drawn and read."""

    def test_a_seed_gives_one_example(self):
        """Guards against a failing seed that can't be played again."""
        one, other, third = (draw(random.Random(s), "odd-1") for s in ("1", "1", "2"))
        self.assertEqual(one, other)
        self.assertNotEqual(one, third)

    def test_answers_belong_to_requests_in_their_order(self):
        sent = requests_in(SENT + HEAD % b"c" + b"content-length: 9\r\n\r\nx")
        self.assertEqual([req.id for req in sent], [b"a", b"b", b"c"])
        self.assertEqual([req.body for req in sent], [b"x", b"", None])
        received = b"HTTP/1.1 100 x\r\n\r\n" + REFUSAL + REFUSAL + b"HTTP/1."
        self.assertEqual(statuses_in(received, sent), [503, 503])


class OddCallersTest(unittest.TestCase):
    """What counts as a broken promise."""

    def violations(self, *ran: tuple[bytes, bytes]) -> list[str]:
        """Send examples to a host that refuses each; return what is wrong then."""

        async def main():
            async def connect():
                near, far = pipe_pair()
                await far.send_all(REFUSAL)
                await far.send_eof()
                return near

            odd = OddCallers(connect, random.Random, 5.0)
            await odd.run(50)
            return odd.violations(Counter(ran))

        return run_virtual(main)

    def test_broken_promises_are_found(self):
        """Guards against a fuzzer that sees nothing."""
        self.assertEqual(self.violations(), [])
        found = (requests_in(draw(random.Random(n), f"odd-{n}")) for n in range(1, 50))
        sent = next(reqs[0] for reqs in found if reqs and reqs[0].body)
        key = (sent.id, sent.body)
        self.assertIn("status 503, but it ran", self.violations(key)[0])
        self.assertIn("ran 3 times", self.violations(key, key, key)[0])
        self.assertIn("0 allowed", self.violations((sent.id, b"another"))[0])


class FuzzTest(unittest.TestCase):
    """Guards a host and its sound callers against what others send."""

    def test_fixed_seed(self):
        result = trio.run(run_fuzz, FuzzSpec(63, RUN_SECONDS), lambda line: None)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.examples, 50)
        self.assertGreater(result.statuses[200], 10)
        self.assertGreater(result.sound, 50)


if __name__ == "__main__":
    unittest.main()

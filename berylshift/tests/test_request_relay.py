"""Whole path of routed requests under the faults of replicas."""

import unittest

import trio

from berylshift.platform import names
from berylshift.process.limits.shared_retry_budget import USED_FRACTION
from berylshift.stand_ins.entry_replica import Fault
from berylshift.tests.entry_world import (
    prompt_headers,
    run_entry,
)

SIGNED = names.SIGNATURE


def only_replica(world):
    """Return the one plain replica."""
    return world.replicas["10.0.0.1:80"]


class PlainAnswerTest(unittest.TestCase):
    """Requests without a prompt."""

    def test_answer_is_passed_on_unchanged(self):
        async def task(world):
            return await world.ask("/look/x?y=1", "r7")

        reply = run_entry(task)
        self.assertEqual(
            (reply.status, reply.body, reply.whole), (200, b"body of r7", True)
        )
        self.assertIn(SIGNED, reply.headers)

    def test_unknown_path_is_404_and_no_routes_is_503(self):
        """A host that knows no routes yet must not say that one is missing."""

        async def task(world):
            missing = await world.ask("/nothing/here")
            world.hosts[0].routes.table = None
            return missing.status, await world.ask("/look/x")

        missing, early = run_entry(task)
        self.assertEqual(missing, 404)
        self.assertEqual(early.status, 503)
        self.assertGreater(early.again, 0)

    def test_every_answer_of_our_own_is_logged_with_its_id(self):
        async def task(world):
            with self.assertLogs("berylshift.request.routed_front", "INFO") as logs:
                await world.ask("/nothing/here", "r1")
                await world.ask("/look/x", "r2")
            return [record.__dict__ for record in logs.records]

        missing, ended = run_entry(task)
        self.assertEqual((missing["request"], missing["outcome"]), ("r1", 404))
        self.assertEqual((ended["request"], ended["outcome"]), ("r2", "answered"))
        self.assertIn("least-loaded done", ended["sends"][0])
        for record in (missing, ended):
            self.assertEqual(record["version"], 1)
            self.assertIsNotNone(record["routes_age"])

    def test_a_send_without_an_end_is_named_in_the_log(self):
        async def task(world):
            for replica in world.replicas.values():
                replica.faults = [Fault.MUTE]
            with self.assertLogs("berylshift.request.routed_front", "INFO") as logs:
                await world.ask("/book/x", left_ms=500)
            return logs.records[0].sends

        self.assertRegex(run_entry(task)[0], "^plain-[12] least-loaded open")

    def test_several_requests_on_one_connection(self):
        async def task(world):
            link = world.connect()
            return [(await link.ask("/book/x", f"r{i}")).body for i in range(3)]

        self.assertEqual(run_entry(task), [b"body of r0", b"body of r1", b"body of r2"])

    def test_two_lengths_are_rejected(self):
        """A caller hides a second request in the body of a first.

        The request says its length twice, in two ways. Whoever reads the other of the
        two takes the rest for a request of its own. It is rejected, and the connection
        ends, so that no byte of it reaches a replica.
        """

        async def task(world):
            link = world.connect()
            head = (
                b"POST /book/x HTTP/1.1\r\nhost: shop.example\r\n"
                + names.ATTEMPT_ID
                + b": r1\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n"
                + b"0\r\n\r\nPOST /book/y HTTP/1.1\r\nhost: shop.example\r\n"
                + names.ATTEMPT_ID
                + b": hidden\r\ncontent-length: 0\r\n\r\n"
            )
            await link.stream.send_all(head)
            data = b""
            while more := await link.stream.receive_some(65536):
                data += more
            return data, [rep.arrivals for rep in world.replicas.values()]

        data, arrivals = run_entry(task)
        self.assertIn(b" 400 ", data.split(b"\r\n")[0])
        self.assertEqual(arrivals, [[], []])


class NotRunTest(unittest.TestCase):
    """When a caller is told that its request was not run, it was not."""

    def ask(self, fault: Fault, path: str = "/book/x"):
        async def task(world):
            replica = only_replica(world)
            replica.faults = [fault] * 4
            reply = await world.ask(path)
            return reply, len(replica.runs)

        return run_entry(task, plain=1)

    def test_reset_after_the_send_is_not_called_not_run(self):
        """The replica reads a booking, begins, and its connection is reset.

        Nobody knows whether it was booked. The caller must not hear a status that
        promises the opposite (429, 503), or it would book again.
        """
        reply, runs = self.ask(Fault.RESET)
        self.assertEqual((reply.status, runs), (502, 1))

    def test_time_that_ends_while_a_replica_is_asked_whether_it_lives(self):
        """A booking's replica breaks off; nothing answers at its address any more.

        The host waits to see whether it takes a new connection, and the caller's time
        ends meanwhile. The booking may have run: 503 would say that it has not.
        """

        async def task(world):
            for replica in world.replicas.values():
                replica.faults = [Fault.RESET]
            link = world.connect()
            await link.send("/book/x", left_ms=60)
            while not any(replica.runs for replica in world.replicas.values()):
                await trio.sleep(0.0001)
            world.dark.update(world.replicas)
            return (await link.read()).status

        self.assertNotIn(run_entry(task), (0, 503))

    def test_silence_is_not_called_not_run(self):
        """The replica takes a booking and never says a word until the time is up."""
        reply, runs = self.ask(Fault.MUTE)
        self.assertEqual((reply.status, runs), (504, 1))

    def test_replicas_own_refusal_is_not_run_with_a_time_to_return(self):
        reply, runs = self.ask(Fault.REFUSE)
        self.assertEqual((reply.status, runs), (503, 0))
        self.assertGreater(reply.again, 0)

    def test_dark_replica_is_not_run(self):
        """The connection is never made: no byte can have arrived."""

        async def task(world):
            world.dark.add("10.0.0.1:80")
            return await world.ask("/book/x")

        self.assertEqual(run_entry(task, plain=1).status, 503)

    def test_a_booking_runs_once_whatever_breaks(self):
        """The first replica breaks in each way; the second must not run it too."""
        for fault in (Fault.RESET, Fault.CUT, Fault.UNSIGNED, Fault.UNFRAMED_RESET):
            with self.subTest(fault=fault):

                async def task(world, fault=fault):
                    for replica in world.replicas.values():
                        replica.faults = [fault]
                    reply = await world.ask("/book/x")
                    runs = [len(rep.runs) for rep in world.replicas.values()]
                    return reply.status, sum(runs)

                self.assertEqual(run_entry(task), (502, 1))


class RetryTest(unittest.TestCase):
    """Requests that may be repeated are answered by another replica."""

    def test_broken_lookups_are_answered_elsewhere(self):
        faults = (
            Fault.RESET,
            Fault.CUT,
            Fault.UNSIGNED,
            Fault.ENCODED,
            Fault.UNFRAMED_RESET,
            Fault.ERROR,
            Fault.MUTE,
        )
        for fault in faults:
            with self.subTest(fault=fault):

                async def task(world, fault=fault):
                    for replica in world.replicas.values():
                        replica.faults = [fault]
                    first = min(world.replicas.values(), key=lambda rep: rep.address)
                    other = max(world.replicas.values(), key=lambda rep: rep.address)
                    first.faults, other.faults = [fault], []
                    replies = [await world.ask("/look/x", f"r{i}") for i in range(4)]
                    return [(reply.status, reply.whole) for reply in replies]

                self.assertEqual(run_entry(task), [(200, True)] * 4)

    def test_answer_without_length_that_ends_is_whole(self):
        async def task(world):
            only_replica(world).faults = [Fault.UNFRAMED]
            return await world.ask("/book/x")

        reply = run_entry(task, plain=1)
        self.assertEqual((reply.status, reply.body), (200, b"body of r1"))

    def test_retries_keep_to_the_share_of_all_hosts(self):
        """Both replicas fail everything: each lookup would be sent twice.

        All hosts do the same. The sum of further sends must stay below a fifth of the
        requests and the burst, without a word between the hosts.
        """

        async def task(world):
            for replica in world.replicas.values():
                replica.faults = [Fault.ERROR] * 200
            for number in range(60):
                await world.ask("/look/x", f"r{number}")
            return sum(len(rep.arrivals) for rep in world.replicas.values())

        self.assertLessEqual(run_entry(task) - 60, 0.2 * 60 + 10)

    def test_readings_count_as_sends(self):
        """Engines read prompts and none of them answers: each request is refused.

        A further send may have the prompt read once more, and that arrives at the
        service as well. All hosts do the same: what arrives beyond each request and its
        one reading stays within a host's share.
        """

        async def task(world):
            for replica in world.replicas.values():
                if replica.phase == "decode":
                    replica.faults = [Fault.REFUSE] * 400
            for number in range(60):
                await world.ask("/note/x", f"r{number}", headers=prompt_headers())
            replicas = list(world.replicas.values())
            arrived = sum(len(replica.arrivals) for replica in replicas)
            read = {name for replica in replicas for name in replica.reads}
            return arrived - 60 - len(read)

        share = USED_FRACTION * (0.2 * 60 + 10)
        self.assertLessEqual(run_entry(task, plain=0, engines="ppdddd"), share)

    def test_engines_that_all_failed_are_still_tried(self):
        """All engines break off for a moment, then they are well again.

        What is held against them only orders them. Taken for a delay, it would have
        every request refused as too late, for seconds, at engines that are idle.
        """

        async def task(world):
            for replica in world.replicas.values():
                replica.faults = [Fault.RESET] * 12
            for number in range(20):
                await world.ask("/note/x", f"r{number}", headers=prompt_headers())
            for replica in world.replicas.values():
                replica.faults = []
            reply = await world.ask("/note/x", "last", headers=prompt_headers())
            return reply.status

        self.assertEqual(run_entry(task, plain=0, engines="ppdd"), 200)

    def test_nothing_is_read_when_no_engine_is_left_to_answer(self):
        async def task(world):
            reader, answerer = list(world.replicas.values())
            answerer.faults = [Fault.REFUSE] * 4
            await world.ask("/note/x", headers=prompt_headers())
            return len(reader.reads)

        self.assertEqual(run_entry(task, plain=0, engines="pd"), 1)

    def test_a_cache_is_offered_to_a_second_engine(self):
        """The first answering engine is full; the prompt need not be read again."""

        async def task(world):
            reader, first, second = list(world.replicas.values())
            one_refusal = [Fault.REFUSE]
            first.faults = second.faults = one_refusal
            reply = await world.ask("/note/x", headers=prompt_headers())
            return reply.status, len(reader.reads), world.kept.handles

        status, reads, handles = run_entry(task, plain=0, engines="pdd")
        self.assertEqual((status, reads, handles), (200, 1, {}))

    def test_an_engine_whose_caches_are_gone_is_soon_avoided(self):
        """One of two reading engines loses each cache at once and says nothing.

        Engines that should answer refuse what they can't fetch. If that is held against
        them alone, all prompts go on being read for nothing.
        """

        async def task(world):
            engines = list(world.replicas.values())
            engines[0].loses_caches = True
            statuses = []
            for number in range(40):
                headers = prompt_headers(part=f"a{number % 7}")
                reply = await world.ask("/note/x", f"r{number}", headers=headers)
                statuses.append(reply.status)
            return statuses.count(200), len(engines[0].reads)

        served, lost_reads = run_entry(task, plain=0, engines="ppdd")
        self.assertGreaterEqual(served, 36)
        self.assertLessEqual(lost_reads, 12)


class KeptConnectionTest(unittest.TestCase):
    """Connections to replicas that are used again."""

    def test_late_second_answer_reaches_nobody(self):
        """A replica sends a second answer after its first one, to someone else's id.

        The next request goes out on the kept connection and finds that answer waiting.
        The caller must get its own answer, not the stranger's.
        """

        async def task(world):
            replica = only_replica(world)
            replica.faults = [Fault.EXTRA]
            first = await world.ask("/look/x", "r1")
            await trio.sleep(0.1)
            second = await world.ask("/look/x", "r2")
            return first.body, second.body

        self.assertEqual(run_entry(task, plain=1), (b"body of r1", b"body of r2"))

    def test_connections_are_kept(self):
        async def task(world):
            for number in range(5):
                await world.ask("/book/x", f"r{number}")
            return only_replica(world).connections

        self.assertEqual(run_entry(task, plain=1), 1)

    def test_connection_after_an_early_answer_is_not_used_again(self):
        """A replica rejects a long body before it has read it, and reads on later.

        The next request on that connection would be taken for the rest of the body.
        """

        async def task(world):
            replica = only_replica(world)
            replica.faults = [Fault.EARLY]
            long = await world.ask("/book/x", "r1", body=b"x" * 200_000)
            short = await world.ask("/book/x", "r2")
            return long.status, short.body, replica.connections

        self.assertEqual(run_entry(task, plain=1), (413, b"body of r2", 2))


class InstanceTest(unittest.TestCase):
    """Addresses are used again by other services."""

    def test_request_for_a_gone_replica_is_not_run_by_its_successor(self):
        """A replica is gone and its address serves something else; the list lags.

        The request names the instance it is for; the stranger says that it is another
        and runs nothing; the request goes to the replica that is left.
        """

        async def task(world):
            world.replicas["10.0.0.1:80"].instance = "stranger"
            replies = [await world.ask("/look/x", f"r{i}") for i in range(4)]
            runs = [len(rep.runs) for rep in world.replicas.values()]
            return [reply.status for reply in replies], runs

        self.assertEqual(run_entry(task), ([200] * 4, [0, 4]))


class TimeLeftTest(unittest.TestCase):
    """A replica is told what is left of the caller's time."""

    def test_second_send_is_told_less(self):
        async def task(world):
            for replica in world.replicas.values():
                replica.faults = [Fault.RESET]
                replica.work_seconds = 0.4
            first = world.replicas["10.0.0.1:80"]
            first.faults = [Fault.MUTE]
            world.replicas["10.0.0.2:80"].faults = []
            for number in range(6):
                await world.ask("/look/x", f"r{number}", left_ms=2000)
            runs = [run for rep in world.replicas.values() for run in rep.runs]
            muted = first.runs[0].request
            told = [
                int(run.headers[names.TIME_LEFT_MS])
                for run in sorted(runs, key=lambda run: run.started)
                if run.request == muted
            ]
            return told

        told = run_entry(task)
        self.assertEqual(len(told), 2)
        self.assertLessEqual(told[0], 2000)
        self.assertLess(told[1], told[0] - 500)

    def test_route_bounds_a_caller_without_a_deadline(self):
        async def task(world):
            only_replica(world).faults = [Fault.MUTE]
            start = trio.current_time()
            reply = await world.ask("/book/x", left_ms=None)
            return reply.status, trio.current_time() - start

        status, seconds = run_entry(task, plain=1)
        self.assertEqual(status, 504)
        self.assertAlmostEqual(seconds, 4.0, delta=0.1)


class CallerLeavesTest(unittest.TestCase):
    """A caller closes its connection while its request is under way."""

    def test_replica_stops_within_half_a_second(self):
        async def task(world):
            replica = only_replica(world)
            replica.work_seconds = 3
            link = world.connect()
            await link.send("/look/x")
            await trio.sleep(0.2)
            await link.close()
            left = trio.current_time()
            await trio.sleep(1)
            return replica.runs[0].ended - left, replica.runs[0].whole

        seconds, whole = run_entry(task, plain=1)
        self.assertLess(seconds, 0.5)
        self.assertFalse(whole)


if __name__ == "__main__":
    unittest.main()

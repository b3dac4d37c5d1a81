"""End-to-end tests of routed requests with failing replicas."""

import unittest

import trio

from berylshift.platform import names
from berylshift.process.limits.shared_retry_budget import USED_FRACTION
from berylshift.stand_ins.entry_replica import Fault
from berylshift.tests.entry_world import prompt_headers, run_entry

SIGNED = names.SIGNATURE


def only_replica(world):
    """Return the one plain replica."""
    return world.replicas["10.0.0.1:80"]


class PlainAnswerTest(unittest.TestCase):
    """Requests without a prompt."""

    def test_response_is_forwarded_unchanged(self):
        async def task(world):
            return await world.ask("/look/x?y=1", "r7")

        reply = run_entry(task)
        self.assertEqual(
            (reply.status, reply.body, reply.whole), (200, b"body of r7", True)
        )
        self.assertIn(SIGNED, reply.headers)

    def test_unknown_path_is_404_and_no_routes_is_503(self):
        """A host that has not loaded the routes yet must not answer 404."""

        async def task(world):
            missing = await world.ask("/nothing/here")
            world.hosts[0].routes.table = None
            return missing.status, await world.ask("/look/x")

        missing, early = run_entry(task)
        self.assertEqual(missing, 404)
        self.assertEqual(early.status, 503)
        self.assertGreater(early.retry_after_seconds, 0)

    def test_own_responses_are_logged_with_request_id(self):
        async def task(world):
            with self.assertLogs("berylshift.request.routed_handler", "INFO") as logs:
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

    def test_unfinished_attempt_is_logged(self):
        async def task(world):
            for replica in world.replicas.values():
                replica.faults = [Fault.MUTE]
            with self.assertLogs("berylshift.request.routed_handler", "INFO") as logs:
                await world.ask("/book/x", left_ms=500)
            return logs.records[0].sends

        self.assertRegex(run_entry(task)[0], "^plain-[12] least-loaded open")

    def test_several_requests_on_one_connection(self):
        async def task(world):
            link = world.connect()
            return [(await link.ask("/book/x", f"r{i}")).body for i in range(3)]

        self.assertEqual(run_entry(task), [b"body of r0", b"body of r1", b"body of r2"])

    def test_two_lengths_are_rejected(self):
        """Guards against request smuggling in the body of a request.

        The request has both Content-Length and Transfer-Encoding. A peer that goes by
        the other one takes the rest of the body for a second request. The host rejects
        it and closes the connection, so that no byte reaches a replica.
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
    """A caller is told "not run" only if its request was not run."""

    def ask(self, fault: Fault, path: str = "/book/x"):
        async def task(world):
            replica = only_replica(world)
            replica.faults = [fault] * 4
            reply = await world.ask(path)
            return reply, len(replica.runs)

        return run_entry(task, plain=1)

    def test_reset_after_sending_is_not_reported_as_not_run(self):
        """Guards against double bookings after a connection reset.

        The replica reads a booking and resets the connection, so the booking may have
        run. A status that says it did not (429, 503) would make the caller retry.
        """
        reply, runs = self.ask(Fault.RESET)
        self.assertEqual((reply.status, runs), (502, 1))

    def test_deadline_during_crash_probe_is_not_reported_as_not_run(self):
        """Guards against 503 for a booking that may have run.

        The replica resets the connection and becomes unreachable. The caller's deadline
        passes while the host probes whether the replica accepts a new connection.
        """

        async def task(world):
            for replica in world.replicas.values():
                replica.faults = [Fault.RESET]
            link = world.connect()
            await link.send("/book/x", left_ms=60)
            while not any(replica.runs for replica in world.replicas.values()):
                await trio.sleep(0.0001)
            world.unresponsive.update(world.replicas)
            return (await link.read()).status

        self.assertNotIn(run_entry(task), (0, 503))

    def test_timeout_is_not_reported_as_not_run(self):
        """The replica accepts a booking and sends no response before the deadline."""
        reply, runs = self.ask(Fault.MUTE)
        self.assertEqual((reply.status, runs), (504, 1))

    def test_error_of_a_booking_that_ran_is_not_forwarded_as_not_run(self):
        """Guards against a replica's own 503 or 429 for a booking that it has run."""
        for fault in (Fault.UNAVAILABLE, Fault.TOO_MANY):
            with self.subTest(fault=fault):
                reply, runs = self.ask(fault)
                self.assertEqual((reply.status, runs), (502, 1))
                self.assertNotIn(names.SIGNATURE, reply.headers)

    def test_error_of_a_lookup_is_forwarded_unchanged(self):
        """A lookup may be repeated, so its replica's status is kept."""
        reply, _ = self.ask(Fault.UNAVAILABLE, "/look/x")
        self.assertEqual((reply.status, reply.body), (503, b"failed"))
        self.assertIn(names.SIGNATURE, reply.headers)

    def test_refusal_by_replica_is_not_run_with_retry_after(self):
        reply, runs = self.ask(Fault.REFUSE)
        self.assertEqual((reply.status, runs), (503, 0))
        self.assertGreater(reply.retry_after_seconds, 0)

    def test_unreachable_replica_is_not_run(self):
        """The connection can't be established, so no byte can have arrived."""

        async def task(world):
            world.unresponsive.add("10.0.0.1:80")
            return await world.ask("/book/x")

        self.assertEqual(run_entry(task, plain=1).status, 503)

    def test_at_most_once_request_runs_once_after_failures(self):
        """The first replica fails in each way; the second must not run it too."""
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
    """Repeatable requests are retried at another replica."""

    def test_failed_lookups_are_retried_elsewhere(self):
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

    def test_response_without_length_is_complete_at_end_of_stream(self):
        async def task(world):
            only_replica(world).faults = [Fault.UNFRAMED]
            return await world.ask("/book/x")

        reply = run_entry(task, plain=1)
        self.assertEqual((reply.status, reply.body), (200, b"body of r1"))

    def test_retries_stay_within_the_budget_of_all_hosts(self):
        """Guards against retry storms when both replicas fail every request.

        All hosts retry in the same way. Without coordination between them, the retries
        must stay below a fifth of the requests plus the burst.
        """

        async def task(world):
            for replica in world.replicas.values():
                replica.faults = [Fault.ERROR] * 200
            for number in range(60):
                await world.ask("/look/x", f"r{number}")
            return sum(len(rep.arrivals) for rep in world.replicas.values())

        self.assertLessEqual(run_entry(task) - 60, 0.2 * 60 + 10)

    def test_prefills_count_as_attempts(self):
        """Guards against repeated prefills that bypass the retry budget.

        Engines prefill prompts, but all decode engines refuse. A retry may need another
        prefill, which is load for the service too. What arrives beyond each request and
        its first prefill must stay within one host's share of the retry budget.
        """

        async def task(world):
            for replica in world.replicas.values():
                if replica.phase == "decode":
                    replica.faults = [Fault.REFUSE] * 400
            for number in range(60):
                await world.ask("/note/x", f"r{number}", headers=prompt_headers())
            replicas = list(world.replicas.values())
            arrived = sum(len(replica.arrivals) for replica in replicas)
            read = {name for replica in replicas for name in replica.prefills}
            return arrived - 60 - len(read)

        share = USED_FRACTION * (0.2 * 60 + 10)
        self.assertLessEqual(run_entry(task, plain=0, engines="ppdddd"), share)

    def test_engines_that_all_failed_are_still_tried(self):
        """Guards against refusals for seconds after all engines failed briefly.

        Past failures only affect the order in which engines are chosen. If they were
        added to the predicted delay, every request would be refused as too late while
        the engines are idle.
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

    def test_no_prefill_without_a_decode_engine(self):
        async def task(world):
            reader, answerer = list(world.replicas.values())
            answerer.faults = [Fault.REFUSE] * 4
            await world.ask("/note/x", headers=prompt_headers())
            return len(reader.prefills)

        self.assertEqual(run_entry(task, plain=0, engines="pd"), 1)

    def test_kv_cache_is_offered_to_a_second_engine(self):
        """The first decode engine is full; the prompt need not be prefilled again."""

        async def task(world):
            reader, first, second = list(world.replicas.values())
            one_refusal = [Fault.REFUSE]
            first.faults = second.faults = one_refusal
            reply = await world.ask("/note/x", headers=prompt_headers())
            return reply.status, len(reader.prefills), world.fleet_state.handles

        status, reads, handles = run_entry(task, plain=0, engines="pdd")
        self.assertEqual((status, reads, handles), (200, 1, {}))

    def test_engine_that_loses_its_caches_is_avoided(self):
        """Guards against prefills at an engine that silently loses its KV caches.

        Decode engines refuse caches that they can't fetch. If only they were blamed,
        prompts would continue to be prefilled at the faulty engine.
        """

        async def task(world):
            engines = list(world.replicas.values())
            engines[0].drops_kv_caches = True
            statuses = []
            for number in range(40):
                headers = prompt_headers(block=f"a{number % 7}")
                reply = await world.ask("/note/x", f"r{number}", headers=headers)
                statuses.append(reply.status)
            return statuses.count(200), len(engines[0].prefills)

        served, lost_reads = run_entry(task, plain=0, engines="ppdd")
        self.assertGreaterEqual(served, 36)
        self.assertLessEqual(lost_reads, 12)


class ConnectionReuseTest(unittest.TestCase):
    """Reuse of connections to replicas."""

    def test_unexpected_second_response_is_discarded(self):
        """Guards against a response that reaches the wrong caller.

        A replica sends a second response, with another request's id, after its first.
        The next request on the reused connection finds it and must skip it.
        """

        async def task(world):
            replica = only_replica(world)
            replica.faults = [Fault.EXTRA]
            first = await world.ask("/look/x", "r1")
            await trio.sleep(0.1)
            second = await world.ask("/look/x", "r2")
            return first.body, second.body

        self.assertEqual(run_entry(task, plain=1), (b"body of r1", b"body of r2"))

    def test_connections_are_reused(self):
        async def task(world):
            for number in range(5):
                await world.ask("/book/x", f"r{number}")
            return only_replica(world).connections

        self.assertEqual(run_entry(task, plain=1), 1)

    def test_connection_is_not_reused_after_an_early_response(self):
        """Guards against a request that is read as the rest of an earlier body.

        A replica rejects a long body before it has read it, and reads on later.
        """

        async def task(world):
            replica = only_replica(world)
            replica.faults = [Fault.EARLY]
            long = await world.ask("/book/x", "r1", body=b"x" * 200_000)
            short = await world.ask("/book/x", "r2")
            return long.status, short.body, replica.connections

        self.assertEqual(run_entry(task, plain=1), (413, b"body of r2", 2))


class InstanceTest(unittest.TestCase):
    """Addresses that other services reuse."""

    def test_request_for_a_gone_replica_is_not_run_by_its_successor(self):
        """Guards against requests that are run by another service at a reused address.

        A replica is gone, its address serves something else, and the list is stale. The
        request names its target instance; the other service refuses it, and it is
        retried at the remaining replica.
        """

        async def task(world):
            world.replicas["10.0.0.1:80"].instance = "stranger"
            replies = [await world.ask("/look/x", f"r{i}") for i in range(4)]
            runs = [len(rep.runs) for rep in world.replicas.values()]
            return [reply.status for reply in replies], runs

        self.assertEqual(run_entry(task), ([200] * 4, [0, 4]))


class TimeLeftTest(unittest.TestCase):
    """Replicas receive the time left until the caller's deadline."""

    def test_second_attempt_is_sent_less_time(self):
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
            sent_ms = [
                int(run.headers[names.TIME_LEFT_MS])
                for run in sorted(runs, key=lambda run: run.started)
                if run.request == muted
            ]
            return sent_ms

        sent_ms = run_entry(task)
        self.assertEqual(len(sent_ms), 2)
        self.assertLessEqual(sent_ms[0], 2000)
        self.assertLess(sent_ms[1], sent_ms[0] - 500)

    def test_route_bounds_a_caller_without_a_deadline(self):
        async def task(world):
            only_replica(world).faults = [Fault.MUTE]
            start = trio.current_time()
            reply = await world.ask("/book/x", left_ms=None)
            return reply.status, trio.current_time() - start

        status, seconds = run_entry(task, plain=1)
        self.assertEqual(status, 504)
        self.assertAlmostEqual(seconds, 4.0, delta=0.1)


class CallerDisconnectTest(unittest.TestCase):
    """A caller closes its connection while its request is in progress."""

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
            return replica.runs[0].ended - left, replica.runs[0].completed

        seconds, whole = run_entry(task, plain=1)
        self.assertLess(seconds, 0.5)
        self.assertFalse(whole)


if __name__ == "__main__":
    unittest.main()

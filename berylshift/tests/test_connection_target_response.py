"""Tests of whose response a replica has sent."""

import unittest

import trio

from berylshift.connection.target_client import TargetClient
from berylshift.connection.target_request import TargetRequest
from berylshift.connection.target_response import ResponseOwner, owner_of
from berylshift.ids import InstanceId, RequestId
from berylshift.stand_ins.pipes import pipe_pair
from berylshift.tests.support import run_virtual

ONE, TWO = RequestId("one"), RequestId("two")
OWN, EARLIER, UNKNOWN = (
    ResponseOwner.THIS_REQUEST,
    ResponseOwner.EARLIER_REQUEST,
    ResponseOwner.UNKNOWN,
)


class OwnerTest(unittest.TestCase):
    """Guards against a response that is taken for that of another request."""

    def test_new_connection(self):
        """On a connection without earlier requests, an id may be missing."""
        self.assertIs(owner_of(ONE, ONE, set()), OWN)
        self.assertIs(owner_of(None, ONE, set()), OWN)
        self.assertIs(owner_of(None, None, set()), OWN)
        self.assertIs(owner_of(TWO, ONE, set()), EARLIER)

    def test_connection_of_other_requests(self):
        """An id tells the response from late ones; without it nothing does."""
        self.assertIs(owner_of(ONE, ONE, {TWO}), OWN)
        self.assertIs(owner_of(TWO, ONE, {TWO}), EARLIER)
        self.assertIs(owner_of(None, ONE, {TWO}), UNKNOWN)

    def test_connection_of_calls_without_id(self):
        """A response without an id can be that of the earlier call."""
        self.assertIs(owner_of(None, ONE, {None}), EARLIER)
        self.assertIs(owner_of(ONE, ONE, {None}), OWN)
        self.assertIs(owner_of(None, None, {None}), UNKNOWN)
        self.assertIs(owner_of(TWO, None, {TWO}), EARLIER)
        self.assertIs(owner_of(None, None, {TWO}), OWN)

    def test_connection_that_carried_the_same_id(self):
        """A late copy looks like the response to the second sending."""
        self.assertIs(owner_of(ONE, ONE, {ONE}), UNKNOWN)
        self.assertIs(owner_of(TWO, ONE, {ONE, TWO}), UNKNOWN)


def response(status: int, id_line: str = "", more: str = "") -> bytes:
    """Return a response without a body."""
    return f"HTTP/1.1 {status} X\r\n{id_line}{more}content-length: 0\r\n\r\n".encode()


def read_id(headers) -> RequestId | None:
    """Return the id that a response echoes."""
    found = dict(headers).get(b"id")
    return None if found is None else RequestId(found.decode())


class ScriptedReplica:
    """Answers each request with the next of some bytes; counts connections."""

    def __init__(self, *answers: bytes):
        """Send one of ``answers`` for each request."""
        self.answers = list(answers)
        self.connections = 0
        self.nursery: trio.Nursery | None = None

    async def dial(self, address: str) -> trio.abc.Stream:
        """Return a new connection."""
        self.connections += 1
        near, far = pipe_pair()
        self.nursery.start_soon(self._serve, far)
        return near

    async def _serve(self, stream: trio.abc.Stream) -> None:
        while await stream.receive_some(65536):
            await stream.send_all(self.answers.pop(0))


class RepeatingReplica(ScriptedReplica):
    """Sends the last response on a connection again before the next one."""

    async def _serve(self, stream: trio.abc.Stream) -> None:
        last = b""
        while await stream.receive_some(65536):
            answer = self.answers.pop(0)
            await stream.send_all(last + answer)
            last = answer


class ConnectionTest(unittest.TestCase):
    """Connections to a replica that sends responses late or without ids."""

    def setUp(self):
        self.bodies: list[bytes] = []

    def exchange(
        self,
        replica: ScriptedReplica,
        *ids: RequestId | None,
        methods: dict[RequestId, bytes] | None = None,
    ):
        """Send requests with these ids; return status, or 0 where it is not theirs."""
        methods = methods or {}

        async def main():
            client = TargetClient(1.0, replica.dial, read_id)
            found = []
            async with trio.open_nursery() as replica.nursery:
                for number in ids:
                    out = TargetRequest(
                        InstanceId("i"),
                        "10.0.0.1:80",
                        methods.get(number, b"GET"),
                        b"/",
                        [(b"host", b"x")],
                        id=number,
                    )
                    async with client.exchange(out) as answer:
                        self.bodies.append(await answer.read(100))
                        found.append(answer.status if answer.is_identified else 0)
                replica.nursery.cancel_scope.cancel()
            return found

        return run_virtual(main)

    def test_second_sending_of_one_id_has_a_connection_of_its_own(self):
        """Guards against a late refusal that is taken for the second response."""
        refusal, answer = response(503, "id: one\r\n"), response(200, "id: one\r\n")
        replica = ScriptedReplica(refusal, answer)
        self.assertEqual(self.exchange(replica, ONE, ONE), [503, 200])
        self.assertEqual(replica.connections, 2)

    def test_connection_is_kept_for_other_requests(self):
        """Guards against a new connection for each request of a long series."""
        ids = [RequestId(f"r{number}") for number in range(20)]
        replica = ScriptedReplica(*(response(200, f"id: {name}\r\n") for name in ids))
        self.assertEqual(self.exchange(replica, *ids), [200] * 20)
        self.assertEqual(replica.connections, 1)

    def test_second_sending_after_other_requests(self):
        """Guards against a copy that arrives after another exchange."""
        answers = (response(200, f"id: {name}\r\n") for name in (ONE, TWO, ONE))
        replica = ScriptedReplica(*answers)
        self.assertEqual(self.exchange(replica, ONE, TWO, ONE), [200] * 3)
        self.assertEqual(replica.connections, 2)

    def test_stray_refusal_without_id_is_not_believed(self):
        """Guards against "not run" from bytes that belong to no request."""
        refusal = response(503, more="berylshift-not-executed: 1\r\n")
        replica = ScriptedReplica(response(200, "id: one\r\n"), refusal)
        self.assertEqual(self.exchange(replica, ONE, TWO), [200, 0])

    def test_late_response_to_a_call_without_id_is_skipped(self):
        """Guards against a request that fails by the late response to a release."""
        release = response(200)
        replica = ScriptedReplica(release, release + response(201, "id: one\r\n"))
        self.assertEqual(self.exchange(replica, None, ONE), [200, 201])
        self.assertEqual(replica.connections, 1)

    def test_calls_without_id_have_connections_of_their_own(self):
        """Guards against the late answer to a report taken for that to an order."""
        replica = ScriptedReplica(response(200), response(409))
        self.assertEqual(self.exchange(replica, None, None), [200, 409])
        self.assertEqual(replica.connections, 2)

    def test_late_response_to_head_before_an_answer(self):
        """Guards against an answer read as the body of a late response to HEAD."""
        head = b"HTTP/1.1 200 X\r\nid: one\r\ncontent-length: 9\r\n\r\n"
        whole = b"HTTP/1.1 201 X\r\nid: two\r\ncontent-length: 3\r\n\r\nall"
        replica = RepeatingReplica(head, whole)
        found = self.exchange(replica, ONE, TWO, methods={ONE: b"HEAD"})
        self.assertEqual((found, self.bodies[-1]), ([200, 201], b"all"))

    def test_late_response_with_a_body_before_the_response_to_head(self):
        """Guards against a late body read as the head of the response to HEAD."""
        late = b"HTTP/1.1 200 X\r\nid: one\r\ncontent-length: 4\r\n\r\nbody"
        head = b"HTTP/1.1 201 X\r\nid: two\r\ncontent-length: 9\r\n\r\n"
        replica = RepeatingReplica(late, head)
        found = self.exchange(replica, ONE, TWO, methods={TWO: b"HEAD"})
        self.assertEqual(found, [200, 201])

    def test_late_response_with_an_id_is_skipped_by_a_call_without(self):
        """Guards against a late stream response taken for the answer to an order."""
        late = response(200, "id: one\r\n")
        replica = ScriptedReplica(late, late + response(202))
        self.assertEqual(self.exchange(replica, ONE, None), [200, 202])

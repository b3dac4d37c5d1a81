"""Callers that take their streams up again, and what is wrong with what they got."""

import random
import re
from collections.abc import Callable, Sequence

import h11
import msgspec
import trio

from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.http_client import ClientConnection, dial_tcp
from berylshift.platform import names
from berylshift.stand_ins.soak.callers import (
    PATIENCE_SECONDS,
    RETRY_SECONDS,
    SITE,
    STATUS_OK,
    THINK_SECONDS,
    Kind,
)
from berylshift.stand_ins.soak.checks import NOT_RUN_STATUSES

EVENT_COUNT = 10
TRIES = 4
# The time of a caller's stream, over all tries.
TIME_SECONDS = 5.0
DIAL_SECONDS = 1.0
# Callers wait for a refusing host up to this share of the time they have left.
RETRY_AFTER_SHARE = 1 / 3
LEAVE_SHARE = 0.3
LEAVE_SECONDS = (0.05, 1.0)
SAME_HOST_SHARE = 0.25
NAMES_FIRST_SHARE = 0.7
# Streams that may not be resumed, for comparison.
NOTE_SHARE = 0.15
# Prompts that are long enough for an engine of their own.
LONG_PROMPT_SHARE = 0.5
# What made an event: software version and service, then weights, which a line before it
# names if they have changed.
EVENT = re.compile(
    r"(?:berylshift-weight-versions: (?P<named>\d+)\n)?"
    r"id: (?P<id>\d+)\ndata: piece-(?P<piece>\d+)@(?P<maker>[^\s~]+)"
    r"(?:~(?P<weights>\d+))?"
)
SEPARATOR = "\n\n"


class Try(msgspec.Struct):
    """One request for a stream or its rest; ``status`` 0: no response."""

    id: str
    host: int
    # The id of the last event that the caller held.
    after: int
    # The try that it names as the one that began the stream.
    resumes: str = ""
    status: int = 0
    data: str = ""
    is_complete: bool = False
    retry_after: float | None = None
    # The version of the weights that the head of the response names.
    weights: str | None = None

    @property
    def names_weights(self) -> bool:
        """Return whether each event has the weights that were last named."""
        named = self.weights
        for event in filter(None, self.events):
            named = event["named"] or named
            if event["weights"] != named:
                return False
        return True

    @property
    def events(self) -> list[re.Match | None]:
        """Return the whole events; ``None``: one that no engine sends."""
        found = self.data.split(SEPARATOR)[:-1] if self.status == STATUS_OK else []
        return [EVENT.fullmatch(event) for event in found]


class StreamRecord(msgspec.Struct):
    """All tries of one caller for one stream."""

    id: str
    kind: Kind
    tries: list[Try] = []

    @property
    def events(self) -> list[re.Match]:
        """Return the events that the caller holds."""
        return [event for found in self.tries for event in found.events if event]

    @property
    def ids(self) -> list[int]:
        """Return the ids of the events that the caller holds."""
        return [int(event["id"]) for event in self.events]

    @property
    def is_complete(self) -> bool:
        """Return whether a response told the caller that it has all events."""
        return any(found.is_complete for found in self.tries)


def find_faults(record: StreamRecord, ran: Callable[[str], int]) -> list[str]:
    """Return what is wrong with a stream, a word for each kind of fault.

    ``ran`` returns how often a try was run.
    """
    ids, tries = record.ids, record.tries
    faults = {
        "foreign": any(None in item.events for item in tries)
        or any(event["id"] != event["piece"] for event in record.events),
        "joined": len({event["maker"] for event in record.events}) > 1,
        "other weights": not all(item.names_weights for item in tries),
        "twice": len(set(ids)) < len(ids),
        "missing": set(ids) != set(range(1, max(ids, default=0) + 1)),
        "disordered": ids != sorted(ids),
        "cut event": any(
            item.is_complete and item.data and not item.data.endswith(SEPARATOR)
            for item in tries
        ),
        "cut": record.is_complete and set(ids) != set(range(1, EVENT_COUNT + 1)),
        "refused, but ran": any(
            item.status in NOT_RUN_STATUSES and ran(item.id) for item in tries
        ),
        "ran twice": not record.kind.may_run_twice
        and any(ran(item.id) > 1 for item in tries),
    }
    return [fault for fault, is_found in faults.items() if is_found]


def describe(record: StreamRecord) -> str:
    """Return the tries of a stream in one line."""
    parts = []
    for item in record.tries:
        got = " ".join(_label(m) if m else "?" for m in item.events)
        parts.append(
            f"{item.id} at host-{item.host + 1} after {item.after}"
            f" ({item.resumes or 'unnamed'}): {item.status}~{item.weights} [{got}]"
            f" {'end' if item.is_complete else 'broken'}"
        )
    return "; ".join(parts)


def _label(event: re.Match) -> str:
    change = f"={event['named']}" if event["named"] else ""
    return f"{event['id']}@{event['maker']}~{event['weights']}{change}"


def count_streams(records: Sequence[StreamRecord]) -> dict[str, int]:
    """Return how many streams there were, were taken up and went on."""
    taken_up = [[t for t in record.tries if t.after] for record in records]
    tries = [item for items in taken_up for item in items]
    return {
        "streams": len(records),
        "complete": sum(record.is_complete for record in records),
        "taken up": sum(bool(items) for items in taken_up),
        "tries": len(tries),
        "went on": sum(item.status == STATUS_OK for item in tries),
        "refused": sum(item.status in NOT_RUN_STATUSES for item in tries),
    }


class StreamCaller:
    """One caller, which asks for one stream after the other."""

    def __init__(
        self,
        name: str,
        rng: random.Random,
        choose_host: Callable[[], tuple[int, str]],
        records: list[StreamRecord],
    ):
        """Choose a host for each try; add each stream to ``records``."""
        self._name = name
        self._rng = rng
        self._choose_host = choose_host
        self._records = records
        self._last_host: tuple[int, str] | None = None

    async def run(self) -> None:
        """Ask for streams until cancelled."""
        number = 0
        while True:
            number += 1
            kind = Kind.NOTE if self._rng.random() < NOTE_SHARE else Kind.BRIEF
            record = StreamRecord(f"{self._name}-{number}", kind, [])
            self._records.append(record)
            self._last_host = None
            with trio.move_on_after(TIME_SECONDS) as scope:
                await self._play(record, scope.deadline)
            await trio.sleep(self._rng.expovariate(1 / THINK_SECONDS))

    async def _play(self, record: StreamRecord, until: float) -> None:
        """Try until the stream is complete or the caller may try no more."""
        names_first = self._rng.random() < NAMES_FIRST_SHARE
        tokens = b"3000,80" if self._rng.random() < LONG_PROMPT_SHARE else b"30,80"
        while len(record.tries) < TRIES:
            number, address = self._host()
            held = max(record.ids, default=0)
            item = Try(f"{record.id}-{len(record.tries) + 1}", number, held)
            if names_first:
                item.resumes = next((t.id for t in record.tries if t.events), "")
            headers = _headers(item, until, tokens)
            try:
                with trio.fail_after(DIAL_SECONDS):
                    connection = ClientConnection(await dial_tcp(address))
            except (OSError, trio.TooSlowError):
                await trio.sleep(RETRY_SECONDS)
                continue
            record.tries.append(item)
            try:
                await self._exchange(connection, record, item, headers)
            finally:
                await trio.aclose_forcefully(connection.stream)
            may_repeat = record.kind.may_run_twice or item.status in NOT_RUN_STATUSES
            if item.is_complete or not may_repeat or 400 <= item.status < 408:
                return
            left = max(0.0, until - trio.current_time())
            pause = RETRY_SECONDS * self._rng.random()
            if item.retry_after is not None:
                pause = min(item.retry_after, left * RETRY_AFTER_SHARE)
            await trio.sleep(pause)

    def _host(self) -> tuple[int, str]:
        if self._last_host is None or self._rng.random() >= SAME_HOST_SHARE:
            self._last_host = self._choose_host()
        return self._last_host

    async def _exchange(
        self,
        connection: ClientConnection,
        record: StreamRecord,
        item: Try,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        """Make one try; the caller may leave, or lose patience."""
        head = h11.Request(method="POST", target=f"/{record.kind}/x", headers=headers)
        data = connection.conn.send(head) + connection.conn.send(h11.EndOfMessage())
        leaves = self._rng.random() < LEAVE_SHARE
        stay = self._rng.uniform(*LEAVE_SECONDS) if leaves else float("inf")
        with trio.move_on_after(stay), trio.move_on_after(PATIENCE_SECONDS) as patience:
            try:
                await connection.stream.send_all(data)
                response = await connection.read_head()
                found = {bytes(name): bytes(value) for name, value in response.headers}
                if b"retry-after" in found:
                    item.retry_after = float(found[b"retry-after"])
                weights = found.get(names.WEIGHT_VERSIONS)
                item.weights = weights and weights.decode()
                item.status = response.status_code
                while isinstance(event := await connection.next_event(), h11.Data):
                    item.data += event.data.decode("latin-1")
                    patience.deadline = trio.current_time() + PATIENCE_SECONDS
                is_end = isinstance(event, h11.EndOfMessage)
                item.is_complete = is_end and item.status == STATUS_OK
            except (ConnectionLayerError, trio.BrokenResourceError):
                return


def _headers(item: Try, until: float, tokens: bytes) -> list[tuple[bytes, bytes]]:
    left_ms = max(1, int((until - trio.current_time()) * 1000))
    headers = [
        (b"host", SITE.encode()),
        (names.ATTEMPT_ID, item.id.encode()),
        (names.TIME_LEFT_MS, b"%d" % left_ms),
        (b"content-length", b"0"),
        (names.TOKEN_COUNTS, tokens),
        (names.PREFIX_BLOCKS, b"a1:20,ff:10"),
        (b"x-pieces", b"%d" % EVENT_COUNT),
    ]
    if item.after:
        headers.append((names.LAST_EVENT_ID, b"%d" % item.after))
    if item.resumes:
        headers.append((names.RESUMES, item.resumes.encode()))
    return headers

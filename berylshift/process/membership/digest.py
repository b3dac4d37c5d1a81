"""The datagram that hosts with the native API exchange."""

import msgspec

from berylshift.ids import Fingerprint, HostName, Incarnation, PoolName
from berylshift.messages.load_digest import BlockReport, CrashReport
from berylshift.process.engine_state.load_view import Share
from berylshift.process.limits.customer_limits import Demand

MAX_STORE_AGE_SECONDS = 3_600.0


class Echo(msgspec.Struct, frozen=True):
    """The last datagram that the sender received from a peer."""

    host: HostName
    incarnation: Incarnation
    sequence: int


class Mix(msgspec.Struct, frozen=True):
    """The sender's own demand for a pool, in tokens a second."""

    pool: PoolName
    prefill_rate: float
    decode_rate: float


class Digest(msgspec.Struct, frozen=True):
    """One datagram between hosts.

    ``store_age_seconds`` is the time since the store confirmed the table version.
    ``finished`` are calls that completed after a target crashed while it ran them.
    """

    host: HostName
    incarnation: Incarnation
    sequence: int
    table_version: int
    store_age_seconds: float = MAX_STORE_AGE_SECONDS
    leaving: bool = False
    is_reply: bool = False
    echoes: list[Echo] = []
    shares: list[Share] = []
    demands: list[Demand] = []
    plan_version: int = 0
    mixes: list[Mix] = []
    crashes: list[CrashReport] = []
    finished: list[Fingerprint] = []
    blocks: list[BlockReport] = []

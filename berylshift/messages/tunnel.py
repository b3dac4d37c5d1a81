"""Messages that open a tunnel to a replica through another host."""

from enum import IntEnum

import msgspec

from berylshift.ids import InstanceId


class TunnelStatus(IntEnum):
    """What a host answers to a request for a tunnel."""

    OPEN = 0
    # The replica refused the host, which has just reached others.
    NOT_REACHED = 1
    # The host did not reach the replica; its own path to it may be at fault.
    UNSURE = 2
    # The host knows that its own path to the replica is lost.
    CUT_OFF = 3
    # The replica is not listed under that address, or takes no new requests.
    NOT_LISTED = 4
    FULL = 5
    STOPPING = 6


class TunnelRequest(msgspec.Struct, frozen=True):
    """Asks for a tunnel to an instance at ``IP:PORT``."""

    instance: InstanceId
    address: str

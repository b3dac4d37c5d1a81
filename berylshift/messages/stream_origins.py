"""Messages between hosts on the software versions that began streams."""

from typing import NewType

import msgspec
import xxhash

from berylshift.ids import (
    RequestId,
    Revision,
    ServiceName,
    SoftwareVersion,
    StoreEra,
    TableVersion,
)
from berylshift.store.eras import FIRST_ERA

# Hashes of a stream, of a service, and of a service at a software version.
StreamKey = NewType("StreamKey", int)
ServiceKey = NewType("ServiceKey", int)
Variant = NewType("Variant", int)


def stream_key(request: RequestId) -> StreamKey:
    """Return the key of the stream whose first event ``request`` brought."""
    return StreamKey(xxhash.xxh64_intdigest(request.encode()))


def service_key(service: ServiceName) -> ServiceKey:
    """Return the short hash of a service's name."""
    return ServiceKey(xxhash.xxh32_intdigest(service.encode()))


def variant_of(service: ServiceName, version: SoftwareVersion) -> Variant:
    """Return the short hash of a service at a version; never 0."""
    text = f"{service}\0{version}".encode()
    return Variant(xxhash.xxh32_intdigest(text) or 1)


class StreamOrigin(msgspec.Struct, frozen=True):
    """The variant that brought a stream's first event."""

    stream: StreamKey
    variant: Variant


class OriginQuery(msgspec.Struct, frozen=True):
    """Asks for a stream's origin, and which version a service has had.

    ``seconds``: how far back the stream may have begun.
    """

    number: int
    stream: StreamKey
    service: ServiceKey
    seconds: float


class OriginReply(msgspec.Struct, frozen=True):
    """What a host knows; ``variant`` ``None``: nothing, 0: contradictory.

    ``sole_variant``: the only variant that the service has had in the time asked for,
    up to the store's revision ``until`` in its ``era`` and to the version ``routes`` of
    the routes; ``None``: there were several, the service got streams of another one, or
    the host may not know all.
    """

    number: int
    variant: Variant | None = None
    sole_variant: Variant | None = None
    has_several: bool = False
    until: Revision = Revision(0)
    era: StoreEra = FIRST_ERA
    routes: TableVersion = TableVersion(0)


class OriginMessage(msgspec.Struct, frozen=True):
    """A message from ``host``; it tells origins, asks for one, or replies.

    ``address``: where the host receives digests; in queries, as a reply goes there.
    """

    host: str = ""
    told: tuple[StreamOrigin, ...] = ()
    query: OriginQuery | None = None
    reply: OriginReply | None = None
    address: str = ""

"""Send and receive UDP datagrams between instances, which need no connection state."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from gentianhitch import json_codec
from gentianhitch.addresses import Address
from gentianhitch.instances.codec import MalformedMessageError
from gentianhitch.proxy.server_records import AttemptResult
from gentianhitch.proxy.store_revision import NO_VERSION
from gentianhitch.proxy.store_revision import ConfigurationRevision
from gentianhitch.proxy.store_revision import StoreRevision

AGE_STEP_S = 0.02
"""Ages up to 2.5 s take one byte."""

MAX_COUNT = 2**40
MAX_TIME_S = 1e12
Time = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_TIME_S)]
Age = Annotated[float, msgspec.Meta(ge=0.0)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class FreshnessQuery(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Query the age of the receiver's configuration and listing.

    ``sent_s`` is the send time on the sender's clock and ``revision`` the revision of
    its listing. If ``digests`` holds the digests of the sender's buckets, the query
    also requests the buckets that differ; ``has_full_digests`` if they are the full
    ones, which older versions do not send. ``full`` has the ages of the reports of full
    instances, in steps of ``AGE_STEP_S``, and their fullness in percent, by digest of
    their name. ``era`` is that of the revision; older versions send none.
    """

    sender: str
    sent_s: Time
    revision: int
    digests: bytes = b""
    has_full_digests: bool = False
    full: dict[int, tuple[Count, Count]] = {}
    era: Count = 0

    @property
    def listing(self) -> StoreRevision:
        """Return the revision of the sender's listing."""
        return StoreRevision(self.era, self.revision)


class ListingDetails(msgspec.Struct, frozen=True, array_like=True):
    """What instances of older versions leave out of the listing.

    ``age_s`` is the time since the details were last verified against the store, which
    was at ``evacuations_revision`` when the evacuated domains were read.
    ``full_digest`` covers the complete listing with the servers that are cold; it is
    empty if only the other parts of the listing were verified since.
    """

    age_s: Age
    evacuations_revision: int
    evacuated_domains: list[str]
    full_digest: bytes = b""
    evacuations_era: Count = 0

    @property
    def evacuations(self) -> StoreRevision:
        """Return the revision at which the evacuated domains were read."""
        return StoreRevision(self.evacuations_era, self.evacuations_revision)


class StoreEras(msgspec.Struct, frozen=True, array_like=True):
    """The eras of the revisions in a reply, and the operator's version."""

    listing: Count = 0
    configuration: Count = 0
    version: int = NO_VERSION


class FreshnessReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Reply to a :class:`FreshnessQuery` with the sender's revisions and their ages.

    The ages are the seconds since the listing and the configuration were last verified
    against the store. ``query_sent_s`` repeats ``sent_s`` of the query. ``digest``
    covers the complete listing. ``is_compared`` is set if the digests of the query were
    compared: ``buckets`` then holds as many of the differing buckets as fit in a
    datagram, as pairs of number and encoded bucket, and ``remaining`` counts the
    others. Older versions send no ``details``. ``full`` is as in the query, with what
    the sender knows from queries. Older versions send no ``eras``.
    """

    sender: str
    query_sent_s: Time
    listing_age_s: Age
    listing_revision: int
    digest: bytes
    configuration_age_s: Age
    configuration_revision: int
    is_compared: bool = False
    buckets: list[tuple[int, bytes]] = []
    remaining: int = 0
    details: ListingDetails | None = None
    full: dict[int, tuple[Count, Count]] = {}
    eras: StoreEras = StoreEras()

    @property
    def listing(self) -> StoreRevision:
        """Return the revision of the sender's listing."""
        return StoreRevision(self.eras.listing, self.listing_revision)

    @property
    def configuration(self) -> ConfigurationRevision:
        """Return the revision of the configuration in force at the sender."""
        return ConfigurationRevision(
            StoreRevision(self.eras.configuration, self.configuration_revision),
            self.eras.version,
        )


class AttemptSample(msgspec.Struct, frozen=True, array_like=True):
    """Result and latency of one attempt at a backend server.

    ``server`` and ``route`` are digests.
    """

    server: int
    route: int
    latency_ms: Count
    result: AttemptResult


class RunningRequests(msgspec.Struct, frozen=True, array_like=True):
    """Ages of the requests of one route that are running at one backend server.

    ``server`` and ``route`` are digests; ``ages`` are in steps of ``AGE_STEP_S``.
    """

    server: int
    route: int
    ages: list[Count]


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Admissions, running requests and finished attempts of one instance.

    ``sent_s`` is the send time on the sender's clock. ``totals_by_workspace`` holds
    three counts per workspace: the admissions of the sender's incarnation, those of
    them that are older than the window, and, if ``is_complete``, the admissions of all
    instances in the window. ``samples`` holds the attempts since the last report. If
    ``is_to_forward``, the receiver sends the report on within its failure domain.
    ``leaving`` holds the digests of servers that told the sender that they leave.
    ``declined_by_server`` has, by the digest of the server, for each attempt that it
    declined since the last report the number of other requests that ran there. Samples
    don't carry these: older versions count a sample of kind DECLINED as a success.
    ``fullness`` is that of the sender in percent; from 100 on it is full, from 120 on
    with less than its link and processor let expect.
    """

    sender: str
    incarnation: int
    sent_s: Time
    is_complete: bool
    totals_by_workspace: dict[str, tuple[int, int, int]]
    running: list[RunningRequests]
    samples: list[AttemptSample]
    is_to_forward: bool = False
    leaving: list[int] = []
    declined_by_server: dict[int, list[Count]] = {}
    fullness: Count = 0


Message = FreshnessQuery | FreshnessReply | LoadReport

_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def decode(data: bytes) -> Message:
    """Decode a datagram; raise MalformedMessageError if it does not fit a message."""
    try:
        return _decoder.decode(data)
    except json_codec.DecodeError as error:
        raise MalformedMessageError(f"malformed datagram: {error}") from error


Receive = Callable[[Message, Address], None]


class Datagrams(DatagramProtocol):
    """Send and receive messages; a lost datagram is not sent again."""

    transport: Any = None

    def __init__(self, receive: Receive, count: Callable[[str], None]) -> None:
        self._receive = receive
        self._count = count

    def send(self, message: Message, *receivers: Address) -> None:
        """Send one message; count it as not sent if the socket refuses it."""
        data = _encoder.encode(message)
        for to in receivers:
            try:
                self.transport.write(data, (to.host, to.port))
            except OSError:
                self._count("datagrams_not_sent")

    def datagramReceived(self, data: bytes, addr: Any) -> None:  # noqa: N802
        """Decode a datagram and pass it on; count and drop a malformed one."""
        try:
            message = decode(data)
        except MalformedMessageError:
            self._count("datagrams_malformed")
            return
        self._receive(message, Address(addr[0], addr[1]))

"""Messages between members: datagrams, and frames of a stream. No I/O.

A message is two bytes of magic, one byte of version, and a msgpack array without field names, encoded by
msgspec. Every number, text and list is bounded; a malformed message raises `MalformedMessageError`, and no
other message is affected.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

MAGIC = b"ld"
VERSION = 1
# Fits an Ethernet frame with headers, including those of a tunnel: a fragmented datagram is lost if any
# fragment is.
MAX_DATAGRAM_BYTES = 1200
# Enough for 4,096 members in one bucket of a stream, far more than any fleet has.
MAX_FRAME_BYTES = 1 << 20
MAX_FRAME_RECORDS = 8192

Name = Annotated[str, Meta(pattern=r"^[!-~]{1,64}$")]
Address = Annotated[str, Meta(pattern=r"^[!-~]{3,80}$")]  # host:port
Site = Annotated[str, Meta(pattern=r"^[!-~]{0,32}$")]
Unsigned32 = Annotated[int, Meta(ge=0, lt=1 << 32)]
Unsigned62 = Annotated[int, Meta(ge=0, lt=1 << 62)]  # msgspec supports no larger bound
StateCode = Annotated[int, Meta(ge=0, le=3)]

ALIVE, SUSPECT, FAILED, LEFT = range(4)
STATE_NAMES = ("alive", "suspect", "failed", "left")

StartKey = tuple[int, int]
"""Generation and boot identifier of one start of a member; a later start has a greater key."""


class MalformedMessageError(ValueError):
    """Received bytes are not a message of this version, or violate a bound."""


class MemberRecord(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """The state of one member, as gossiped.

    `generation` identifies its start, and is greater than that of any earlier start of the same name;
    `boot_id` distinguishes two starts that claim the same generation. `incarnation` counts the member's own
    announcements since its start, so that an older record never supersedes a newer one. `suspected_by` names
    a member that suspects it, if its state is suspect.
    """

    name: Name
    site: Site
    address: Address
    generation: Unsigned62
    boot_id: Unsigned32
    incarnation: Unsigned32
    state: StateCode
    lameduck: bool = False
    suspected_by: Annotated[str, Meta(pattern=r"^[!-~]{0,64}$")] = ""

    @property
    def start_key(self) -> StartKey:
        return self.generation, self.boot_id


class SiteReachability(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Probes of a site's members within the last ten periods: the number sent and the number acknowledged."""

    site: Site
    calls: Annotated[int, Meta(ge=0, le=255)]
    answered: Annotated[int, Meta(ge=0, le=255)]


class MessageHeader(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Header of each message: sender, fleet, and values that change too often for the sender's record."""

    fleet: Name
    sender: Name
    generation: Unsigned62
    boot_id: Unsigned32
    address: Address
    load: Annotated[int, Meta(ge=0, le=255)]
    digest: Unsigned62
    reachability: Annotated[tuple[SiteReachability, ...], Meta(max_length=8)] = ()

    @property
    def start_key(self) -> StartKey:
        return self.generation, self.boot_id


class Ping(Struct, tag=1, tag_field="t", array_like=True, frozen=True):
    """A direct probe; the target responds with an `Ack` of the same sequence number."""

    header: MessageHeader
    sequence: Unsigned32
    target: Name
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=64)] = ()


class Ack(Struct, tag=2, tag_field="t", array_like=True, frozen=True):
    """Acknowledges a `Ping`, or a `PingRequest` whose target acknowledged in time."""

    header: MessageHeader
    sequence: Unsigned32
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=64)] = ()


class PingRequest(Struct, tag=3, tag_field="t", array_like=True, frozen=True):
    """Indirect probe: asks a member to ping another; the response is an `Ack`, or a `Nack` on a timeout."""

    header: MessageHeader
    sequence: Unsigned32
    target: Name
    address: Address
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=64)] = ()


class Nack(Struct, tag=4, tag_field="t", array_like=True, frozen=True):
    """Response to a `PingRequest` whose target did not acknowledge in time (Lifeguard)."""

    header: MessageHeader
    sequence: Unsigned32
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=64)] = ()


class Gossip(Struct, tag=5, tag_field="t", array_like=True, frozen=True):
    """Records alone; there is no response."""

    header: MessageHeader
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=64)] = ()


class SyncDigests(Struct, tag=6, tag_field="t", array_like=True, frozen=True):
    """First frame of a stream: the digest of each bucket of members."""

    header: MessageHeader
    buckets: Annotated[tuple[Unsigned62, ...], Meta(min_length=64, max_length=64)]


class SyncDifference(Struct, tag=7, tag_field="t", array_like=True, frozen=True):
    """Second frame: which buckets differ, and the responder's records in them."""

    header: MessageHeader
    buckets: Annotated[tuple[Annotated[int, Meta(ge=0, lt=64)], ...], Meta(max_length=64)]
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=MAX_FRAME_RECORDS)]


class SyncCompletion(Struct, tag=8, tag_field="t", array_like=True, frozen=True):
    """Last frame: the initiator's records in the same buckets."""

    header: MessageHeader
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=MAX_FRAME_RECORDS)]


Datagram = Ping | Ack | PingRequest | Nack | Gossip
Frame = SyncDigests | SyncDifference | SyncCompletion
Message = Datagram | Frame

_encoder = msgspec.msgpack.Encoder()
_datagrams: msgspec.msgpack.Decoder[Datagram] = msgspec.msgpack.Decoder(Datagram)
_frames: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


def encode(message: Message) -> bytes:
    """Encode a message, with magic and version."""
    return MAGIC + bytes([VERSION]) + _encoder.encode(message)


def encoded_size(record: MemberRecord) -> int:
    """Return the number of bytes that a record takes within a message."""
    return len(_encoder.encode(record))


def strip_envelope(data: bytes, max_bytes: int) -> bytes:
    """Return the payload after magic and version.

    Raises MalformedMessageError if these are wrong or the data is too long.
    """
    if len(data) > max_bytes:
        raise MalformedMessageError("message too long")
    if data[:2] != MAGIC:
        raise MalformedMessageError("wrong magic bytes")
    if len(data) < 4 or data[2] != VERSION:
        raise MalformedMessageError("unknown version")
    return data[3:]


def decode_datagram(data: bytes) -> Datagram:
    """Decode a received datagram. Raises MalformedMessageError."""
    try:
        return _datagrams.decode(strip_envelope(data, MAX_DATAGRAM_BYTES))
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedMessageError(f"malformed: {error}") from None


def decode_frame(data: bytes) -> Frame:
    """Decode a received frame of a stream. Raises MalformedMessageError."""
    try:
        return _frames.decode(strip_envelope(data, MAX_FRAME_BYTES))
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedMessageError(f"malformed: {error}") from None

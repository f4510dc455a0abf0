"""Messages between members: records of members in datagrams, and in frames of a stream. No I/O.

Encoded by msgspec as msgpack arrays without field names, behind two bytes of magic and one of version. A
malformed message raises `MalformedMessageError` and costs its sender alone: every number has a bound, every
text a length, every list a size.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

MAGIC = b"ld"
VERSION = 1
# An Ethernet frame less headers, with room for a tunnel's: a fragmented datagram is lost with any fragment.
MAX_DATAGRAM_BYTES = 1200
# Room for 4,096 members in one bucket of a stream, by far more than any fleet has.
MAX_FRAME_BYTES = 1 << 20
MAX_FRAME_RECORDS = 8192

Name = Annotated[str, Meta(pattern=r"^[!-~]{1,64}$")]
Address = Annotated[str, Meta(pattern=r"^[!-~]{3,80}$")]  # host:port
Site = Annotated[str, Meta(pattern=r"^[!-~]{0,32}$")]
Unsigned32 = Annotated[int, Meta(ge=0, lt=1 << 32)]
Unsigned62 = Annotated[int, Meta(ge=0, lt=1 << 62)]  # msgspec takes no larger bound
StateCode = Annotated[int, Meta(ge=0, le=3)]

ALIVE, SUSPECT, FAILED, LEFT = range(4)
STATE_NAMES = ("alive", "suspect", "failed", "left")

StartKey = tuple[int, int]
"""Generation and boot identifier of one start of a member: a later start has a greater key."""


class MalformedMessageError(ValueError):
    """What came in is no message of this version, or breaks a bound."""


class MemberRecord(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What is known of one member.

    `generation` is of its start: greater than that of any earlier start of the same name; `boot_id` tells
    two starts apart that claim the same one. `incarnation` counts what the member said of itself since its
    start, so that an older record never wins. `suspected_by` names a member that suspects it, where its state
    is suspect.
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
    """Probes of a site's members within the last ten periods: how many there were, how many were answered."""

    site: Site
    calls: Annotated[int, Meta(ge=0, le=255)]
    answered: Annotated[int, Meta(ge=0, le=255)]


class MessageHeader(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """In each message: who sends it, in which fleet, and what changes too often for the sender's record."""

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
    """A direct probe; answered by an `Ack` of the same sequence number."""

    header: MessageHeader
    sequence: Unsigned32
    target: Name
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=64)] = ()


class Ack(Struct, tag=2, tag_field="t", array_like=True, frozen=True):
    """Answers a `Ping`, or a `PingRequest` whose target answered."""

    header: MessageHeader
    sequence: Unsigned32
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=64)] = ()


class PingRequest(Struct, tag=3, tag_field="t", array_like=True, frozen=True):
    """Asks a member to ping another; answered by an `Ack`, or by a `Nack` where none came in time."""

    header: MessageHeader
    sequence: Unsigned32
    target: Name
    address: Address
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=64)] = ()


class Nack(Struct, tag=4, tag_field="t", array_like=True, frozen=True):
    """Answers a `PingRequest` whose target did not answer (Lifeguard)."""

    header: MessageHeader
    sequence: Unsigned32
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=64)] = ()


class Gossip(Struct, tag=5, tag_field="t", array_like=True, frozen=True):
    """Records alone; answered by nothing."""

    header: MessageHeader
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=64)] = ()


class SyncDigests(Struct, tag=6, tag_field="t", array_like=True, frozen=True):
    """The first frame of a stream: the digest of each bucket of members."""

    header: MessageHeader
    buckets: Annotated[tuple[Unsigned62, ...], Meta(min_length=64, max_length=64)]


class SyncDifference(Struct, tag=7, tag_field="t", array_like=True, frozen=True):
    """The second frame: which buckets differ, and the records of the answering side in them."""

    header: MessageHeader
    buckets: Annotated[tuple[Annotated[int, Meta(ge=0, lt=64)], ...], Meta(max_length=64)]
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=MAX_FRAME_RECORDS)]


class SyncCompletion(Struct, tag=8, tag_field="t", array_like=True, frozen=True):
    """The last frame: the records in those buckets of the side that opened the stream."""

    header: MessageHeader
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=MAX_FRAME_RECORDS)]


Datagram = Ping | Ack | PingRequest | Nack | Gossip
Frame = SyncDigests | SyncDifference | SyncCompletion
Message = Datagram | Frame

_encoder = msgspec.msgpack.Encoder()
_datagrams: msgspec.msgpack.Decoder[Datagram] = msgspec.msgpack.Decoder(Datagram)
_frames: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


def encode(message: Message) -> bytes:
    """A message as it is sent."""
    return MAGIC + bytes([VERSION]) + _encoder.encode(message)


def encoded_size(record: MemberRecord) -> int:
    """Bytes that a record takes within a message."""
    return len(_encoder.encode(record))


def strip_envelope(data: bytes, max_bytes: int) -> bytes:
    """The payload behind magic and version. MalformedMessageError: these are wrong, or data is too long."""
    if len(data) > max_bytes:
        raise MalformedMessageError("too long")
    if data[:2] != MAGIC:
        raise MalformedMessageError("no word")
    if len(data) < 4 or data[2] != VERSION:
        raise MalformedMessageError("unknown version")
    return data[3:]


def decode_datagram(data: bytes) -> Datagram:
    """A datagram that came in. MalformedMessageError."""
    try:
        return _datagrams.decode(strip_envelope(data, MAX_DATAGRAM_BYTES))
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedMessageError(f"malformed: {error}") from None


def decode_frame(data: bytes) -> Frame:
    """A frame of a stream that came in. MalformedMessageError."""
    try:
        return _frames.decode(strip_envelope(data, MAX_FRAME_BYTES))
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedMessageError(f"malformed: {error}") from None

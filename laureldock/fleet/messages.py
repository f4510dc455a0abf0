"""What members tell one another: words about members, in datagrams and in frames of a stream. No I/O.

Encoded as msgpack by msgspec, arrays without names, behind two bytes of magic and one of version. What is
malformed raises `BadWord` and costs its sender alone: every figure has a bound, every text a length, every
list a size.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

MAGIC = b"ld"
VERSION = 1
# An Ethernet frame less headers, with room for a tunnel's: a datagram in pieces is lost with any of them.
MAX_DATAGRAM_BYTES = 1200
# 4,096 members in one bucket of a stream, by far more than any fleet has.
MAX_FRAME_BYTES = 1 << 20

Name = Annotated[str, Meta(pattern=r"^[!-~]{1,64}$")]
Address = Annotated[str, Meta(pattern=r"^[!-~]{3,80}$")]  # an address, host:port
Site = Annotated[str, Meta(pattern=r"^[!-~]{0,32}$")]
Unsigned32 = Annotated[int, Meta(ge=0, lt=1 << 32)]
Unsigned62 = Annotated[int, Meta(ge=0, lt=1 << 62)]  # digests too: msgspec takes no larger bound
StateCode = Annotated[int, Meta(ge=0, le=3)]

ALIVE, SUSPECT, FAILED, LEFT = range(4)
STATE_NAMES = ("alive", "suspect", "failed", "left")


class MalformedMessageError(ValueError):
    """What came in is no word of this version, or passes a bound."""


class MemberRecord(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What is said of a member.

    `generation` is of its start: greater than that of any start of the same name before, and `boot` tells two
    starts apart that claim the same one. `incarnation` counts what it said of itself since, so that an older
    word never wins.
    """

    name: Name
    site: Site
    address: Address
    generation: Unsigned62
    boot_id: Unsigned32
    incarnation: Unsigned32
    state: StateCode
    lameduck: bool = False
    suspected_by: Annotated[str, Meta(pattern=r"^[!-~]{0,64}$")] = ""  # who suspects it, where it is suspect

    @property
    def start_key(self) -> tuple[int, int]:
        return self.generation, self.boot_id


class SiteReachability(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Of the calls to a site's members within the last ten periods: how many went, how many were answered."""

    site: Site
    calls: Annotated[int, Meta(ge=0, le=255)]
    answered: Annotated[int, Meta(ge=0, le=255)]


class MessageHeader(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """In each datagram: who sends, in which fleet, and what of its own changes too often for a word."""

    fleet: Name
    sender: Name
    generation: Unsigned62
    boot_id: Unsigned32
    address: Address
    load: Annotated[int, Meta(ge=0, le=255)]
    digest: Unsigned62
    reachability: Annotated[tuple[SiteReachability, ...], Meta(max_length=8)] = ()


class Ping(Struct, tag=1, tag_field="t", array_like=True, frozen=True):
    """Are you there? Answered by an Ack of the same number."""

    header: MessageHeader
    sequence: Unsigned32
    target: Name
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=64)] = ()


class Ack(Struct, tag=2, tag_field="t", array_like=True, frozen=True):
    header: MessageHeader
    sequence: Unsigned32
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=64)] = ()


class PingRequest(Struct, tag=3, tag_field="t", array_like=True, frozen=True):
    """Ping that one for me. Answered by an Ack of this number, or a Nack once the helper has waited."""

    header: MessageHeader
    sequence: Unsigned32
    target: Name
    address: Address
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=64)] = ()


class Nack(Struct, tag=4, tag_field="t", array_like=True, frozen=True):
    header: MessageHeader
    sequence: Unsigned32
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=64)] = ()


class Gossip(Struct, tag=5, tag_field="t", array_like=True, frozen=True):
    header: MessageHeader
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=64)] = ()


class SyncDigests(Struct, tag=6, tag_field="t", array_like=True, frozen=True):
    """Begins a stream: the digest of each bucket of its members, and of those that failed or left."""

    header: MessageHeader
    buckets: Annotated[tuple[Unsigned62, ...], Meta(min_length=64, max_length=64)]


class SyncDifference(Struct, tag=7, tag_field="t", array_like=True, frozen=True):
    """The other side's words of the buckets that differ; answered by a `Same` with the own ones."""

    header: MessageHeader
    buckets: Annotated[tuple[Annotated[int, Meta(ge=0, lt=64)], ...], Meta(max_length=64)]
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=8192)]


class SyncCompletion(Struct, tag=8, tag_field="t", array_like=True, frozen=True):
    """The last frame of a stream."""

    header: MessageHeader
    records: Annotated[tuple[MemberRecord, ...], Meta(max_length=8192)]


Datagram = Ping | Ack | PingRequest | Nack | Gossip
Frame = SyncDigests | SyncDifference | SyncCompletion
Message = Datagram | Frame

_encoder = msgspec.msgpack.Encoder()
_datagrams: msgspec.msgpack.Decoder[Datagram] = msgspec.msgpack.Decoder(Datagram)
_frames: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


def encode(message: Message) -> bytes:
    return MAGIC + bytes([VERSION]) + _encoder.encode(message)


def encoded_size(record: MemberRecord) -> int:
    return len(_encoder.encode(record))


def strip_envelope(data: bytes, max_bytes: int) -> bytes:
    if len(data) > max_bytes:
        raise MalformedMessageError("too long")
    if data[:2] != MAGIC:
        raise MalformedMessageError("no word")
    if len(data) < 4 or data[2] != VERSION:
        raise MalformedMessageError("unknown version")
    return data[3:]


def decode_datagram(data: bytes) -> Datagram:
    """BadWord."""
    try:
        return _datagrams.decode(strip_envelope(data, MAX_DATAGRAM_BYTES))
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedMessageError(f"malformed: {error}") from None


def decode_frame(data: bytes) -> Frame:
    """BadWord."""
    try:
        return _frames.decode(strip_envelope(data, MAX_FRAME_BYTES))
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedMessageError(f"malformed: {error}") from None

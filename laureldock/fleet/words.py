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
MOST_DATAGRAM = 1200
# 4,096 members in one bucket of a stream, by far more than any fleet has.
MOST_FRAME = 1 << 20

Name = Annotated[str, Meta(pattern=r"^[!-~]{1,64}$")]
Spot = Annotated[str, Meta(pattern=r"^[!-~]{3,80}$")]  # an address, host:port
Site = Annotated[str, Meta(pattern=r"^[!-~]{0,32}$")]
Small = Annotated[int, Meta(ge=0, lt=1 << 32)]
Large = Annotated[int, Meta(ge=0, lt=1 << 62)]  # digests too: msgspec takes no larger bound
Rank = Annotated[int, Meta(ge=0, le=3)]

ALIVE, SUSPECT, FAILED, LEFT = range(4)
STATES = ("alive", "suspect", "failed", "left")


class BadWord(ValueError):  # noqa: N818  said of a word, as the house says it
    """What came in is no word of this version, or passes a bound."""


class Word(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """What is said of a member.

    `generation` is of its start: greater than that of any start of the same name before, and `boot` tells two
    starts apart that claim the same one. `incarnation` counts what it said of itself since, so that an older
    word never wins.
    """

    name: Name
    site: Site
    address: Spot
    generation: Large
    boot: Small
    incarnation: Small
    state: Rank
    lameduck: bool = False
    by: Annotated[str, Meta(pattern=r"^[!-~]{0,64}$")] = ""  # who suspects it, where it is suspect

    @property
    def era(self) -> tuple[int, int]:
        return self.generation, self.boot


class Reach(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """Of the calls to a site's members within the last ten periods: how many went, how many were answered."""

    site: Site
    tried: Annotated[int, Meta(ge=0, le=255)]
    heard: Annotated[int, Meta(ge=0, le=255)]


class Head(Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """In each datagram: who sends, in which fleet, and what of its own changes too often for a word."""

    fleet: Name
    sender: Name
    generation: Large
    boot: Small
    address: Spot
    load: Annotated[int, Meta(ge=0, le=255)]
    digest: Large
    reach: Annotated[tuple[Reach, ...], Meta(max_length=8)] = ()


class Ping(Struct, tag=1, tag_field="t", array_like=True, frozen=True):
    """Are you there? Answered by an Ack of the same number."""

    head: Head
    number: Small
    target: Name
    words: Annotated[tuple[Word, ...], Meta(max_length=64)] = ()


class Ack(Struct, tag=2, tag_field="t", array_like=True, frozen=True):
    head: Head
    number: Small
    words: Annotated[tuple[Word, ...], Meta(max_length=64)] = ()


class Ask(Struct, tag=3, tag_field="t", array_like=True, frozen=True):
    """Ping that one for me. Answered by an Ack of this number, or a Nack once the helper has waited."""

    head: Head
    number: Small
    target: Name
    address: Spot
    words: Annotated[tuple[Word, ...], Meta(max_length=64)] = ()


class Nack(Struct, tag=4, tag_field="t", array_like=True, frozen=True):
    head: Head
    number: Small
    words: Annotated[tuple[Word, ...], Meta(max_length=64)] = ()


class Gossip(Struct, tag=5, tag_field="t", array_like=True, frozen=True):
    head: Head
    words: Annotated[tuple[Word, ...], Meta(max_length=64)] = ()


class Compare(Struct, tag=6, tag_field="t", array_like=True, frozen=True):
    """Begins a stream: the digest of each bucket of its members, and of those that failed or left."""

    head: Head
    buckets: Annotated[tuple[Large, ...], Meta(min_length=64, max_length=64)]


class Differ(Struct, tag=7, tag_field="t", array_like=True, frozen=True):
    """The other side's words of the buckets that differ; answered by a `Same` with the own ones."""

    head: Head
    buckets: Annotated[tuple[Annotated[int, Meta(ge=0, lt=64)], ...], Meta(max_length=64)]
    words: Annotated[tuple[Word, ...], Meta(max_length=8192)]


class Same(Struct, tag=8, tag_field="t", array_like=True, frozen=True):
    """The last frame of a stream."""

    head: Head
    words: Annotated[tuple[Word, ...], Meta(max_length=8192)]


Datagram = Ping | Ack | Ask | Nack | Gossip
Frame = Compare | Differ | Same
Message = Datagram | Frame

_encoder = msgspec.msgpack.Encoder()
_datagrams: msgspec.msgpack.Decoder[Datagram] = msgspec.msgpack.Decoder(Datagram)
_frames: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


def encode(message: Message) -> bytes:
    return MAGIC + bytes([VERSION]) + _encoder.encode(message)


def size_of(word: Word) -> int:
    return len(_encoder.encode(word))


def payload(data: bytes, most: int) -> bytes:
    if len(data) > most:
        raise BadWord("too long")
    if data[:2] != MAGIC:
        raise BadWord("no word")
    if len(data) < 4 or data[2] != VERSION:
        raise BadWord("unknown version")
    return data[3:]


def datagram(data: bytes) -> Datagram:
    """BadWord."""
    try:
        return _datagrams.decode(payload(data, MOST_DATAGRAM))
    except (msgspec.DecodeError, RecursionError) as fault:
        raise BadWord(f"malformed: {fault}") from None


def frame(data: bytes) -> Frame:
    """BadWord."""
    try:
        return _frames.decode(payload(data, MOST_FRAME))
    except (msgspec.DecodeError, RecursionError) as fault:
        raise BadWord(f"malformed: {fault}") from None

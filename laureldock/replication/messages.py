"""Messages between a controller, the dispatchers that follow it, and operators' commands. No I/O.

Each message is msgpack (msgspec, arrays without field names) behind two bytes of magic and one of protocol
version, in one length-prefixed frame (Twisted's Int32StringReceiver, as the streams of `laureldock.fleet`).
Changes and snapshot parts travel as encoded bytes (`laureldock.setup.changes`) with a checksum: a dispatcher
that does not know a newer kind of entry can refuse that change by its version and keep its stream.

What is malformed raises `MalformedMessageError` and costs its sender alone: every number has a bound, every
text a length, every list a size.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct
from xxhash import xxh3_64_intdigest

from laureldock.setup.faults import Fault

MAGIC = b"lc"
PROTOCOL_VERSION = 1
# Bytes of one frame, and of the encoded change or snapshot part in it.
MAX_FRAME_BYTES = 1 << 20
MAX_BODY_BYTES = MAX_FRAME_BYTES - 4096
# Seconds: each side sends at least a heartbeat so often, and gives up a stream that was silent for so long.
HEARTBEAT_INTERVAL = 2.0
SILENCE_LIMIT = 6.0
MAX_TEXT_LENGTH, MAX_PATH_LENGTH = 512, 8

Name = Annotated[str, Meta(pattern=r"^[!-~]{1,64}$")]
Text = Annotated[str, Meta(max_length=MAX_TEXT_LENGTH)]
Path = Annotated[tuple[str | int, ...], Meta(max_length=MAX_PATH_LENGTH)]  # as `setup.faults.Path`
Number = Annotated[int, Meta(ge=0, lt=1 << 62)]
Digest = Annotated[int, Meta(ge=0, lt=1 << 62)]  # msgspec takes no larger bound
Body = Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)]
Timestamp = Annotated[float, Meta(ge=0)]  # seconds of the wall clock since 1970


class MalformedMessageError(ValueError):
    """A frame that is no message of this protocol version, or passes a bound."""


class Position(Struct, array_like=True, frozen=True, order=True):
    """A version of the configuration. `epoch` is drawn when a controller begins with an empty folder."""

    epoch: Number = 0  # 0: none yet
    version: Number = 0


NO_POSITION = Position()


class FaultReport(Struct, array_like=True, frozen=True):
    """One fault of a refused change: where, why, and what would be allowed."""

    path: Path
    reason: Text
    allowed: Text = ""
    also: Path = ()


def fault_report(fault: Fault) -> FaultReport:
    """A fault as it travels: cut to what a message may hold."""
    path, also = fault.path[:MAX_PATH_LENGTH], (fault.also or ())[:MAX_PATH_LENGTH]
    return FaultReport(path, fault.reason[:MAX_TEXT_LENGTH], fault.allowed[:MAX_TEXT_LENGTH], also)


class Refusal(Struct, frozen=True):
    """The newest change or snapshot that a dispatcher did not take, as either side remembers it."""

    position: Position
    reason: str


# From a dispatcher to the controller


class Subscribe(Struct, tag=1, tag_field="t", array_like=True, frozen=True):
    """First on a stream, and again where a gap was seen: tell all that follows `position`.

    `digest` is of the dispatcher's entries at that position; where it is another than the controller's was,
    a snapshot follows.
    """

    dispatcher: Name
    position: Position
    digest: Digest


class InForce(Struct, tag=2, tag_field="t", array_like=True, frozen=True):
    """Everything up to `position` is applied and on disk at the dispatcher."""

    position: Position
    digest: Digest


class Refused(Struct, tag=3, tag_field="t", array_like=True, frozen=True):
    """The dispatcher did not apply the change of `position`; it goes on with what it has."""

    position: Position
    faults: Annotated[tuple[FaultReport, ...], Meta(max_length=20)]


class Heartbeat(Struct, tag=4, tag_field="t", array_like=True, frozen=True):
    """Either way, where nothing else was sent for a heartbeat interval. `position`: the sender's newest."""

    position: Position


# From the controller to a dispatcher


class ChangeMessage(Struct, tag=5, tag_field="t", array_like=True, frozen=True):
    """One accepted change: it leads from the version before `position` to it."""

    position: Position
    digest: Digest  # of all entries after it
    accepted_at: Timestamp  # by the controller's clock
    checksum: Digest  # of `body`
    body: Body  # `setup.changes.encode_change`


class SnapshotBegin(Struct, tag=6, tag_field="t", array_like=True, frozen=True):
    """All entries at `position` follow in parts."""

    position: Position
    digest: Digest
    entries: Number
    parts: Number


class SnapshotPart(Struct, tag=7, tag_field="t", array_like=True, frozen=True):
    """`number` counts from nought; the last one ends the snapshot."""

    number: Number
    checksum: Digest
    body: Body  # `setup.changes.encode_entries`


# Operators' commands and their answers


class Propose(Struct, tag=8, tag_field="t", array_like=True, frozen=True):
    """A part of a change that is proposed; the change is the sum of the parts up to the one marked `last`."""

    body: Body  # `setup.changes.encode_change`
    last: bool
    expected_version: Annotated[int, Meta(ge=-1, lt=1 << 62)] = -1  # -1: any


class Accepted(Struct, tag=9, tag_field="t", array_like=True, frozen=True):
    position: Position
    digest: Digest


class Rejected(Struct, tag=10, tag_field="t", array_like=True, frozen=True):
    """Nothing was changed. `count` is of all faults, of which the first thousand are told."""

    faults: Annotated[tuple[FaultReport, ...], Meta(max_length=1000)]
    count: Number


class StatusRequest(Struct, tag=11, tag_field="t", array_like=True, frozen=True):
    """How many dispatchers have which version in force."""


class SubscriberStatus(Struct, array_like=True, frozen=True):
    dispatcher: Name
    position: Position  # in force
    connected: bool
    silent_seconds: float  # since it was last heard
    behind_seconds: float  # since the oldest change that it has not in force was accepted; 0: none
    refused_version: Number = 0
    refused_reason: Text = ""


class VersionCount(Struct, array_like=True, frozen=True):
    version: Number
    dispatchers: Number


class Status(Struct, tag=12, tag_field="t", array_like=True, frozen=True):
    position: Position
    digest: Digest
    entries: Number
    accepted_seconds_ago: float
    versions: Annotated[tuple[VersionCount, ...], Meta(max_length=1000)]
    slowest: Annotated[tuple[SubscriberStatus, ...], Meta(max_length=20)]


Message = (
    Subscribe
    | InForce
    | Refused
    | Heartbeat
    | ChangeMessage
    | SnapshotBegin
    | SnapshotPart
    | Propose
    | Accepted
    | Rejected
    | StatusRequest
    | Status
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def checksum(body: bytes) -> int:
    """Of a change or a snapshot part, as `Digest` bounds it."""
    return xxh3_64_intdigest(body) >> 2


def encode(message: Message) -> bytes:
    """The payload of one frame."""
    return MAGIC + bytes([PROTOCOL_VERSION]) + _encoder.encode(message)


def decode(frame: bytes) -> Message:
    """MalformedMessageError."""
    if len(frame) > MAX_FRAME_BYTES:
        raise MalformedMessageError("frame too long")
    if frame[:2] != MAGIC:
        raise MalformedMessageError("not a message")
    if len(frame) < 4 or frame[2] != PROTOCOL_VERSION:
        raise MalformedMessageError("unknown protocol version")
    try:
        return _decoder.decode(frame[3:])
    except (msgspec.DecodeError, RecursionError) as fault:
        raise MalformedMessageError(f"malformed: {fault}") from None

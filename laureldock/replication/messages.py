"""Messages between a controller, its dispatchers, and operators' commands. No I/O.

Each message is encoded as msgpack (msgspec arrays without field names), after two bytes of magic and one byte
of protocol version, in a length-prefixed frame (Twisted's Int32StringReceiver, as in `laureldock.fleet`).
Changes and snapshot parts are carried as encoded bytes (`laureldock.setup.changes`) with a checksum, so that
a dispatcher that does not know a newer kind of entry can refuse that change by its version and stay
connected.

A malformed message raises `MalformedMessageError` and affects only its sender. All numbers, text lengths and
list sizes are bounded.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct
from xxhash import xxh3_64_intdigest

from laureldock.setup.faults import Fault

MAGIC = b"lc"
PROTOCOL_VERSION = 1
# Maximum bytes of a frame, and of the encoded change or snapshot part in it.
MAX_FRAME_BYTES = 1 << 20
MAX_BODY_BYTES = MAX_FRAME_BYTES - 4096
# Seconds: each side sends at least a heartbeat per interval, and closes a stream after this long a silence.
HEARTBEAT_INTERVAL = 2.0
SILENCE_LIMIT = 6.0
MAX_TEXT_LENGTH, MAX_PATH_LENGTH = 512, 8

Name = Annotated[str, Meta(pattern=r"^[!-~]{1,64}$")]
Text = Annotated[str, Meta(max_length=MAX_TEXT_LENGTH)]
Path = Annotated[tuple[str | int, ...], Meta(max_length=MAX_PATH_LENGTH)]  # same as `setup.faults.Path`
Number = Annotated[int, Meta(ge=0, lt=1 << 62)]
Digest = Annotated[int, Meta(ge=0, lt=1 << 62)]  # msgspec does not support a larger bound
Body = Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)]
Timestamp = Annotated[float, Meta(ge=0)]  # seconds since 1970, by the sender's clock


class MalformedMessageError(ValueError):
    """A frame is not a message of this protocol version, or exceeds a bound."""


class Position(Struct, array_like=True, frozen=True, order=True):
    """A version of the configuration. `epoch` is a random number that an empty controller folder gets."""

    epoch: Number = 0  # 0: no configuration yet
    version: Number = 0


NO_POSITION = Position()


class FaultReport(Struct, array_like=True, frozen=True):
    """One fault of a refused change: its path, the reason, and what would be allowed."""

    path: Path
    reason: Text
    allowed: Text = ""
    also: Path = ()


def fault_report(fault: Fault) -> FaultReport:
    """Convert a fault for a message; long paths and texts are truncated."""
    path, also = fault.path[:MAX_PATH_LENGTH], (fault.also or ())[:MAX_PATH_LENGTH]
    return FaultReport(path, fault.reason[:MAX_TEXT_LENGTH], fault.allowed[:MAX_TEXT_LENGTH], also)


class Refusal(Struct, frozen=True):
    """The newest change or snapshot that a dispatcher refused, as stored by either side."""

    position: Position
    reason: str


# From a dispatcher to the controller


class Subscribe(Struct, tag=1, tag_field="t", array_like=True, frozen=True):
    """Sent first on a stream, and again after a gap: requests everything after `position`.

    `digest` is the digest of the dispatcher's entries at that position; if the controller's was different, it
    responds with a snapshot.
    """

    dispatcher: Name
    position: Position
    digest: Digest


class InForce(Struct, tag=2, tag_field="t", array_like=True, frozen=True):
    """Acknowledges that everything up to `position` is applied and on disk at the dispatcher."""

    position: Position
    digest: Digest


class Refused(Struct, tag=3, tag_field="t", array_like=True, frozen=True):
    """The dispatcher did not apply the change of `position`; its configuration is unchanged."""

    position: Position
    faults: Annotated[tuple[FaultReport, ...], Meta(max_length=20)]


class Heartbeat(Struct, tag=4, tag_field="t", array_like=True, frozen=True):
    """Sent by either side if nothing else was sent for an interval. `position`: the sender's newest."""

    position: Position


# From the controller to a dispatcher


class ChangeMessage(Struct, tag=5, tag_field="t", array_like=True, frozen=True):
    """One accepted change: it leads from the version before `position` to `position`."""

    position: Position
    digest: Digest  # of all entries once the change is applied
    accepted_at: Timestamp  # by the controller's clock
    checksum: Digest  # of `body`
    body: Body  # `setup.changes.encode_change`


class SnapshotBegin(Struct, tag=6, tag_field="t", array_like=True, frozen=True):
    """Announces all entries at `position`, which follow in parts."""

    position: Position
    digest: Digest
    entries: Number
    parts: Number


class SnapshotPart(Struct, tag=7, tag_field="t", array_like=True, frozen=True):
    """A part of a snapshot; `number` counts from zero, and the last part completes the snapshot."""

    number: Number
    checksum: Digest
    body: Body  # `setup.changes.encode_entries`


# Operators' commands and their responses


class Propose(Struct, tag=8, tag_field="t", array_like=True, frozen=True):
    """A part of a proposed change, which consists of all parts up to the one marked `last`."""

    body: Body  # `setup.changes.encode_change`
    last: bool
    expected_version: Annotated[int, Meta(ge=-1, lt=1 << 62)] = -1  # -1: any


class Accepted(Struct, tag=9, tag_field="t", array_like=True, frozen=True):
    position: Position
    digest: Digest


class Rejected(Struct, tag=10, tag_field="t", array_like=True, frozen=True):
    """Nothing was changed. `count` is the number of all faults; at most the first thousand are included."""

    faults: Annotated[tuple[FaultReport, ...], Meta(max_length=1000)]
    count: Number


class StatusRequest(Struct, tag=11, tag_field="t", array_like=True, frozen=True):
    """Requests the `Status`."""


class SubscriberStatus(Struct, array_like=True, frozen=True):
    dispatcher: Name
    position: Position  # the version in force there
    connected: bool
    silent_seconds: float  # since its last message
    behind_seconds: float  # since the oldest change not in force there was accepted; 0: up to date
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
    """Checksum of a change or snapshot part, within the bound of `Digest`."""
    return xxh3_64_intdigest(body) >> 2


def encode(message: Message) -> bytes:
    """Encode a message as the payload of one frame."""
    return MAGIC + bytes([PROTOCOL_VERSION]) + _encoder.encode(message)


def decode(frame: bytes) -> Message:
    """Decode the payload of one frame. Raises MalformedMessageError."""
    if len(frame) > MAX_FRAME_BYTES:
        raise MalformedMessageError("frame too long")
    if frame[:2] != MAGIC:
        raise MalformedMessageError("not a message")
    if len(frame) < 4 or frame[2] != PROTOCOL_VERSION:
        raise MalformedMessageError("unknown protocol version")
    try:
        return _decoder.decode(frame[3:])
    except (msgspec.DecodeError, RecursionError) as error:
        raise MalformedMessageError(f"malformed: {error}") from None

"""Messages between the runner and a process of hollow members: one JSON object per line. No I/O."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from laureldock.rehearsal.scale.accounting import Traffic
from laureldock.rehearsal.scale.topology import World

# Runner to process


class Setup(Struct, tag="setup"):
    """The first command: settings of the run, and the members that this process hosts."""

    world: World
    names: list[str]
    period: float
    controllers: list[str] = []  # addresses; if empty, no configuration is followed


class Start(Struct, tag="start"):
    """Start members. `alone`: without seeds, so that they know nobody before `FillViews`."""

    names: list[str]
    alone: bool = False


class GetRecords(Struct, tag="ask-records"):
    """Reply: `Records`."""


class FillViews(Struct, tag="fill-views"):
    """Add these members to the view of every member that is up in this process."""

    records: bytes


class Stop(Struct, tag="stop"):
    """Stop members. `leave`: a planned stop, announced to the other members; otherwise a crash."""

    names: list[str]
    leave: bool = False


class SetLink(Struct, tag="set-link"):
    """Set the state of the links between two regions."""

    one: str
    other: str
    cut: bool = False
    loss: float = 0.0
    slowdown: float = 1.0


class GetViews(Struct, tag="ask-views"):
    """Reply: `Views`."""


class GetSample(Struct, tag="ask-sample"):
    """Reply: `Sample`. Resets the counts of events and of applied changes."""


Command = Setup | Start | GetRecords | FillViews | Stop | SetLink | GetViews | GetSample

# Process to runner


class Ready(Struct, tag="ready"):
    """Reply to every command that has no reply of its own, once it has been executed."""

    resident_bytes: int


class Records(Struct, tag="records"):
    """The own membership record of each member that is up in this process."""

    records: bytes


class Views(Struct, tag="views"):
    """Number of members that are up in this process, by view and by version of the configuration."""

    views: dict[str, int]  # number of members by "digest/members present"
    configurations: dict[int, int]  # number of members by the version in force
    stopped: int  # members that are up but have stepped down from the fleet


class MemberSample(Struct):
    name: str
    up: bool
    cpu_seconds: float  # of its own callbacks, since its first start
    view_datagrams: Traffic
    view_streams: Traffic
    configuration: Traffic
    stalls: int
    refutations: int


class EventCount(Struct):
    """Events of one name about one member, over all members of this process that observed them."""

    event: str
    member: str
    observers: int
    first: float  # Unix time
    last: float  # Unix time


class Applied(Struct):
    """The versions of the configuration that a member applied, and when."""

    member: str
    versions: list[int] = []
    at: list[float] = []  # Unix times, parallel to `versions`


class Sample(Struct, tag="sample"):
    members: list[MemberSample]
    events: list[EventCount]
    applied: list[Applied]
    process_cpu_seconds: float
    resident_bytes: int


Reply = Ready | Records | Views | Sample

_encoder = msgspec.json.Encoder()
_commands: msgspec.json.Decoder[Command] = msgspec.json.Decoder(Command)
_replies: msgspec.json.Decoder[Reply] = msgspec.json.Decoder(Reply)


def encode(message: Command | Reply) -> bytes:
    """One line, without the line feed."""
    return _encoder.encode(message)


def decode_command(line: bytes) -> Command:
    """Raises msgspec.DecodeError for invalid JSON or an unknown type."""
    return _commands.decode(line)


def decode_reply(line: bytes) -> Reply:
    """Raises msgspec.DecodeError for invalid JSON or an unknown type."""
    return _replies.decode(line)

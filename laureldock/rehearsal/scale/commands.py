"""What the runner and a process of hollow members tell each other: one JSON object a line. No I/O."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from laureldock.rehearsal.scale.accounting import Traffic
from laureldock.rehearsal.scale.topology import World

# Runner to process


class Setup(Struct, tag="setup"):
    """First: the world, and the members this process holds."""

    world: World
    names: list[str]
    period: float
    controllers: list[str] = []  # addresses; none: no configuration is followed


class Start(Struct, tag="start"):
    """`alone`: without seeds, until `FillViews`."""

    names: list[str]
    alone: bool = False


class AskRecords(Struct, tag="ask-records"):
    """Answered by `Records`."""


class FillViews(Struct, tag="fill-views"):
    """All members that are up here know these members from now on."""

    records: bytes


class Stop(Struct, tag="stop"):
    """`leave`: a planned stop, told to the others; else a crash."""

    names: list[str]
    leave: bool = False


class SetLink(Struct, tag="set-link"):
    """The links between two regions from now on."""

    one: str
    other: str
    cut: bool = False
    loss: float = 0.0
    slowdown: float = 1.0


class AskViews(Struct, tag="ask-views"):
    """Answered by `Views`."""


class AskSample(Struct, tag="ask-sample"):
    """Answered by `Sample`; events and applied changes are counted from nought again."""


Command = Setup | Start | AskRecords | FillViews | Stop | SetLink | AskViews | AskSample

# Process to runner


class Ready(Struct, tag="ready"):
    """Each command but the two that ask is answered by this once it is carried out."""

    resident_bytes: int


class Records(Struct, tag="records"):
    """What each member that is up here says of itself."""

    records: bytes


class Views(Struct, tag="views"):
    """Of the members that are up here: how many hold each view, and each version of the configuration."""

    views: dict[str, int]  # "digest/members present": how many
    configurations: dict[int, int]  # version in force: how many
    stopped: int  # up, but stepped down from the fleet


class MemberSample(Struct):
    name: str
    up: bool
    cpu_seconds: float  # in its own callbacks, since its first start
    view_datagrams: Traffic
    view_streams: Traffic
    configuration: Traffic
    stalls: int
    refutations: int


class EventCount(Struct):
    """One kind of event about one member, as seen by all members here."""

    event: str
    member: str
    observers: int
    first: float  # wall clock, seconds since 1970
    last: float


class Applied(Struct):
    """When a member came to which versions of the configuration."""

    member: str
    versions: list[int] = []
    at: list[float] = []  # wall clock, seconds since 1970; beside `versions`


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
    """One line, without its end."""
    return _encoder.encode(message)


def decode_command(line: bytes) -> Command:
    """msgspec.DecodeError."""
    return _commands.decode(line)


def decode_reply(line: bytes) -> Reply:
    """msgspec.DecodeError."""
    return _replies.decode(line)

"""The one model of a dispatcher's configuration: the TOML file and the platform's JSON both become this.

Field by field this is the documented format; `laureldock config schema` prints it for editors. Durations are
float seconds, sizes bytes. `None` means that nothing was set.
"""

from __future__ import annotations

from functools import partial
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field

from laureldock.setup.units import Address, Seconds, Size

# What may go on in a header, a log line and a store.
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}$")]
DestinationName = Annotated[str, Meta(pattern=r"^(\d{1,9}|[A-Za-z_][A-Za-z0-9_.-]{0,63})$")]


def seconds(value: float) -> Seconds:
    """As a default; msgspec's schema wants one of its own type made anew."""
    return field(default_factory=partial(Seconds, value))


class Table(Struct, kw_only=True, forbid_unknown_fields=True):
    """A table of the file."""


class Terms(Table, kw_only=True):
    """Settings that may stand at a queue class, a kind, a destination, an endpoint, or in [[terms]]."""

    time_out: (
        Annotated[
            Seconds, Meta(description="how long a connect waits for its answer; replaces the learned one")
        ]
        | None
    ) = None
    connects: Annotated[int, Meta(ge=1, description="connects that a mail may have")] | None = None
    copies: (
        Annotated[int, Meta(ge=1, description="connects of a mail that may be out at once; 2 hedges")] | None
    ) = None
    copy_after: (
        Annotated[Seconds, Meta(description="when the second copy goes, counted from the first")] | None
    ) = None
    window: (
        Annotated[int, Meta(ge=1, description="calls in flight at most, of a destination or of one route")]
        | None
    ) = None
    importance: Annotated[float, Meta(ge=0, lt=1e9, description="what a mail counts")] | None = None
    retry_after: (
        Annotated[Seconds, Meta(description="the wait that a deferral tells its client, at most")] | None
    ) = None


SETTINGS = Terms.__struct_fields__


class Entry(Terms, kw_only=True):
    """[[terms]]: settings for what it names; all that it names must fit."""

    name: (
        Annotated[
            str,
            Meta(
                pattern=r"^[!-~]{1,256}$",
                description="by which a change replaces or removes it; made of what it selects if left out",
            ),
        ]
        | None
    ) = None

    queue_class: Annotated[str | list[str] | None, Meta(description="a queue class, or several")] = field(
        default=None, name="class"
    )
    kind: Annotated[str | list[str] | None, Meta(description="a kind of destination")] = None
    destination: Annotated[str | list[str] | None, Meta(description="a destination")] = None
    route: Annotated[str | list[str] | None, Meta(description="an endpoint's name")] = None


class QueueClass(Terms, kw_only=True):
    effect: Annotated[
        Literal["redeliverable", "tagged", "once-only"], Meta(description="what a second run of a mail does")
    ]
    target_delay: Annotated[Seconds, Meta(description="within which an answer is worth all")]
    lifetime: Annotated[Seconds, Meta(description="after which a mail is given up")]
    late_share: Annotated[float, Meta(ge=0, le=1, description="worth left at the end of the lifetime")] = 0.5
    in_order: Annotated[bool, Meta(description="mails of one key go one at a time, as handed in")] = False
    memory: Annotated[Seconds, Meta(description="tagged: how long receivers know a repeat")] | None = None
    one_zone: Annotated[bool, Meta(description="tagged: only one zone of a receiver knows a repeat")] = False
    resend: (
        Annotated[
            Literal["any", "proven", "never"],
            Meta(
                description="after a connect: any failure, only what provably never ran, or no second connect"
            ),
        ]
        | None
    ) = None


class Kind(Terms, kw_only=True):
    batch: Annotated[int, Meta(ge=1, description="mails that may share a call")] = 1
    apart: Annotated[
        bool, Meta(description="its endpoints are separate routes, each with its own limit and waits")
    ] = True


class Destination(Terms, kw_only=True):
    kind: str | None = None


class Customer(Table, kw_only=True):
    quota: Annotated[float, Meta(ge=0, lt=1e9, description="mails a second; nought is no quota")] = 0.0


class Endpoint(Terms, kw_only=True):
    destination: DestinationName
    address: Address
    name: (
        Annotated[str, Meta(pattern=r"^[!-~]{1,256}$", description="its own; the address if left out")] | None
    ) = None
    zone: str = ""
    rate: Annotated[float, Meta(ge=0, lt=1e9, description="calls a second it takes; nought: not known")] = 0.0


class Limits(Table, kw_only=True):
    """What the machine has and what receivers and clients allow."""

    sockets: Annotated[int, Meta(ge=16, description="file descriptors of the process")] = 1024
    disk: Annotated[Size, Meta(description="room of the state folder")] = field(
        default_factory=partial(Size, 64 << 20)
    )
    slots: Annotated[int, Meta(ge=1, description="calls out at once")] = 64
    room: Annotated[int, Meta(ge=4, description="mails held at once")] = 2000
    connects: Annotated[int, Meta(ge=1, description="connects that any mail may have")] = 8
    copies: Annotated[bool, Meta(description="receivers allow a second copy while the first runs")] = False
    cancel: Annotated[bool, Meta(description="a connect may be called off")] = True
    probes: Annotated[bool, Meta(description="receivers answer probes (GET /alive)")] = False
    retry_after: Annotated[
        Seconds, Meta(description="the longest wait that clients heed; nought: none is told")
    ] = seconds(3.0)
    connect_time: Annotated[Seconds, Meta(description="in which a connection must come up")] = seconds(1.0)
    idle_time: Annotated[Seconds, Meta(description="for which receivers keep an unused connection")] = (
        seconds(15.0)
    )
    key_rest: Annotated[
        Seconds, Meta(description="a key waits so long after a connect that may still run")
    ] = seconds(0.3)
    drain_grace: Annotated[
        Seconds, Meta(description="a connect being opened may still go to a route that drains since")
    ] = seconds(0.0)
    rates: Annotated[
        Literal["off", "rough", "nominal"], Meta(description="how far endpoints' rates can be trusted")
    ] = "nominal"
    over_quota: Annotated[
        float, Meta(ge=0, le=1, description="worth of a mail above its customer's quota")
    ] = 0.0
    handshake: Annotated[
        float, Meta(ge=0, lt=100, description="price of a new connection, in mails of importance 1")
    ] = 0.0
    fees: Annotated[
        dict[str, float], Meta(description="fee for each mail by the zone of its route, in the same measure")
    ] = field(default_factory=dict)
    fades: Annotated[
        Literal["linear", "halving"], Meta(description="how worth falls past the target delay")
    ] = "linear"


class Returning(Table, kw_only=True):
    """What a receiver bears that comes back from an outage."""

    start_capacity: Annotated[float, Meta(gt=0, le=1, description="share of its capacity at first")] = 0.2
    tip_multiple: Annotated[
        float, Meta(ge=1, lt=100, description="times that, at which it falls over again")
    ] = 1.5
    fall_time: Annotated[Seconds, Meta(description="when sent so much for so long")] = seconds(1.5)
    warm_time: Annotated[Seconds, Meta(description="until it is warm")] = seconds(13.0)


class Front(Table, kw_only=True):
    listen: Annotated[Address, Meta(description="where clients connect")] = field(
        default_factory=partial(Address, "127.0.0.1:6379")
    )
    kind: Literal["resp"] = "resp"
    pipeline: Annotated[
        int, Meta(ge=1, le=100000, description="commands that may come behind one that waits")
    ] = 1024


class Source(Table, kw_only=True):
    kind: Annotated[
        Literal["file", "platform", "controller"],
        Meta(description="[[endpoint]] of this file, the platform's watch, or a controller's changes"),
    ] = "file"
    address: Address | None = None
    controllers: Annotated[list[Address], Meta(description="controller: where it listens; tried in turn")] = (
        field(default_factory=list)
    )
    known: Annotated[Any, Meta(description="platform: the list as last known, in its own form")] = None


class Outlet(Table, kw_only=True):
    kind: Annotated[
        Literal["log", "lines", "platform"], Meta(description="the log, a file of JSON lines, the platform")
    ] = "log"
    address: Address | None = None
    path: Annotated[str, Meta(description="of the lines; relative to the state folder")] | None = None


class Fleet(Table, kw_only=True):
    """The view of the fleet, kept by its dispatchers among themselves; without this table there is none."""

    name: Annotated[Name, Meta(description="of the fleet; what another fleet says is dropped")]
    listen: Annotated[Address, Meta(description="datagrams and streams of members, at one number")]
    advertise: Annotated[Address | None, Meta(description="where others reach it; `listen` if left out")] = (
        None
    )
    seeds: Annotated[list[Address], Meta(description="members that are asked at the start who is there")] = (
        field(default_factory=list)
    )
    site: Annotated[str, Meta(pattern=r"^[!-~]{0,32}$", description="building or zone that can be lost")] = ""
    period: Annotated[Seconds, Meta(description="between probes; all waits of the view scale with it")] = (
        seconds(1.0)
    )
    members: Annotated[int, Meta(ge=2, le=65536, description="known at once; no more are taken on")] = 4096
    forget: Annotated[Seconds, Meta(description="after which one that failed or left is forgotten")] = (
        seconds(86400.0)
    )


class Controller(Table, kw_only=True):
    """A controller: it accepts changes of the configuration and carries them to dispatchers."""

    listen: Annotated[Address, Meta(description="where dispatchers and operators' commands connect")]
    state: Annotated[str, Meta(description="folder of its snapshot and log; relative to the file")] = (
        "controller-state"
    )
    pace: Annotated[Size, Meta(description="bytes a second to one dispatcher, bursts aside")] = field(
        default_factory=partial(Size, 4000)
    )
    subscribers: Annotated[int, Meta(ge=1, le=65536, description="dispatchers that may follow at once")] = (
        4096
    )


class Log(Table, kw_only=True):
    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Annotated[
        Literal["auto", "json", "text"], Meta(description="auto: text to a terminal, else JSON")
    ] = "auto"
    path: Annotated[str, Meta(description="a file; standard output if left out")] | None = None
    burst: Annotated[int, Meta(ge=1, description="lines of one event a second at most")] = 20


class Plan(Table, kw_only=True):
    name: Annotated[str, Meta(pattern=r"^[!-~]{1,64}$", description="of this dispatcher")] = "laureldock"
    seed: Annotated[int, Meta(ge=0, description="of all chance; another for each dispatcher")] = 0
    state: Annotated[str, Meta(description="folder that outlives the process; relative to the file")] = (
        "state"
    )
    instances: Annotated[int, Meta(ge=1, description="dispatchers that serve the same receivers")] = 1
    reports: Annotated[list[str], Meta(description="fields of load reports, in the simulator's order")] = (
        field(default_factory=list)
    )
    limits: Limits = field(default_factory=Limits)
    returning: Returning = field(default_factory=Returning)
    front: list[Front] = field(default_factory=lambda: [Front()])
    source: Source = field(default_factory=Source)
    outlet: Outlet = field(default_factory=Outlet)
    log: Log = field(default_factory=Log)
    fleet: Fleet | None = None
    controller: Controller | None = None
    management: Annotated[str, Meta(description="operators' HTTP address, host:port; empty: none")] = ""
    passed: Annotated[
        int, Meta(ge=-1, description="descriptor of a listening socket handed down; -1: none")
    ] = -1
    classes: dict[Name, QueueClass] = field(default_factory=dict, name="class")
    kinds: dict[Name, Kind] = field(default_factory=dict, name="kind")
    destinations: dict[DestinationName, Destination] = field(default_factory=dict, name="destination")
    customers: dict[Name, Customer] = field(default_factory=dict, name="customer")
    endpoints: list[Endpoint] = field(default_factory=list, name="endpoint")
    terms: list[Entry] = field(default_factory=list)

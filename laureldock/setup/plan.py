"""Model of a dispatcher's configuration; the TOML file and the platform's JSON are both converted to it.

Its fields are the documented format, and `laureldock config schema` prints them as JSON Schema. Durations are
float seconds, sizes are bytes. `None` means that a setting is not set.
"""

from __future__ import annotations

from functools import partial
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field

from laureldock.setup.units import Address, Seconds, Size

# Names that are safe in a header, a log line and a store.
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}$")]
DestinationName = Annotated[str, Meta(pattern=r"^(\d{1,9}|[A-Za-z_][A-Za-z0-9_.-]{0,63})$")]


def default_seconds(value: float) -> Seconds:
    """Default of a duration field; msgspec's JSON Schema needs a factory for a default of a custom type."""
    return field(default_factory=partial(Seconds, value))


class Table(Struct, kw_only=True, forbid_unknown_fields=True):
    """A table of the configuration file."""


class Terms(Table, kw_only=True):
    """Settings allowed in a queue class, a destination kind, a destination, an endpoint, or in [[terms]]."""

    time_out: (
        Annotated[
            Seconds, Meta(description="time limit for the response to an attempt; replaces the learned one")
        ]
        | None
    ) = None
    connects: Annotated[int, Meta(ge=1, description="maximum attempts per message")] | None = None
    copies: (
        Annotated[int, Meta(ge=1, description="concurrent attempts per message; 2 allows hedging")] | None
    ) = None
    copy_after: (
        Annotated[Seconds, Meta(description="delay from the first attempt to the hedged attempt")] | None
    ) = None
    window: (
        Annotated[int, Meta(ge=1, description="maximum calls in flight to a destination or a route")] | None
    ) = None
    importance: Annotated[float, Meta(ge=0, lt=1e9, description="weight of a message")] | None = None
    retry_after: (
        Annotated[Seconds, Meta(description="longest retry delay that a deferral gives its client")] | None
    ) = None


SETTINGS = Terms.__struct_fields__


class Entry(Terms, kw_only=True):
    """[[terms]]: settings for messages and routes that match all the selectors it names."""

    name: (
        Annotated[
            str,
            Meta(
                pattern=r"^[!-~]{1,256}$",
                description="key for changes that replace or remove it; default: derived from its selectors",
            ),
        ]
        | None
    ) = None

    queue_class: Annotated[str | list[str] | None, Meta(description="one or more queue classes")] = field(
        default=None, name="class"
    )
    kind: Annotated[str | list[str] | None, Meta(description="one or more kinds of destinations")] = None
    destination: Annotated[str | list[str] | None, Meta(description="one or more destinations")] = None
    route: Annotated[str | list[str] | None, Meta(description="one or more endpoint names")] = None


class QueueClass(Terms, kw_only=True):
    effect: Annotated[
        Literal["redeliverable", "tagged", "once-only"], Meta(description="repeat safety: what a repeat does")
    ]
    target_delay: Annotated[Seconds, Meta(description="delivery within it has its full value")]
    lifetime: Annotated[Seconds, Meta(description="time after which a message is given up")]
    late_share: Annotated[float, Meta(ge=0, le=1, description="share of the value left at its end")] = 0.5
    in_order: Annotated[bool, Meta(description="deliver messages of one key in order, one by one")] = False
    memory: Annotated[Seconds, Meta(description="tagged: how long receivers detect repeats")] | None = None
    one_zone: Annotated[bool, Meta(description="tagged: repeats are detected within one zone only")] = False
    resend: (
        Annotated[
            Literal["any", "proven", "never"],
            Meta(description="retry after any failure, only if it provably did not run, or never"),
        ]
        | None
    ) = None


class Kind(Terms, kw_only=True):
    batch: Annotated[int, Meta(ge=1, description="maximum messages per call")] = 1
    apart: Annotated[
        bool, Meta(description="each endpoint is a route with its own limits and requested waits")
    ] = True


class Destination(Terms, kw_only=True):
    kind: str | None = None


class Customer(Table, kw_only=True):
    quota: Annotated[float, Meta(ge=0, lt=1e9, description="messages per second; 0: no quota")] = 0.0


class Endpoint(Terms, kw_only=True):
    destination: DestinationName
    address: Address
    name: (
        Annotated[str, Meta(pattern=r"^[!-~]{1,256}$", description="unique name; default: the address")]
        | None
    ) = None
    zone: str = ""
    rate: Annotated[float, Meta(ge=0, lt=1e9, description="advertised calls per second; 0: unknown")] = 0.0


class Limits(Table, kw_only=True):
    """Resources of the machine, and limits that receivers and clients set."""

    sockets: Annotated[int, Meta(ge=16, description="file descriptors of the process")] = 1024
    disk: Annotated[Size, Meta(description="disk space for the state folder")] = field(
        default_factory=partial(Size, 64 << 20)
    )
    memory: Annotated[
        Size | None,
        Meta(description="memory of all processes of the dispatcher together; not set: no limit"),
    ] = None
    slots: Annotated[int, Meta(ge=1, description="maximum calls in flight")] = 64
    room: Annotated[int, Meta(ge=4, description="maximum messages held")] = 2000
    connects: Annotated[int, Meta(ge=1, description="maximum attempts per message")] = 8
    copies: Annotated[bool, Meta(description="receivers allow hedged attempts")] = False
    cancel: Annotated[bool, Meta(description="an attempt may be cancelled")] = True
    probes: Annotated[bool, Meta(description="receivers answer probes (GET /alive)")] = False
    retry_after: Annotated[
        Seconds, Meta(description="longest retry delay that clients respect; 0: none is given")
    ] = default_seconds(3.0)
    connect_time: Annotated[Seconds, Meta(description="time limit for opening a connection")] = (
        default_seconds(1.0)
    )
    idle_time: Annotated[Seconds, Meta(description="how long receivers keep an idle connection")] = (
        default_seconds(15.0)
    )
    key_rest: Annotated[
        Seconds, Meta(description="cooldown of an ordering key after an attempt that may still run")
    ] = default_seconds(0.3)
    drain_grace: Annotated[
        Seconds,
        Meta(
            description="how long a connection being opened may still be used after its route starts to drain"
        ),
    ] = default_seconds(0.0)
    rates: Annotated[
        Literal["off", "rough", "nominal"],
        Meta(description="how far to trust the endpoints' advertised rates"),
    ] = "nominal"
    over_quota: Annotated[
        float,
        Meta(ge=0, le=1, description="share of its value that a message above its customer's quota keeps"),
    ] = 0.0
    handshake: Annotated[
        float, Meta(ge=0, lt=100, description="cost of a new connection, in messages of importance 1")
    ] = 0.0
    fees: Annotated[
        dict[str, float],
        Meta(description="cost per message by the zone of its route, in the unit of `handshake`"),
    ] = field(default_factory=dict)
    fades: Annotated[
        Literal["linear", "halving"], Meta(description="how the value falls past the target delay")
    ] = "linear"


class Returning(Table, kw_only=True):
    """Load that a receiver can take while it recovers from an outage."""

    start_capacity: Annotated[
        float, Meta(gt=0, le=1, description="share of its capacity right after recovery")
    ] = 0.2
    tip_multiple: Annotated[
        float, Meta(ge=1, lt=100, description="load that makes it fail again, as a multiple of that capacity")
    ] = 1.5
    fall_time: Annotated[Seconds, Meta(description="how long such a load takes to make it fail")] = (
        default_seconds(1.5)
    )
    warm_time: Annotated[Seconds, Meta(description="time to full capacity")] = default_seconds(13.0)


class Front(Table, kw_only=True):
    listen: Annotated[Address, Meta(description="address that clients connect to")] = field(
        default_factory=partial(Address, "127.0.0.1:6379")
    )
    kind: Literal["resp"] = "resp"
    pipeline: Annotated[
        int, Meta(ge=1, le=100000, description="maximum commands read behind one that waits for its reply")
    ] = 1024


class Source(Table, kw_only=True):
    kind: Annotated[
        Literal["file", "platform", "controller"],
        Meta(description="endpoint list: this file, the platform's discovery, or a controller's changes"),
    ] = "file"
    address: Address | None = None
    controllers: Annotated[list[Address], Meta(description="controller: its addresses; tried in turn")] = (
        field(default_factory=list)
    )
    known: Annotated[Any, Meta(description="platform: last known endpoint list, in its own format")] = None


class Outlet(Table, kw_only=True):
    kind: Annotated[
        Literal["log", "lines", "platform"],
        Meta(description="where notices go: the log, a file of JSON lines, the platform"),
    ] = "log"
    address: Address | None = None
    path: Annotated[str, Meta(description="lines: the file; relative to the state folder")] | None = None


class Fleet(Table, kw_only=True):
    """Membership view that the dispatchers of a fleet gossip; without this table there is none."""

    name: Annotated[Name, Meta(description="of the fleet; messages of other fleets are dropped")]
    listen: Annotated[Address, Meta(description="UDP and TCP of members, on the same port")]
    advertise: Annotated[Address | None, Meta(description="address for other members; default: `listen`")] = (
        None
    )
    seeds: Annotated[list[Address], Meta(description="members to ask for the view at startup")] = field(
        default_factory=list
    )
    site: Annotated[str, Meta(pattern=r"^[!-~]{0,32}$", description="building or zone that fails as one")] = (
        ""
    )
    period: Annotated[Seconds, Meta(description="between probes; all timeouts of the view scale with it")] = (
        default_seconds(1.0)
    )
    members: Annotated[int, Meta(ge=2, le=65536, description="maximum known members; more are not added")] = (
        4096
    )
    forget: Annotated[Seconds, Meta(description="time after which a failed or left member is removed")] = (
        default_seconds(86400.0)
    )


class Controller(Table, kw_only=True):
    """A controller, which accepts configuration changes and sends them to dispatchers."""

    listen: Annotated[Address, Meta(description="address for dispatchers and operators' commands")]
    state: Annotated[str, Meta(description="folder of its snapshot and log; relative to the file")] = (
        "controller-state"
    )
    pace: Annotated[Size, Meta(description="bytes per second to one dispatcher, apart from bursts")] = field(
        default_factory=partial(Size, 4000)
    )
    subscribers: Annotated[int, Meta(ge=1, le=65536, description="maximum dispatchers that follow it")] = 4096


class Log(Table, kw_only=True):
    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Annotated[
        Literal["auto", "json", "text"], Meta(description="auto: text on a terminal, else JSON")
    ] = "auto"
    path: Annotated[str, Meta(description="file; default: standard output")] | None = None
    burst: Annotated[int, Meta(ge=1, description="maximum lines per event and second")] = 20


class Plan(Table, kw_only=True):
    name: Annotated[str, Meta(pattern=r"^[!-~]{1,64}$", description="of this dispatcher")] = "laureldock"
    seed: Annotated[int, Meta(ge=0, description="for all random choices; give each dispatcher its own")] = 0
    state: Annotated[str, Meta(description="persistent state folder; relative to the file")] = "state"
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
    management: Annotated[str, Meta(description="HTTP address for operators, host:port; empty: none")] = ""
    passed: Annotated[
        int, Meta(ge=-1, description="file descriptor of an inherited listening socket; -1: none")
    ] = -1
    classes: dict[Name, QueueClass] = field(default_factory=dict, name="class")
    kinds: dict[Name, Kind] = field(default_factory=dict, name="kind")
    destinations: dict[DestinationName, Destination] = field(default_factory=dict, name="destination")
    customers: dict[Name, Customer] = field(default_factory=dict, name="customer")
    endpoints: list[Endpoint] = field(default_factory=list, name="endpoint")
    terms: list[Entry] = field(default_factory=list)

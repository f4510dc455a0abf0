"""Memory, traffic and CPU time of each role at the full deployment size."""

from __future__ import annotations

from benchmarks.capacity.full_size import DAY, DESTINATION_RATE, VIEW_PERIOD, FullSize
from benchmarks.capacity.mechanisms import (
    CONNECTIONS_BY_AGE,
    DISK_BACKLOG,
    MESSAGE_COPIES,
    PLACEMENT,
    QUORUM,
    SHARED_OUTAGES,
    VERSIONED_CHANGES,
    VIEWS_BY_REGION,
    Mechanism,
)
from benchmarks.capacity.rows import Basis, Row, Slopes, assumed, sum_of

# Names of slopes that may not have been measured yet.
ONE_ADDRESS, ONE_TERMS = "one change: address", "one change: terms"
CHANGE_BYTES = "change by controller: bytes"
STREAM_BYTES = "stream by controller: bytes"
IN_FORCE = "change by controller: in force at the last one"
SNAPSHOT_BYTES = "snapshot by controller: bytes"
CONTROLLER_MEMORY = "controller: memory"
CONTROLLER_START = "controller: start"
CONTROLLER_DISK = "controller: disk"
FOLLOWER_MEMORY, FOLLOWER_START = "follower: memory", "follower: start"
CONTROLLER_SLOPES = {
    ONE_ADDRESS,
    ONE_TERMS,
    CHANGE_BYTES,
    STREAM_BYTES,
    IN_FORCE,
    SNAPSHOT_BYTES,
    CONTROLLER_MEMORY,
    CONTROLLER_START,
    CONTROLLER_DISK,
    FOLLOWER_MEMORY,
    FOLLOWER_START,
}

VIEW = "laureldock/fleet/view.py"
SPOOL_LIMIT = (
    "messages of 200 bytes; a third of a folder's limit is for messages: 3 MB take on 1,356 of these"
    " (1,458 before names and other records had room of their own)"
)
LISTED_SOURCE = "laureldock/sources/listed.py"
RELOAD = "laureldock/setup/reload.py"
SPOOL = "laureldock/stores/spool.py"
DISPATCHER = "laureldock/core/dispatcher.py"
CARRIER = "laureldock/carriers/http.py"
DELIVERY_POLICY = "laureldock/delivery_policy.py"
SUBSCRIBER = VERSIONED_CHANGES.module
CONTROLLER = "laureldock/controller/server.py"
NO_MODULE = ""

VIEW_CHANGES = [
    *(f"{share} {change}" for share in ("1%", "10%") for change in ("join", "fail", "return")),
    "100% return",
]


def state_rows(slopes: Slopes, size: FullSize) -> list[Row]:
    """Memory and disk usage of a dispatcher."""
    destinations, pending = size.destinations, size.pending_per_dispatcher
    start, after = (
        slopes.value_at(f"destination: {name}", destinations) for name in ("memory", "memory after")
    )
    everything, twice = (
        "every dispatcher holds all of them",
        "as above, and the file before beside the one after",
    )
    no_budget = "all in memory; no budget was given for messages"
    held = slopes.value_at("owed mail: memory", pending)
    spooled = slopes.value_at("owed mail: disk", pending)
    view = slopes.value_at("view: memory", size.dispatchers)
    file = slopes.value_at("destination: file", destinations)
    budget = size.control_memory
    return [
        Row(
            "memory, all destinations, at the start", "B", start, budget, LISTED_SOURCE, everything, PLACEMENT
        ),
        Row("memory, all destinations, after reloads", "B", after, budget, LISTED_SOURCE, twice, PLACEMENT),
        Row("memory, each further endpoint", "B", slopes.per_unit("endpoint: memory"), None, LISTED_SOURCE),
        Row("memory, view of the fleet", "B", view, budget, VIEW),
        Row("memory, pending messages", "B", held, None, SPOOL, no_budget, DISK_BACKLOG),
        Row("disk, pending messages", "B", spooled, None, SPOOL, SPOOL_LIMIT),
        Row("disk, the configuration file", "B", file, None, LISTED_SOURCE),
    ]


def start_rows(slopes: Slopes, size: FullSize) -> list[Row]:
    """CPU time until a dispatcher accepts clients."""
    every = slopes.value_at("destination: start", size.destinations)
    member = slopes.at_largest("member: start")
    fresh = slopes.value_at("owed mail: start", size.pending_per_dispatcher)
    killed = slopes.value_at("owed mail: start after a kill", size.pending_per_dispatcher)
    return [
        Row("start, all destinations", "s", every, None, LISTED_SOURCE, "", PLACEMENT),
        Row("start, each further endpoint", "s", slopes.per_unit("endpoint: start"), None, LISTED_SOURCE),
        Row("start, as a member of the view", "s", member, None, VIEW, "flat from 4 to 32 processes"),
        Row("start, pending messages, fresh", "s", fresh, None, SPOOL, "", DISK_BACKLOG),
        Row("start, pending messages, after SIGKILL", "s", killed, None, SPOOL, "", DISK_BACKLOG),
    ]


def reload_rows(slopes: Slopes, size: FullSize) -> list[Row]:
    """Configuration changes of a dispatcher by reload."""
    change_rate, versioned = size.changes_per_second, VERSIONED_CHANGES
    rate = slopes.value_at("destination: one rate", size.destinations)
    setting = slopes.value_at("destination: one setting", size.destinations)
    file = slopes.value_at("destination: file", size.destinations).scaled(change_rate)
    cores, bytes_ = size.control_core, size.control_bytes
    by_reload = "processor, changes by reload"
    all_work, alone = "each costs work for all destinations", "with one whole core to itself"
    whole = "the whole file is the only form that a reload takes; nothing of the project brings it there"
    return [
        Row("bytes, changes as whole files", "B/s", file, bytes_, NO_MODULE, whole, versioned),
        Row(
            f"{by_reload} (one endpoint)",
            "cores",
            rate.scaled(change_rate),
            cores,
            RELOAD,
            all_work,
            versioned,
        ),
        Row(
            f"{by_reload} (one setting)",
            "cores",
            setting.scaled(change_rate),
            cores,
            RELOAD,
            "as above",
            versioned,
        ),
        Row("until in force, a change by reload", "s", rate, size.in_force_within, RELOAD, alone, versioned),
    ]


def follower_rows(slopes: Slopes, size: FullSize) -> list[Row]:
    """Configuration changes of a dispatcher that follows a controller."""
    change_rate, micro = size.changes_per_second, 1e-6
    address = (
        slopes.value_at(ONE_ADDRESS, size.destinations).scaled(micro * change_rate).with_basis(Basis.DERIVED)
    )
    terms = (
        slopes.value_at(ONE_TERMS, size.destinations).scaled(micro * change_rate).with_basis(Basis.DERIVED)
    )
    change_bytes, idle_bytes = (
        slopes.value_at(CHANGE_BYTES, 1).scaled(change_rate),
        slopes.per_unit(STREAM_BYTES),
    )
    last = slopes.value_at(IN_FORCE, size.dispatchers)
    snapshot = slopes.value_at(SNAPSHOT_BYTES, size.destinations)
    waits = snapshot.scaled(1 / size.control_bytes).with_basis(Basis.DERIVED)
    replaced = (
        f"{size.restarted_machines} a day are restarted or replaced; one that is new has no list meanwhile"
    )
    one, both = "of one endpoint each", "both ways, a frame each two seconds"
    cores, bytes_ = size.control_core, size.control_bytes
    memory = slopes.value_at(FOLLOWER_MEMORY, size.destinations)
    start = slopes.value_at(FOLLOWER_START, size.destinations)
    every = "every dispatcher follows all of them"
    return [
        Row(
            "memory, all destinations, at the start",
            "B",
            memory,
            size.control_memory,
            SUBSCRIBER,
            every,
            PLACEMENT,
        ),
        Row("start, all destinations, from its own disk", "s", start, None, SUBSCRIBER, "", PLACEMENT),
        Row("processor, changes (an endpoint's address)", "cores", address, cores, SUBSCRIBER),
        Row("processor, changes (an entry of terms)", "cores", terms, cores, SUBSCRIBER),
        Row("bytes, changes", "B/s", change_bytes.with_basis(Basis.DERIVED), bytes_, SUBSCRIBER, one),
        Row("bytes, the stream when still", "B/s", idle_bytes, bytes_, SUBSCRIBER, both),
        Row("until in force at the last one", "s", last, size.in_force_within, SUBSCRIBER),
        Row("snapshot of all entries", "B", snapshot, None, SUBSCRIBER, "", PLACEMENT),
        Row("snapshot, all of the budget's bytes", "s", waits, None, SUBSCRIBER, replaced, PLACEMENT),
    ]


def control_total_rows(slopes: Slopes, size: FullSize) -> list[Row]:
    """Cost of control for a dispatcher when nothing happens but the daily changes."""
    view, stream = slopes.value_at("view still: bytes", size.dispatchers), slopes.per_unit(STREAM_BYTES)
    change_bytes = slopes.value_at(CHANGE_BYTES, 1).scaled(size.changes_per_second)
    all_bytes = sum_of([view.scaled(1 / VIEW_PERIOD), stream, change_bytes])
    idle = slopes.at_largest("member: idle")
    terms = slopes.value_at(ONE_TERMS, size.destinations).scaled(1e-6 * size.changes_per_second)
    memory = sum_of(
        [
            slopes.value_at("view: memory", size.dispatchers),
            slopes.value_at(FOLLOWER_MEMORY, size.destinations),
        ]
    )
    parts = "the view when still, the stream, the day's changes"
    held = "the view and all destinations, with the process itself"
    return [
        Row("bytes", "B/s", all_bytes, size.control_bytes, SUBSCRIBER, parts),
        Row("processor", "cores", sum_of([idle, terms]), size.control_core, SUBSCRIBER, parts),
        Row("memory", "B", memory, size.control_memory, SUBSCRIBER, held),
    ]


def membership_rows(slopes: Slopes, size: FullSize) -> list[Row]:
    """The membership view of one member."""
    idle = slopes.at_largest("member: idle")
    far = "flat from 4 to 32 processes; beyond, the model's rows below, which reach to 400 and 800"
    whole = "processor, an idle member (processes)"
    rows = [Row(whole, "cores", idle, size.control_core, VIEW, far)]
    rows += view_rows(slopes, size, "view still", "when still")
    for change in VIEW_CHANGES:
        rows += view_rows(slopes, size, f"view {change}", f"ten periods after {change}")
    rows += view_rows(slopes, size, "common start, first ten", "ten periods after a common start")
    rows += view_rows(slopes, size, "common start, second ten", "the ten periods after these")
    return rows


def view_rows(slopes: Slopes, size: FullSize, name: str, when: str) -> list[Row]:
    """Bytes, CPU time and messages of a member per second, at the default period."""
    budgets = {
        "bytes": ("B/s", size.control_bytes),
        "processor": ("cores", size.control_core),
        "messages": ("messages a second", None),
    }
    mechanism: dict[str, Mechanism | None] = {"bytes": VIEWS_BY_REGION, "processor": VIEWS_BY_REGION}
    return [
        Row(
            f"{what}, the view, {when}",
            unit,
            slopes.value_at(f"{name}: {what}", size.dispatchers).scaled(1 / VIEW_PERIOD),
            budget,
            VIEW,
            mechanism=mechanism.get(what),
        )
        for what, (unit, budget) in budgets.items()
    ]


def message_rows(slopes: Slopes, size: FullSize) -> list[Row]:
    """Cost of messages, which is not part of the budget for control."""
    idle = slopes.at_largest("destination: idle")
    lost = assumed(
        size.failed_machines * size.pending_per_dispatcher, "machines that fail x pending messages of each"
    )
    messages = assumed(size.events_per_dispatcher, "events over dispatchers")
    idle_connections = (
        slopes.per_unit("mail: kept connections").scaled(size.events_per_dispatcher).with_basis(Basis.DERIVED)
    )
    among = slopes.value_at("mail: among destinations", size.destinations).scaled(size.events_per_dispatcher)
    down = size.events_per_dispatcher * size.down_share
    to_down = assumed(down, "events x share down")
    attempts = slopes.per_unit("down: processor").scaled(down).with_basis(Basis.DERIVED)
    opened = (
        "at 26 minutes between two events every message opens a connection; once there is no room for more,"
        " each walks the pools of all routes (`HttpCarrier.make_room`); one thread has one core"
    )
    compared = "for comparison: if events of a destination came to few dispatchers"
    waiting = "held for its lifetime of ten seconds, and tried"
    return [
        Row("processor, idle", "cores", idle, None, DISPATCHER, "at 128,000 destinations"),
        Row("messages", "a second", messages, None, DISPATCHER),
        Row(
            "processor, messages, all routes known", "cores", among, None, CARRIER, opened, CONNECTIONS_BY_AGE
        ),
        Row(
            "processor, messages over kept connections",
            "cores",
            idle_connections,
            None,
            CARRIER,
            compared,
            PLACEMENT,
        ),
        Row(
            "pending messages on machines that fail",
            "messages a day",
            lost,
            None,
            NO_MODULE,
            "they wait",
            MESSAGE_COPIES,
        ),
        Row("messages to destinations that are down", "a second", to_down, None, DELIVERY_POLICY),
        Row(
            "processor, messages to destinations down",
            "cores",
            attempts,
            None,
            DELIVERY_POLICY,
            waiting,
            SHARED_OUTAGES,
        ),
    ]


def controller_rows(slopes: Slopes, size: FullSize) -> list[Row]:
    """One controller that serves all dispatchers."""
    change_messages = size.changes_per_second * size.dispatchers
    messages = assumed(change_messages, "changes x dispatchers")
    changes = slopes.value_at(CHANGE_BYTES, 1).scaled(change_messages).with_basis(Basis.DERIVED)
    idle_bytes = slopes.per_unit(STREAM_BYTES).scaled(size.dispatchers).with_basis(Basis.DERIVED)
    snapshot = slopes.value_at(SNAPSHOT_BYTES, size.destinations)
    snapshots = snapshot.scaled(size.dispatchers)
    replaced = snapshot.scaled(size.restarted_machines / DAY)
    memory = slopes.value_at(CONTROLLER_MEMORY, size.destinations)
    start = slopes.value_at(CONTROLLER_START, size.destinations)
    disk = slopes.value_at(CONTROLLER_DISK, size.destinations)
    machines = assumed(size.control_machines, "machines set aside")
    alone = "one control machine is one disk and one place to fail"
    empty = "if each of them came with an empty folder"
    return [
        Row("memory, all entries", "B", memory, None, CONTROLLER),
        Row("disk, all entries", "B", disk, None, CONTROLLER, "the snapshot; the log grows to as much again"),
        Row("start, all entries", "s", start, None, CONTROLLER),
        Row("changes sent", "messages a second", messages, None, CONTROLLER),
        Row("bytes, changes sent", "B/s", changes, None, CONTROLLER),
        Row("bytes, streams when still", "B/s", idle_bytes, None, CONTROLLER),
        Row("bytes, snapshots to machines replaced", "B/s", replaced, None, CONTROLLER, empty, PLACEMENT),
        Row("bytes, snapshots to all", "B", snapshots, None, CONTROLLER, "all came empty", PLACEMENT),
        Row("control machines that agree", "machines", machines, None, NO_MODULE, alone, QUORUM),
    ]


def receiver_rows(slopes: Slopes, size: FullSize) -> list[Row]:
    """Load on a destination from all dispatchers."""
    event_rate = size.events / size.destinations
    events = assumed(event_rate, "events over destinations")
    first = (
        slopes.at_largest("thin load: trials of the first mail").scaled(event_rate).with_basis(Basis.DERIVED)
    )
    later = (
        slopes.at_largest("thin load: trials of a later mail").scaled(event_rate).with_basis(Basis.DERIVED)
    )
    limit = assumed(DESTINATION_RATE, "no figure was given")
    unknown, known = (
        "trials at one that is down, while nobody knows",
        "trials at one that is down, once all know",
    )
    return [
        Row("events for one destination", "a second", events, None, DISPATCHER),
        Row(unknown, "a second", first, None, DELIVERY_POLICY, "", SHARED_OUTAGES),
        Row(known, "a second", later, None, DELIVERY_POLICY, "", SHARED_OUTAGES),
        Row("calls that one takes", "a second", limit, None, DELIVERY_POLICY),
    ]

"""What each role holds, sends and works at the full size."""

from __future__ import annotations

from benchmarks.capacity.full_size import DAY, RATE, VIEW_PERIOD, FullSize
from benchmarks.capacity.mechanisms import (
    COPIES,
    DISK_BACKLOG,
    IDLE_BY_AGE,
    PLACEMENT,
    QUORUM,
    TOLD_OUTAGES,
    VERSIONED_CHANGES,
    VIEWS_BY_REGION,
    Mechanism,
)
from benchmarks.capacity.rows import Basis, Row, Slopes, assumed, sum_of

# Where their files are there.
ONE_ADDRESS, ONE_TERMS = "one change: address", "one change: terms"
CHANGE_BYTES = "change by controller: bytes"
STREAM_BYTES = "stream by controller: bytes"
IN_FORCE = "change by controller: in force at the last one"
SNAPSHOT_BYTES = "snapshot by controller: bytes"
CONTROLLER_MEMORY = "controller: memory"
CONTROLLER_START = "controller: start"
CONTROLLER_DISK = "controller: disk"
FOLLOWER_MEMORY, FOLLOWER_START = "follower: memory", "follower: start"
BY_CONTROLLER = {
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
LISTED = "laureldock/sources/listed.py"
RELOAD = "laureldock/setup/reload.py"
SPOOL = "laureldock/stores/spool.py"
DISPATCHER = "laureldock/core/dispatcher.py"
CARRIER = "laureldock/carriers/http.py"
DECISIONS = "laureldock/delivery_policy.py"
SUBSCRIBER = VERSIONED_CHANGES.module
CONTROLLER = "laureldock/controller/server.py"
MISSING = ""

VIEW_CHANGES = [
    *(f"{share} {change}" for share in ("1%", "10%") for change in ("join", "fail", "return")),
    "100% return",
]


def state(slopes: Slopes, size: FullSize) -> list[Row]:
    """Memory and disk of a dispatcher."""
    destinations, owed = size.destinations, size.owed_each
    start, after = (slopes.at(f"destination: {name}", destinations) for name in ("memory", "memory after"))
    everything, twice = (
        "every dispatcher holds all of them",
        "as above, and the file before beside the one after",
    )
    mails = "all in memory; no budget was given for mails"
    held = slopes.at("owed mail: memory", owed)
    spooled = slopes.at("owed mail: disk", owed)
    view = slopes.at("view: memory", size.dispatchers)
    file = slopes.at("destination: file", destinations)
    budget = size.control_memory
    return [
        Row("memory, all destinations, at the start", "B", start, budget, LISTED, everything, PLACEMENT),
        Row("memory, all destinations, after reloads", "B", after, budget, LISTED, twice, PLACEMENT),
        Row("memory, each further endpoint", "B", slopes.each("endpoint: memory"), None, LISTED),
        Row("memory, view of the fleet", "B", view, budget, VIEW),
        Row("memory, owed mails", "B", held, None, SPOOL, mails, DISK_BACKLOG),
        Row("disk, owed mails", "B", spooled, None, SPOOL, "mails of 200 bytes"),
        Row("disk, the configuration file", "B", file, None, LISTED),
    ]


def starting(slopes: Slopes, size: FullSize) -> list[Row]:
    """Processor time until a dispatcher takes clients."""
    every = slopes.at("destination: start", size.destinations)
    member = slopes.largest("member: start")
    fresh = slopes.at("owed mail: start", size.owed_each)
    killed = slopes.at("owed mail: start after a kill", size.owed_each)
    return [
        Row("start, all destinations", "s", every, None, LISTED, "", PLACEMENT),
        Row("start, each further endpoint", "s", slopes.each("endpoint: start"), None, LISTED),
        Row("start, as a member of the view", "s", member, None, VIEW, "flat from 4 to 32 processes"),
        Row("start, owed mails, fresh", "s", fresh, None, SPOOL, "", DISK_BACKLOG),
        Row("start, owed mails, after SIGKILL", "s", killed, None, SPOOL, "", DISK_BACKLOG),
    ]


def changing(slopes: Slopes, size: FullSize) -> list[Row]:
    """Changes of configuration at a dispatcher, by reload."""
    each, versioned = size.changes_a_second, VERSIONED_CHANGES
    rate = slopes.at("destination: one rate", size.destinations)
    setting = slopes.at("destination: one setting", size.destinations)
    file = slopes.at("destination: file", size.destinations).times(each)
    cores, bytes_ = size.control_core, size.control_bytes
    by_reload = "processor, changes by reload"
    all_work, alone = "each costs work for all destinations", "with one whole core to itself"
    whole = "the whole file is the only form that a reload takes; nothing of the project brings it there"
    return [
        Row("bytes, changes as whole files", "B/s", file, bytes_, MISSING, whole, versioned),
        Row(f"{by_reload} (one endpoint)", "cores", rate.times(each), cores, RELOAD, all_work, versioned),
        Row(f"{by_reload} (one setting)", "cores", setting.times(each), cores, RELOAD, "as above", versioned),
        Row("until in force, a change by reload", "s", rate, size.in_force_within, RELOAD, alone, versioned),
    ]


def following(slopes: Slopes, size: FullSize) -> list[Row]:
    """Changes of configuration at a dispatcher that follows a controller."""
    each, micro = size.changes_a_second, 1e-6
    address = slopes.at(ONE_ADDRESS, size.destinations).times(micro * each).on(Basis.RECKONED)
    terms = slopes.at(ONE_TERMS, size.destinations).times(micro * each).on(Basis.RECKONED)
    told, still = slopes.at(CHANGE_BYTES, 1).times(each), slopes.each(STREAM_BYTES)
    last = slopes.at(IN_FORCE, size.dispatchers)
    snapshot = slopes.at(SNAPSHOT_BYTES, size.destinations)
    waits = snapshot.times(1 / size.control_bytes).on(Basis.RECKONED)
    replaced = (
        f"{size.restarted_machines} a day are restarted or replaced; one that is new has no list meanwhile"
    )
    one, both = "of one endpoint each", "both ways, a frame each two seconds"
    cores, bytes_ = size.control_core, size.control_bytes
    memory = slopes.at(FOLLOWER_MEMORY, size.destinations)
    start = slopes.at(FOLLOWER_START, size.destinations)
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
        Row("bytes, changes", "B/s", told.on(Basis.RECKONED), bytes_, SUBSCRIBER, one),
        Row("bytes, the stream when still", "B/s", still, bytes_, SUBSCRIBER, both),
        Row("until in force at the last one", "s", last, size.in_force_within, SUBSCRIBER),
        Row("snapshot of all entries", "B", snapshot, None, SUBSCRIBER, "", PLACEMENT),
        Row("snapshot, all of the budget's bytes", "s", waits, None, SUBSCRIBER, replaced, PLACEMENT),
    ]


def control_in_sum(slopes: Slopes, size: FullSize) -> list[Row]:
    """What a dispatcher spends on control while nothing but the day's changes happens."""
    view, stream = slopes.at("view still: bytes", size.dispatchers), slopes.each(STREAM_BYTES)
    told = slopes.at(CHANGE_BYTES, 1).times(size.changes_a_second)
    all_bytes = sum_of([view.times(1 / VIEW_PERIOD), stream, told])
    idle = slopes.largest("member: idle")
    terms = slopes.at(ONE_TERMS, size.destinations).times(1e-6 * size.changes_a_second)
    memory = sum_of(
        [slopes.at("view: memory", size.dispatchers), slopes.at(FOLLOWER_MEMORY, size.destinations)]
    )
    parts = "the view when still, the stream, the day's changes"
    held = "the view and all destinations, with the process itself"
    return [
        Row("bytes", "B/s", all_bytes, size.control_bytes, SUBSCRIBER, parts),
        Row("processor", "cores", sum_of([idle, terms]), size.control_core, SUBSCRIBER, parts),
        Row("memory", "B", memory, size.control_memory, SUBSCRIBER, held),
    ]


def viewing(slopes: Slopes, size: FullSize) -> list[Row]:
    """The view of the fleet at a member."""
    idle = slopes.largest("member: idle")
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
    """Bytes, processor time and messages of a member; a second, at the default period."""
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
            slopes.at(f"{name}: {what}", size.dispatchers).times(1 / VIEW_PERIOD),
            budget,
            VIEW,
            mechanism=mechanism.get(what),
        )
        for what, (unit, budget) in budgets.items()
    ]


def serving(slopes: Slopes, size: FullSize) -> list[Row]:
    """Mails: no part of the budget of control."""
    idle = slopes.largest("destination: idle")
    lost = assumed(size.failed_machines * size.owed_each, "machines that fail x owed mails of each")
    mails = assumed(size.events_each, "events over dispatchers")
    kept = slopes.each("mail: kept connections").times(size.events_each).on(Basis.RECKONED)
    among = slopes.at("mail: among destinations", size.destinations).times(size.events_each)
    down = size.events_each * size.down_share
    to_down = assumed(down, "events x share down")
    trials = slopes.each("down: processor").times(down).on(Basis.RECKONED)
    opened = (
        "at 26 minutes between two events every mail opens a connection; once there is no room for more,"
        " each walks the pools of all routes (`Receivers.spare`); one thread has one core"
    )
    compared = "for comparison: if events of a destination came to few dispatchers"
    waiting = "held for its lifetime of ten seconds, and tried"
    return [
        Row("processor, idle", "cores", idle, None, DISPATCHER, "at 128,000 destinations"),
        Row("mails", "a second", mails, None, DISPATCHER),
        Row("processor, mails, all routes known", "cores", among, None, CARRIER, opened, IDLE_BY_AGE),
        Row("processor, mails over kept connections", "cores", kept, None, CARRIER, compared, PLACEMENT),
        Row("owed mails on machines that fail", "mails a day", lost, None, MISSING, "they wait", COPIES),
        Row("mails to destinations that are down", "a second", to_down, None, DECISIONS),
        Row("processor, mails to destinations down", "cores", trials, None, DECISIONS, waiting, TOLD_OUTAGES),
    ]


def controller(slopes: Slopes, size: FullSize) -> list[Row]:
    """One control machine that tells all dispatchers."""
    told = size.changes_a_second * size.dispatchers
    messages = assumed(told, "changes x dispatchers")
    changes = slopes.at(CHANGE_BYTES, 1).times(told).on(Basis.RECKONED)
    still = slopes.each(STREAM_BYTES).times(size.dispatchers).on(Basis.RECKONED)
    snapshot = slopes.at(SNAPSHOT_BYTES, size.destinations)
    snapshots = snapshot.times(size.dispatchers)
    replaced = snapshot.times(size.restarted_machines / DAY)
    memory = slopes.at(CONTROLLER_MEMORY, size.destinations)
    start = slopes.at(CONTROLLER_START, size.destinations)
    disk = slopes.at(CONTROLLER_DISK, size.destinations)
    machines = assumed(size.control_machines, "machines set aside")
    alone = "one control machine is one disk and one place to fail"
    empty = "if each of them came with an empty folder"
    return [
        Row("memory, all entries", "B", memory, None, CONTROLLER),
        Row("disk, all entries", "B", disk, None, CONTROLLER, "the snapshot; the log grows to as much again"),
        Row("start, all entries", "s", start, None, CONTROLLER),
        Row("changes told", "messages a second", messages, None, CONTROLLER),
        Row("bytes, changes told", "B/s", changes, None, CONTROLLER),
        Row("bytes, streams when still", "B/s", still, None, CONTROLLER),
        Row("bytes, snapshots to machines replaced", "B/s", replaced, None, CONTROLLER, empty, PLACEMENT),
        Row("bytes, snapshots to all", "B", snapshots, None, CONTROLLER, "all came empty", PLACEMENT),
        Row("control machines that agree", "machines", machines, None, MISSING, alone, QUORUM),
    ]


def receivers(slopes: Slopes, size: FullSize) -> list[Row]:
    """What a destination meets of all dispatchers."""
    each = size.events / size.destinations
    events = assumed(each, "events over destinations")
    first = slopes.largest("thin load: trials of the first mail").times(each).on(Basis.RECKONED)
    later = slopes.largest("thin load: trials of a later mail").times(each).on(Basis.RECKONED)
    limit = assumed(RATE, "no figure was given")
    unknown, known = (
        "trials at one that is down, while nobody knows",
        "trials at one that is down, once all know",
    )
    return [
        Row("events for one destination", "a second", events, None, DISPATCHER),
        Row(unknown, "a second", first, None, DECISIONS, "", TOLD_OUTAGES),
        Row(known, "a second", later, None, DECISIONS, "", TOLD_OUTAGES),
        Row("calls that one takes", "a second", limit, None, DECISIONS),
    ]

"""The faults of a soak and their times, drawn from a seed. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

from laureldock.rehearsal.soak.system_calls import SystemCallFault


class ProcessFault(StrEnum):
    """A signal to the processes of a dispatcher, or a start."""

    KILL = "kill"  # SIGKILL, and a restart in the same folder
    TERMINATE = "terminate"  # SIGTERM, SIGKILL if it does not end in time, and a restart
    RELOAD = "reload"  # several SIGHUPs in a row
    DRAIN = "drain"  # SIGHUP with one receiver removed, and later with all of them again
    PAUSE = "pause"  # SIGSTOP for a moment
    HANDOVER = "hand over"  # a second process on the passed socket, and SIGTERM to the first once it is ready
    KILLED_HANDOVER = "killed hand over"  # the same; the first is killed while it ends
    KILLED_START = "killed start"  # a second process that is killed as it starts; the first one continues


class ConnectionFault(StrEnum):
    """A fault of the relay in front of a receiver."""

    RESET = "reset"  # connections are reset during calls
    LOSE_RESPONSES = "lose"  # calls arrive, and their responses do not
    CLOSE = "close"  # connections are closed soon after a call
    STALL = "stall"  # no bytes are passed on


class ReceiverFault(StrEnum):
    """A fault of a stub receiver; see `stub_receivers.FaultPeriod`."""

    REFUSE = "refuse"
    SILENT = "silent"
    DOWN = "down"
    ERROR = "error"
    SLOW = "slow"


class ClientFault(StrEnum):
    """What additional clients do, beside the load."""

    HALF_COMMAND = "half"  # half a command, and then nothing
    RESET = "leave"  # a complete command, and a reset
    PIPELINE = "pipeline"  # many commands at once
    GARBAGE = "garbage"
    IDLE = "rest"  # many connections without a request
    CROWD = "crowd"  # more connections than the dispatcher has room for


class ListFault(StrEnum):
    """A fault of the platform's agent; only if the endpoint list and the notices are the platform's."""

    SILENT = "list silent"  # requests for the list get no response
    ERROR = "list error"  # they get a 500
    CUT = "list cut"  # the connection ends instead of the response
    NOTICES_LOST = "notices lost"  # notices are read, and the connection ends instead of the response


FaultKind = ProcessFault | ConnectionFault | ReceiverFault | ClientFault | SystemCallFault | ListFault


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault. Times are seconds from the start of the load."""

    kind: FaultKind
    since: float
    until: float
    target: str = ""  # name of the receiver, for faults of one receiver
    share: float = 1.0  # fraction of the system calls that fail
    step: float = 0.0  # seconds by which the wall clock is set


MAX_LENGTH = 3.0  # seconds
# Seconds for which no connection can be made, if a longer time would delay notices beyond their deadline.
SHORT_LENGTH = 0.2
MEAN_INTERVAL = 0.8  # seconds between the starts of two faults, so that two or three overlap
# Seconds between two ends of a process: a planned stop takes up to four; handovers may follow each other.
PROCESS_FAULT_INTERVAL, HANDOVER_INTERVAL = 6.0, 2.5
HANDOVER_FAULTS = (ProcessFault.HANDOVER, ProcessFault.KILLED_HANDOVER, ProcessFault.KILLED_START)
HOUR = 3600.0
PERMANENT = 1e9


def draw_faults(
    seed: int, length: float, receivers: list[str], passed: bool = False, platform: bool = False
) -> list[ScheduledFault]:
    """Return the faults of one dispatcher over `length` seconds, in the order in which they begin.

    `passed`: its listening socket is passed from process to process, so that they can hand over; `platform`:
    the endpoint list and the notices are the platform's.
    """
    rng = random.Random(seed)
    faults: list[ScheduledFault] = []
    since, process_free_at = 0.5, 0.0
    while (since := since + rng.expovariate(1 / MEAN_INTERVAL)) < length:
        kind = draw_kind(rng, passed, platform)
        until = since + rng.uniform(0.3, MAX_LENGTH)
        if isinstance(kind, ProcessFault):
            if kind is not ProcessFault.PAUSE and since < process_free_at:
                continue
            interval = HANDOVER_INTERVAL if kind in HANDOVER_FAULTS else PROCESS_FAULT_INTERVAL
            process_free_at = since + interval if kind is not ProcessFault.PAUSE else process_free_at
        share = rng.choice([0.3, 0.5, 1.0])
        step = 0.0
        if kind is SystemCallFault.CLOCK:
            until, step = PERMANENT, rng.choice([-HOUR, -5.0, 5.0, HOUR])
        if platform and kind in (SystemCallFault.SOCKET, SystemCallFault.CONNECT):
            until = since + SHORT_LENGTH  # a notice needs a connection, and is due in 0.3 s
        if kind is SystemCallFault.BROKEN:
            share = 0.02  # of all reads and writes
        faults.append(ScheduledFault(kind, since, until, rng.choice(receivers), share, step))
    return faults


def draw_kind(rng: random.Random, passed: bool, platform: bool) -> FaultKind:
    """Draw a group, each as often as the others, then a kind of it.

    Handovers are a group of their own, and so as frequent as all other process faults together.
    """
    process_faults: list[FaultKind] = [kind for kind in ProcessFault if kind not in HANDOVER_FAULTS]
    groups: list[list[FaultKind]] = [
        process_faults,
        list(ConnectionFault),
        list(ReceiverFault),
        list(ClientFault),
        list(SystemCallFault),
    ]
    if passed:
        groups.append(list(HANDOVER_FAULTS))
    if platform:
        groups.append(list(ListFault))
    return rng.choice(rng.choice(groups))

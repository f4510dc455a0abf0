"""What goes wrong during a soak and when, drawn from a seed. No I/O."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

from laureldock.rehearsal.soak.system_calls import Fault


class Signal(StrEnum):
    """What happens to the process of a dispatcher."""

    KILL = "kill"  # SIGKILL, and a start on the same folder
    TERMINATE = "terminate"  # SIGTERM, SIGKILL where it does not end in time, and a start
    RELOAD = "reload"  # SIGHUP, several in a row
    DRAIN = "drain"  # SIGHUP with a receiver less, and later with all of them again
    PAUSE = "pause"  # SIGSTOP for a moment
    HAND_OVER = (
        "hand over"  # a second process on the passed socket, and SIGTERM to the first once it is ready
    )
    KILLED_HAND_OVER = "killed hand over"  # the same; the first is killed while it ends
    KILLED_START = "killed start"  # a second process that is killed as it starts; the first one goes on


class Path(StrEnum):
    """What the relay before a receiver does."""

    RESET = "reset"  # connections are reset under calls
    LOSE = "lose"  # calls arrive, and their answers do not
    CLOSE = "close"  # connections are closed soon after a call
    STALL = "stall"  # nothing passes


class Receiver(StrEnum):
    """What a stand-in receiver does (`stub_receivers.Fault`)."""

    REFUSE = "refuse"
    SILENT = "silent"
    DOWN = "down"
    ERROR = "error"
    SLOW = "slow"


class Client(StrEnum):
    """What clients do beside the load."""

    HALF = "half"  # half a command, and then nothing
    LEAVE = "leave"  # a whole command, and a reset
    PIPELINE = "pipeline"  # many commands at once
    GARBAGE = "garbage"
    REST = "rest"  # many connections that ask nothing
    CROWD = "crowd"  # more connections than there is room for


class Listing(StrEnum):
    """What the platform's agent does; only where the list and the notices are the platform's."""

    SILENT = "list silent"  # asks for the list are not answered
    ERROR = "list error"  # they are answered 500
    CUT = "list cut"  # the connection ends in place of their answer
    NOTICES_LOST = "notices lost"  # notices are taken, and the connection ends in place of the answer


Kind = Signal | Path | Receiver | Client | Fault | Listing


@dataclass(frozen=True, slots=True)
class Trouble:
    """One thing that goes wrong. Times are seconds from the start of the load."""

    kind: Kind
    at: float
    until: float
    target: str = ""  # name of a receiver, where it is one's
    share: float = 1.0  # of the system calls that fail
    step: float = 0.0  # seconds by which the wall clock is set


LONGEST = 3.0  # seconds
MOMENT = 0.2  # seconds for which no connection can be made, where that would hold up what has to be told
MEAN_GAP = 0.8  # seconds between two that begin, so that two or three overlap
# Seconds between two ends of a process: a planned stop takes up to four; hand-overs may follow each other.
SIGNAL_GAP, HAND_OVER_GAP = 6.0, 2.5
HAND_OVERS = (Signal.HAND_OVER, Signal.KILLED_HAND_OVER, Signal.KILLED_START)
HOUR = 3600.0
FOR_GOOD = 1e9


def draw(
    seed: int, length: float, receivers: list[str], passed: bool = False, platform: bool = False
) -> list[Trouble]:
    """The troubles of one dispatcher over so many seconds, in the order in which they begin.

    `passed`: its listening socket is passed from process to process, so that they can hand over; `platform`:
    the list of receivers and the notices are the platform's.
    """
    chance = random.Random(seed)
    troubles: list[Trouble] = []
    at, free = 0.5, 0.0
    while (at := at + chance.expovariate(1 / MEAN_GAP)) < length:
        kind = draw_kind(chance, passed, platform)
        until = at + chance.uniform(0.3, LONGEST)
        if isinstance(kind, Signal):
            if kind is not Signal.PAUSE and at < free:
                continue
            gap = HAND_OVER_GAP if kind in HAND_OVERS else SIGNAL_GAP
            free = at + gap if kind is not Signal.PAUSE else free
        share = chance.choice([0.3, 0.5, 1.0])
        step = 0.0
        if kind is Fault.CLOCK:
            until, step = FOR_GOOD, chance.choice([-HOUR, -5.0, 5.0, HOUR])
        if platform and kind in (Fault.SOCKET, Fault.CONNECT):
            until = at + MOMENT  # a notice needs a connection, and is due in 0.3 s
        if kind is Fault.BROKEN:
            share = 0.02  # of all reads and writes
        troubles.append(Trouble(kind, at, until, chance.choice(receivers), share, step))
    return troubles


def draw_kind(chance: random.Random, passed: bool, platform: bool) -> Kind:
    """Any kind of any group, the groups as often as each other; hand-overs as often as all other signals."""
    signals: list[Kind] = [kind for kind in Signal if kind not in HAND_OVERS]
    groups: list[list[Kind]] = [signals, list(Path), list(Receiver), list(Client), list(Fault)]
    if passed:
        groups.append(list(HAND_OVERS))
    if platform:
        groups.append(list(Listing))
    return chance.choice(chance.choice(groups))

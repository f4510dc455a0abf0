"""What happens at each of the failures that the operators named."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.capacity.full_size import RACK, VIEW_PERIOD, FullSize
from benchmarks.capacity.rows import Estimate, Slopes

# Periods until the first and the last member hold a dead one to have failed, at 200 members (measured in the
# model, docs/design/fleet-view.md); beyond 200 they are reckoned to be the same.
FIRST_FAILED, ALL_FAILED = 8.4, 8.8
HEALED = 6.6  # periods until views are equal after a cut in halves, at 200 members (the same page)
COUNTED = 10  # periods over which the slopes of the view count bytes


@dataclass(frozen=True, slots=True)
class Failure:
    name: str
    often: str
    happens: str
    lasts: str
    size: Estimate  # bytes of the view, of all members, in the ten periods after it
    messages: Estimate  # the same, datagrams
    seen: str
    missing: str


def sent(slopes: Slopes, size: FullSize, change: str) -> tuple[Estimate, Estimate]:
    """Bytes and messages of all members together, in the ten periods after a change."""
    every = size.dispatchers * COUNTED * VIEW_PERIOD
    found = [slopes.at(f"{change}: {what}", size.dispatchers).times(every) for what in ("bytes", "messages")]
    return found[0], found[1]


def failures(slopes: Slopes, size: FullSize) -> list[Failure]:
    detected = f"{FIRST_FAILED:g} to {ALL_FAILED:g} periods until all hold it to have failed"
    start = slopes.at("destination: start", size.destinations)
    started = f"{start.value:.0f} s" if start.value is not None else "a time not measured"
    owed = size.owed_each
    return [
        Failure(
            f"{size.failed_machines} machines on an ordinary day",
            "daily",
            "their clients connect elsewhere; what they owe waits on their disks and ends undelivered where"
            " its lifetime is over first",
            f"{detected}; the mails until the disk is back",
            *sent(slopes, size, "view 1% fail"),
            "`fleet: suspected`, then `fleet: failed` with the member's name",
            f"copies of owed mails: {2 * owed / 1e6:.0f} million mails a day wait for two disks",
        ),
        Failure(
            f"{size.restarted_machines} restarted or replaced",
            "daily",
            "each leaves the view in order, starts with all destinations and takes over its own spool; one"
            " that was replaced has no spool",
            f"{started} of processor each, for the destinations alone; owed mails on top",
            *sent(slopes, size, "view 1% return"),
            "`stopping`, `stopped`, `starting`, `ready`; of the view `fleet: left` and `fleet: joined`, or"
            " `fleet: generation changed`",
            "a start in the size of what changed; the spool of a machine that is replaced",
        ),
        Failure(
            f"a rack or switch ({RACK} dispatchers, assumed)",
            "every month or two",
            "as one machine, at once; behind a switch they live on and hold all others to have failed",
            detected + ", longer where many die at once (docs/design/fleet-view.md)",
            *sent(slopes, size, "view 1% fail"),
            "`fleet: failed` for each; on the far side of a switch for everyone else",
            "a view by zone that tells a switch from so many machines",
        ),
        Failure(
            f"a zone ({size.zone:.0f} dispatchers)",
            "every other month",
            f"{size.zone / size.dispatchers:.1%} of the clients come to the others;"
            f" {size.zone * owed / 1e9:.1f} billion owed mails wait",
            detected + "; the mails until the zone is back",
            *sent(slopes, size, "view 10% fail"),
            "`fleet: failed` for each; `reach` of that site in `laureldock fleet view`",
            "copies of owed mails in another zone; a controller that lives in no zone alone",
        ),
        Failure(
            f"a region out of reach ({size.region:.0f} dispatchers), for minutes",
            "several times a year",
            "both sides go on with what they know, each holds the other to have failed; no change of"
            " configuration reaches the side without the controller",
            f"the cut, then some {HEALED:g} periods until views are equal (at 200 members; beyond reckoned)",
            *sent(slopes, size, "view 10% return"),
            "`fleet: failed` for each member of the other side, then `fleet: returned`; `reach` of its sites",
            "views by region; control machines in several regions, with a quorum",
        ),
        Failure(
            "a common start of all dispatchers",
            "not named; the worst that the view can meet",
            "each asks the seeds, all tell all",
            "of 200 members within ten periods, of 400 and 800 longer than twenty: the datagrams of a"
            " member level off at ten a period",
            *sent(slopes, size, "common start, first ten"),
            "`fleet: joined` for each",
            "views by region",
        ),
    ]

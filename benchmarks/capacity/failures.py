"""The effects of each failure that the operators named."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.capacity.full_size import RACK_DISPATCHERS, VIEW_PERIOD, FullSize
from benchmarks.capacity.rows import Estimate, Slopes

# Periods until the first and the last member mark a dead one as failed, at 200 members (measured in the
# simulation, docs/design/fleet-view.md). Assumed to be the same beyond 200.
FIRST_FAILED, ALL_FAILED = 8.4, 8.8
HEALED = 6.6  # periods until views are equal after a partition into halves, at 200 members (same page)
COUNTED_PERIODS = 10  # periods in which the slopes of the view count bytes


@dataclass(frozen=True, slots=True)
class Failure:
    name: str
    often: str
    happens: str
    lasts: str
    size: Estimate  # bytes that the view sends in the ten periods after the failure, over all members
    messages: Estimate  # datagrams, likewise
    seen: str
    missing: str


def view_traffic(slopes: Slopes, size: FullSize, change: str) -> tuple[Estimate, Estimate]:
    """Bytes and messages of all members in the ten periods after a change."""
    dispatcher_periods = size.dispatchers * COUNTED_PERIODS * VIEW_PERIOD
    found = [
        slopes.value_at(f"{change}: {what}", size.dispatchers).scaled(dispatcher_periods)
        for what in ("bytes", "messages")
    ]
    return found[0], found[1]


def failures(slopes: Slopes, size: FullSize) -> list[Failure]:
    detected = f"{FIRST_FAILED:g} to {ALL_FAILED:g} periods until all hold it to have failed"
    start = slopes.value_at("destination: start", size.destinations)
    started = f"{start.value:.0f} s" if start.value is not None else "a time not measured"
    pending = size.pending_per_dispatcher
    return [
        Failure(
            f"{size.failed_machines} machines on an ordinary day",
            "daily",
            "their clients connect elsewhere; their pending messages wait on their disks and end undelivered"
            " where their lifetime is over first",
            f"{detected}; the messages until the disk is back",
            *view_traffic(slopes, size, "view 1% fail"),
            "`fleet: suspected`, then `fleet: failed` with the member's name",
            f"copies of pending messages: {2 * pending / 1e6:.0f} million messages a day wait for two disks",
        ),
        Failure(
            f"{size.restarted_machines} restarted or replaced",
            "daily",
            "each leaves the view in order, starts with all destinations and takes over its own spool; one"
            " that was replaced has no spool",
            f"{started} of processor each, for the destinations alone; pending messages on top",
            *view_traffic(slopes, size, "view 1% return"),
            "`stopping`, `stopped`, `starting`, `ready`; of the view `fleet: left` and `fleet: joined`, or"
            " `fleet: generation changed`",
            "a start in the size of what changed; the spool of a machine that is replaced",
        ),
        Failure(
            f"a rack or switch ({RACK_DISPATCHERS} dispatchers, assumed)",
            "every month or two",
            "as one machine, at once; behind a switch they live on and hold all others to have failed",
            detected + ", longer where many die at once (docs/design/fleet-view.md)",
            *view_traffic(slopes, size, "view 1% fail"),
            "`fleet: failed` for each; on the far side of a switch for everyone else",
            "a view by zone that tells a switch from so many machines",
        ),
        Failure(
            f"a zone ({size.dispatchers_per_zone:.0f} dispatchers)",
            "every other month",
            f"{size.dispatchers_per_zone / size.dispatchers:.1%} of the clients come to the others;"
            f" {size.dispatchers_per_zone * pending / 1e9:.1f} billion pending messages wait",
            detected + "; the messages until the zone is back",
            *view_traffic(slopes, size, "view 10% fail"),
            "`fleet: failed` for each; `reach` of that site in `laureldock fleet view`",
            "copies of pending messages in another zone; a controller that lives in no zone alone",
        ),
        Failure(
            f"a region out of reach ({size.dispatchers_per_region:.0f} dispatchers), for minutes",
            "several times a year",
            "both sides go on with what they know, each holds the other to have failed; no change of"
            " configuration reaches the side without the controller",
            f"the cut, then some {HEALED:g} periods until views are equal (at 200 members; beyond reckoned)",
            *view_traffic(slopes, size, "view 10% return"),
            "`fleet: failed` for each member of the other side, then `fleet: returned`; `reach` of its sites",
            "views by region; control machines in several regions, with a quorum",
        ),
        Failure(
            "a common start of all dispatchers",
            "not named; the worst that the view can meet",
            "each asks the seeds, all tell all",
            "of 200 members within ten periods, of 400 and 800 longer than twenty: the datagrams of a"
            " member level off at ten a period",
            *view_traffic(slopes, size, "common start, first ten"),
            "`fleet: joined` for each",
            "views by region",
        ),
    ]

"""What one of many dispatchers meets of one of very many destinations."""

from __future__ import annotations

from benchmarks.capacity.full_size import RATE, FullSize
from benchmarks.capacity.mechanisms import PLACEMENT, TOLD_OUTAGES
from benchmarks.capacity.rows import Basis, Row, Slopes, assumed
from benchmarks.slopes import thin_load as measured

DECISIONS = "laureldock/delivery_policy.py"


def rows(slopes: Slopes, size: FullSize) -> list[Row]:
    first = slopes.largest("thin load: trials of the first mail")
    later = slopes.largest("thin load: trials of a later mail")
    at_down = size.events * size.down_share
    part = RATE / size.dispatchers
    own = 1 / (part * 0.6 * measured.TARIFF.tip_multiple * measured.TARIFF.start_capacity)
    return [
        Row(
            "between two events of a destination at a dispatcher",
            "min",
            assumed(size.between_events / 60, "dispatchers x destinations over events"),
            None,
            DECISIONS,
        ),
        Row(
            "trials to learn alone that one is down",
            "connects",
            first,
            None,
            DECISIONS,
            "told once, they would be those of one dispatcher; then it is shut until its next event",
            TOLD_OUTAGES,
        ),
        Row(
            "trials of each later event, while it is down",
            "connects a mail",
            later,
            None,
            DECISIONS,
            "26 minutes are longer than every rest: each mail is a trial",
            TOLD_OUTAGES,
        ),
        Row(
            "trials until all dispatchers know one outage",
            "connects",
            first.times(size.dispatchers).on(Basis.RECKONED),
            None,
            DECISIONS,
            "of one destination",
            TOLD_OUTAGES,
        ),
        Row(
            "trials in sum, all destinations that are down",
            "a second",
            later.times(at_down).on(Basis.RECKONED),
            None,
            DECISIONS,
            f"{at_down:.0f} events a second go to {size.down:.0f} destinations that are down",
            TOLD_OUTAGES,
        ),
        Row(
            "an outage of ten minutes is met by",
            "of the dispatchers",
            assumed(min(1.0, 600 / size.between_events), "ten minutes over the time between two events"),
            None,
            DECISIONS,
            "the others never hear of it: what one learned helps no other",
            TOLD_OUTAGES,
        ),
        Row(
            "calls in flight of a destination at a dispatcher",
            "",
            assumed(1 / size.between_events, "events, at an answer within a second"),
            None,
            DECISIONS,
            "a window opens by one with each answer and never has two calls to hold back: it limits nothing",
            PLACEMENT,
        ),
        Row(
            "between two calls within the own part of a limit",
            "s",
            assumed(size.dispatchers / RATE, f"{RATE:g} calls a second over all dispatchers"),
            None,
            DECISIONS,
            "less than between two events; a burst that meets one dispatcher waits although there is room",
            PLACEMENT,
        ),
        Row(
            "age of a limit that was told, when it is next used",
            "min",
            assumed(size.between_events / 60, "the time between two events"),
            None,
            DECISIONS,
            "what was left of it then says nothing now",
            PLACEMENT,
        ),
        Row(
            "longest rest of a dispatcher after an outage",
            "s",
            assumed(
                1.25 * own,
                "the law of `DeliveryPolicy.shared_retry_interval`, for a destination of 20 calls a second",
            ),
            None,
            DECISIONS,
            "a mail that comes within it waits although the destination may be back",
            TOLD_OUTAGES,
        ),
    ]

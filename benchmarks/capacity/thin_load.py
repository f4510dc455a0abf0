"""Rows for thin load: what one of many dispatchers observes of one of very many destinations."""

from __future__ import annotations

from benchmarks.capacity.full_size import DESTINATION_RATE, FullSize
from benchmarks.capacity.mechanisms import PLACEMENT, SHARED_OUTAGES
from benchmarks.capacity.rows import Basis, Row, Slopes, assumed
from benchmarks.slopes import thin_load as measured

DELIVERY_POLICY = "laureldock/delivery_policy.py"


def rows(slopes: Slopes, size: FullSize) -> list[Row]:
    first = slopes.at_largest("thin load: trials of the first mail")
    later = slopes.at_largest("thin load: trials of a later mail")
    at_down = size.events * size.down_share
    dispatcher_rate = DESTINATION_RATE / size.dispatchers
    backoff = 1 / (dispatcher_rate * 0.6 * measured.TARIFF.tip_multiple * measured.TARIFF.start_capacity)
    return [
        Row(
            "between two events of a destination at a dispatcher",
            "min",
            assumed(size.event_interval / 60, "dispatchers x destinations over events"),
            None,
            DELIVERY_POLICY,
        ),
        Row(
            "trials to learn alone that one is down",
            "attempts",
            first,
            None,
            DELIVERY_POLICY,
            "if shared, they would be those of one dispatcher; then its circuit is open until its next event",
            SHARED_OUTAGES,
        ),
        Row(
            "trials of each later event, while it is down",
            "attempts a message",
            later,
            None,
            DELIVERY_POLICY,
            "26 minutes are longer than every backoff: each message is a trial",
            SHARED_OUTAGES,
        ),
        Row(
            "trials until all dispatchers know one outage",
            "attempts",
            first.scaled(size.dispatchers).with_basis(Basis.DERIVED),
            None,
            DELIVERY_POLICY,
            "of one destination",
            SHARED_OUTAGES,
        ),
        Row(
            "trials in sum, all destinations that are down",
            "a second",
            later.scaled(at_down).with_basis(Basis.DERIVED),
            None,
            DELIVERY_POLICY,
            f"{at_down:.0f} events a second go to {size.destinations_down:.0f} destinations that are down",
            SHARED_OUTAGES,
        ),
        Row(
            "an outage of ten minutes is met by",
            "of the dispatchers",
            assumed(min(1.0, 600 / size.event_interval), "ten minutes over the time between two events"),
            None,
            DELIVERY_POLICY,
            "the others never hear of it: what one learned helps no other",
            SHARED_OUTAGES,
        ),
        Row(
            "calls in flight of a destination at a dispatcher",
            "",
            assumed(1 / size.event_interval, "events, at an answer within a second"),
            None,
            DELIVERY_POLICY,
            "a window opens by one with each answer and never has two calls to hold back: it limits nothing",
            PLACEMENT,
        ),
        Row(
            "between two calls within the own part of a limit",
            "s",
            assumed(
                size.dispatchers / DESTINATION_RATE,
                f"{DESTINATION_RATE:g} calls a second over all dispatchers",
            ),
            None,
            DELIVERY_POLICY,
            "less than between two events; a burst that meets one dispatcher waits although there is room",
            PLACEMENT,
        ),
        Row(
            "age of an advertised limit, when it is next used",
            "min",
            assumed(size.event_interval / 60, "the time between two events"),
            None,
            DELIVERY_POLICY,
            "what was left of it then says nothing now",
            PLACEMENT,
        ),
        Row(
            "longest backoff of a dispatcher after an outage",
            "s",
            assumed(
                1.25 * backoff,
                "the law of `DeliveryPolicy.shared_retry_interval`, for a destination of 20 calls a second",
            ),
            None,
            DELIVERY_POLICY,
            "a message that comes within it waits although the destination may be back",
            SHARED_OUTAGES,
        ),
    ]

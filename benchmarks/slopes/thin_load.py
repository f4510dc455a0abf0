"""Behaviour of the delivery policy when messages for one destination are rare, on a simulated clock."""

from __future__ import annotations

from benchmarks.slopes.model import Experiment, SlopeDefinition, Values
from laureldock import interface
from laureldock.delivery_policy import DeliveryPolicy

# Seconds between two messages for the destination; the last value is that of the full size.
INTERVALS = [1, 10, 100, 1_560]
MESSAGES = 60
INSTANCES, LISTED, RATE = 1_500, 2_000, 20.0
LIFETIME, STEP = 10.0, 0.05  # seconds
REFUSED_AFTER = 0.001  # seconds from an attempt to its refusal

TARIFF = interface.DeliverySettings(
    seed=7, instances=INSTANCES, slots=64, room=2000, max_attempts=8, may_cancel=True, may_probe=False,
    may_hedge=False, must_fetch_list=False, over_quota=0.0, max_retry_after=3.0, key_cooldown_time=0.3,
    start_capacity=0.2, tip_multiple=1.5, fall_time=1.5, warm_time=13.0, listed_rates="nominal",
    list_is_local=True, has_notices=True, connect_timeout=1.0, idle_time=15.0,
)  # fmt: skip
NEWS = interface.QueueClass(interface.RepeatSafety.REDELIVERABLE, 1.0, 1.0, LIFETIME, 0.5, False)


class SingleDispatcher:
    """Policy of one of many dispatchers, with a destination whose receiver refuses all connections."""

    def __init__(self) -> None:
        self.now, self.trials = 1000.0, 0
        self.policy = DeliveryPolicy(TARIFF, self.now)
        kind = interface.DestinationKind(1, True)
        routes = [
            interface.Route(interface.Destination(), "", kind, RATE, interface.ListedState.UP, f"e{each}")
            for each in range(LISTED)
        ]
        self.destination = routes[0].destination
        self.policy.list_updated(self.now, routes, True)
        self.turn()

    def turn(self) -> None:
        refused: list[interface.Attempt] = []
        for effect in self.policy.turn(self.now):
            match effect:
                case interface.Attempt():
                    refused.append(effect)
                case interface.Defer(message=message) | interface.Bounce(message=message):
                    self.policy.notice_acknowledged(self.now, message)
        for attempt in refused:
            self.trials += 1
            outcome = interface.Outcome(interface.AttemptResult.NO_CONNECTION, REFUSED_AFTER)
            self.policy.attempt_ended(self.now + REFUSED_AFTER, attempt, outcome)

    def hand_in(self, interval: float) -> None:
        """Hand in one message, then advance the clock until the next one is due."""
        message = interface.Message(NEWS, self.destination, LIFETIME)
        self.policy.message_accepted(self.now, message)
        deadline = self.now + interval
        while self.now < deadline and self.policy.pending_count:
            self.turn()
            self.policy.timer_expired(self.now, "sweep")
            self.now += STEP
        self.now = max(self.now, deadline)


def trials(size: int) -> Values:
    dispatcher = SingleDispatcher()
    dispatcher.hand_in(size)
    first = dispatcher.trials
    for _ in range(MESSAGES):
        dispatcher.hand_in(size)
    return {
        "thin load: trials of the first mail": [float(first)],
        "thin load: trials of a later mail": [(dispatcher.trials - first) / MESSAGES],
    }


EXPERIMENTS = [
    Experiment(
        "thin_load",
        [
            SlopeDefinition("thin load: trials of the first mail", "connects", "seconds between mails"),
            SlopeDefinition("thin load: trials of a later mail", "connects", "seconds between mails"),
        ],
        INTERVALS,
        [1, 1, 1, 1],
        trials,
    )
]

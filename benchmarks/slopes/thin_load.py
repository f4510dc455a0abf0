"""Behaviour of the delivery policy when messages for one destination are rare, on a simulated clock."""

from __future__ import annotations

from benchmarks.slopes.model import Experiment, SlopeDefinition, Values
from laureldock import interface as face
from laureldock.control import Control

# Seconds between two messages for the destination; the last value is that of the full size.
INTERVALS = [1, 10, 100, 1_560]
MESSAGES = 60
INSTANCES, LISTED, RATE = 1_500, 2_000, 20.0
LIFETIME, STEP = 10.0, 0.05  # seconds
REFUSED_AFTER = 0.001  # seconds from an attempt to its refusal

TARIFF = face.Tariff(
    seed=7, instances=INSTANCES, slots=64, room=2000, most_attempts=8, may_cancel=True, may_probe=False,
    may_copy=False, must_ask=False, over_quota=0.0, most_retry_after=3.0, key_rest=0.3, start_capacity=0.2,
    tip_multiple=1.5, fall_time=1.5, warm_time=13.0, rates="nominal", near_list=True, notices=True,
    connect_time=1.0, idle_time=15.0,
)  # fmt: skip
NEWS = face.QueueClass(face.Rerun.REDELIVERABLE, 1.0, 1.0, LIFETIME, 0.5, False)


class SingleDispatcher:
    """Policy of one of many dispatchers, with a destination whose receiver refuses all connections."""

    def __init__(self) -> None:
        self.now, self.trials = 1000.0, 0
        self.control = Control(TARIFF, self.now)
        kind = face.Kind(1, True)
        routes = [
            face.Route(face.Destination(), "", kind, RATE, face.Listed.UP, f"e{each}")
            for each in range(LISTED)
        ]
        self.destination = routes[0].destination
        self.control.news(self.now, routes, True)
        self.turn()

    def turn(self) -> None:
        refused: list[face.Attempt] = []
        for effect in self.control.turn(self.now):
            match effect:
                case face.Attempt():
                    refused.append(effect)
                case face.Defer(mail=mail) | face.Bounce(mail=mail):
                    self.control.noticed(self.now, mail)
        for attempt in refused:
            self.trials += 1
            outcome = face.Outcome(face.Ending.NO_CONNECTION, REFUSED_AFTER)
            self.control.ended(self.now + REFUSED_AFTER, attempt, outcome)

    def hand_in(self, interval: float) -> None:
        """Hand in one message, then advance the clock until the next one is due."""
        mail = face.Mail(NEWS, self.destination, LIFETIME)
        self.control.taken(self.now, mail)
        deadline = self.now + interval
        while self.now < deadline and self.control.held:
            self.turn()
            self.control.timer(self.now, "sweep")
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

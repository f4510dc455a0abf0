"""What the decisions do where mails for one destination are far apart, on a clock set by hand."""

from __future__ import annotations

from benchmarks.slopes.model import Experiment, Measured, Values
from laureldock import interface
from laureldock.delivery_policy import DeliveryPolicy

INTERVALS = [1, 10, 100, 1_560]  # seconds between two mails for the destination; the last is the full size's
MAILS = 60
INSTANCES, LISTED, RATE = 1_500, 2_000, 20.0
LIFETIME, STEP = 10.0, 0.05  # seconds
REFUSED_AFTER = 0.001  # seconds from a connect to its refusal

TARIFF = interface.DeliverySettings(
    seed=7, instances=INSTANCES, slots=64, room=2000, max_attempts=8, may_cancel=True, may_probe=False,
    may_hedge=False, must_fetch_list=False, over_quota=0.0, max_retry_after=3.0, key_cooldown_time=0.3,
    start_capacity=0.2, tip_multiple=1.5, fall_time=1.5, warm_time=13.0, listed_rates="nominal",
    list_is_local=True, has_notices=True, connect_timeout=1.0, idle_time=15.0,
)  # fmt: skip
NEWS = interface.QueueClass(interface.RepeatSafety.REDELIVERABLE, 1.0, 1.0, LIFETIME, 0.5, False)


class Alone:
    """The decisions of one of many dispatchers, with one destination whose receiver refuses all."""

    def __init__(self) -> None:
        self.now, self.trials = 1000.0, 0
        self.control = DeliveryPolicy(TARIFF, self.now)
        kind = interface.DestinationKind(1, True)
        routes = [
            interface.Route(interface.Destination(), "", kind, RATE, interface.ListedState.UP, f"e{each}")
            for each in range(LISTED)
        ]
        self.destination = routes[0].destination
        self.control.list_updated(self.now, routes, True)
        self.turn()

    def turn(self) -> None:
        refused: list[interface.Attempt] = []
        for effect in self.control.turn(self.now):
            match effect:
                case interface.Attempt():
                    refused.append(effect)
                case interface.Defer(message=mail) | interface.Bounce(message=mail):
                    self.control.notice_acknowledged(self.now, mail)
        for attempt in refused:
            self.trials += 1
            outcome = interface.Outcome(interface.AttemptResult.NO_CONNECTION, REFUSED_AFTER)
            self.control.attempt_ended(self.now + REFUSED_AFTER, attempt, outcome)

    def mail(self, interval: float) -> None:
        """One mail, and the time until the next one."""
        mail = interface.Message(NEWS, self.destination, LIFETIME)
        self.control.message_accepted(self.now, mail)
        end = self.now + interval
        while self.now < end and self.control.pending_count:
            self.turn()
            self.control.timer_expired(self.now, "sweep")
            self.now += STEP
        self.now = max(self.now, end)


def trials(size: int) -> Values:
    alone = Alone()
    alone.mail(size)
    first = alone.trials
    for _ in range(MAILS):
        alone.mail(size)
    return {
        "thin load: trials of the first mail": [float(first)],
        "thin load: trials of a later mail": [(alone.trials - first) / MAILS],
    }


EXPERIMENTS = [
    Experiment(
        "thin_load",
        [
            Measured("thin load: trials of the first mail", "connects", "seconds between mails"),
            Measured("thin load: trials of a later mail", "connects", "seconds between mails"),
        ],
        INTERVALS,
        [1, 1, 1, 1],
        trials,
    )
]

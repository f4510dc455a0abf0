"""Dispatchers and one receiver that limits its rate and shuts for a while, played on a clock of the test.

Each dispatcher is a `PolicyDriver` of its own. The receiver has a rate limit, a capacity that is low after it
was shut and grows from then on, and tells some of those that it refuses how long to wait.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from math import inf, sqrt
from typing import Any

from drivers import PolicyDriver

from laureldock import interface

START_CAPACITY, WARM_TIME, TIP_MULTIPLE, FALL_TIME = 0.29, 13.0, 1.5, 1.5
TURN_INTERVAL = 0.02  # seconds
QUEUE = 40  # calls that the receiver holds


@dataclass
class Receiver:
    """One receiver; its endpoints, if there are several, share all that it has.

    Times in seconds since the start. `told`: the part of the refusals that tell a wait; `short_wait`: the
    wait that is told while it is shut, until it opens if none; `limit_wait`: the one above the limit, until
    the next call fits if none; `burst`: calls that the limit takes at once, half a second's if none.
    """

    rate: float = 30.0
    shut_from: float = inf
    opens: float = inf
    told: float = 0.95
    short_wait: float = 0.0
    limit_wait: float = 0.0
    reports: bool = True
    burst: float = 0.0
    headroom: float = 1.0  # how many times its limit it can serve
    service: float = 0.45
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def __post_init__(self) -> None:
        self.burst = self.burst or self.rate / 2
        self.tokens, self.filled_at = self.burst, 0.0
        self.free_at, self.held_until = 0.0, list[float]()
        self.arrivals: list[tuple[float, int]] = []  # since it opened, with the number of the dispatcher
        self.observers: set[int] = set()  # dispatchers that were refused while it was shut
        self.served = 0

    def capacity(self, now: float) -> float:
        if now < self.opens:
            return self.rate if now < self.shut_from else 0.0
        return self.rate * min(1.0, START_CAPACITY + (1 - START_CAPACITY) * (now - self.opens) / WARM_TIME)

    def call(self, now: float, dispatcher: int) -> tuple[float, str, float, tuple[float, float] | None]:
        """When a call ends, how, with which wait, and with which report."""
        self.tokens = min(self.burst, self.tokens + self.rate * (now - self.filled_at))
        self.filled_at = now
        fits = self.tokens >= 1
        self.tokens -= fits
        report = (self.tokens / self.burst, self.rate) if self.reports else None
        tells = self.rng.random() < self.told
        if self.shut_from <= now < self.opens:
            self.observers.add(dispatcher)
            wait = self.short_wait or self.opens - now + 0.001
            return now + 0.002, "full", wait if tells else 0.0, report
        if now >= self.opens:
            self.arrivals.append((now, dispatcher))
        self.held_until = [each for each in self.held_until if each > now]
        if not fits or len(self.held_until) >= QUEUE:
            wait = self.limit_wait or (1 - self.tokens) / self.rate + 0.001
            return now + 0.002, "full", wait if tells else 0.0, report
        self.free_at = max(self.free_at, now) + 1 / (self.headroom * self.capacity(now))
        self.held_until.append(self.service + self.free_at)
        self.served += 1
        return self.service + self.free_at, "served", 0.0, report

    def fall(self) -> tuple[float, float]:
        """The highest ratio of calls to what a cold receiver bears in `FALL_TIME`, and when it was.

        Only calls count that came for two thirds and more from dispatchers that had been refused.
        """
        worst, worst_at, steps = 0.0, 0.0, 30
        for place, (at, _) in enumerate(self.arrivals):
            window = [who for when, who in self.arrivals[: place + 1] if when >= at - FALL_TIME]
            since = max(self.opens, at - FALL_TIME)
            middles = [max(since, at - FALL_TIME + (step + 0.5) * FALL_TIME / steps) for step in range(steps)]
            n = TIP_MULTIPLE * sum(self.capacity(middle) for middle in middles) * FALL_TIME / steps
            allowed = n + (3 * sqrt(n) + 3 if n < 30 else 2 * sqrt(n) + 2)
            observed = sum(who in self.observers for who in window)
            if observed > 2 / 3 * len(window) and len(window) / allowed > worst:
                worst, worst_at = len(window) / allowed, at - self.opens
        return worst, worst_at


class Play:
    """Dispatchers that send to one receiver, message after message."""

    def __init__(
        self, receiver: Receiver, dispatchers: int, messages: float, endpoints: int = 1,
        other_routes: int = 0, limits_per_route: bool = True, seed: int = 1, lifetime: float = 16.0,
    ) -> None:  # fmt: skip
        self.receiver, self.messages, self.lifetime = receiver, messages, lifetime
        self.rng = random.Random(seed)
        self.now, self.numbers = 0.0, count()
        self.responses: list[tuple[float, int, float, int, str, str, float, Any]] = []
        self.undelivered = 0
        # Called with the number of a dispatcher and an effect that other processes of it would see.
        self.on_record: Callable[[int, Any], None] = lambda number, effect: None
        names = [f"north/{number}" for number in range(endpoints)]
        self.others = [f"other{number}/1" for number in range(other_routes)]
        self.route_names, self.limits_per_route, self.dispatchers = names, limits_per_route, dispatchers
        self.drivers = [self.new_driver(number, seed) for number in range(dispatchers)]
        self.next_message = 0.0
        self.sweeps: list[tuple[float, int, int]] = []

    def new_driver(self, number: int, seed: int) -> PolicyDriver:
        driver = PolicyDriver(
            seed=seed * 1000 + number, instances=self.dispatchers, slots=48, room=400, max_attempts=8,
            start_capacity=START_CAPACITY, tip_multiple=TIP_MULTIPLE, fall_time=FALL_TIME,
            warm_time=WARM_TIME, listed_rates="rough", connect_timeout=1.0,
        )  # fmt: skip
        driver.update_list(*self.route_names, rate=self.receiver.rate, limits_per_route=self.limits_per_route)
        if self.others:
            driver.update_list(*self.others)
        return driver

    def run(self, until: float) -> None:
        """Play on until a time."""
        while self.now < until:
            self.now += TURN_INTERVAL
            while self.next_message <= self.now:
                self.next_message += self.rng.expovariate(self.messages)
                number = self.rng.randrange(len(self.drivers))
                driver = self.drivers[number]
                driver.now = 100.0 + self.now
                driver.accept(f"m{next(self.numbers)}", "redeliverable", lifetime=self.lifetime)
            while self.responses and self.responses[0][0] <= self.now:
                self.end_call(*heapq.heappop(self.responses))
            for number, driver in enumerate(self.drivers):
                driver.now = 100.0 + self.now
                self.take_turn(number, driver)

    def end_call(
        self, at: float, _: int, since: float, number: int, name: str, result: str, wait: float, report: Any
    ) -> None:
        driver = self.drivers[number]
        if name in driver.attempts:  # else by a process that has ended
            driver.now = 100.0 + self.now
            driver.end_attempt(name, result, requested_wait=wait, rate_report=report, duration=at - since)

    def take_turn(self, number: int, driver: PolicyDriver) -> None:
        driver.lines.clear()
        for effect in driver.policy.turn(driver.now):
            match effect:
                case interface.Attempt(message=message):
                    name = driver.message_names[message]
                    driver.attempts[name] = effect
                    at, result, wait, report = self.receiver.call(self.now, number)
                    call = (at, next(self.numbers), self.now, number, name, result, wait, report)
                    heapq.heappush(self.responses, call)
                case interface.StartTimer(name="sweep"):
                    driver.policy.timer_expired(driver.now, "sweep")
                case interface.Defer() | interface.Bounce():
                    self.undelivered += 1
                case interface.RouteFailed() | interface.RouteRecovered():
                    self.on_record(number, effect)

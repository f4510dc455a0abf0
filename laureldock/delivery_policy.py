"""Every decision of laureldock: which mail goes when, over which route, and what becomes of it.

Calls, types: `laureldock/interface.py`; what is remembered: `laureldock/records.py`; why: `docs/design.md`.

A mail waits in the line of its destination; while the window there has room, the best mail draws one of the
live routes by shares. ROUTE_TABLE leads the routes, MAIL_TABLE leads the mails.
"""

from __future__ import annotations

import heapq
import zlib
from bisect import bisect_left, bisect_right
from collections import deque
from enum import Enum
from itertools import accumulate, count
from math import exp, inf

from laureldock import interface
from laureldock.delivery_state import Call, DestinationState, KeyQueue, MessageState, RouteState
from laureldock.interface import (
    Attempt,
    AttemptResult,
    Message,
    Outcome,
    RepeatSafety,
    Route,
    UndeliveredReason,
)

# A route's circuit breaker: closed (live), open (share nought, for its backoff or a told wait), or on trial.
CircuitState = Enum("CircuitState", "CLOSED OPEN HALF_OPEN")
# RUN: the latest of a run of failures; WAIT: told to wait; UNSENT: the attempt says nothing of the route.
RouteSignal = Enum("RouteSignal", "SERVED FAILED FAILURE_RUN WAIT_REQUESTED TRIAL_STARTED NO_EVIDENCE")
CIRCUIT_TRANSITIONS = {
    (CircuitState.CLOSED, RouteSignal.FAILURE_RUN): (CircuitState.OPEN, "shut"),
    (CircuitState.CLOSED, RouteSignal.WAIT_REQUESTED): (CircuitState.OPEN, ""),
    (CircuitState.OPEN, RouteSignal.TRIAL_STARTED): (CircuitState.HALF_OPEN, ""),
    (CircuitState.HALF_OPEN, RouteSignal.SERVED): (CircuitState.CLOSED, "reopen"),
    (CircuitState.HALF_OPEN, RouteSignal.FAILED): (CircuitState.OPEN, "shut"),
    (CircuitState.HALF_OPEN, RouteSignal.FAILURE_RUN): (CircuitState.OPEN, "shut"),
    (CircuitState.HALF_OPEN, RouteSignal.WAIT_REQUESTED): (CircuitState.OPEN, ""),
    (CircuitState.HALF_OPEN, RouteSignal.NO_EVIDENCE): (CircuitState.OPEN, ""),
}

# A mail waits for its first or a further attempt, has one out, or is done with.
MessageStage = Enum("MessageStage", "WAITING IN_FLIGHT FINISHED")
# AGAIN: another attempt is allowed; SPENT: nothing more may or can be tried; OVER: relayed, or not wanted.
MessageEvent = Enum("MessageEvent", "SENT MAY_RETRY GIVEN_UP COMPLETED")
MESSAGE_TRANSITIONS = {
    (MessageStage.WAITING, MessageEvent.SENT): (MessageStage.IN_FLIGHT, ""),
    (MessageStage.WAITING, MessageEvent.GIVEN_UP): (MessageStage.FINISHED, "answer"),
    (MessageStage.WAITING, MessageEvent.COMPLETED): (MessageStage.FINISHED, "pass_turn"),
    (MessageStage.IN_FLIGHT, MessageEvent.SENT): (MessageStage.IN_FLIGHT, ""),  # a second copy
    (MessageStage.IN_FLIGHT, MessageEvent.MAY_RETRY): (MessageStage.WAITING, "enqueue"),
    (MessageStage.IN_FLIGHT, MessageEvent.GIVEN_UP): (MessageStage.FINISHED, "answer"),
    (MessageStage.IN_FLIGHT, MessageEvent.COMPLETED): (MessageStage.FINISHED, "pass_turn"),
}


class DurationHistogram:
    """Times a route took, in a few coarse bins."""

    # Doubling bins: a factor of two is all that "overdue" needs, from a quick call to the longest lifetime.
    EDGES = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6)

    def __init__(self) -> None:
        self.bins = [0] * (len(self.EDGES) + 1)

    def add(self, took: float) -> None:
        self.bins[bisect_left(self.EDGES, took)] += 1
        if sum(self.bins) >= 64:  # enough for a tenth to be told from none; halved so that old days fade
            self.bins = [count // 2 for count in self.bins]

    def most(self, otherwise: float, part: float = 0.9) -> float:
        """What that part of the calls stays under; `otherwise` while too few are known to say."""
        total, runs = sum(self.bins), accumulate(self.bins)
        edges = (edge for edge, run in zip(self.EDGES, runs, strict=False) if run >= part * total)
        return next(edges, otherwise) if total >= 4 else otherwise


class DeliveryPolicy:
    def __init__(self, tariff: interface.DeliverySettings, now: float) -> None:
        self.seed, self.serial = tariff.seed, count(1)
        self.slots, self.room, self.most_attempts = tariff.slots, tariff.room, tariff.max_attempts
        self.may_probe, self.may_cancel, self.notices = (
            tariff.may_probe,
            tariff.may_cancel,
            tariff.has_notices,
        )
        self.most_retry_after, self.key_rest = tariff.max_retry_after, tariff.key_cooldown_time
        self.connect_time = tariff.connect_timeout or inf
        self.fees, self.handshake, self.near_list = (
            tariff.zone_fees,
            tariff.handshake_cost,
            tariff.list_is_local,
        )
        self.may_copy, self.drain_grace = tariff.may_hedge, tariff.drain_grace
        self.part, self.instances, self.seldom = 1.0 / tariff.instances, tariff.instances, False
        # Even parts of many say little, since most send nothing just now: calls go freely then until one is
        # refused or fails, and have to be earned after that. Of eight, each still sees a fair sample.
        self.many = tariff.instances > 8
        # Between sweeps: short against every pause and target delay; of many, each has little to miss.
        self.tick = 0.1 if self.many else 0.05
        # Under three quarters of the slots for a destination, and half for a sick one: the design's figures.
        self.cap, self.sick_cap = max(1, -(-tariff.slots * 3 // 4) - 1), max(1, tariff.slots // 2)
        self.start, self.warm_time = tariff.start_capacity, tariff.warm_time
        # What a cold route bears, for each call that it takes when warm; the rest is for trials and chance.
        self.cold = 0.6 * tariff.tip_multiple
        self.rate_trust = {"nominal": 1.0, "rough": 2 / 3}.get(
            tariff.listed_rates, 0.0
        )  # may be half too high
        self.known = 0  # routes that are listed as up, of all destinations
        self.destination_states: dict[interface.Destination, DestinationState] = {}
        self.busy: dict[DestinationState, None] = {}  # those with mails that wait: a turn looks at no others
        self.calls: dict[Call, None] = {}  # all that are out
        self.fresh: dict[RouteState, Call] = {}  # those opened in this turn
        self.ends: list[tuple[float, int, MessageState]] = []
        self.terms: dict[interface.QueueClass, interface.Terms] = {}
        self.copies: list[tuple[float, int, MessageState]] = []  # when a second copy is due
        self.key_queues: dict[str, KeyQueue] = {}
        self.others = interface.PeerLoad()  # of this dispatcher, while one hands over to the next
        self.resting: list[tuple[float, int, KeyQueue]] = []
        # Kept as long as receivers keep them; by many shorter where attempts find none: idle ones cost.
        self.idle_time = min(tariff.idle_time or inf, 30.0)
        self.keep = self.idle_time if self.many else 30.0 / tariff.instances
        self.idle, self.tally = (
            deque[tuple[float, RouteState]](),
            DurationHistogram(),
        )  # of all calls, where a route's are few
        self.rest, self.broke = inf, now  # for how long a connection may have rested when one last broke
        self.pending_count, self.ask_backoff, self.asked, self.ticking, self.sends_end_at = (
            0,
            0.0,
            now,
            False,
            inf,
        )
        self.keeps = False  # what waits at the end of the process is left to the next one
        self.sends_held = False  # nothing new is sent now: it could not be recorded
        self.effects: list[interface.Effect] = []
        if tariff.must_fetch_list:
            self.timer_expired(now, "ask")

    def list_updated(self, now: float, routes: list[Route], whole: bool) -> None:
        self.ask_backoff = 0.0
        for route in (
            [route for line in self.destination_states.values() for route in line.route_states]
            if whole
            else routes
        ):
            gone = route.listed_state is not interface.ListedState.UP
            if gone and (lane := self.line(route.destination).route_states.pop(route, None)):
                lane.drained_at, self.known = now, self.known - 1  # nothing new to it; what is out runs on
        for route in routes:
            line = self.line(route.destination)
            if route.listed_state is interface.ListedState.UP and route not in line.route_states:
                line.batch_size = route.kind.batch_size
                route.policy_state = line.route_states[route] = RouteState(
                    route, line, CircuitState.CLOSED, DurationHistogram()
                )
                self.known += 1
        # Where instances outnumber routes, places at receivers are scarce: idle connections close at once, a
        # attempt that never comes up has met a full table, and what was refused is earned.
        self.seldom = self.many and self.instances <= 1.5 * self.known
        self.keep = 0.1 if self.many and not self.seldom else self.keep

    def list_failed(self, now: float) -> None:
        # Doubled from half a second; one near by costs nothing: a quarter apart, soon after a longer silence.
        self.ask_backoff = 0.25 if self.near_list else min(8.0, max(0.5, self.ask_backoff * 2))
        draw, passed = self.chance(), now - self.asked if self.near_list else 0.0
        pause = max(0.1 * draw, self.ask_backoff * (0.75 + 0.5 * draw) - passed)  # a fleet must spread
        self.effects.append(interface.StartTimer(pause, "ask"))

    def message_accepted(self, now: float, mail: Message) -> None:
        kind, line, end = mail.queue_class, self.line(mail.destination), now + mail.time_left
        born, once = end - kind.lifetime, kind.repeat_safety is RepeatSafety.ONCE_ONLY
        # Of a mail that ran in an earlier life, the zone that would know a repeat is not known any more.
        single = once or kind.never_if_may_have_run or (kind.one_zone and mail.age_of_first_run is not None)
        fades = born + kind.target_delay if kind.halves_importance_when_late else end
        terms = mail.terms or self.plain(kind)
        case = mail.policy_state = MessageState(
            mail, line, MessageStage.WAITING, born, end, fades, once, single, terms
        )
        # What an earlier life of this dispatcher tried counts as if this one had.
        case.attempts, case.may_have_run_at = (
            mail.earlier_attempts,
            0.0 if mail.age_of_first_run is None else now - mail.age_of_first_run,
        )
        self.pending_count += not mail.awaits_notice
        for lane in (
            line.route_states.values() if self.many else ()
        ):  # what is not free is earned by what comes in
            self.refill(now, lane)
            lane.credit += self.bears(now, lane) / len(line.route_states)
        heapq.heappush(self.ends, (case.expires_at, next(self.serial), case))
        if kind.in_order and mail.key is not None:
            case.key_queue = turns = self.key_queues.setdefault(mail.key, KeyQueue(mail.key))
            # In the order in which they were accepted, whichever process of this dispatcher did that.
            place = len(turns.messages)
            while (
                place
                and not (before := turns.messages[place - 1]).outstanding
                and mail.accepted_at < before.message.accepted_at
            ):
                place -= 1
            turns.messages.insert(place, case)
            if mail.call_interrupted:
                turns.cooldown_until, turns.cooldown_exempt = (
                    max(turns.cooldown_until, now + self.key_rest),
                    case,
                )
        if mail.awaits_notice:  # its key's next waits for its notice
            case.stage, case.outstanding = MessageStage.FINISHED, 1
        elif case.attempts and not self.may_go(now, case):
            self.step(now, case, MessageEvent.GIVEN_UP)
        elif case.key_queue:
            self.wake(now, case.key_queue)
        else:
            self.enqueue(now, case)

    def attempt_ended(self, now: float, attempt: Attempt, outcome: Outcome) -> None:
        call: Call = attempt.policy_state
        case: MessageState = attempt.message.policy_state
        call.attempts_in_flight -= 1
        if outcome.result in (AttemptResult.SERVED, AttemptResult.ERROR, AttemptResult.REFUSED):
            call.route_state.last_response_at = now
        if not call.attempts_in_flight:
            del self.calls[call], call.route_state.calls[call]
            line, call.route_state.last_call_ended_at = call.route_state.destination_state, now
            self.idle.append((now, call.route_state))
            self.effects.append(interface.StartTimer(self.keep, "idle"))
            line.calls_in_flight, line.overdue_calls = (
                line.calls_in_flight - 1,
                line.overdue_calls - call.overdue,
            )
            # What a mail costs here in time of a slot; a tenth at a time, so that one heavy mail says little.
            took = (now - call.sent_at) / len(call.attempts)
            for each in (line, call.route_state):
                if (
                    outcome.result is AttemptResult.SERVED or took > each.slot_time
                ):  # a quick failure is not cheap
                    each.slot_time += (0.1 if each.slot_time else 1.0) * (took - each.slot_time)
        self.judge(now, call, outcome)
        case.outstanding -= 1
        case.attempts -= not outcome.started  # what never began takes no attempt from its mail
        if case.key_queue and outcome.result in interface.RESULTS_THAT_MAY_STILL_RUN:
            case.key_queue.cooldown_until, case.key_queue.cooldown_exempt = now + self.key_rest, case
        if not case.may_have_run_at and outcome.result not in (
            AttemptResult.REFUSED,
            AttemptResult.NO_CONNECTION,
            AttemptResult.MOOT,
        ):
            case.may_have_run_at = call.sent_at
        if not case.may_have_run_at and not case.outstanding:
            case.bound_zone = None  # it never ran: any zone will do
        if case.stage is MessageStage.FINISHED:
            self.pass_turn(now, case)
        elif not case.outstanding or outcome.finished:  # else its other copy is still out
            self.call_off(case)
            further = MessageEvent.MAY_RETRY if self.may_go(now, case) else MessageEvent.GIVEN_UP
            self.step(now, case, MessageEvent.COMPLETED if outcome.finished else further)

    def probe_ended(self, now: float, route: Route, outcome: Outcome) -> None:
        lane: RouteState | None = route.policy_state
        if lane and lane.circuit is CircuitState.HALF_OPEN:
            self.sign(now, lane, self.reading(now, lane, outcome))

    def note_received(self, now: float, peer: int, data: bytes) -> None:
        """Notes of peers are not used: they may be lost, and every rule can be kept alone."""

    def timer_expired(self, now: float, name: str) -> None:
        self.ticking = self.ticking and name != "sweep"
        if name == "ask":
            # 6 s after it fell silent, what a watch misses counts as told; a fifth is within a drain's grace.
            self.asked = now
            self.effects.append(interface.FetchList(watch=True, max_wait=2.0, timeout=0.2))

    def message_withdrawn(self, now: float, mail: Message) -> None:
        if mail.policy_state.stage is not MessageStage.FINISHED:
            self.step(now, mail.policy_state, MessageEvent.COMPLETED)

    def notice_acknowledged(self, now: float, mail: Message) -> None:
        mail.policy_state.outstanding -= 1
        self.pass_turn(now, mail.policy_state)

    def may_start(self, now: float, attempt: Attempt) -> bool:
        """The one guard of all that is sent, first or not, once its connection is up."""
        lane, case = attempt.policy_state.route_state, attempt.message.policy_state
        listed = (
            attempt.route.listed_state is interface.ListedState.UP
            or now <= lane.drained_at + self.drain_grace
        )
        open_now = listed and max(lane.no_sends_until, lane.destination_state.wait_until) <= now
        room = len(self.calls) + self.others.calls_in_flight <= self.slots and self.shared_windows_hold(lane)
        return open_now and room and self.may_go(now, case) and self.has_turn(now, case)

    def begin_shutdown(self, now: float, left: float, keeps: bool = False) -> None:
        """`keeps`: the next process takes over what waits when this one ends."""
        self.sends_end_at = (
            now + left / 2
        )  # what is sent by then has as long again to end; others take the rest
        self.keeps = keeps

    def hold_sends(self, now: float, hold: bool) -> None:
        """Nothing new is sent while what is sent cannot be recorded; what waits keeps its attempts."""
        self.sends_held = hold

    def update_settings(self, now: float, tariff: interface.DeliverySettings) -> None:
        """Other settings from now on: the limits on attempts and waits bind every mail from here."""
        self.most_attempts, self.most_retry_after = tariff.max_attempts, tariff.max_retry_after
        self.terms.clear()  # those of classes that are gone go with them; the mails that wait keep theirs

    def update_peer_load(self, now: float, others: interface.PeerLoad) -> None:
        """Processes of a dispatcher are one to rules and limits: they share parts, slots, room and turns."""
        before, self.others = self.others, others
        self.part = 1.0 / (self.instances * (1 + others.processes))
        for key in before.first_accepted_at:
            if (turns := self.key_queues.get(key)) is not None:
                self.wake(now, turns)

    def cool_down_key(self, now: float, key: str, until: float) -> None:
        """Another process, or an earlier life, had a call of that key broken: it may still run."""
        turns = self.key_queues.setdefault(key, KeyQueue(key))
        if until > turns.cooldown_until:
            turns.cooldown_until, turns.cooldown_exempt = until, None
        self.wake(now, turns)

    def route_failed_elsewhere(self, now: float, route: Route, at: float) -> None:
        """Another process, or an earlier life, saw it fail at that time: a trial opens it here, too."""
        lane: RouteState | None = route.policy_state
        if lane and lane.circuit is CircuitState.CLOSED:
            lane.circuit, lane.first_failed_at = CircuitState.OPEN, lane.first_failed_at or at
            lane.failure_rate = max(
                lane.failure_rate, 0.9
            )  # still failing after a served trial, and so cold then
            self.hold_off(at, lane)

    def route_recovered_elsewhere(self, now: float, route: Route, back_at: float) -> None:
        """Another process had it served again; it is cold from `back_at` on."""
        if lane := route.policy_state:
            if back_at > lane.recovered_at:
                lane.recovered_at, lane.credit = back_at, 0.0
            if lane.circuit is CircuitState.OPEN and lane.wait_until <= now:
                lane.circuit, lane.backoff_until, lane.failure_rate = (
                    CircuitState.CLOSED,
                    0.0,
                    min(0.4, lane.failure_rate),
                )

    def route_requested_wait(self, now: float, route: Route, wait: float) -> None:
        """By a call of this process, or of another one of this dispatcher that hands over."""
        if lane := route.policy_state:
            bound = lane if route.kind.limits_per_route else lane.destination_state
            bound.wait_until = max(bound.wait_until, now + wait)

    @property
    def full(self) -> bool:
        """Whether no slot is free; a process that ends leaves half of them to the one that takes over."""
        half = self.others.processes > 0 and self.sends_end_at < inf
        most = max(1, self.slots // 2) if half else self.slots
        return len(self.calls) >= min(most, self.slots - self.others.calls_in_flight)

    def shared_windows_hold(self, lane: RouteState, more: int = 0) -> bool:
        """Whether operators' windows hold the calls of all processes, and so many more of this one."""
        line, calls_to = lane.destination_state, self.others.calls_by_route
        if not calls_to:
            return True
        to_route = len(lane.calls) + calls_to.get(lane.route.name, 0)
        to_owner = line.calls_in_flight + sum(calls_to.get(route.name, 0) for route in line.route_states)
        return to_route + more <= lane.route.window and to_owner + more <= line.destination.window

    def excluded_routes(self, now: float) -> int:
        """Routes listed as up that get no share now: shut, on trial, or told to wait."""
        lanes = (lane for line in self.destination_states.values() for lane in line.route_states.values())
        return sum(lane.circuit is not CircuitState.CLOSED or lane.no_sends_until > now for lane in lanes)

    def turn(self, now: float) -> list[interface.Effect]:
        self.overdue(now)
        while self.idle and self.idle[0][0] <= now - self.keep:
            used, lane = self.idle.popleft()
            if lane.last_call_ended_at == used:
                self.effects.append(interface.CloseIdleConnections(lane.route))
        while self.resting and self.resting[0][0] <= now:
            self.wake(now, heapq.heappop(self.resting)[2])
        # Guards memory against mails that are over long before their lifetime: at most as many as are held.
        if len(self.ends) > 2 * self.pending_count + 64:
            self.ends = [each for each in self.ends if each[2].stage is not MessageStage.FINISHED]
            heapq.heapify(self.ends)
        gives_up = now >= self.sends_end_at and not self.keeps
        while self.ends and (gives_up or self.ends[0][0] <= now + self.tick):
            case = heapq.heappop(self.ends)[2]
            if case.stage is MessageStage.WAITING:
                self.step(now, case, MessageEvent.GIVEN_UP)
        self.send(now)
        while self.copies and self.copies[0][0] <= now:
            self.copy(now, heapq.heappop(self.copies)[2])
        self.make_room(now)
        if self.pending_count and not self.ticking:
            self.effects.append(interface.StartTimer(self.tick, "sweep"))
            self.ticking = True
        effects, self.effects = self.effects, []
        return effects

    def reading(self, now: float, lane: RouteState, outcome: Outcome) -> RouteSignal:
        """What an outcome says of its route."""
        self.refill(now, lane)
        if outcome.advertised_rate is not None:
            lane.advertised_rate, lane.advertised_left = outcome.advertised_rate, outcome.advertised_left
        if outcome.requested_wait:  # binds whatever else the call was: a late answer, or one beside a trial
            self.route_requested_wait(now, lane.route, outcome.requested_wait)
        if outcome.result in (AttemptResult.MOOT, AttemptResult.CANCELLED):
            return RouteSignal.NO_EVIDENCE
        # Guards against connections closed at rest, unseen until their next call; sooner it is chance.
        if outcome.result is AttemptResult.RESET and outcome.connection_idle_time > 0.1:
            self.rest, self.broke = max(0.1, 0.75 * outcome.connection_idle_time), now
            return RouteSignal.NO_EVIDENCE
        good = outcome.result is AttemptResult.SERVED
        if (
            self.seldom
            and outcome.result is AttemptResult.NO_CONNECTION
            and lane.circuit is CircuitState.CLOSED
        ):
            self.keep = max(0.1, 0.25 * self.keep)  # grown slowly: a full table costs one in a hundred
        elif good:
            self.keep = min(self.idle_time, 1.01 * self.keep) if self.seldom else self.keep
            lane.first_refused_at = lane.destination_state.first_refused_at = 0.0
            lane.refusal_backoff, lane.destination_state.refusal_backoff = (
                0.8 * lane.refusal_backoff,
                0.8 * lane.destination_state.refusal_backoff,
            )
        used_up = (
            outcome.result is AttemptResult.REFUSED and lane.advertised_rate and lane.advertised_left < 0.5
        )
        never = outcome.result is AttemptResult.NO_CONNECTION and outcome.duration > 0.9 * self.connect_time
        silent = self.seldom and (never or outcome.result is AttemptResult.TIMEOUT)
        if silent:
            rest = self.apart(now - (lane.first_failed_at or now), self.rate(lane), 4.0)
            lane.backoff_until = max(lane.backoff_until, now + rest * (0.5 + self.chance()))
        elif outcome.result is AttemptResult.NO_CONNECTION and self.many:
            # It used up no limit, and idle connections of the others soon give way: a moment, each its own.
            lane.wait_until = max(lane.wait_until, now + 0.1 + 0.2 * self.chance())
        elif self.seldom and outcome.result is AttemptResult.REFUSED:
            # What one seldom meets teaches no part of its limit: each comes again after a rest of its own.
            bound = lane if lane.route.kind.limits_per_route else lane.destination_state
            bound.first_refused_at = bound.first_refused_at or now
            rate = self.rate(lane) * (
                1 if lane.route.kind.limits_per_route else len(lane.destination_state.route_states)
            )
            even = 1 / (rate * self.part) if rate else 2.0
            bound.refusal_backoff = min(max(4.0, 3 * bound.refusal_backoff), max(1.0, 2 * even))
            rest = max(bound.refusal_backoff, self.apart(now - bound.first_refused_at, rate)) * (
                0.5 + self.chance()
            )
            if (
                outcome.requested_wait > rest
            ):  # shut: it tells all that it turns away the same end, and is cold then
                rest = (
                    outcome.requested_wait
                    + self.apart(now + outcome.requested_wait - bound.first_refused_at, rate) * self.chance()
                )
                for each in (
                    (lane,)
                    if lane.route.kind.limits_per_route
                    else lane.destination_state.route_states.values()
                ):
                    each.recovered_at = now + rest
                    self.effects.append(interface.RouteRecovered(each.route, each.recovered_at))
            bound.wait_until = max(bound.wait_until, now + rest)
            lane.rate_factor = max(0.1, 0.5 * lane.rate_factor)
            lane.credit = min(0.0, lane.credit) + 0.5 - self.chance()
        elif not good:
            # Take less, down to a tenth: where refused calls use up a limit too, instances that each keep to
            # their part can hold it at nothing. Half a call more or less, lest all come again at once.
            lane.rate_factor = max(0.1, lane.rate_factor * (0.4 if self.many else 0.7 if used_up else 0.9))
            if used_up or self.many:
                lane.credit = min(0.0, lane.credit) + 0.5 - self.chance()
        elif lane.advertised_left > 0.5:
            # Others leave much of the limit: take more of it, up to the own part fast.
            lane.rate_factor = min(1 / self.part, lane.rate_factor * (1.25 if lane.rate_factor < 1 else 1.05))
        table = (
            outcome.result is AttemptResult.NO_CONNECTION and lane.last_response_at > now - outcome.duration
        )
        if not used_up and not table:  # a limit used up, or connections beside answered calls, is no outage
            quiet = (
                silent if self.seldom else outcome.result is AttemptResult.TIMEOUT and self.quiet(now, lane)
            )
            lane.failure_rate += (0.5 if quiet else 0.3) * (
                (0.0 if good else 1.0) - lane.failure_rate
            )  # two silent must do
        if not good:
            lane.first_failed_at = lane.first_failed_at or now
            lane.first_outage_at = lane.first_outage_at or (
                0.0 if table or outcome.result is AttemptResult.REFUSED else now
            )
        elif lane.circuit is CircuitState.CLOSED:
            held = lane.backoff_until > lane.first_outage_at and lane.destination_state.queue_length > len(
                lane.destination_state.route_states
            )  # behind a silent route
            if (
                self.many
                and 0 < lane.first_outage_at < now - 1
                and (held if self.seldom else lane.failure_rate > 0.2)
            ):  # cold
                lane.recovered_at, lane.credit = now, 0.0
                self.effects.append(interface.RouteRecovered(lane.route, now))
            lane.first_failed_at = lane.first_outage_at = 0.0
        bad = (
            RouteSignal.WAIT_REQUESTED
            if outcome.requested_wait
            else RouteSignal.FAILURE_RUN
            if self.failing(lane)
            else RouteSignal.FAILED
        )
        return RouteSignal.SERVED if good else bad

    def failing(self, lane: RouteState) -> bool:
        return (
            lane.failure_rate > 0.6
        )  # three in a row, or most of the last few; a tenth of chance errors never is

    def judge(self, now: float, call: Call, outcome: Outcome) -> None:
        """The first outcome of a call speaks for its route and for the destination's window."""
        lane, line = call.route_state, call.route_state.destination_state
        if outcome.result is AttemptResult.SERVED:
            lane.durations.add(outcome.duration)
            self.tally.add(outcome.duration)
        if call.evaluated and not outcome.requested_wait:
            # Slow is not silent: an answer takes back what its own lateness said, if that failed first.
            if (
                call.overdue
                and outcome.result is AttemptResult.SERVED
                and lane.first_failed_at >= call.sent_at
            ):
                lane.backoff_until, lane.first_failed_at, lane.first_outage_at, lane.failure_rate = (
                    0.0,
                    0.0,
                    0.0,
                    min(0.3, lane.failure_rate),
                )
            return
        call.evaluated = True
        sign = self.reading(now, lane, outcome)
        if sign is RouteSignal.SERVED:
            line.window = min(self.cap, line.destination.window, line.window + 1)
        elif sign is not RouteSignal.NO_EVIDENCE and call.sent_at >= line.window_halved_at:
            line.window, line.window_halved_at = max(1.0, line.window / 2), now
        if call.trial or lane.circuit is not CircuitState.HALF_OPEN:
            self.sign(now, lane, sign)

    def sign(self, now: float, lane: RouteState, sign: RouteSignal) -> None:
        if (lane.circuit, sign) in CIRCUIT_TRANSITIONS:
            lane.circuit, effect = CIRCUIT_TRANSITIONS[lane.circuit, sign]
            if effect:
                getattr(self, effect)(now, lane)

    def shut(self, now: float, lane: RouteState) -> None:
        self.effects.append(interface.RouteFailed(lane.route))
        self.hold_off(now, lane)

    def hold_off(self, now: float, lane: RouteState) -> None:
        # Half a second, growing by half up to two; of many, up to what all may send to a cold route together.
        cold = self.rate(lane) * self.part * self.cold * self.start
        most = 1 / cold if cold and self.many and not self.seldom else 2.0
        others = self.apart(now - (lane.first_failed_at or now), self.rate(lane), 2.0) if self.seldom else 0.0
        lane.trial_backoff, lane.opened_by_failures = (
            max(0.5, min(most, lane.trial_backoff * 1.5), others),
            self.failing(lane),
        )
        lane.backoff_until = max(lane.backoff_until, now + lane.trial_backoff * (0.75 + 0.5 * self.chance()))

    def apart(self, since: float, rate: float, clump: float = 0.0) -> float:
        """Seconds between the calls of one that was failed for so long, beside others that were, too.

        Those that saw it fail, as many as met it since, must not be the greater part of what it gets then:
        they come as often, together, as those that did not. Once all did, they send what a cold route bears.
        """
        own, cold = rate * self.part, self.cold * self.start
        seen = min(1.0, own * since)
        # A clump of so many seconds' worth may have run into it, each sender of it at about the same time.
        least = max(2 * since / (1 - seen) if seen < 1 else inf, clump / cold)
        return min(least, 1 / (own * cold) if own else 0.0)

    def reopen(self, now: float, lane: RouteState) -> None:
        # An outage, not a mere wait. The trial that is served says nothing of what was: weighed with it,
        # outages of under three seconds passed for none. Of many, a full table of connections is none.
        cold = (
            self.failing(lane)
            if self.many and not self.seldom
            else lane.opened_by_failures or lane.first_outage_at > 0
        )
        lane.opened_by_failures = lane.opened_by_failures and self.seldom
        if cold:
            lane.recovered_at = now
        self.effects.append(interface.RouteRecovered(lane.route, now if cold else 0.0))
        lane.first_failed_at = lane.first_outage_at = lane.trial_backoff = lane.credit = 0.0
        lane.failure_rate = min(0.4, lane.failure_rate)

    def slow_start(self, now: float, lane: RouteState) -> float:
        """The part of its capacity that a route has at least."""
        return min(1.0, self.start + (1 - self.start) * max(0.0, now - lane.recovered_at) / self.warm_time)

    def bears(self, now: float, lane: RouteState) -> float:
        """The part of what comes in for a route that may go to it."""
        slow_start = self.slow_start(now, lane)
        return lane.rate_factor if slow_start == 1 else min(lane.rate_factor, self.cold * slow_start)

    def rate(self, lane: RouteState) -> float:
        """Calls a second that the route takes from all instances, as far as known; nought if unknown."""
        parts = 1 if lane.route.kind.limits_per_route else len(lane.destination_state.route_states)
        return lane.advertised_rate or lane.route.listed_rate * self.rate_trust / max(1, parts)

    def share(self, now: float, lane: RouteState, rate: float) -> float:
        # Guards mails against a route gone silent: while it owes an answer that is due, it hardly gets any.
        silence = 0.1 if self.quiet(now, lane) else 1.0
        # Guards slots, while few are free, against routes that hold them long: half the time, fourfold share.
        scarce = lane.slot_time and 4 * len(self.calls) > 3 * self.slots
        thrift = (lane.destination_state.slot_time / lane.slot_time) ** 2 if scarce else 1.0
        # What costs a twentieth of a mail more, in fees or for a handshake, gets two fifths of the share.
        new = lane.calls or now - lane.last_call_ended_at > self.keep
        cost = self.fees.get(lane.route.zone, 0.0) + (self.handshake if new and self.seldom else 0.0)
        return (
            rate
            * min(1.0, lane.rate_factor)
            * self.slow_start(now, lane)
            * silence
            * thrift
            * exp(-20 * cost)
        )

    def quiet(self, now: float, lane: RouteState) -> bool:
        """Whether it owes an answer past what nine in ten take (a third of the limit), with none since."""
        return any(
            now - call.sent_at > call.overdue_after / 3
            for call in lane.calls
            if lane.last_response_at < call.sent_at
        )

    def refill(self, now: float, lane: RouteState) -> None:
        """One budget of calls keeps this instance to its part of a limit, and of what a cold route bears."""
        if lane.rate_factor < 1:  # ten seconds undo any shrinking; a hundred of many, where no room was told
            slow = self.many and not (lane.advertised_rate and lane.advertised_left > 0.5)
            grow = 0.1 if not slow else 0.035 if self.seldom else 0.01
            lane.rate_factor = min(1.0, lane.rate_factor + grow * (now - lane.refilled_at))
        if lane.circuit is CircuitState.CLOSED:
            lane.failure_rate *= 0.8 ** (now - lane.refilled_at)
        fill = self.rate(lane) * self.part * self.bears(now, lane)
        free = self.slow_start(now, lane) == 1 and (
            lane.rate_factor >= 1 if self.many else lane.advertised_rate == 0
        )
        if free or not fill:
            paced = self.many and lane.recovered_at > -inf and fill  # no one sends more than all of its rate
            lane.credit = min(1.0, lane.credit + self.rate(lane) * (now - lane.refilled_at)) if paced else 1.0
        else:
            lane.credit = min(max(1.0, fill * 0.5), lane.credit + fill * (now - lane.refilled_at))
        lane.refilled_at = now

    def overdue(self, now: float) -> None:
        """A call that takes far longer than usual speaks before its time-out does, and may lose its slot."""
        full = self.full
        for call in self.calls:
            # With all slots taken, twice what nine in ten stay under must do for a call of one mail.
            soon = full and len(call.attempts) == 1 and not call.once_only
            if not call.evaluated and now - call.sent_at > call.overdue_after * (0.6 if soon else 1):
                self.judge(now, call, Outcome(AttemptResult.TIMEOUT, now - call.sent_at))
                call.overdue, call.route_state.destination_state.overdue_calls = (
                    True,
                    call.route_state.destination_state.overdue_calls + 1,
                )
        # Guards slots and keys against silence: an overdue call gives way when all slots are taken (that of a
        # once-only mail at twice its limit), and at once where its route went to nought in silence.
        stuck = [call for call in self.calls if call.overdue]
        for call in stuck if self.may_cancel else []:
            lost = (
                call.route_state.circuit is not CircuitState.CLOSED
                and call.route_state.last_response_at < call.sent_at
                and not call.once_only
            )
            far = not call.once_only or now - call.sent_at > 2 * call.overdue_after
            if (
                lost
                or (full and far)
                or call.route_state.destination_state.overdue_calls > max(1, self.sick_cap // 2)
            ):
                call.overdue, call.route_state.destination_state.overdue_calls = (
                    False,
                    call.route_state.destination_state.overdue_calls - 1,
                )
                self.effects += [
                    interface.Cancel(attempt)
                    for attempt in call.attempts
                    if attempt.message.policy_state.outstanding
                ]
                break

    def step(self, now: float, case: MessageState, step: MessageEvent) -> None:
        case.stage, effect = MESSAGE_TRANSITIONS[case.stage, step]
        self.pending_count -= case.stage is MessageStage.FINISHED
        if case.queued:
            case.destination_state.queue_length, case.queued = case.destination_state.queue_length - 1, False
            if not case.destination_state.queue_length:
                del self.busy[case.destination_state]
        if effect:
            getattr(self, effect)(now, case)

    def enqueue(self, now: float, case: MessageState) -> None:
        if case.key_queue and not self.has_turn(now, case):
            self.wake(now, case.key_queue)
            return
        case.destination_state.queue_length, case.queued = case.destination_state.queue_length + 1, True
        self.busy[case.destination_state] = None
        due = case.may_have_run_at + case.message.queue_class.tag_memory_time - 0.02
        if case.may_have_run_at and due < case.expires_at:  # nobody waits for what may not be sent again
            heapq.heappush(self.ends, (due, next(self.serial), case))
        self.waiters(case).append(case)

    def answer(self, now: float, case: MessageState) -> None:
        wait = (
            max(0.0, min(case.terms.max_retry_after, case.expires_at - now))
            if now < self.sends_end_at
            else 0.0
        )
        final = case.may_have_run_at and (case.never_repeated or case.bound_zone is not None)
        reason = UndeliveredReason.MAY_HAVE_RUN if final else case.reason or self.reason(now, case)
        self.effects.append(
            interface.Bounce(case.message, reason) if final else interface.Defer(case.message, reason, wait)
        )
        case.outstanding += self.notices  # it is not over before its notice is
        self.pass_turn(now, case)

    def reason(self, now: float, case: MessageState) -> UndeliveredReason:
        """Why nothing more is sent for a mail."""
        if case.expires_at <= now + self.tick:
            return UndeliveredReason.LIFETIME_OVER
        if (
            case.may_have_run_at
            and now > case.may_have_run_at + case.message.queue_class.tag_memory_time - 0.02 - self.tick
        ):
            return UndeliveredReason.TAG_MAY_BE_FORGOTTEN
        return UndeliveredReason.STOPPING if now >= self.sends_end_at else UndeliveredReason.NO_ATTEMPT_LEFT

    def pass_turn(self, now: float, case: MessageState) -> None:  # once it is over and has nothing out
        if case.key_queue and not case.outstanding:
            case.key_queue.messages.remove(case)
            self.wake(now, case.key_queue)

    def wake(self, now: float, turns: KeyQueue) -> None:
        """Let the first message of a key go on, if it may; else it is looked at again when that changes."""
        head = turns.messages[0] if turns.messages else None
        if turns.cooldown_until > now and (head is None or head is not turns.cooldown_exempt):
            heapq.heappush(self.resting, (turns.cooldown_until, next(self.serial), turns))
        elif head is None:
            if self.key_queues.get(turns.key) is turns:  # else others have come of that key since
                del self.key_queues[turns.key]
        elif head.stage is MessageStage.WAITING and not head.queued and self.has_turn(now, head):
            self.enqueue(now, head)

    def has_turn(self, now: float, case: MessageState) -> bool:
        """Whether its key does not rest, and no message of it accepted before is owed, here or there."""
        if (turns := case.key_queue) is None:
            return True
        first_there = self.others.first_accepted_at.get(turns.key, inf)
        rests = turns.cooldown_until > now and turns.cooldown_exempt is not case
        is_first = bool(turns.messages) and turns.messages[0] is case
        return is_first and case.message.accepted_at <= first_there and not rests

    def may_go(self, now: float, case: MessageState) -> bool:
        """Whether a further attempt is allowed, and can still be of use."""
        # Tagged mails, as long as they are remembered, less the rounding of clocks; once-only, never.
        memory = -inf if case.never_repeated else case.message.queue_class.tag_memory_time - 0.02
        outside = case.may_have_run_at and now > case.may_have_run_at + memory
        most = min(self.most_attempts, case.terms.max_attempts)
        spent = case.stage is MessageStage.FINISHED or case.attempts - case.outstanding >= most
        return not outside and not spent and case.expires_at > now + self.tick

    def send(self, now: float) -> None:
        self.fresh.clear()
        ready: list[tuple[float, int, DestinationState, MessageState]] = []
        aside: list[MessageState] = []
        may = not self.full and now < self.sends_end_at and not self.sends_held
        misses = [0] * len(self.busy)
        for place, line in enumerate(list(self.busy) if may else []):
            if now >= line.wait_until:
                for each in line.route_states.values():
                    self.refill(now, each)
                self.try_routes(now, line)
                if line.calls_in_flight - line.overdue_calls < int(line.window) and (
                    case := self.best(now, line)
                ):
                    heapq.heappush(ready, (-self.urgency(now, case), place, line, case))
        while ready:
            _, place, line, case = heapq.heappop(ready)
            lane = self.draw(now, case) if not self.full or line.batch_size > 1 else None
            if lane and case.expires_at - now < lane.durations.most(0.0, 0.25):
                case.reason = UndeliveredReason.NO_CALL_IN_TIME  # not one call in four would come in time
                self.step(now, case, MessageEvent.GIVEN_UP)
            elif not lane or not self.has_turn(now, case) or not self.dispatch(now, case, lane):
                aside.append(case)
                misses[place] += 1
            # Enough tries for a line to fill the calls that it opened in this turn.
            if misses[place] <= 2 + line.batch_size and (following := self.best(now, line)):
                heapq.heappush(ready, (-self.urgency(now, following), place, line, following))
        for case in reversed(aside):
            self.waiters(case).appendleft(case)

    def best(self, now: float, line: DestinationState) -> MessageState | None:
        """Takes the next mail off a line: first attempts, then further ones, then what came too late."""
        best: deque[MessageState] | None = None
        steady = any(lane.failure_rate <= 0.2 for lane in line.route_states.values())
        for cases in line.first_attempts.values():
            # Those whose importance fades fast now let the punctual go first.
            while cases and (cases[0].stage is not MessageStage.WAITING or now > cases[0].fades_at):
                line.late.append(cases.popleft())
                while line.late and line.late[0].stage is not MessageStage.WAITING:
                    line.late.popleft()
            may = cases and (steady or not cases[0].once_only)
            if may and (not best or self.urgency(now, cases[0]) > self.urgency(now, best[0])):
                best = cases
        if best:
            return best.popleft()
        for rest in (line.retries, line.late):
            while rest:
                case = rest.popleft() if rest is line.retries else rest.pop()
                if self.may_go(now, case):
                    return case
                if case.stage is MessageStage.WAITING:
                    self.step(now, case, MessageEvent.GIVEN_UP)
        return None

    def waiters(self, case: MessageState) -> deque[MessageState]:
        """Further attempts wait in a line of their own, first attempts in one for each sort of mail."""
        sort = case.message.queue_class
        return (
            case.destination_state.retries
            if case.attempts
            else case.destination_state.first_attempts.setdefault(sort, deque())
        )

    def urgency(self, now: float, case: MessageState) -> float:
        # Importance, growing with age so that no queue class starves; half at birth keeps classes apart. For
        # each second of a slot, lest receivers that are slow to answer take the slots of those that are not.
        age = max(0.0, now - case.handed_in_at) / case.message.queue_class.target_delay
        return case.terms.importance * (0.5 + age) / (0.1 + case.destination_state.slot_time)

    def draw(self, now: float, case: MessageState) -> RouteState | None:
        """The ordinary path: a weighted random draw over the live routes."""
        # Guards what cannot be tried anew: two served calls or five quiet seconds make a route steady.
        fit = (lane for lane in case.destination_state.route_states.values() if self.fits(case, lane))
        live = (lane for lane in fit if lane.circuit is CircuitState.CLOSED and lane.no_sends_until <= now)
        free = (lane for lane in live if lane.credit >= 1 or lane in self.fresh)
        lanes = [lane for lane in free if len(lane.calls) < lane.route.window or lane in self.fresh]
        if len(lanes) > 1 and case.last_route_state in lanes:
            lanes.remove(case.last_route_state)  # a further attempt goes elsewhere where it can
        # Guards routes of which no rate is known against one that told its own: they start as its equals.
        rates = [self.rate(lane) for lane in lanes]
        known = [rate for rate in rates if rate]
        equal = sum(known) / len(known) if known else 1.0
        shares = (self.share(now, lane, rate or equal) for lane, rate in zip(lanes, rates, strict=True))
        sums = list(accumulate(shares))
        return lanes[bisect_right(sums, self.chance() * sums[-1])] if lanes else None

    def fits(self, case: MessageState, lane: RouteState) -> bool:
        return (lane.failure_rate <= 0.2 or not case.once_only) and case.bound_zone in (None, lane.route.zone)

    def alone(self, case: MessageState, lane: RouteState) -> bool:
        """Whether a mail that may have run there could go again over no other route."""
        live = (
            each
            for each in case.destination_state.route_states.values()
            if each.circuit is CircuitState.CLOSED and each is not lane
        )
        return case.message.queue_class.one_zone and all(each.route.zone != lane.route.zone for each in live)

    def dispatch(self, now: float, case: MessageState, lane: RouteState, trial: bool = False) -> bool:
        """Send a mail over a route, in a call of this turn or a new one, if limits leave room."""
        call, line = self.fresh.get(lane), case.destination_state
        # What operators set stands instead of what was learned; it is held against the rules at load.
        told = lane.route.timeouts.get(case.message.queue_class, 0.0)
        if call is None or call.attempts_in_flight >= lane.route.kind.batch_size:
            sick = any(
                other.failure_rate > 0.3 or other.circuit is not CircuitState.CLOSED
                for other in line.route_states.values()
            )
            most = max(1, (self.sick_cap if sick else self.cap) // (1 + self.others.processes))
            crowded = self.full or line.calls_in_flight >= most or not self.shared_windows_hold(lane, 1)
            # Overdue calls leave the window, lest a few silent ones shut a destination for a queue lifetime.
            if crowded or (
                not trial
                and (line.calls_in_flight - line.overdue_calls >= int(line.window) or lane.credit < 1)
            ):
                return False
            # Late for all but the odd heavy mail: thrice what nine in ten take, or twice the target delay.
            target = case.message.queue_class.target_delay
            usual = lane.durations.most(self.tally.most(target / 2, 0.95) if self.seldom else target / 2)
            limit = told or min(2 * target, max(0.4, 3 * usual))
            call = self.fresh[lane] = Call(lane, now, limit, trial, case.once_only or self.alone(case, lane))
            self.calls[call] = lane.calls[call] = None
            line.calls_in_flight += 1
            lane.credit -= 1
        else:
            # A further mail is more work, though no further call. Weighed a little, and fully when cold.
            lane.credit -= 0.08 if self.slow_start(now, lane) == 1 else 0.25
        patience = told or min(
            case.message.queue_class.tag_memory_time / 2, call.overdue_after * 2 ** (1 + case.attempts)
        )
        patience = (
            inf if call.once_only and not told else call.overdue_after if trial and not told else patience
        )
        time_out = min(case.expires_at - now, patience)
        case.attempts, case.outstanding, case.last_route_state = case.attempts + 1, case.outstanding + 1, lane
        case.bound_zone = lane.route.zone if case.message.queue_class.one_zone else None
        call.attempts_in_flight += 1
        self.step(now, case, MessageEvent.SENT)
        hedged = (
            self.may_copy
            and case.terms.max_copies > case.outstanding
            and not case.never_repeated
            and not case.key_queue
        )
        if hedged and case.terms.copy_after < case.message.queue_class.tag_memory_time:
            heapq.heappush(self.copies, (now + case.terms.copy_after, next(self.serial), case))
        rest = (
            self.rest + (now - self.broke) / 20 if case.never_repeated else inf
        )  # others are soon tried anew
        call.attempts.append(Attempt(case.message, lane.route, time_out, call, rest))
        self.effects.append(call.attempts[-1])
        return True

    def copy(self, now: float, case: MessageState) -> None:
        """A second copy, where the first is slow: over another route, while slots are not short."""
        most = min(self.most_attempts, case.terms.max_attempts)  # those that are out count too
        spare = (
            2 * (len(self.calls) + self.others.calls_in_flight) < self.slots
            and case.outstanding < case.terms.max_copies
            and now < self.sends_end_at
        )
        may = case.attempts < most and now >= case.destination_state.wait_until and self.may_go(now, case)
        may = may and not self.sends_held
        if case.stage is MessageStage.IN_FLIGHT and spare and may:
            lane = self.draw(now, case)
            if lane and lane is not case.last_route_state:
                self.dispatch(now, case, lane)

    def call_off(self, case: MessageState) -> None:
        """Copies of a mail that is over."""
        for call in self.calls if case.outstanding and self.may_cancel else ():
            self.effects += [
                interface.Cancel(attempt) for attempt in call.attempts if attempt.message is case.message
            ]

    def try_routes(self, now: float, line: DestinationState) -> None:
        """One trial for each route at nought, of a mail that can bear failing where there is one."""
        for lane in line.route_states.values():
            rests = now < lane.no_sends_until or (lane.credit < 1 and not self.failing(lane))
            if lane.circuit is not CircuitState.OPEN or rests:
                continue
            if sum(call.trial for call in self.calls) >= max(
                1, self.slots // 4 // (1 + self.others.processes)
            ):
                return  # many silent routes would take all slots for trials
            case = self.bearer(now, line, lane)
            if case and not self.dispatch(now, case, lane, trial=True):
                self.waiters(case).appendleft(case)
            elif case or self.may_probe:
                if case is None:
                    self.effects.append(interface.Probe(lane.route, 2.0))  # as long as the longest pause
                self.sign(now, lane, RouteSignal.TRIAL_STARTED)

    def bearer(self, now: float, line: DestinationState, lane: RouteState) -> MessageState | None:
        """A mail that can bear failing; a once-only one where there is neither a better one nor a probe."""
        lists = (line.retries, *line.first_attempts.values())
        heads = [cases for cases in lists if cases and self.may_go(now, cases[0])]
        heads = [cases for cases in heads if cases[0].bound_zone in (None, lane.route.zone)]
        heads = [cases for cases in heads if self.has_turn(now, cases[0])]
        heads.sort(key=lambda cases: list(RepeatSafety).index(cases[0].message.queue_class.repeat_safety))
        return heads[0].popleft() if heads and not (self.may_probe and heads[0][0].once_only) else None

    def make_room(self, now: float) -> None:
        """Defer the least valuable before new mails are turned away at the door."""
        while (
            self.pending_count + self.others.pending > self.room - 2
        ):  # two more may come before the next turn
            line = max(self.busy, key=lambda other: other.queue_length, default=None)
            sorts = [cases for cases in line.first_attempts.values() if cases] if line else []
            if not sorts:
                return
            case = min(sorts, key=lambda cases: cases[-1].terms.importance).pop()
            if case.stage is MessageStage.WAITING:
                case.reason = UndeliveredReason.NO_ROOM
                self.step(now, case, MessageEvent.GIVEN_UP)

    def line(self, destination: interface.Destination) -> DestinationState:
        return self.destination_states.setdefault(destination, DestinationState(destination, window=1.0))

    def plain(self, kind: interface.QueueClass) -> interface.Terms:
        """What holds for mails of a class where operators set nothing."""
        if kind not in self.terms:
            self.terms[kind] = interface.Terms(
                kind.importance, self.most_attempts, self.most_retry_after, 1, inf
            )
        return self.terms[kind]

    def chance(self) -> float:
        return zlib.crc32(f"{self.seed}:{next(self.serial)}".encode()) / 2**32

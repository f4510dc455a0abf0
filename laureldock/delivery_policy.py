"""Every decision of laureldock: which message is sent when and over which route, and how it ends.

`laureldock/interface.py` has the calls and the types of the adapters, `laureldock/delivery_state.py` what is
remembered between calls; `docs/design.md` gives the reasons at length.

A message waits in the queues of its destination. While the destination's window has room, the most urgent
message is sent over one of its routes with a closed circuit, drawn at random by their shares.
CIRCUIT_TRANSITIONS governs the circuit breaker of each route, MESSAGE_TRANSITIONS the life of each message.
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
from laureldock.delivery_keys import KeyOrder
from laureldock.delivery_state import Call, DestinationState, MessageStage, MessageState, RouteState
from laureldock.interface import (
    Attempt,
    AttemptResult,
    Message,
    Outcome,
    RepeatSafety,
    Route,
    UndeliveredReason,
)

# The circuit breaker of a route. CLOSED: the route takes messages by its share. OPEN: its share is zero, for
# its backoff or for a requested wait. HALF_OPEN: one trial is in flight.
CircuitState = Enum("CircuitState", "CLOSED OPEN HALF_OPEN")
# What the outcome of a call says of its route. FAILURE_RUN: it failed, and so did most calls before it;
# WAIT_REQUESTED: the receiver requested a wait; SHUT: it refused as one does that is shut, with or without a
# wait; NO_EVIDENCE: the outcome says nothing of the route.
RouteSignal = Enum("RouteSignal", "SERVED FAILED FAILURE_RUN WAIT_REQUESTED SHUT TRIAL_STARTED NO_EVIDENCE")
# By state and signal: the next state, and the method of DeliveryPolicy that carries out the change, if any.
CIRCUIT_TRANSITIONS = {
    (CircuitState.CLOSED, RouteSignal.FAILURE_RUN): (CircuitState.OPEN, "open_circuit"),
    (CircuitState.CLOSED, RouteSignal.WAIT_REQUESTED): (CircuitState.OPEN, ""),
    (CircuitState.CLOSED, RouteSignal.SHUT): (CircuitState.OPEN, "open_shut_circuit"),
    (CircuitState.OPEN, RouteSignal.SHUT): (CircuitState.OPEN, "open_shut_circuit"),
    (CircuitState.OPEN, RouteSignal.TRIAL_STARTED): (CircuitState.HALF_OPEN, ""),
    (CircuitState.HALF_OPEN, RouteSignal.SERVED): (CircuitState.CLOSED, "close_circuit"),
    (CircuitState.HALF_OPEN, RouteSignal.FAILED): (CircuitState.OPEN, "open_circuit"),
    (CircuitState.HALF_OPEN, RouteSignal.FAILURE_RUN): (CircuitState.OPEN, "open_circuit"),
    (CircuitState.HALF_OPEN, RouteSignal.WAIT_REQUESTED): (CircuitState.OPEN, ""),
    (CircuitState.HALF_OPEN, RouteSignal.SHUT): (CircuitState.OPEN, "open_shut_circuit"),
    (CircuitState.HALF_OPEN, RouteSignal.NO_EVIDENCE): (CircuitState.OPEN, ""),
}

# A refusal is taken for a limit unless the receiver requests a longer wait than limits do, which count calls
# in spans of two seconds at most; or refuses so many calls in turn, over so many seconds, and serves none.
LONGEST_LIMIT_WAIT, SHUT_REFUSED_TIME = 2.0, 2.5  # seconds
SHUT_REFUSALS = 4
SPARSE_SHUT_REFUSALS = 2  # where traffic is sparse: refused calls are seconds apart
UNSERVED_CALLS = 3  # and no less than the time in which so many calls would fit into the instance's fraction

# SENT: an attempt starts; MAY_RETRY: it failed and another one is allowed; GIVEN_UP: no further attempt is
# allowed or useful; COMPLETED: the message was relayed or withdrawn.
MessageEvent = Enum("MessageEvent", "SENT MAY_RETRY GIVEN_UP COMPLETED")
# By stage and event: the next stage, and the method of DeliveryPolicy that carries out the change, if any.
MESSAGE_TRANSITIONS = {
    (MessageStage.WAITING, MessageEvent.SENT): (MessageStage.IN_FLIGHT, ""),
    (MessageStage.WAITING, MessageEvent.GIVEN_UP): (MessageStage.FINISHED, "end_undelivered"),
    (MessageStage.WAITING, MessageEvent.COMPLETED): (MessageStage.FINISHED, "leave_key_queue"),
    (MessageStage.IN_FLIGHT, MessageEvent.SENT): (MessageStage.IN_FLIGHT, ""),  # a hedged attempt
    (MessageStage.IN_FLIGHT, MessageEvent.MAY_RETRY): (MessageStage.WAITING, "enqueue"),
    (MessageStage.IN_FLIGHT, MessageEvent.GIVEN_UP): (MessageStage.FINISHED, "end_undelivered"),
    (MessageStage.IN_FLIGHT, MessageEvent.COMPLETED): (MessageStage.FINISHED, "leave_key_queue"),
}


class DurationHistogram:
    """Durations of served calls, in a few coarse bins."""

    # Upper edges in seconds, from a quick call to the longest lifetime. Each is twice the one before: to tell
    # which calls are overdue, durations need to be known to a factor of two only.
    BIN_EDGES = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6)

    def __init__(self) -> None:
        self.counts = [0] * (len(self.BIN_EDGES) + 1)

    def add(self, duration: float) -> None:
        """Count one call; once 64 are counted all counts are halved, so that old calls fade."""
        self.counts[bisect_left(self.BIN_EDGES, duration)] += 1
        if sum(self.counts) >= 64:  # enough to tell a tenth of the calls from none
            self.counts = [calls // 2 for calls in self.counts]

    def quantile(self, default: float, fraction: float = 0.9) -> float:
        """Seconds that this fraction of the calls stays under.

        `default` while fewer than four are known, or if it is above the last edge.
        """
        total, running_totals = sum(self.counts), accumulate(self.counts)
        edges = (
            edge
            for edge, running in zip(self.BIN_EDGES, running_totals, strict=False)
            if running >= fraction * total
        )
        return next(edges, default) if total >= 4 else default


class DeliveryPolicy:
    """The decisions of one instance. `laureldock/interface.py` lists the calls; `now` is the time of each."""

    def __init__(self, settings: interface.DeliverySettings, now: float) -> None:
        self.seed, self.sequence = settings.seed, count(1)
        self.slots, self.room, self.max_attempts = settings.slots, settings.room, settings.max_attempts
        self.may_probe, self.may_cancel, self.has_notices = (
            settings.may_probe,
            settings.may_cancel,
            settings.has_notices,
        )
        self.max_retry_after = settings.max_retry_after
        self.set_rule_figures(settings)
        self.connect_timeout = settings.connect_timeout or inf
        self.zone_fees, self.handshake_cost, self.list_is_local = (
            settings.zone_fees,
            settings.handshake_cost,
            settings.list_is_local,
        )
        self.may_hedge = settings.may_hedge
        # The fraction of each limit that this process keeps to. `sparse_traffic`: whether there are many
        # instances and so many routes that each instance calls any one route only rarely.
        self.instance_fraction, self.instances, self.sparse_traffic = (
            1.0 / settings.instances,
            settings.instances,
            False,
        )
        # With many instances, an even fraction of a limit says little, since most of them send nothing at
        # the moment: calls are not limited until one is refused or fails, and need credit after that (see
        # `refill_credit`). With eight or fewer, each still sees a fair sample of a route's traffic.
        self.many_instances = settings.instances > 8
        # Seconds between sweeps: short against every pause and target delay. With many instances each has few
        # messages that a sweep could be late for.
        self.sweep_interval = 0.1 if self.many_instances else 0.05
        # Calls in flight to one destination: less than three quarters of the slots, and half of them while
        # one of its routes fails. Both figures are those of the design.
        self.max_destination_calls, self.max_failing_destination_calls = (
            max(1, -(-settings.slots * 3 // 4) - 1),
            max(1, settings.slots // 2),
        )
        # Listed rates that are rough may be 1.5 times the real ones.
        self.listed_rate_trust = {"nominal": 1.0, "rough": 2 / 3}.get(settings.listed_rates, 0.0)
        self.routes_up = 0  # routes that are listed as up, of all destinations
        self.destination_states: dict[interface.Destination, DestinationState] = {}
        # Destinations with messages in their queues: a turn looks at no others.
        self.queued_destinations: dict[DestinationState, None] = {}
        self.calls: dict[Call, None] = {}  # all calls in flight; each takes a slot
        # Calls started in this turn: further messages may join them, up to the size of a batch.
        self.calls_this_turn: dict[RouteState, Call] = {}
        # When each message has to be given up if it still waits, as a heap.
        self.expiries: list[tuple[float, int, MessageState]] = []
        self.default_terms: dict[interface.QueueClass, interface.Terms] = {}
        self.hedges_due: list[tuple[float, int, MessageState]] = []  # when a hedged attempt is due, as a heap
        self.key_order = KeyOrder(self.enqueue, self.sequence)
        self.peer_load = interface.PeerLoad()  # of peer processes, while one hands over to the next
        # Seconds that an idle connection is kept. Idle connections cost room at receivers: with many
        # instances they are kept as long as receivers keep them, and for less where connects find no room.
        self.max_idle_time = min(settings.idle_time or inf, 30.0)
        self.keep_idle_time = self.max_idle_time if self.many_instances else 30.0 / settings.instances
        # Ends of calls with their routes, the oldest first, to find routes that have become idle; and
        # durations of the calls of all routes, for routes with few calls of their own.
        self.idle_routes, self.durations = deque[tuple[float, RouteState]](), DurationHistogram()
        # Seconds for which a connection may be idle and still be open, by the last one found closed, and when
        # that was found.
        self.safe_idle_time, self.idle_reset_at = inf, now
        # Messages without a final outcome; backoff in seconds and last fetch of the list; whether the sweep
        # timer is set; when sending ends, at shutdown.
        (
            self.pending_count,
            self.list_backoff,
            self.list_fetched_at,
            self.sweep_timer_set,
            self.sends_end_at,
        ) = (0, 0.0, now, False, inf)
        self.hands_over = False  # what waits at the end of the process is left to the next one
        self.sends_held = False  # nothing new is sent now: it could not be recorded
        self.effects: list[interface.Effect] = []
        if settings.must_fetch_list:
            self.timer_expired(now, "ask")

    def set_rule_figures(self, settings: interface.DeliverySettings) -> None:
        """Take the figures of the rules from the settings, at the start and at a reload."""
        self.key_cooldown_time, self.drain_grace = settings.key_cooldown_time, settings.drain_grace
        self.start_capacity, self.warm_time = settings.start_capacity, settings.warm_time
        # Calls that a cold route is sent, as a multiple of the capacity that it has by slow start. The rest
        # of the multiple that it tolerates is left for trials and for random variation.
        self.cold_load_factor = 0.6 * settings.tip_multiple

    def list_updated(self, now: float, listed_routes: list[Route], full: bool) -> None:
        """Take in an update of the endpoint list; a full list is compared with all routes known."""
        self.list_backoff = 0.0
        for listed in (
            [listed for destination in self.destination_states.values() for listed in destination.routes]
            if full
            else listed_routes
        ):
            not_up = listed.listed_state is not interface.ListedState.UP
            if not_up and (route := self.destination_state_of(listed.destination).routes.pop(listed, None)):
                # Nothing new is sent over it; calls in flight go on.
                route.drained_at, self.routes_up = now, self.routes_up - 1
        for listed in listed_routes:
            destination = self.destination_state_of(listed.destination)
            if listed.listed_state is interface.ListedState.UP and listed not in destination.routes:
                destination.batch_size = listed.kind.batch_size
                listed.policy_state = destination.routes[listed] = RouteState(
                    listed, destination, CircuitState.CLOSED, DurationHistogram()
                )
                self.routes_up += 1
        # With many instances, false where they clearly outnumber routes. Connections at receivers are scarce
        # then: idle ones are closed at once, an attempt whose connection never comes up has met a full
        # connection table, and calls need credit after a refusal.
        self.sparse_traffic = self.many_instances and self.instances <= 1.5 * self.routes_up
        self.keep_idle_time = 0.1 if self.many_instances and not self.sparse_traffic else self.keep_idle_time

    def list_failed(self, now: float) -> None:
        """Schedule the next fetch of the list, at a random moment: a whole fleet must not come at once."""
        # The backoff doubles from 0.5 s up to 8 s. A local list costs nothing to fetch: it is fetched every
        # quarter of a second, counted from the last fetch; if that is longer ago, within 0.1 s.
        self.list_backoff = 0.25 if self.list_is_local else min(8.0, max(0.5, self.list_backoff * 2))
        draw, elapsed = self.random_fraction(), now - self.list_fetched_at if self.list_is_local else 0.0
        pause = max(0.1 * draw, self.list_backoff * (0.75 + 0.5 * draw) - elapsed)
        self.effects.append(interface.StartTimer(pause, "ask"))

    def message_accepted(self, now: float, submitted: Message) -> None:
        """Hold an accepted message until it has its outcome: queue it, or let it wait for its key."""
        queue_class, destination, expires_at = (
            submitted.queue_class,
            self.destination_state_of(submitted.destination),
            now + submitted.time_left,
        )
        handed_in_at, once_only = (
            expires_at - queue_class.lifetime,
            queue_class.repeat_safety is RepeatSafety.ONCE_ONLY,
        )
        # Where a previous process may have run it, the zone that would recognize a repeat is no longer known.
        stop_if_may_have_run = (
            once_only
            or queue_class.stop_if_may_have_run
            or (queue_class.one_zone and submitted.age_of_first_run is not None)
        )
        fades_at = (
            handed_in_at + queue_class.target_delay if queue_class.halves_importance_when_late else expires_at
        )
        terms = submitted.terms or self.default_terms_of(queue_class)
        message = submitted.policy_state = MessageState(
            submitted,
            destination,
            MessageStage.WAITING,
            handed_in_at,
            expires_at,
            fades_at,
            once_only,
            stop_if_may_have_run,
            terms,
        )
        # Attempts of a previous process of this dispatcher count like those of this one.
        message.attempts, message.may_have_run_at = (
            submitted.earlier_attempts,
            0.0 if submitted.age_of_first_run is None else now - submitted.age_of_first_run,
        )
        self.pending_count += not submitted.awaits_notice
        # With many instances, each message that comes in adds to the credit of its destination's routes.
        for route in destination.routes.values() if self.many_instances else ():
            self.refill_credit(now, route)
            route.credit += self.sendable_fraction(now, route) / len(destination.routes)
        heapq.heappush(self.expiries, (message.expires_at, next(self.sequence), message))
        if queue_class.in_order and submitted.key is not None:
            self.key_order.add(submitted.key, message)
            if submitted.call_interrupted:
                self.key_order.call_broke(message, now + self.key_cooldown_time)
        if submitted.awaits_notice:  # the next message of its key waits until the notice is acknowledged
            message.stage, message.outstanding = MessageStage.FINISHED, 1
        elif message.attempts and not self.may_attempt(now, message):
            self.apply_event(now, message, MessageEvent.GIVEN_UP)
        elif message.key_queue:
            self.key_order.start_next(now, message.key_queue)
        else:
            self.enqueue(now, message)

    def attempt_ended(self, now: float, attempt: Attempt, outcome: Outcome) -> None:
        """Learn from the outcome of an attempt, then finish its message, or retry or end it."""
        call: Call = attempt.policy_state
        message: MessageState = attempt.message.policy_state
        call.attempts_in_flight -= 1
        if outcome.result in (AttemptResult.SERVED, AttemptResult.ERROR, AttemptResult.REFUSED):
            call.route.last_response_at = now
        if not call.attempts_in_flight:
            del self.calls[call], call.route.calls[call]
            destination, call.route.last_call_ended_at = call.route.destination, now
            self.idle_routes.append((now, call.route))
            self.effects.append(interface.StartTimer(self.keep_idle_time, "idle"))
            destination.calls_in_flight, destination.overdue_calls = (
                destination.calls_in_flight - 1,
                destination.overdue_calls - call.overdue,
            )
            # Average time that a message takes a slot here, moved by a tenth each time, so that one heavy
            # message changes it little. A quick failure does not make it smaller.
            slot_time = (now - call.sent_at) / len(call.attempts)
            for each in (destination, call.route):
                if outcome.result is AttemptResult.SERVED or slot_time > each.slot_time:
                    each.slot_time += (0.1 if each.slot_time else 1.0) * (slot_time - each.slot_time)
        self.evaluate_call(now, call, outcome)
        message.outstanding -= 1
        message.attempts -= not outcome.started  # one that never started is not counted
        if outcome.result in interface.RESULTS_THAT_MAY_STILL_RUN:
            self.key_order.call_broke(message, now + self.key_cooldown_time)
        if not message.may_have_run_at and outcome.result not in (
            AttemptResult.REFUSED,
            AttemptResult.NO_CONNECTION,
            AttemptResult.MOOT,
        ):
            message.may_have_run_at = call.sent_at
        if not message.may_have_run_at and not message.outstanding:
            message.bound_zone = None  # it never ran: any zone will do
        if message.stage is MessageStage.FINISHED:
            self.leave_key_queue(now, message)
        elif not message.outstanding or outcome.finished:  # otherwise its other attempt is still in flight
            self.cancel_attempts(message)
            failed = MessageEvent.MAY_RETRY if self.may_attempt(now, message) else MessageEvent.GIVEN_UP
            self.apply_event(now, message, MessageEvent.COMPLETED if outcome.finished else failed)

    def probe_ended(self, now: float, listed: Route, outcome: Outcome) -> None:
        """A probe counts as the trial of a half-open circuit."""
        route: RouteState | None = listed.policy_state
        if route and route.circuit is CircuitState.HALF_OPEN:
            self.apply_signal(now, route, self.learn_from_outcome(now, route, outcome))

    def note_received(self, now: float, peer: int, data: bytes) -> None:
        """Ignore it: notes of other instances may be lost, and every rule can be kept without them."""

    def timer_expired(self, now: float, name: str) -> None:
        """Fetch the list at "ask"; "sweep" and "idle" only cause the turn that follows."""
        self.sweep_timer_set = self.sweep_timer_set and name != "sweep"
        if name == "ask":
            # A list update that a watch misses counts as received 6 s after the watch fell silent, and a
            # timeout of 0.2 s is within the grace time of a drain.
            self.list_fetched_at = now
            self.effects.append(interface.FetchList(watch=True, max_wait=2.0, timeout=0.2))

    def message_withdrawn(self, now: float, submitted: Message) -> None:
        """Nobody waits for the message any more: it is finished unless it was before."""
        if submitted.policy_state.stage is not MessageStage.FINISHED:
            self.apply_event(now, submitted.policy_state, MessageEvent.COMPLETED)

    def notice_acknowledged(self, now: float, submitted: Message) -> None:
        """Let the next message of the key go, now that the notice of this one is acknowledged."""
        submitted.policy_state.outstanding -= 1
        self.leave_key_queue(now, submitted.policy_state)

    def may_start(self, now: float, attempt: Attempt) -> bool:
        """The one check of all that is sent, first attempt or retry, once its connection is up."""
        route, message = attempt.policy_state.route, attempt.message.policy_state
        listed = (
            attempt.route.listed_state is interface.ListedState.UP
            or now <= route.drained_at + self.drain_grace
        )
        open_now = listed and max(route.no_sends_until, route.destination.wait_until) <= now
        fits = len(self.calls) + self.peer_load.calls_in_flight <= self.slots and self.fits_shared_windows(
            route
        )
        return open_now and fits and self.may_attempt(now, message) and self.key_order.has_turn(now, message)

    def begin_shutdown(self, now: float, time_left: float, hands_over: bool = False) -> None:
        """The process ends in `time_left` seconds; `hands_over`: the next one takes over what waits then."""
        # What is sent by then has as long again to end. The rest is given up, for other instances to take, or
        # left to the next process.
        self.sends_end_at = now + time_left / 2
        self.hands_over = hands_over

    def hold_sends(self, now: float, hold: bool) -> None:
        """Send nothing new while sends cannot be recorded; messages that wait keep their attempts."""
        self.sends_held = hold

    def update_settings(self, now: float, settings: interface.DeliverySettings) -> None:
        """Apply the limits and the figures of the rules of a reload to every message from now on."""
        self.max_attempts, self.max_retry_after = settings.max_attempts, settings.max_retry_after
        self.set_rule_figures(settings)
        # Drops terms of queue classes that no longer exist, too; messages that wait keep theirs.
        self.default_terms.clear()
        for destination in self.destination_states.values():
            destination.first_attempts = {
                queue_class: queue for queue_class, queue in destination.first_attempts.items() if queue
            }

    def update_peer_load(self, now: float, peer_load: interface.PeerLoad) -> None:
        """Share limits, slots, room and the order of keys with peer processes: together they count as one."""
        self.peer_load = peer_load
        self.instance_fraction = 1.0 / (self.instances * (1 + peer_load.processes))
        self.key_order.peers_changed(now, peer_load.first_accepted_at)

    def cool_down_key(self, now: float, key: str, until: float) -> None:
        """Start no message of the key before `until`: a broken call of another process may still run."""
        self.key_order.cool_down(now, key, until)

    def route_failed_elsewhere(self, now: float, listed: Route, at: float, shut: bool = False) -> None:
        """Open the circuit that a peer or previous process opened at that time; a trial here closes it.

        `shut`: the route refused calls there, and none failed otherwise.
        """
        route: RouteState | None = listed.policy_state
        if route:
            route.cold_when_served = True
        if route and route.circuit is CircuitState.CLOSED:
            route.circuit, route.first_failed_at = CircuitState.OPEN, route.first_failed_at or at
            # So high that the route is not steady after a served trial, unless it only refused.
            route.failure_rate = max(route.failure_rate, 0.0 if shut else 0.9)
            self.back_off(at, route)

    def route_recovered_elsewhere(self, now: float, listed: Route, recovered_at: float) -> None:
        """Close the circuit: another process had a call served. The route is cold from `recovered_at` on."""
        if route := listed.policy_state:
            if recovered_at > route.recovered_at:
                route.recovered_at, route.credit, route.cold_when_served = recovered_at, 0.0, False
            if route.circuit is CircuitState.OPEN and route.wait_until <= now:
                route.circuit, route.backoff_until, route.failure_rate = (
                    CircuitState.CLOSED,
                    0.0,
                    min(0.4, route.failure_rate),
                )

    def route_requested_wait(self, now: float, listed: Route, wait: float) -> None:
        """Send nothing for `wait` seconds, as a call of this process or of a peer process was asked."""
        if route := listed.policy_state:
            limited = self.limited_by(route)
            limited.wait_until = max(limited.wait_until, now + wait)

    def destination_requested_wait(self, now: float, listed: interface.Destination, wait: float) -> None:
        """Likewise for all routes of a destination, also where the one that requested it is not listed."""
        destination = self.destination_state_of(listed)
        destination.wait_until = max(destination.wait_until, now + wait)

    def limited_by(self, route: RouteState) -> RouteState | DestinationState:
        """What the receiver's limit, and with it a requested wait, holds for: a route or a destination."""
        return route if route.listed.kind.limits_per_route else route.destination

    def routes_limited_with(self, route: RouteState) -> list[RouteState]:
        """The routes that share a limit with this one, itself included."""
        return [route] if route.listed.kind.limits_per_route else list(route.destination.routes.values())

    @property
    def slots_full(self) -> bool:
        """Whether no slot is free. A process that ends leaves half of them to the one that takes over."""
        half = self.peer_load.processes > 0 and self.sends_end_at < inf
        most = max(1, self.slots // 2) if half else self.slots
        return len(self.calls) >= min(most, self.slots - self.peer_load.calls_in_flight)

    def fits_shared_windows(self, route: RouteState, more: int = 0) -> bool:
        """Whether the operators' windows hold the calls of all processes and `more` calls of this one."""
        destination, peer_calls = route.destination, self.peer_load.calls_by_route
        if not peer_calls:
            return True
        to_route = len(route.calls) + peer_calls.get(route.listed.name, 0)
        to_destination = destination.calls_in_flight + sum(
            peer_calls.get(listed.name, 0) for listed in destination.routes
        )
        return to_route + more <= route.listed.window and to_destination + more <= destination.listed.window

    def excluded_routes(self, now: float) -> int:
        """Count routes listed as up that get no share now: circuit not closed, in backoff, or in a wait."""
        routes = (
            route for destination in self.destination_states.values() for route in destination.routes.values()
        )
        return sum(route.circuit is not CircuitState.CLOSED or route.no_sends_until > now for route in routes)

    def turn(self, now: float) -> list[interface.Effect]:
        """Decide on everything that is due, and return the effects since the last turn."""
        self.handle_overdue_calls(now)
        while self.idle_routes and self.idle_routes[0][0] <= now - self.keep_idle_time:
            ended_at, route = self.idle_routes.popleft()
            if route.last_call_ended_at == ended_at:
                self.effects.append(interface.CloseIdleConnections(route.listed))
        self.key_order.end_cooldowns(now)
        # Bounds the memory for messages that finish long before their lifetime ends: at most about as many
        # entries of finished messages are kept as of pending ones.
        if len(self.expiries) > 2 * self.pending_count + 64:
            self.expiries = [each for each in self.expiries if each[2].stage is not MessageStage.FINISHED]
            heapq.heapify(self.expiries)
        gives_all_up = now >= self.sends_end_at and not self.hands_over
        while self.expiries and (gives_all_up or self.expiries[0][0] <= now + self.sweep_interval):
            message = heapq.heappop(self.expiries)[2]
            if message.stage is MessageStage.WAITING:
                self.apply_event(now, message, MessageEvent.GIVEN_UP)
        self.send_queued(now)
        while self.hedges_due and self.hedges_due[0][0] <= now:
            self.send_hedge(now, heapq.heappop(self.hedges_due)[2])
        self.make_room(now)
        if self.pending_count and not self.sweep_timer_set:
            self.effects.append(interface.StartTimer(self.sweep_interval, "sweep"))
            self.sweep_timer_set = True
        effects, self.effects = self.effects, []
        return effects

    def learn_from_outcome(self, now: float, route: RouteState, outcome: Outcome) -> RouteSignal:
        """Update what is known of a route by an outcome, and return what the outcome says of it."""
        self.refill_credit(now, route)
        if outcome.advertised_rate is not None:
            route.advertised_rate, route.advertised_left = outcome.advertised_rate, outcome.advertised_left
        if outcome.requested_wait:  # binding for every call: a late response, too, or one beside a trial
            self.route_requested_wait(now, route.listed, outcome.requested_wait)
        if outcome.result in (AttemptResult.MOOT, AttemptResult.CANCELLED):
            return RouteSignal.NO_EVIDENCE
        # A receiver may close an idle connection, which shows only at its next call: that is no failure of
        # the route, and later connections are not reused after so long. A reset after 0.1 s or less is taken
        # for a coincidence, and counts as a failure.
        if outcome.result is AttemptResult.RESET and outcome.connection_idle_time > 0.1:
            self.safe_idle_time, self.idle_reset_at = max(0.1, 0.75 * outcome.connection_idle_time), now
            return RouteSignal.NO_EVIDENCE
        served = outcome.result is AttemptResult.SERVED
        if (
            self.sparse_traffic
            and outcome.result is AttemptResult.NO_CONNECTION
            and route.circuit is CircuitState.CLOSED
        ):
            # Cut to a quarter here and grown by one in a hundred below, so that a full connection table is
            # met by about one call in a hundred.
            self.keep_idle_time = max(0.1, 0.25 * self.keep_idle_time)
        elif served:
            self.keep_idle_time = (
                min(self.max_idle_time, 1.01 * self.keep_idle_time)
                if self.sparse_traffic
                else self.keep_idle_time
            )
            for each in (route, route.destination):
                each.first_refused_at, each.refusals = 0.0, 0
            route.refusal_backoff, route.destination.refusal_backoff = (
                0.8 * route.refusal_backoff,
                0.8 * route.destination.refusal_backoff,
            )
        if outcome.result is AttemptResult.REFUSED:
            self.count_refusal(now, route, outcome)
        limit_used_up = (
            outcome.result is AttemptResult.REFUSED and route.advertised_rate and route.advertised_left < 0.5
        )
        never_connected = (
            outcome.result is AttemptResult.NO_CONNECTION and outcome.duration > 0.9 * self.connect_timeout
        )
        silent = self.sparse_traffic and (never_connected or outcome.result is AttemptResult.TIMEOUT)
        if silent:
            backoff = self.shared_retry_interval(
                now - (route.first_failed_at or now), self.route_rate(route), 4.0
            )
            route.backoff_until = max(route.backoff_until, now + backoff * (0.5 + self.random_fraction()))
        elif outcome.result is AttemptResult.NO_CONNECTION and self.many_instances:
            # It used up none of the receiver's limit, and idle connections of other instances soon make room:
            # wait for 0.1 to 0.3 s, each instance for a time of its own.
            route.wait_until = max(route.wait_until, now + 0.1 + 0.2 * self.random_fraction())
        elif self.sparse_traffic and outcome.result is AttemptResult.REFUSED:
            # An instance that calls a route rarely cannot learn its fraction of the limit from refusals: each
            # comes again after a backoff of its own.
            limited = self.limited_by(route)
            rate = self.part_of_limit(route) * len(self.routes_limited_with(route))
            even_interval = 1 / (rate * self.instance_fraction) if rate else 2.0
            limited.refusal_backoff = min(max(4.0, 3 * limited.refusal_backoff), max(1.0, 2 * even_interval))
            backoff = max(
                limited.refusal_backoff, self.shared_retry_interval(now - limited.first_refused_at, rate)
            ) * (0.5 + self.random_fraction())
            if outcome.requested_wait > backoff:
                # The receiver is unavailable for this time: it states the same end to all senders that it
                # refuses, and is cold then.
                backoff = (
                    outcome.requested_wait
                    + self.shared_retry_interval(
                        now + outcome.requested_wait - limited.first_refused_at, rate
                    )
                    * self.random_fraction()
                )
                for each in self.routes_limited_with(route):
                    each.recovered_at = now + backoff
                    self.effects.append(interface.RouteRecovered(each.listed, each.recovered_at))
            limited.wait_until = max(limited.wait_until, now + backoff)
            route.rate_factor = max(0.1, 0.5 * route.rate_factor)
            route.credit = min(0.0, route.credit) + 0.5 - self.random_fraction()
        elif not served:
            # Send less, down to a tenth: where refused calls use up a limit as well, instances that each
            # keep to their fraction of it can leave it at zero for good. The credit is moved by up to half a
            # call at random, so that instances do not all come again at once.
            route.rate_factor = max(
                0.1, route.rate_factor * (0.4 if self.many_instances else 0.7 if limit_used_up else 0.9)
            )
            if limit_used_up or self.many_instances:
                route.credit = min(0.0, route.credit) + 0.5 - self.random_fraction()
        elif route.advertised_left > 0.5:
            # Other instances leave much of the limit unused: send more, and fast up to the own fraction.
            route.rate_factor = min(
                1 / self.instance_fraction, route.rate_factor * (1.25 if route.rate_factor < 1 else 1.05)
            )
        # The receiver's connection table was full: it responded to another call during this connect.
        table_full = (
            outcome.result is AttemptResult.NO_CONNECTION and route.last_response_at > now - outcome.duration
        )
        if not limit_used_up and not table_full:  # neither of the two is an outage
            unresponsive = (
                silent
                if self.sparse_traffic
                else outcome.result is AttemptResult.TIMEOUT and self.is_unresponsive(now, route)
            )
            # Calls without a response weigh more: two of them must suffice to open the circuit.
            route.failure_rate += (0.5 if unresponsive else 0.3) * (
                (0.0 if served else 1.0) - route.failure_rate
            )
        if not served:
            route.first_failed_at = route.first_failed_at or now
            route.first_outage_at = route.first_outage_at or (
                0.0 if table_full or outcome.result is AttemptResult.REFUSED else now
            )
        elif route.circuit is CircuitState.CLOSED:
            # The route was backed off since its outage began, and its destination has more messages queued
            # than routes.
            backlogged = route.backoff_until > route.first_outage_at and route.destination.queue_length > len(
                route.destination.routes
            )
            # With many instances the circuit may have stayed closed during an outage: the route is cold, too.
            if (
                self.many_instances
                and 0 < route.first_outage_at < now - 1
                and (backlogged if self.sparse_traffic else route.failure_rate > 0.2)
            ):
                route.recovered_at, route.credit = now, 0.0
                self.effects.append(interface.RouteRecovered(route.listed, now))
            route.first_failed_at = route.first_outage_at = 0.0
        failure = (
            RouteSignal.SHUT
            if outcome.result is AttemptResult.REFUSED and self.is_shut(now, route, outcome)
            else RouteSignal.WAIT_REQUESTED
            if outcome.requested_wait
            else RouteSignal.FAILURE_RUN
            if self.is_failing(route)
            else RouteSignal.FAILED
        )
        return RouteSignal.SERVED if served else failure

    def count_refusal(self, now: float, route: RouteState, outcome: Outcome) -> None:
        """Count a refusal, unless its call was in flight at the time of the one before it."""
        limited = self.limited_by(route)
        limited.first_refused_at = limited.first_refused_at or now
        if now - outcome.duration >= limited.last_refused_at:
            limited.refusals, limited.last_refused_at = limited.refusals + 1, now

    def is_shut(self, now: float, route: RouteState, outcome: Outcome) -> bool:
        """Whether a receiver that refused a call is shut, and not just above its limit."""
        limited = self.limited_by(route)
        least_refusals, least_time = SPARSE_SHUT_REFUSALS, SHUT_REFUSED_TIME
        if not self.sparse_traffic:
            least_refusals = SHUT_REFUSALS
            # Above the limit, this instance still has its fraction of it served.
            if own_rate := self.part_of_limit(route) * self.instance_fraction:
                least_time = max(least_time, UNSERVED_CALLS / own_rate)
        if not self.many_instances and route.advertised_rate and route.advertised_left < 0.5:
            least_time *= 2  # it states that its limit is used up, which may be by refused calls alone
        in_turn = limited.refusals >= least_refusals and now - limited.first_refused_at >= least_time
        return outcome.requested_wait > LONGEST_LIMIT_WAIT or in_turn

    def is_failing(self, route: RouteState) -> bool:
        """Whether three calls failed in a row, or most of the last few; one error in ten never suffices."""
        return route.failure_rate > 0.6

    def evaluate_call(self, now: float, call: Call, outcome: Outcome) -> None:
        """Apply the first outcome of a call to its route and to the destination's window."""
        route, destination = call.route, call.route.destination
        if outcome.result is AttemptResult.SERVED:
            route.durations.add(outcome.duration)
            self.durations.add(outcome.duration)
        if call.evaluated and not outcome.requested_wait:
            # A slow route is not a silent one: a served call takes back the failure that its own lateness
            # counted as, if that was the first one.
            if (
                call.overdue
                and outcome.result is AttemptResult.SERVED
                and route.first_failed_at >= call.sent_at
            ):
                route.backoff_until, route.first_failed_at, route.first_outage_at, route.failure_rate = (
                    0.0,
                    0.0,
                    0.0,
                    min(0.3, route.failure_rate),
                )
            return
        call.evaluated = True
        signal = self.learn_from_outcome(now, route, outcome)
        if signal is RouteSignal.SERVED:
            destination.window = min(
                self.max_destination_calls, destination.listed.window, destination.window + 1
            )
        elif signal is not RouteSignal.NO_EVIDENCE and call.sent_at >= destination.window_halved_at:
            destination.window, destination.window_halved_at = max(1.0, destination.window / 2), now
        if call.trial or route.circuit is not CircuitState.HALF_OPEN:
            self.apply_signal(now, route, signal)

    def apply_signal(self, now: float, route: RouteState, signal: RouteSignal) -> None:
        """Change the circuit of a route by CIRCUIT_TRANSITIONS; other signals change nothing."""
        if (route.circuit, signal) in CIRCUIT_TRANSITIONS:
            route.circuit, effect = CIRCUIT_TRANSITIONS[route.circuit, signal]
            if effect:
                getattr(self, effect)(now, route)

    def open_circuit(self, now: float, route: RouteState) -> None:
        """Report the failure to peer processes, and back off."""
        self.effects.append(interface.RouteFailed(route.listed))
        self.back_off(now, route)

    def open_shut_circuit(self, now: float, route: RouteState) -> None:
        """Report the outage of all routes that share the limit, and start trials some time after the wait.

        The receiver tells the same end of the wait to all whom it refuses: each begins at a moment of its
        own, within the time in which it sends one call to a cold route, or for which it had to wait.
        """
        wait_until = self.limited_by(route).wait_until
        for each in self.routes_limited_with(route):
            if each.cold_when_served and each.backoff_until > now:
                continue  # the call was sent before the outage was known
            each.cold_when_served = True
            each.circuit = CircuitState.OPEN if each.circuit is CircuitState.CLOSED else each.circuit
            self.effects.append(interface.RouteFailed(each.listed, shut=not each.first_outage_at))
            self.back_off(now, each)
            if wait_until > now and not self.sparse_traffic:
                spread = min(self.cold_call_interval(each), max(0.5, wait_until - now))
                spread = spread if self.many_instances else min(2.0, spread)
                each.backoff_until = max(each.backoff_until, wait_until + spread * self.random_fraction())

    def cold_call_interval(self, route: RouteState) -> float:
        """Seconds between the calls of this instance to a route that is as cold as can be; 0 if unknown."""
        rate = (
            self.part_of_limit(route) * self.instance_fraction * self.cold_load_factor * self.start_capacity
        )
        return 1 / rate if rate else 0.0

    def back_off(self, now: float, route: RouteState) -> None:
        """Set when the next trial may go."""
        # 0.5 s, growing by half each time up to 2 s. With many instances up to the interval at which all of
        # them together send what a cold route bears.
        cold_interval = self.cold_call_interval(route)
        most = cold_interval if cold_interval and self.many_instances and not self.sparse_traffic else 2.0
        shared_interval = (
            self.shared_retry_interval(now - (route.first_failed_at or now), self.route_rate(route), 2.0)
            if self.sparse_traffic
            else 0.0
        )
        route.trial_backoff, route.opened_by_failures = (
            max(0.5, min(most, route.trial_backoff * 1.5), shared_interval),
            self.is_failing(route),
        )
        route.backoff_until = max(
            route.backoff_until, now + route.trial_backoff * (0.75 + 0.5 * self.random_fraction())
        )

    def shared_retry_interval(self, failing_time: float, rate: float, burst: float = 0.0) -> float:
        """Seconds between calls to a route that has failed for `failing_time`, beside other instances.

        Instances that saw it fail, as many as called it since, must not make up the greater part of what it
        gets when it recovers: together they call as often as those that did not. Once all saw it, they send
        what a cold route bears. `rate`: calls a second that the route takes from all instances; `burst`:
        seconds' worth of calls that may have met the failure at about the same time, each from a sender of
        its own.
        """
        own_rate, cold_load = rate * self.instance_fraction, self.cold_load_factor * self.start_capacity
        saw_fraction = min(1.0, own_rate * failing_time)  # of all instances
        interval = max(2 * failing_time / (1 - saw_fraction) if saw_fraction < 1 else inf, burst / cold_load)
        return min(interval, 1 / (own_rate * cold_load) if own_rate else 0.0)

    def close_circuit(self, now: float, route: RouteState) -> None:
        """Use a route again after a served trial: cold after an outage, but not after a mere wait."""
        # `opened_by_failures` is from before the served trial, which says nothing of the time before it: with
        # the trial counted in the failure rate, outages of under three seconds were not recognized. With many
        # instances, a full connection table is no outage.
        cold = route.cold_when_served or (
            self.is_failing(route)
            if self.many_instances and not self.sparse_traffic
            else route.opened_by_failures or route.first_outage_at > 0
        )
        route.cold_when_served = False
        route.opened_by_failures = route.opened_by_failures and self.sparse_traffic
        if cold:
            route.recovered_at = now
        self.effects.append(interface.RouteRecovered(route.listed, now if cold else 0.0))
        route.first_failed_at = route.first_outage_at = route.trial_backoff = route.credit = 0.0
        route.failure_rate = min(0.4, route.failure_rate)

    def slow_start(self, now: float, route: RouteState) -> float:
        """The fraction of its capacity that a route has at least: 1 once it is warm."""
        return min(
            1.0,
            self.start_capacity
            + (1 - self.start_capacity) * max(0.0, now - route.recovered_at) / self.warm_time,
        )

    def sendable_fraction(self, now: float, route: RouteState) -> float:
        """The fraction of the messages coming in for a route that may be sent over it."""
        slow_start = self.slow_start(now, route)
        return (
            route.rate_factor
            if slow_start == 1
            else min(route.rate_factor, self.cold_load_factor * slow_start)
        )

    def route_rate(self, route: RouteState) -> float:
        """Calls a second that the route takes from all instances, as far as known; zero if unknown."""
        sharing_routes = 1 if route.listed.kind.limits_per_route else len(route.destination.routes)
        return route.advertised_rate or route.listed.listed_rate * self.listed_rate_trust / max(
            1, sharing_routes
        )

    def part_of_limit(self, route: RouteState) -> float:
        """The route's even part of a limit, in calls a second; each route that shares it advertises all."""
        sharing_routes = max(1, len(self.routes_limited_with(route)))
        return route.advertised_rate / sharing_routes if route.advertised_rate else self.route_rate(route)

    def share(self, now: float, route: RouteState, rate: float) -> float:
        """The weight of a route in the draw. `rate`: calls a second, or a substitute if not known."""
        # A route whose response is due and missing gets hardly any messages.
        unresponsive_factor = 0.1 if self.is_unresponsive(now, route) else 1.0
        # While few slots are free, routes that hold them for long get less: half the time, four times the
        # share.
        slots_scarce = route.slot_time and 4 * len(self.calls) > 3 * self.slots
        slot_time_factor = (route.destination.slot_time / route.slot_time) ** 2 if slots_scarce else 1.0
        # A route that costs a twentieth of a message of importance 1 more, in fees or for a handshake, gets
        # two fifths of the share.
        needs_connection = route.calls or now - route.last_call_ended_at > self.keep_idle_time
        cost = self.zone_fees.get(route.listed.zone, 0.0) + (
            self.handshake_cost if needs_connection and self.sparse_traffic else 0.0
        )
        return (
            rate
            * min(1.0, route.rate_factor)
            * self.slow_start(now, route)
            * unresponsive_factor
            * slot_time_factor
            * exp(-20 * cost)
        )

    def is_unresponsive(self, now: float, route: RouteState) -> bool:
        """Whether a call takes longer than nine in ten, with no response of the route since it was sent.

        Nine in ten calls are taken to last less than a third of `overdue_after` (see `send_attempt`).
        """
        return any(
            now - call.sent_at > call.overdue_after / 3
            for call in route.calls
            if route.last_response_at < call.sent_at
        )

    def refill_credit(self, now: float, route: RouteState) -> None:
        """Bring a route's token bucket, rate factor and failure rate up to date.

        The bucket keeps this instance to its fraction of the route's limit, and of what a cold route bears.
        """
        if route.rate_factor < 1:
            # Back to 1 from anywhere within ten seconds; with many instances within a hundred (29 where
            # traffic is sparse), unless the receiver advertised that much of its limit is left.
            slow = self.many_instances and not (route.advertised_rate and route.advertised_left > 0.5)
            growth = 0.1 if not slow else 0.035 if self.sparse_traffic else 0.01
            route.rate_factor = min(1.0, route.rate_factor + growth * (now - route.refilled_at))
        if route.circuit is CircuitState.CLOSED:
            route.failure_rate *= 0.8 ** (now - route.refilled_at)
        rate = self.route_rate(route) if self.slow_start(now, route) == 1 else self.part_of_limit(route)
        fill_rate = rate * self.instance_fraction * self.sendable_fraction(now, route)
        unlimited = self.slow_start(now, route) == 1 and (
            route.rate_factor >= 1 if self.many_instances else route.advertised_rate == 0
        )
        if unlimited or not fill_rate:
            # After an outage no instance alone sends more than the whole rate of the route.
            paced = self.many_instances and route.recovered_at > -inf and fill_rate
            route.credit = (
                min(1.0, route.credit + self.route_rate(route) * (now - route.refilled_at)) if paced else 1.0
            )
        else:
            route.credit = min(
                max(1.0, fill_rate * 0.5), route.credit + fill_rate * (now - route.refilled_at)
            )
        route.refilled_at = now

    def handle_overdue_calls(self, now: float) -> None:
        """Count calls that take far longer than usual as failed before they time out; cancel at most one."""
        full = self.slots_full
        for call in self.calls:
            # With all slots taken, a call of one message is overdue after about twice what nine in ten calls
            # stay under, instead of three times.
            soon = full and len(call.attempts) == 1 and not call.once_only
            if not call.evaluated and now - call.sent_at > call.overdue_after * (0.6 if soon else 1):
                self.evaluate_call(now, call, Outcome(AttemptResult.TIMEOUT, now - call.sent_at))
                call.overdue, call.route.destination.overdue_calls = (
                    True,
                    call.route.destination.overdue_calls + 1,
                )
        # Silent calls must not hold slots and keys. An overdue call is cancelled when all slots are taken,
        # that of a once-only message only after twice its `overdue_after`; at once, unless it is once-only,
        # where its route's circuit opened while the route was silent; and whatever it carries, where its
        # destination has more overdue calls than half of `max_failing_destination_calls`.
        overdue_calls = [call for call in self.calls if call.overdue]
        for call in overdue_calls if self.may_cancel else []:
            lost = (
                call.route.circuit is not CircuitState.CLOSED
                and call.route.last_response_at < call.sent_at
                and not call.once_only
            )
            long_overdue = not call.once_only or now - call.sent_at > 2 * call.overdue_after
            if (
                lost
                or (full and long_overdue)
                or call.route.destination.overdue_calls > max(1, self.max_failing_destination_calls // 2)
            ):
                call.overdue, call.route.destination.overdue_calls = (
                    False,
                    call.route.destination.overdue_calls - 1,
                )
                self.effects += [
                    interface.Cancel(attempt)
                    for attempt in call.attempts
                    if attempt.message.policy_state.outstanding
                ]
                break

    def apply_event(self, now: float, message: MessageState, event: MessageEvent) -> None:
        """Change a message's stage by MESSAGE_TRANSITIONS. Raises KeyError if there is no such transition."""
        message.stage, effect = MESSAGE_TRANSITIONS[message.stage, event]
        self.pending_count -= message.stage is MessageStage.FINISHED
        if message.queued:
            message.destination.queue_length, message.queued = message.destination.queue_length - 1, False
            if not message.destination.queue_length:
                del self.queued_destinations[message.destination]
        if effect:
            getattr(self, effect)(now, message)

    def enqueue(self, now: float, message: MessageState) -> None:
        """Put a message into a queue of its destination, or leave it to its key's queue for now."""
        if message.key_queue and not self.key_order.has_turn(now, message):
            self.key_order.start_next(now, message.key_queue)
            return
        message.destination.queue_length, message.queued = message.destination.queue_length + 1, True
        self.queued_destinations[message.destination] = None
        resend_until = message.may_have_run_at + message.submitted.queue_class.tag_memory_time - 0.02
        if message.may_have_run_at and resend_until < message.expires_at:
            # It is given up as soon as it may not be sent again (see `may_attempt`), not later.
            heapq.heappush(self.expiries, (resend_until, next(self.sequence), message))
        self.queue_of(message).append(message)

    def end_undelivered(self, now: float, message: MessageState) -> None:
        """Bounce a message that may have run and must not be repeated, defer any other one."""
        retry_after = (
            max(0.0, min(message.terms.max_retry_after, message.expires_at - now))
            if now < self.sends_end_at
            else 0.0
        )
        bounces = message.may_have_run_at and (message.stop_if_may_have_run or message.bound_zone is not None)
        reason = (
            UndeliveredReason.MAY_HAVE_RUN
            if bounces
            else message.reason or self.undelivered_reason(now, message)
        )
        self.effects.append(
            interface.Bounce(message.submitted, reason)
            if bounces
            else interface.Defer(message.submitted, reason, retry_after)
        )
        message.outstanding += self.has_notices  # the next message of its key waits for its notice
        self.leave_key_queue(now, message)

    def undelivered_reason(self, now: float, message: MessageState) -> UndeliveredReason:
        """Why nothing more is sent for a message."""
        if message.expires_at <= now + self.sweep_interval:
            return UndeliveredReason.LIFETIME_OVER
        if (
            message.may_have_run_at
            and now
            > message.may_have_run_at
            + message.submitted.queue_class.tag_memory_time
            - 0.02
            - self.sweep_interval
        ):
            return UndeliveredReason.TAG_MAY_BE_FORGOTTEN
        return UndeliveredReason.STOPPING if now >= self.sends_end_at else UndeliveredReason.NO_ATTEMPT_LEFT

    def leave_key_queue(self, now: float, message: MessageState) -> None:
        """Let the next message of its key go, once this one is finished and has nothing outstanding."""
        self.key_order.leave(now, message)

    def may_attempt(self, now: float, message: MessageState) -> bool:
        """Whether a further attempt is allowed, and can still be of use."""
        # A tagged message may be repeated as long as its tag is remembered, less 0.02 s for the rounding of
        # clocks; a once-only message never.
        memory_time = (
            -inf if message.stop_if_may_have_run else message.submitted.queue_class.tag_memory_time - 0.02
        )
        no_repeat = message.may_have_run_at and now > message.may_have_run_at + memory_time
        most = min(self.max_attempts, message.terms.max_attempts)
        no_attempt_left = (
            message.stage is MessageStage.FINISHED or message.attempts - message.outstanding >= most
        )
        return not no_repeat and not no_attempt_left and message.expires_at > now + self.sweep_interval

    def send_queued(self, now: float) -> None:
        """Send queued messages, the most urgent first, while limits leave room."""
        self.calls_this_turn.clear()
        ready: list[tuple[float, int, DestinationState, MessageState]] = []
        put_back: list[MessageState] = []
        may_send = not self.slots_full and now < self.sends_end_at and not self.sends_held
        misses = [0] * len(self.queued_destinations)
        for place, destination in enumerate(list(self.queued_destinations) if may_send else []):
            if now >= destination.wait_until:
                for each in destination.routes.values():
                    self.refill_credit(now, each)
                self.start_trials(now, destination)
                if destination.calls_in_flight - destination.overdue_calls < int(destination.window) and (
                    message := self.pop_best(now, destination)
                ):
                    heapq.heappush(ready, (-self.urgency(now, message), place, destination, message))
        while ready:
            _, place, destination, message = heapq.heappop(ready)
            route = (
                self.choose_route(now, message) if not self.slots_full or destination.batch_size > 1 else None
            )
            if route and message.expires_at - now < route.durations.quantile(0.0, 0.25):
                # Not one call in four would end in time.
                message.reason = UndeliveredReason.NO_CALL_IN_TIME
                self.apply_event(now, message, MessageEvent.GIVEN_UP)
            elif (
                not route
                or not self.key_order.has_turn(now, message)
                or not self.send_attempt(now, message, route)
            ):
                put_back.append(message)
                misses[place] += 1
            # Enough tries for a destination to fill the calls that were started for it in this turn.
            if misses[place] <= 2 + destination.batch_size and (following := self.pop_best(now, destination)):
                heapq.heappush(ready, (-self.urgency(now, following), place, destination, following))
        for message in reversed(put_back):
            self.queue_of(message).appendleft(message)

    def pop_best(self, now: float, destination: DestinationState) -> MessageState | None:
        """Take the next message off the queues: first attempts, then retries, then late messages."""
        best: deque[MessageState] | None = None
        steady = any(route.failure_rate <= 0.2 for route in destination.routes.values())
        for queue in destination.first_attempts.values():
            # Messages whose importance fades fast by now let the punctual ones go first.
            while queue and (queue[0].stage is not MessageStage.WAITING or now > queue[0].fades_at):
                destination.late.append(queue.popleft())
                while destination.late and destination.late[0].stage is not MessageStage.WAITING:
                    destination.late.popleft()
            may_go = queue and (steady or not queue[0].once_only)
            if may_go and (not best or self.urgency(now, queue[0]) > self.urgency(now, best[0])):
                best = queue
        if best:
            return best.popleft()
        for other in (destination.retries, destination.late):
            while other:
                message = other.popleft() if other is destination.retries else other.pop()
                if self.may_attempt(now, message):
                    return message
                if message.stage is MessageStage.WAITING:
                    self.apply_event(now, message, MessageEvent.GIVEN_UP)
        return None

    def queue_of(self, message: MessageState) -> deque[MessageState]:
        """Retries have one queue at a destination, first attempts one for each queue class."""
        queue_class = message.submitted.queue_class
        return (
            message.destination.retries
            if message.attempts
            else message.destination.first_attempts.setdefault(queue_class, deque())
        )

    def urgency(self, now: float, message: MessageState) -> float:
        """Priority of a message: its importance, grown by its age, per second that it takes a slot."""
        # Importance grows with age, so that no queue class starves; it starts at half, which keeps classes
        # apart. Divided by the time of a slot, so that receivers that respond slowly do not take the slots
        # of others.
        age = max(0.0, now - message.handed_in_at) / message.submitted.queue_class.target_delay
        return message.terms.importance * (0.5 + age) / (0.1 + message.destination.slot_time)

    def choose_route(self, now: float, message: MessageState) -> RouteState | None:
        """Draw one of the usable routes at random, weighted by their shares; None if there is none."""
        eligible = (
            route for route in message.destination.routes.values() if self.is_eligible(message, route)
        )
        closed = (
            route
            for route in eligible
            if route.circuit is CircuitState.CLOSED and route.no_sends_until <= now
        )
        with_credit = (route for route in closed if route.credit >= 1 or route in self.calls_this_turn)
        routes = [
            route
            for route in with_credit
            if len(route.calls) < route.listed.window or route in self.calls_this_turn
        ]
        if len(routes) > 1 and message.last_route in routes:
            routes.remove(message.last_route)  # a further attempt goes over another route if it can
        # Routes whose rate is not known count with the mean of the known rates.
        rates = [self.route_rate(route) for route in routes]
        known_rates = [rate for rate in rates if rate]
        mean_rate = sum(known_rates) / len(known_rates) if known_rates else 1.0
        shares = (
            self.share(now, route, rate or mean_rate) for route, rate in zip(routes, rates, strict=True)
        )
        sums = list(accumulate(shares))
        return routes[bisect_right(sums, self.random_fraction() * sums[-1])] if routes else None

    def is_eligible(self, message: MessageState, route: RouteState) -> bool:
        """Whether a route is steady enough for a message, and in a zone where the message may go.

        Once-only messages cannot be tried anew and go over steady routes alone: two served calls or five
        quiet seconds make a route steady.
        """
        return (route.failure_rate <= 0.2 or not message.once_only) and message.bound_zone in (
            None,
            route.listed.zone,
        )

    def has_no_alternative(self, message: MessageState, route: RouteState) -> bool:
        """Whether a message that may have run over this route could go again over no other one."""
        others = (
            each
            for each in message.destination.routes.values()
            if each.circuit is CircuitState.CLOSED and each is not route
        )
        return message.submitted.queue_class.one_zone and all(
            each.listed.zone != route.listed.zone for each in others
        )

    def send_attempt(self, now: float, message: MessageState, route: RouteState, trial: bool = False) -> bool:
        """Send a message over a route, in a call of this turn or a new one; False if limits leave no room."""
        call, destination = self.calls_this_turn.get(route), message.destination
        # A timeout that operators set replaces what was learned; it was checked when the settings were read.
        timeouts = route.listed.timeouts
        set_timeout = timeouts.get(message.submitted.queue_class.name) or timeouts.get("", 0.0)
        if call is None or call.attempts_in_flight >= route.listed.kind.batch_size:
            failing = any(
                other.failure_rate > 0.3 or other.circuit is not CircuitState.CLOSED
                for other in destination.routes.values()
            )
            most = max(
                1,
                (self.max_failing_destination_calls if failing else self.max_destination_calls)
                // (1 + self.peer_load.processes),
            )
            crowded = (
                self.slots_full
                or destination.calls_in_flight >= most
                or not self.fits_shared_windows(route, 1)
            )
            # Overdue calls do not count in the window: a few silent ones would block a destination for the
            # lifetime of their messages.
            if crowded or (
                not trial
                and (
                    destination.calls_in_flight - destination.overdue_calls >= int(destination.window)
                    or route.credit < 1
                )
            ):
                return False
            # Overdue for all but the odd heavy message: after three times what nine in ten calls stay under,
            # or twice the target delay.
            target_delay = message.submitted.queue_class.target_delay
            usual = route.durations.quantile(
                self.durations.quantile(target_delay / 2, 0.95) if self.sparse_traffic else target_delay / 2
            )
            overdue_after = set_timeout or min(2 * target_delay, max(0.4, 3 * usual))
            call = self.calls_this_turn[route] = Call(
                route, now, overdue_after, trial, message.once_only or self.has_no_alternative(message, route)
            )
            self.calls[call] = route.calls[call] = None
            destination.calls_in_flight += 1
            route.credit -= 1
        else:
            # A further message in a call is more work for the receiver, though no further call. It takes a
            # little credit, and more while the route is cold.
            route.credit -= 0.08 if self.slow_start(now, route) == 1 else 0.25
        attempt_timeout = set_timeout or min(
            message.submitted.queue_class.tag_memory_time / 2,
            call.overdue_after * 2 ** (1 + message.attempts),
        )
        attempt_timeout = (
            inf
            if call.once_only and not set_timeout
            else call.overdue_after
            if trial and not set_timeout
            else attempt_timeout
        )
        timeout = min(message.expires_at - now, attempt_timeout)
        message.attempts, message.outstanding, message.last_route = (
            message.attempts + 1,
            message.outstanding + 1,
            route,
        )
        message.bound_zone = route.listed.zone if message.submitted.queue_class.one_zone else None
        call.attempts_in_flight += 1
        self.apply_event(now, message, MessageEvent.SENT)
        hedged = (
            self.may_hedge
            and message.terms.max_copies > message.outstanding
            and not message.stop_if_may_have_run
            and not message.key_queue
        )
        if hedged and message.terms.copy_after < message.submitted.queue_class.tag_memory_time:
            heapq.heappush(self.hedges_due, (now + message.terms.copy_after, next(self.sequence), message))
        # Only a message that cannot be repeated needs a connection that is surely open; others are soon
        # retried. The time that is safe grows by a second in twenty.
        max_connection_idle_time = (
            self.safe_idle_time + (now - self.idle_reset_at) / 20 if message.stop_if_may_have_run else inf
        )
        call.attempts.append(
            Attempt(message.submitted, route.listed, timeout, call, max_connection_idle_time)
        )
        self.effects.append(call.attempts[-1])
        return True

    def send_hedge(self, now: float, message: MessageState) -> None:
        """Send a hedged attempt over another route, where the first is slow and slots are not short."""
        most = min(self.max_attempts, message.terms.max_attempts)  # attempts in flight count, too
        has_room = (
            2 * (len(self.calls) + self.peer_load.calls_in_flight) < self.slots
            and message.outstanding < message.terms.max_copies
            and now < self.sends_end_at
        )
        may_send = (
            message.attempts < most
            and now >= message.destination.wait_until
            and self.may_attempt(now, message)
        )
        may_send = may_send and not self.sends_held
        if message.stage is MessageStage.IN_FLIGHT and has_room and may_send:
            route = self.choose_route(now, message)
            if route and route is not message.last_route:
                self.send_attempt(now, message, route)

    def cancel_attempts(self, message: MessageState) -> None:
        """Cancel all attempts in flight of a message that needs them no more."""
        for call in self.calls if message.outstanding and self.may_cancel else ():
            self.effects += [
                interface.Cancel(attempt) for attempt in call.attempts if attempt.message is message.submitted
            ]

    def start_trials(self, now: float, destination: DestinationState) -> None:
        """Start one trial for each route whose circuit is open and whose backoff is over.

        It is made with the message that is safest to repeat; a probe goes where there is none.
        """
        for route in destination.routes.values():
            not_due = now < route.no_sends_until or (route.credit < 1 and not self.is_failing(route))
            if route.circuit is not CircuitState.OPEN or not_due:
                continue
            if sum(call.trial for call in self.calls) >= max(
                1, self.slots // 4 // (1 + self.peer_load.processes)
            ):
                return  # trials of many silent routes would take all slots
            message = self.pop_trial_message(now, destination, route)
            if message and not self.send_attempt(now, message, route, trial=True):
                self.queue_of(message).appendleft(message)
            elif message or self.may_probe:
                if message is None:
                    # Seconds: as long as the longest backoff.
                    self.effects.append(interface.Probe(route.listed, 2.0))
                self.apply_signal(now, route, RouteSignal.TRIAL_STARTED)

    def pop_trial_message(
        self, now: float, destination: DestinationState, route: RouteState
    ) -> MessageState | None:
        """Take the message that is safest to repeat; a once-only one if there is no other and no probe."""
        queues = (destination.retries, *destination.first_attempts.values())
        candidates = [queue for queue in queues if queue and self.may_attempt(now, queue[0])]
        candidates = [queue for queue in candidates if queue[0].bound_zone in (None, route.listed.zone)]
        candidates = [queue for queue in candidates if self.key_order.has_turn(now, queue[0])]
        candidates.sort(
            key=lambda queue: list(RepeatSafety).index(queue[0].submitted.queue_class.repeat_safety)
        )
        return (
            candidates[0].popleft()
            if candidates and not (self.may_probe and candidates[0][0].once_only)
            else None
        )

    def make_room(self, now: float) -> None:
        """Defer messages of the destination with the longest queue, the least important first.

        This is done before new messages would have to be refused.
        """
        # Two more messages may come before the next turn.
        while self.pending_count + self.peer_load.pending > self.room - 2:
            destination = max(self.queued_destinations, key=lambda other: other.queue_length, default=None)
            queues = [queue for queue in destination.first_attempts.values() if queue] if destination else []
            if not queues:
                return
            message = min(queues, key=lambda queue: queue[-1].terms.importance).pop()
            if message.stage is MessageStage.WAITING:
                message.reason = UndeliveredReason.NO_ROOM
                self.apply_event(now, message, MessageEvent.GIVEN_UP)

    def destination_state_of(self, listed: interface.Destination) -> DestinationState:
        """The state of a destination, created with a window of one call where there is none yet."""
        return self.destination_states.setdefault(listed, DestinationState(listed, window=1.0))

    def default_terms_of(self, queue_class: interface.QueueClass) -> interface.Terms:
        """The terms of messages of a queue class for which operators set none at their destination."""
        if queue_class not in self.default_terms:
            self.default_terms[queue_class] = interface.Terms(
                queue_class.importance, self.max_attempts, self.max_retry_after, 1, inf
            )
        return self.default_terms[queue_class]

    def random_fraction(self) -> float:
        """A pseudo-random number from 0 up to 1, reproducible by the seed."""
        return zlib.crc32(f"{self.seed}:{next(self.sequence)}".encode()) / 2**32

"""The dispatcher: turns adapter events into calls of the delivery policy, and carries out its effects."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import structlog

from laureldock import interface
from laureldock.core.binding_records import BindingRecords
from laureldock.core.call_results import ATTEMPT_RESULTS, CallResult
from laureldock.core.class_counters import ClassCounters
from laureldock.core.invariants import Invariants
from laureldock.core.messages import (
    ACCEPTED,
    HeldMessage,
    Reply,
    ReplyKind,
    StoredMessage,
    Submitter,
    encode_notice,
)
from laureldock.core.peer_processes import PeerProcesses
from laureldock.core.peer_view import RouteRecord
from laureldock.core.protocols import (
    Carrier,
    Clock,
    Front,
    ListenError,
    Outlet,
    Source,
    Store,
    Timer,
)
from laureldock.core.reattachment import Reattachment
from laureldock.core.record_keeping import RecordKeeping
from laureldock.core.recovery import Recovery
from laureldock.core.submissions import Submissions
from laureldock.delivery_connections import ExtraBytes
from laureldock.delivery_memory import (
    FINISHED_NAME_BYTES,
    ROUTE_BYTES,
    MemoryBudget,
    MemoryKind,
    MemoryRefusal,
    list_fits,
    message_bytes,
)
from laureldock.delivery_policy import DeliveryPolicy
from laureldock.delivery_settings import DeliveryRegistry, ListedEndpoint
from laureldock.process_memory import resident_bytes

# Seconds after a planned stop begins. By the platform's protocol clients may still connect for up to 0.4 s,
# and the process is killed after 3.7 s.
ACCEPT_TIME, STOP_TIME = 0.6, 3.3

LISTEN_RETRY = 0.1  # seconds until listening is tried again after a transient error

# Seconds. A message's lifetime ends earlier for its client than here, because of the network delay on the way
# here and the rounding of timers.
CLOCK_TOLERANCE = 0.01

RESULTS_NOT_RUN = (
    interface.AttemptResult.REFUSED,
    interface.AttemptResult.NO_CONNECTION,
    interface.AttemptResult.MOOT,
)


class Dispatcher:
    """One dispatcher: accepts messages, holds them, and carries out what the delivery policy decides.

    `attach` sets its adapters and must be called before `start`. `on_fatal_error` is called with the text of
    an error after which the process cannot go on.
    """

    carrier: Carrier
    source: Source
    outlet: Outlet

    def __init__(
        self,
        name: str,
        registry: DeliveryRegistry,
        store: Store,
        clock: Clock,
        on_fatal_error: Callable[[str], None],
        memory: MemoryBudget | None = None,
    ) -> None:
        self.name, self.registry, self.store, self.clock = name, registry, store, clock
        self.on_fatal_error = on_fatal_error
        self.memory = memory or MemoryBudget()
        self.log = structlog.get_logger().bind(dispatcher=name)
        self.counters: Counter[str] = Counter()
        self.class_counters = ClassCounters()
        self.store.open()
        self.held_messages: dict[interface.Message, HeldMessage] = {}
        self.messages_by_name: dict[bytes, HeldMessage] = {}
        self.fronts: list[Front] = []
        self.running, self.stop_began_at = True, 0.0
        self.recovered = False  # whether messages left pending by previous processes are held
        # Whether the fronts listen; whether health checks fail and clients are asked to leave.
        self.ready = self.lameduck = False
        # Whether the platform owns the listening socket, and shares it with the next process.
        self.shares_listening_socket = False
        self.verbose = False  # whether the steps of each message are logged
        # Called with the number of running processes of this dispatcher, this one included, when it changes.
        self.on_process_count: Callable[[int], None] = lambda processes: None
        # Metrics of the configuration in force, where it comes from a controller.
        self.configuration_metrics: Callable[[], dict[str, float]] = dict
        self.turn_due = False
        self.policy = DeliveryPolicy(self.registry.settings, self.now())
        self.recovery = Recovery(self)
        self.record_keeping = RecordKeeping(self)
        self.binding_records = BindingRecords(self)
        self.peers = PeerProcesses(self)
        self.reattachment = Reattachment(self)
        self.submissions = Submissions(self)
        self.invariants = Invariants(self)

    def attach(self, fronts: list[Front], carrier: Carrier, source: Source, outlet: Outlet) -> None:
        """Set the adapters; called once, before `start`."""
        self.fronts, self.carrier, self.source, self.outlet = fronts, carrier, source, outlet

    @property
    def settings(self) -> interface.DeliverySettings:
        """The delivery settings in force."""
        return self.registry.settings

    @property
    def logs_messages(self) -> bool:
        """Whether the steps of each message are logged: if configured, and during a handover."""
        return self.verbose or self.store.is_shared

    # Start and stop of the process

    def start(self) -> None:
        """Start the source; clients are accepted once the endpoint list is known."""
        self.log.info(
            "starting",
            owed=len(self.store.pending),
            torn_bytes=self.store.torn_bytes,
            **self.memory.start_figures(),
        )
        self.record_keeping.retry_if_unwritten()
        self.recovery.send_notices(list(self.store.pending.values()))
        self.source.start()
        self.start_serving()

    def start_serving(self) -> None:
        """Restore pending messages and accept clients, once the endpoint list is settled.

        The list comes first, since endpoints that were listed before this start count as known. A list server
        or notice server that is down does not keep clients out: both are retried in the background.
        """
        if self.recovered or self.stop_began_at or not self.source.settled:
            return
        self.recovered = True
        self.recovery.apply_inherited_records()
        self.recovery.restore_messages(list(self.store.pending.values()))
        self.start_listening()
        self.recovery.watch_peer_processes()

    def start_listening(self) -> None:
        """Make the fronts listen; ready once all do. Transient errors are retried, others end the process."""
        if self.stop_began_at:
            return
        if not self.peers.read():
            self.call_later(LISTEN_RETRY, self.start_listening)
            return
        self.invariants.accepting_clients()
        try:
            for front in self.fronts:
                front.open()
        except ListenError as error:
            self.log.error("cannot listen", fault=str(error))
            if error.transient:
                self.call_later(LISTEN_RETRY, self.start_listening)
            else:
                self.on_fatal_error(f"cannot listen: {error}")
            return
        self.ready = True
        self.log.info("ready", routes=len(self.registry.routes), owed=len(self.held_messages))

    def stop(self, done: Callable[[], None]) -> None:
        """Begin a planned stop, and call `done` at its end.

        New clients are still served for a while, calls in flight are finished, and other pending messages are
        left in the store for the next process.
        """
        self.log.info("stopping", out=self.carrier.attempts_in_flight, held=len(self.held_messages))
        self.stop_began_at = self.now()
        self.ready = False
        self.call_policy(self.policy.begin_shutdown, STOP_TIME, self.shares_listening_socket)
        if self.shares_listening_socket:
            # Close idle connections: receivers limit the connections of one dispatcher.
            self.carrier.close()
        # On a shared socket, new connections wait for the next process: there is no need to go on accepting.
        self.call_later(0.0 if self.shares_listening_socket else ACCEPT_TIME, self.stop_listening)
        self.call_later(ACCEPT_TIME, self.stop_when_done, done)

    def stop_listening(self) -> None:
        """Make all fronts stop accepting clients."""
        for front in self.fronts:
            front.stop_accepting()

    def stop_when_done(self, done: Callable[[], None]) -> None:
        """Close the adapters and call `done` once nothing is left to do, or `STOP_TIME` is over."""
        late = self.now() - self.stop_began_at > STOP_TIME
        if not late and self.has_unfinished_work():
            self.call_later(0.02, self.stop_when_done, done)
            return
        self.running = False
        self.source.close()
        self.outlet.close()
        self.carrier.close()
        self.log.info(
            "stopped", kept=len(self.held_messages), out=self.carrier.attempts_in_flight, **self.counters
        )
        done()

    def has_unfinished_work(self) -> bool:
        """Whether a planned stop has to wait. The next process takes over messages that are only queued."""
        # A message that is finished but not recorded as such would be sent again by the next process.
        if (
            self.outlet.pending_count
            or self.store.has_unwritten
            or any(front.connection_count for front in self.fronts)
        ):
            return True
        sends = not self.shares_listening_socket or self.now() < self.policy.sends_end_at
        return bool(self.held_messages) if sends else self.carrier.attempts_in_flight > 0

    def accepts_clients(self) -> bool:
        """Whether health checks pass."""
        return self.ready and not self.lameduck

    def set_lameduck(self, on: bool) -> None:
        """Ask clients to leave, or accept them again. Messages that are held are delivered all the same."""
        if on != self.lameduck:
            self.lameduck = on
            self.log.warning("lameduck" if on else "lameduck over", held=len(self.held_messages))
            for front in self.fronts:
                front.set_lameduck(on)

    def call_later(self, delay: float, call: Callable[..., None], *args: Any) -> Timer:
        """Call a function after so many seconds; negative delays count as zero."""
        return self.clock.callLater(max(0.0, delay), call, *args)

    def now(self) -> float:
        """The monotonic time in seconds."""
        return self.clock.seconds()

    # Events become calls of the policy; once all input has been read, one turn carries out the effects

    def call_policy(self, call: Callable[..., None], *args: Any) -> None:
        """Call a method of the policy with the present time, and schedule a turn."""
        self.guard(call, self.now(), *args)
        if not self.turn_due:
            self.turn_due = True
            self.call_later(0, self.run_turn)

    def run_turn(self) -> None:
        """Carry out the effects of one turn of the policy, then reply to clients."""
        self.turn_due = False
        for effect in self.guard(self.policy.turn, self.now()) or ():
            self.guard(self.execute, effect)
        self.submissions.reply_to_all()

    def guard(self, call: Callable[..., Any], *args: Any) -> Any:
        """Call a function and return its result; None after an exception, which is logged and counted.

        So a defect ends only what it is about, not the process.
        """
        try:
            return call(*args)
        except Exception:
            self.counters["faults"] += 1
            self.log.exception("fault", call=call.__qualname__)
        return None

    def execute(self, effect: interface.Effect) -> None:
        """Carry out one effect of the policy."""
        match effect:
            case interface.Attempt(message=message):
                self.counters["connects"] += 1
                held = self.held_messages[message]
                held.attempts += 1
                if self.logs_messages:
                    self.log_step("connect", held, route=effect.route.name)
                self.carrier.start_attempt(effect, held)
            case interface.Cancel(attempt=attempt):
                self.carrier.cancel_attempt(attempt)
            case interface.Defer(message=message, reason=reason, retry_after=retry_after):
                self.finish_undelivered(self.held_messages[message], True, reason, retry_after)
            case interface.Bounce(message=message, reason=reason):
                self.finish_undelivered(self.held_messages[message], False, reason, 0.0)
            case interface.Probe():
                self.counters["probes"] += 1
                self.carrier.start_probe(effect)
            case interface.CloseIdleConnections(route=route):
                self.carrier.close_idle_connections(route)
            case interface.FetchList():
                if self.running:
                    self.source.fetch_list(effect)
            case interface.StartTimer(delay=delay, name=name):
                self.call_later(delay, self.call_policy, self.policy.timer_expired, name)
            case interface.RouteFailed(route=route, shut=shut):
                self.record_route(route, RouteRecord(None, self.now(), shut))
            case interface.RouteRecovered(route=route, recovered_at=recovered_at):
                self.record_route(route, RouteRecord(recovered_at, self.now()))
            case interface.LogLine(text=text):
                self.log.info(text)
            case interface.PeerNote():
                self.log.warning("notes to peers are not sent here")

    # Fronts

    def submit(
        self, submitter: Submitter, stored: StoredMessage, time_left: float
    ) -> Reply | HeldMessage | None:
        """Accept or refuse a message: see `Submissions.submit`."""
        return self.submissions.submit(submitter, stored, time_left)

    def client_withdrew(self, message: HeldMessage) -> None:
        """The client disconnected before its reply could be sent."""
        self.submissions.client_withdrew(message)

    def holds(self, message: HeldMessage) -> bool:
        """Whether this message is pending here; false for a finished one, also if a newer one has its id."""
        return self.messages_by_name.get(message.name) is message

    def log_step(self, event: str, message: HeldMessage, **fields: Any) -> None:
        """Log a step of a message, with the names that its client and the endpoint list use."""
        stored = self.store.pending.get(message.name)
        names = {"queue_class": stored.queue_class, "destination": stored.destination} if stored else {}
        if stored and stored.key is not None:
            names["key"] = stored.key
        message_id = message.name.decode(errors="replace")
        log = self.log.debug if self.verbose else self.log.info
        log(event, mail=message_id, **names, connects=message.attempts, **fields)

    def report_accepting_paused(self, paused: bool, clients: int) -> None:
        """Log that a front is at its limit on connections, or no longer."""
        event = "clients wait to be accepted" if paused else "clients are accepted again"
        self.log.warning(event, clients=clients, held=self.memory.held_bytes)

    def report_out_of_descriptors(self) -> None:
        """Log and count that the process ran out of file descriptors."""
        self.counters["out of descriptors"] += 1
        self.log.warning("out of descriptors", so_far=self.counters["out of descriptors"])

    def report_malformed_request(self, reason: str, client: int, held: int) -> None:
        """Log and count a request that could not be parsed or carried out."""
        self.counters["malformed requests"] += 1
        so_far = self.counters["malformed requests"]
        self.log.warning("malformed request", why=reason, so_far=so_far, client=client, held=held)

    def report_memory_refusal(self, refusal: MemoryRefusal, **facts: object) -> None:
        """Log and count what gave way for want of memory."""
        self.memory.refused(refusal)
        self.log.warning(
            "memory is short", gave_way=refusal.value, so_far=self.memory.refusals[refusal], **facts
        )

    def report_extra_bytes(self, peer: str, kind: ExtraBytes) -> None:
        """Log and count bytes of a peer that answer no request; their connection is closed."""
        self.counters[kind.value] += 1
        self.log.warning(
            "bytes without a request", peer=peer, kind=kind.value, so_far=self.counters[kind.value]
        )

    def hold_message(self, held: HeldMessage) -> None:
        """Hold a message until it is finished or withdrawn."""
        self.held_messages[held.message] = self.messages_by_name[held.name] = held
        self.memory.change(MemoryKind.MESSAGES, message_bytes(held.body))
        self.invariants.message_held(held)

    def forget_message(self, held: HeldMessage, accepted: bool | None = None) -> None:
        """Drop a message that is finished or withdrawn, also from the store.

        `accepted`: what its request is told if it comes again; None if it is a new message then.
        """
        if self.holds(held):
            self.record_keeping.write(self.store.record_finished, held.name, accepted)
            del self.messages_by_name[held.name]
        self.memory.set_held(MemoryKind.FINISHED, len(self.store.finished) * FINISHED_NAME_BYTES)
        if self.held_messages.pop(held.message, None):
            self.memory.change(MemoryKind.MESSAGES, -message_bytes(held.body))
        self.invariants.message_forgotten(held)

    def may_not_run_again(self, held: HeldMessage) -> bool:
        """Whether a message may have run, and a repeat of it would be another effect."""
        stored = self.store.pending.get(held.name)
        if stored is None or held.message.queue_class.repeat_safety is interface.RepeatSafety.REDELIVERABLE:
            return False
        return stored.in_flight_since is not None or stored.first_may_have_run_at is not None

    # Outcomes of messages

    def log_finished(self, message: HeldMessage, outcome: str) -> None:
        """Log the outcome of a message."""
        if self.logs_messages:
            self.log_step("mail over", message, word=outcome)

    def finish_undelivered(
        self, held: HeldMessage, handed_back: bool, reason: interface.UndeliveredReason, retry_after: float
    ) -> None:
        """End a message undelivered: by its reply if the client still waits for that, else by a notice.

        `retry_after`: seconds after which the client should try again; 0 for no advice.
        """
        outcome = "deferred" if handed_back else "bounced"
        self.log_finished(held, f"{outcome}: {reason.value}")
        self.counters[outcome] += 1
        self.counters[f"{outcome}: {reason.value}"] += 1
        self.count_message(held, outcome)
        awaits_reply = held.submitter is not None or self.reattachment.is_waiting(held)
        if not awaits_reply:
            self.finish_by_notice(held.name, handed_back, retry_after)
        elif self.record_keeping.write(
            self.store.record_refusal, held.name, not handed_back and self.may_not_run_again(held)
        ):
            held.refusal = Reply(ReplyKind.BUSY if handed_back else ReplyKind.FAILED, retry_after)
            self.reattachment.message_finished(held, held.refusal)
            self.forget_message(held)
            self.call_policy(self.policy.notice_acknowledged, held.message)
        else:
            # The message is still pending in the store, so that the next process would send it: accept it,
            # and end it by a notice.
            self.record_keeping.delay_notice(held.name, encode_notice(held.name, handed_back, retry_after))

    def finish_by_notice(self, name: bytes, handed_back: bool, retry_after: float = 0.0) -> None:
        """End an accepted message undelivered, and tell its operator's system by a notice."""
        self.record_keeping.finish_by_notice(name, encode_notice(name, handed_back, retry_after))

    def notice_acknowledged(self, name: bytes) -> None:
        """A notice was acknowledged: its message is finished."""
        held = self.messages_by_name.get(name)
        if held:
            self.forget_message(held, accepted=True)
            self.call_policy(self.policy.notice_acknowledged, held.message)
        else:  # ended by a previous process
            self.record_keeping.write(self.store.record_finished, name, True)

    # Carriers

    def may_start(self, attempt: interface.Attempt, held: HeldMessage) -> bool:
        """Whether an attempt may be sent, and record its start if so.

        Asked once its connection is up: events since it was decided may forbid it, and no attempt may be sent
        without a record in the store.
        """
        if not self.holds(held):
            self.call_policy(self.policy.message_withdrawn, held.message)
            return False
        if not self.policy_allows(attempt):
            return False
        if not self.record_keeping.write(
            self.store.record_attempt_start, held.name, self.now(), attempt.route.name
        ):
            return False
        # A peer process may have taken the last slot since the check above; now that both attempts are
        # recorded, each process sees the other's.
        if self.peers.view.processes and not self.policy_allows(attempt):
            self.record_keeping.write(self.store.record_not_run, held.name)
            return False
        held.recorded_attempt = attempt
        return True

    def policy_allows(self, attempt: interface.Attempt) -> bool:
        """Whether the policy allows an attempt, given the latest records of all peer processes."""
        return self.peers.read() and self.policy.may_start(self.now(), attempt)

    def attempt_sending(self, attempt: interface.Attempt, message: HeldMessage) -> None:
        """The first byte of an attempt is about to be sent."""
        self.invariants.attempt_sending(attempt, message)

    def message_sent(self, message: HeldMessage) -> None:
        """The last byte of a call with this message was sent."""
        self.count_message(message, "sent")

    def attempt_ended(
        self, attempt: interface.Attempt, message: HeldMessage, result: CallResult, outcome: interface.Outcome
    ) -> None:
        """An attempt has ended: count and log it, record it in the store, and tell the policy."""
        if result is CallResult.DELIVERED and self.now() > message.expires_at - CLOCK_TOLERANCE:
            result = CallResult.DELIVERED_LATE
            attempt_result, finished = ATTEMPT_RESULTS[result]
            outcome = replace(outcome, result=attempt_result, finished=finished)
        self.counters[f"ended: {result.value}"] += 1
        if outcome.requested_wait:
            self.invariants.wait_requested(attempt.route, outcome.requested_wait)
        self.invariants.attempt_ended(attempt, message, outcome.result)
        if outcome.result in interface.RESULTS_THAT_MAY_STILL_RUN:
            self.record_cooldown(message, self.settings.key_cooldown_time)
        if self.logs_messages:
            self.log_step(
                "connect ended",
                message,
                route=attempt.route.name,
                end=result.value,
                took=round(outcome.duration, 4),
            )
        if outcome.finished:
            if self.holds(message):  # else a hedged attempt was served first
                if result is CallResult.DELIVERED:
                    self.counters["relayed"] += 1
                    self.count_message(message, "relayed")
                self.log_finished(message, result.value)
                self.reattachment.message_finished(message, ACCEPTED)
            self.forget_message(message, accepted=True)
        elif self.holds(message) and message.recorded_attempt is attempt:
            self.record_attempt_end(message, outcome)
        if outcome.requested_wait:
            stored = self.store.pending.get(message.name)
            destination = str(stored.destination) if stored else ""
            self.record_requested_wait(attempt.route, destination, outcome.requested_wait)
        self.call_policy(self.policy.attempt_ended, attempt, outcome)

    def record_attempt_end(self, message: HeldMessage, outcome: interface.Outcome) -> None:
        """Record the end of an attempt that did not deliver its message, and whether it may have run."""
        if outcome.result in RESULTS_NOT_RUN:
            self.record_keeping.write(self.store.record_not_run, message.name)
        elif self.shares_listening_socket:  # peer processes count calls in flight
            self.record_keeping.write(self.store.record_attempt_end, message.name)

    def record_requested_wait(self, route: interface.Route, destination: str, wait: float) -> None:
        """Record that a receiver asked to be sent nothing for so many seconds.

        `destination`: of the message that it refused; empty if that is no longer known.
        """
        now = self.now()
        # It binds peer processes, too: to the rules, all processes are one dispatcher.
        if self.shares_listening_socket:
            self.record_keeping.write(self.store.record_requested_wait, route.name, now + wait, now)
            if destination and not route.kind.limits_per_route:
                self.record_keeping.write(self.store.record_destination_wait, destination, now + wait, now)
        self.binding_records.wait_requested(route, now + wait)

    def record_route(self, route: interface.Route, record: RouteRecord) -> None:
        """Record that a route failed or recovered, for peer processes and the next process."""
        self.record_keeping.write(self.store.record_route, route.name, record)
        self.binding_records.route_changed(route, record)

    def record_cooldown(self, held: HeldMessage, seconds: float) -> None:
        """Record the cooldown of a message's ordering key, for peer processes and the next process."""
        message, now = held.message, self.now()
        if message.queue_class.in_order and message.key is not None:
            self.record_keeping.write(self.store.record_cooldown, message.key, now + seconds, now)

    def probe_ended(self, route: interface.Route, outcome: interface.Outcome) -> None:
        """A probe of a route has ended."""
        self.call_policy(self.policy.probe_ended, route, outcome)

    # The endpoint list

    def list_fits(self, endpoints: list[tuple[ListedEndpoint, str]], full: bool) -> bool:
        """Whether there is memory for the endpoints that a list adds."""
        known = self.registry.routes
        added = len(endpoints) if full else sum(each.name not in known for each, _ in endpoints)
        if list_fits(self.memory, len(known), added, full):
            return True
        self.report_memory_refusal(MemoryRefusal.LIST_REFUSED, endpoints=len(endpoints))
        return False

    def list_updated(self, endpoints: list[tuple[ListedEndpoint, str]], full: bool) -> None:
        """Endpoints were listed, each with its address; a `full` list replaces the known one."""
        known = self.registry.routes
        known_before = len(known)
        listed_names = known.keys() if full else (endpoint.name for endpoint, _ in endpoints)
        before = {name: known[name] for name in listed_names if name in known}
        up = [route for route in before.values() if route.listed_state is interface.ListedState.UP]
        entries = [endpoint for endpoint, _ in endpoints]
        replaced = self.registry.remove_replaced(entries)
        routes = self.registry.update_list(entries, full)
        for route, (_, address) in zip(routes, endpoints, strict=True):
            self.carrier.update_route(route, address)
        no_longer_up = [route.name for route in up if route.listed_state is not interface.ListedState.UP]
        if no_longer_up:
            self.log.info("drained or gone", routes=no_longer_up)
        changed = dict.fromkeys([*before.values(), *routes])
        self.carrier.remove_routes(
            [route for route in changed if route.listed_state is interface.ListedState.REMOVED]
        )
        self.memory.change(MemoryKind.LISTS, ROUTE_BYTES * (len(known) - known_before))
        self.call_policy(self.policy.list_updated, [*replaced, *routes], full)
        up_before = set(up)
        listed_anew = [route for route in routes if route.listed_state is interface.ListedState.UP]
        self.binding_records.routes_listed_anew([each for each in listed_anew if each not in up_before])
        self.invariants.routes_listed([*changed])
        self.start_serving()

    def list_failed(self, reason: str) -> None:
        """Fetching the endpoint list failed."""
        self.counters["list failures"] += 1
        self.log.warning("list failed", why=reason)
        self.call_policy(self.policy.list_failed)
        self.start_serving()

    # Counters

    def count_message(self, held: HeldMessage, counter: str) -> None:
        """Add one to a counter of the message's queue class."""
        self.count(held.message.queue_class.name, counter)

    def count(self, queue_class: str, counter: str) -> None:
        """Add one to a counter of a queue class, by its name."""
        self.class_counters.count(queue_class, counter, self.registry.classes)

    def operator_metrics(self) -> dict[str, Any]:
        """The content of `/_vars`: counts since the process started, and present values."""
        routes = self.registry.routes.values()
        draining = sum(route.listed_state is not interface.ListedState.UP for route in routes)
        return {
            "requests": self.class_counters.operator_counts(),
            "in_flight": len(self.held_messages),
            "endpoints_known": len(routes),
            "endpoints_excluded": draining + self.policy.excluded_routes(self.now()),
            "reloads_ok": self.counters["configurations read"],
            "reloads_failed": self.counters["configurations refused"],
            "ready": self.accepts_clients(),
            "lameduck": self.lameduck,
            "memory": self.memory.figures(resident_bytes()),
            **self.configuration_metrics(),
        }

    def log_counters(self) -> None:
        """Log all metrics."""
        self.log.info("counters", **self.metrics())

    def metrics(self) -> dict[str, float]:
        """Present values and all counters, by name."""
        present: dict[str, float] = {"held": len(self.held_messages), "out": self.carrier.attempts_in_flight}
        present["clients"] = sum(front.connection_count for front in self.fronts)
        memory = self.memory.figures(resident_bytes())
        present |= {f"memory {name}": value for name, value in memory.items()}
        return {**present, **self.configuration_metrics(), **dict(sorted(self.counters.items()))}

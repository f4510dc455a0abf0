"""The core: events of the peers become calls of the decisions, and their effects go out again."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import structlog

from laureldock import interface
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
from laureldock.delivery_policy import DeliveryPolicy
from laureldock.delivery_settings import DeliveryRegistry, ListedEndpoint

# At a planned stop, by the platform's protocol: clients come for up to 0.4 s, and the kill after 3.7 s.
ACCEPT_TIME, STOP_TIME = 0.6, 3.3

LISTEN_RETRY = 0.1  # seconds, until a front that could not listen for a moment tries again

# A mail's lifetime ends sooner by its client's clock than by ours: by the way here, and what timers round.
ROUNDING = 0.01

NOT_RUN = interface.AttemptResult.REFUSED, interface.AttemptResult.NO_CONNECTION, interface.AttemptResult.MOOT


class Dispatcher:
    """Give it its peers by `attach` before `start`. `ended_for` hears of a fault that ends the process."""

    carrier: Carrier
    source: Source
    outlet: Outlet

    def __init__(
        self,
        name: str,
        book: DeliveryRegistry,
        store: Store,
        clock: Clock,
        ended_for: Callable[[str], None],
    ) -> None:
        self.name, self.registry, self.store, self.clock = name, book, store, clock
        self.on_fatal_error = ended_for
        self.log = structlog.get_logger().bind(dispatcher=name)
        self.counters: Counter[str] = Counter()
        self.class_counters = ClassCounters()
        self.store.open()
        self.held_messages: dict[interface.Message, HeldMessage] = {}
        self.messages_by_name: dict[bytes, HeldMessage] = {}
        self.fronts: list[Front] = []
        self.running, self.stopped_at = True, 0.0
        self.recovered = False  # what the life before owed is held
        self.ready = self.lameduck = False  # clients are taken; clients are told no and sent away
        self.shares_listening_socket = (
            False  # the listening socket is the platform's, shared with the next process
        )
        self.verbose = False  # whether each mail's steps are logged
        # Told how many processes of this dispatcher live, this one included, when that changes.
        self.on_process_count: Callable[[int], None] = lambda processes: None
        # Figures of the configuration in force, where it comes from a controller.
        self.configuration_metrics: Callable[[], dict[str, float]] = dict
        self.turn_due = False
        self.policy = DeliveryPolicy(self.registry.settings, self.now())
        self.recovery = Recovery(self)
        self.records = RecordKeeping(self)
        self.peers = PeerProcesses(self)
        self.reattachment = Reattachment(self)
        self.submissions = Submissions(self)
        self.invariants = Invariants(self)

    def attach(self, fronts: list[Front], carrier: Carrier, source: Source, outlet: Outlet) -> None:
        self.fronts, self.carrier, self.source, self.outlet = fronts, carrier, source, outlet

    @property
    def settings(self) -> interface.DeliverySettings:
        return self.registry.settings

    @property
    def logs_steps(self) -> bool:
        """Whether each message's steps are logged: when asked for, and while processes hand over."""
        return self.verbose or self.store.is_shared

    # The life of the process

    def start(self) -> None:
        self.log.info("starting", owed=len(self.store.pending), torn_bytes=self.store.torn_bytes)
        self.records.retry_if_behind()
        self.recovery.send_notices(list(self.store.pending.values()))
        self.source.start()
        self.recover()

    def recover(self) -> None:
        """First the list, since what it had before this start counts as told; then what is owed, and clients.

        Neither a list nor a door for notices that is down keeps clients out: the one is asked for again, the
        other is sent to again, beside all else."""
        if self.recovered or self.stopped_at or not self.source.settled:
            return
        self.recovered = True
        self.recovery.inherit_routes()
        self.recovery.rest_keys()
        self.recovery.revive(list(self.store.pending.values()))
        self.start_listening()
        self.recovery.watch_processes()

    def start_listening(self) -> None:
        """All fronts listen, or none; what fails for a moment is tried again."""
        if self.stopped_at:
            return
        if not self.peers.read():
            self.call_later(LISTEN_RETRY, self.start_listening)
            return
        self.invariants.opening()
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
        """A planned stop: still serve what comes, finish what is out, keep the rest for the next start."""
        self.log.info("stopping", out=self.carrier.attempts_in_flight, held=len(self.held_messages))
        self.stopped_at = self.now()
        self.ready = False
        self.call_policy(self.policy.begin_shutdown, STOP_TIME, self.shares_listening_socket)
        if self.shares_listening_socket:
            self.carrier.close()  # connections at rest: receivers hold only so many of one dispatcher
        # Where the platform listens, what comes is kept for the next process: no need to stay at the door.
        self.call_later(0.0 if self.shares_listening_socket else ACCEPT_TIME, self.stop_listening)
        self.call_later(ACCEPT_TIME, self.finish_stop, done)

    def stop_listening(self) -> None:
        for front in self.fronts:
            front.stop_accepting()

    def finish_stop(self, done: Callable[[], None]) -> None:
        late = self.now() - self.stopped_at > STOP_TIME
        if not late and self.has_unfinished_work():
            self.call_later(0.02, self.finish_stop, done)
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
        """Whether something is left to do before the end; the next process takes over what only waits."""
        # What is over and not recorded would be sent once more in the next life.
        if (
            self.outlet.pending_count
            or self.store.has_unwritten
            or any(front.connection_count for front in self.fronts)
        ):
            return True
        sends = not self.shares_listening_socket or self.now() < self.policy.sends_end_at
        return bool(self.held_messages) if sends else self.carrier.attempts_in_flight > 0

    def accepts_clients(self) -> bool:
        return self.ready and not self.lameduck

    def set_lameduck(self, on: bool) -> None:
        """Empty this dispatcher, or take clients again; the process runs on, and what it has is served."""
        if on != self.lameduck:
            self.lameduck = on
            self.log.warning("lameduck" if on else "lameduck over", held=len(self.held_messages))
            for front in self.fronts:
                front.set_lameduck(on)

    def call_later(self, after: float, call: Callable[..., None], *args: Any) -> Timer:
        return self.clock.callLater(max(0.0, after), call, *args)

    def now(self) -> float:
        return self.clock.seconds()

    # Events: calls of the decisions; when all that has come in is read, one turn with its effects

    def call_policy(self, call: Callable[..., None], *args: Any) -> None:
        self.guard(call, self.now(), *args)
        if not self.turn_due:
            self.turn_due = True
            self.call_later(0, self.run_turn)

    def run_turn(self) -> None:
        self.turn_due = False
        for effect in self.guard(self.policy.turn, self.now()) or ():
            self.guard(self.execute, effect)
        self.submissions.reply_to_all()

    def guard(self, call: Callable[..., Any], *args: Any) -> Any:
        """A fault ends what it was about, not the process."""
        try:
            return call(*args)
        except Exception:
            self.counters["faults"] += 1
            self.log.exception("fault", call=call.__qualname__)
        return None

    def execute(self, effect: interface.Effect) -> None:
        match effect:
            case interface.Attempt(message=mail):
                self.counters["connects"] += 1
                message = self.held_messages[mail]
                message.attempts += 1
                if self.logs_steps:
                    self.log_step("connect", message, route=effect.route.name)
                self.carrier.start_attempt(effect, message)
            case interface.Cancel(attempt=attempt):
                self.carrier.cancel_attempt(attempt)
            case interface.Defer(message=mail, reason=reason, retry_after=retry_after):
                self.finish_undelivered(self.held_messages[mail], True, reason, retry_after)
            case interface.Bounce(message=mail, reason=reason):
                self.finish_undelivered(self.held_messages[mail], False, reason, 0.0)
            case interface.Probe():
                self.counters["probes"] += 1
                self.carrier.start_probe(effect)
            case interface.CloseIdleConnections(route=route):
                self.carrier.close_idle_connections(route)
            case interface.FetchList():
                if self.running:
                    self.source.fetch_list(effect)
            case interface.StartTimer(delay=after, name=name):
                self.call_later(after, self.call_policy, self.policy.timer_expired, name)
            case interface.RouteFailed(route=route):
                self.records.write(self.store.record_route, route.name, RouteRecord(None, self.now()))
            case interface.RouteRecovered(route=route, recovered_at=back_at):
                self.records.write(self.store.record_route, route.name, RouteRecord(back_at, self.now()))
            case interface.LogLine(text=text):
                self.log.info(text)
            case interface.PeerNote():
                self.log.warning("notes to peers are not sent here")

    # Fronts

    def submit(self, submitter: Submitter, stored: StoredMessage, left: float) -> Reply | HeldMessage | None:
        """Take a message on: see `Submissions.put`."""
        return self.submissions.submit(submitter, stored, left)

    def client_withdrew(self, message: HeldMessage) -> None:
        """Its client went before its answer could leave."""
        self.submissions.client_withdrew(message)

    def holds(self, message: HeldMessage) -> bool:
        """Whether it is owed here: not another message of that id, and not one that is over."""
        return self.messages_by_name.get(message.name) is message

    def log_step(self, event: str, message: HeldMessage, **fields: Any) -> None:
        """Of one mail, by the names that its client and the list gave."""
        stored = self.store.pending.get(message.name)
        names = {"queue_class": stored.queue_class, "destination": stored.destination} if stored else {}
        if stored and stored.key is not None:
            names["key"] = stored.key
        mail = message.name.decode(errors="replace")
        log = self.log.debug if self.verbose else self.log.info
        log(event, mail=mail, **names, connects=message.attempts, **fields)

    def report_accepting_paused(self, full: bool) -> None:
        self.log.warning("clients wait to be accepted" if full else "clients are accepted again")

    def report_out_of_descriptors(self) -> None:
        self.counters["out of descriptors"] += 1
        self.log.warning("out of descriptors", so_far=self.counters["out of descriptors"])

    def report_malformed_request(self, why: str) -> None:
        self.counters["malformed requests"] += 1
        self.log.warning("malformed request", why=why, so_far=self.counters["malformed requests"])

    def hold(self, held: HeldMessage) -> None:
        self.held_messages[held.message] = self.messages_by_name[held.name] = held
        self.invariants.held(held)

    def forget(self, held: HeldMessage) -> None:
        if self.holds(held):
            self.records.write(self.store.record_finished, held.name)
            del self.messages_by_name[held.name]
        self.held_messages.pop(held.message, None)
        self.invariants.forgotten(held)

    # Ends

    def log_finished(self, message: HeldMessage, word: str) -> None:
        if self.logs_steps:
            self.log_step("mail over", message, word=word)

    def finish_undelivered(
        self, held: HeldMessage, handed_back: bool, reason: interface.UndeliveredReason, retry_after: float
    ) -> None:
        word = "deferred" if handed_back else "bounced"
        self.log_finished(held, f"{word}: {reason.value}")
        self.counters[word] += 1
        self.counters[f"{word}: {reason.value}"] += 1
        self.count_message(held, word)
        unanswered = held.submitter is not None or self.reattachment.waits(held)
        if not unanswered:
            self.finish_by_notice(held.name, handed_back, retry_after)
        elif self.records.write(self.store.record_refusal, held.name):
            held.refusal = Reply(ReplyKind.BUSY if handed_back else ReplyKind.FAILED, retry_after)
            self.reattachment.ended(held, held.refusal)
            self.forget(held)
            self.call_policy(self.policy.notice_acknowledged, held.message)
        else:  # the store owes it still, and the next life would send it: accepted, and ended by a notice
            self.records.delay_notice(held.name, encode_notice(held.name, handed_back, retry_after))

    def finish_by_notice(self, name: bytes, handed_back: bool, retry_after: float = 0.0) -> None:
        self.records.end_by_notice(name, encode_notice(name, handed_back, retry_after))

    def notice_acknowledged(self, name: bytes) -> None:
        held = self.messages_by_name.get(name)
        if held:
            self.forget(held)
            self.call_policy(self.policy.notice_acknowledged, held.message)
        else:  # ended in an earlier life
            self.records.write(self.store.record_finished, name)

    # Carriers

    def may_start(self, attempt: interface.Attempt, held: HeldMessage) -> bool:
        """Asked when the connection is up: what was told meanwhile may forbid it; and the spool must know."""
        if not self.holds(held):
            self.call_policy(self.policy.message_withdrawn, held.message)
            return False
        if not self.policy_allows(attempt):
            return False
        if not self.records.write(self.store.record_attempt_start, held.name, self.now(), attempt.route.name):
            return False
        # Another process may have taken the last slot since it was looked for: each sees the other's record.
        if self.peers.view.processes and not self.policy_allows(attempt):
            self.records.write(self.store.record_not_run, held.name)
            return False
        held.recorded_attempt = attempt
        return True

    def policy_allows(self, attempt: interface.Attempt) -> bool:
        """Whether the decisions allow it, by what all processes of this dispatcher have recorded."""
        return self.peers.read() and self.policy.may_start(self.now(), attempt)

    def attempt_sending(self, attempt: interface.Attempt, message: HeldMessage) -> None:
        self.invariants.sending(attempt, message)

    def message_sent(self, message: HeldMessage) -> None:
        self.count_message(message, "sent")

    def attempt_ended(
        self, attempt: interface.Attempt, message: HeldMessage, end: CallResult, outcome: interface.Outcome
    ) -> None:
        if end is CallResult.DELIVERED and self.now() > message.expires_at - ROUNDING:
            end = CallResult.DELIVERED_LATE
            ending, finished = ATTEMPT_RESULTS[end]
            outcome = replace(outcome, result=ending, finished=finished)
        self.counters[f"ended: {end.value}"] += 1
        if outcome.requested_wait:
            self.invariants.told_to_wait(attempt.route, outcome.requested_wait)
        self.invariants.ended(attempt, message, outcome.result)
        if outcome.result in interface.RESULTS_THAT_MAY_STILL_RUN:
            self.record_cooldown(message, self.settings.key_cooldown_time)
        if self.logs_steps:
            self.log_step(
                "connect ended",
                message,
                route=attempt.route.name,
                end=end.value,
                took=round(outcome.duration, 4),
            )
        if outcome.finished:
            if self.holds(message):  # a second copy may have been served first
                if end is CallResult.DELIVERED:
                    self.counters["relayed"] += 1
                    self.count_message(message, "relayed")
                self.log_finished(message, end.value)
                self.reattachment.ended(message, ACCEPTED)
            self.forget(message)
        elif self.holds(message) and message.recorded_attempt is attempt:
            self.record_attempt_end(message, outcome)
        if (
            outcome.requested_wait and self.shares_listening_socket
        ):  # binds both processes: to the rules they are one dispatcher
            now = self.now()
            self.records.write(
                self.store.record_requested_wait, attempt.route.name, now + outcome.requested_wait, now
            )
        self.call_policy(self.policy.attempt_ended, attempt, outcome)

    def record_attempt_end(self, message: HeldMessage, outcome: interface.Outcome) -> None:
        """Of an attempt that did not deliver it: whether it may have run."""
        if outcome.result in NOT_RUN:
            self.records.write(self.store.record_not_run, message.name)
        elif self.shares_listening_socket:  # other processes count the calls that are out
            self.records.write(self.store.record_attempt_end, message.name)

    def record_cooldown(self, held: HeldMessage, seconds: float) -> None:
        """What comes next of its key waits for so long, in the next life and in other processes, too."""
        mail, now = held.message, self.now()
        if mail.queue_class.in_order and mail.key is not None:
            self.records.write(self.store.record_cooldown, mail.key, now + seconds, now)

    def probe_ended(self, route: interface.Route, outcome: interface.Outcome) -> None:
        self.call_policy(self.policy.probe_ended, route, outcome)

    # The list

    def list_updated(self, hosts: list[tuple[ListedEndpoint, str]], whole: bool) -> None:
        known = self.registry.routes
        named = known.keys() if whole else (entry.name for entry, _ in hosts)
        before = {name: known[name] for name in named if name in known}
        up = [route for route in before.values() if route.listed_state is interface.ListedState.UP]
        routes = self.registry.update_list([entry for entry, _ in hosts], whole)
        for route, (_, dial) in zip(routes, hosts, strict=True):
            self.carrier.update_route(route, dial)
        drained = [route.name for route in up if route.listed_state is not interface.ListedState.UP]
        if drained:
            self.log.info("drained or gone", routes=drained)
        touched = dict.fromkeys([*before.values(), *routes])
        self.carrier.remove_routes(
            [route for route in touched if route.listed_state is interface.ListedState.REMOVED]
        )
        self.call_policy(self.policy.list_updated, routes, whole)
        self.invariants.listed([*touched])
        self.recover()

    def list_failed(self, why: str) -> None:
        self.counters["list failures"] += 1
        self.log.warning("list failed", why=why)
        self.call_policy(self.policy.list_failed)
        self.recover()

    # Counters

    def count_message(self, held: HeldMessage, word: str) -> None:
        self.count(self.registry.class_name(held.message.queue_class), word)

    def count(self, queue_class: str, word: str) -> None:
        self.class_counters.count(queue_class, word, self.registry.classes)

    def operator_metrics(self) -> dict[str, Any]:
        """What `/_vars` shows: counts since the start of the process, and what is held now."""
        routes = self.registry.routes.values()
        draining = sum(route.listed_state is not interface.ListedState.UP for route in routes)
        return {
            "requests": self.class_counters.shown(),
            "in_flight": len(self.held_messages),
            "endpoints_known": len(routes),
            "endpoints_excluded": draining + self.policy.excluded_routes(self.now()),
            "reloads_ok": self.counters["configurations read"],
            "reloads_failed": self.counters["configurations refused"],
            "ready": self.accepts_clients(),
            "lameduck": self.lameduck,
            **self.configuration_metrics(),
        }

    def log_counters(self) -> None:
        self.log.info("counters", **self.metrics())

    def metrics(self) -> dict[str, float]:
        held = {"held": len(self.held_messages), "out": self.carrier.attempts_in_flight}
        held["clients"] = sum(front.connection_count for front in self.fronts)
        return {**held, **self.configuration_metrics(), **dict(sorted(self.counters.items()))}

"""The core: events of the peers become calls of the decisions, and their effects go out again."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import structlog

from laureldock import interface
from laureldock.core.class_counters import ClassCounters
from laureldock.core.ends import OUTCOMES, End
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
from laureldock.core.reattachment import Reattachment
from laureldock.core.record_keeping import RecordKeeping
from laureldock.core.recovery import Recovery
from laureldock.core.seams import (
    Carrier,
    Clock,
    Front,
    ListenError,
    Outlet,
    Source,
    Store,
    Timer,
)
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
        self.name, self.book, self.store, self.clock = name, book, store, clock
        self.ended_for = ended_for
        self.log = structlog.get_logger().bind(dispatcher=name)
        self.counters: Counter[str] = Counter()
        self.class_counters = ClassCounters()
        self.store.open()
        self.held: dict[interface.Message, HeldMessage] = {}
        self.by_name: dict[bytes, HeldMessage] = {}
        self.fronts: list[Front] = []
        self.running, self.stopped_at = True, 0.0
        self.recovered = False  # what the life before owed is held
        self.ready = self.lameduck = False  # clients are taken; clients are told no and sent away
        self.handed_down = False  # the listening socket is the platform's, shared with the next process
        self.verbose = False  # whether each mail's steps are logged
        # Told how many processes of this dispatcher live, this one included, when that changes.
        self.on_processes: Callable[[int], None] = lambda processes: None
        # Figures of the configuration in force, where it comes from a controller.
        self.configuration_figures: Callable[[], dict[str, float]] = dict
        self.turn_due = False
        self.control = DeliveryPolicy(self.book.settings, self.now())
        self.recovery = Recovery(self)
        self.records = RecordKeeping(self)
        self.peers = PeerProcesses(self)
        self.reattachment = Reattachment(self)
        self.submissions = Submissions(self)
        self.invariants = Invariants(self)

    def attach(self, fronts: list[Front], carrier: Carrier, source: Source, outlet: Outlet) -> None:
        self.fronts, self.carrier, self.source, self.outlet = fronts, carrier, source, outlet

    @property
    def tariff(self) -> interface.DeliverySettings:
        return self.book.settings

    @property
    def logs_steps(self) -> bool:
        """Whether each message's steps are logged: when asked for, and while processes hand over."""
        return self.verbose or self.store.sharing

    # The life of the process

    def start(self) -> None:
        self.log.info("starting", owed=len(self.store.owed), torn_bytes=self.store.torn)
        self.records.retry_if_behind()
        self.recovery.send_notices(list(self.store.owed.values()))
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
        self.recovery.revive(list(self.store.owed.values()))
        self.start_listening()
        self.recovery.watch_processes()

    def start_listening(self) -> None:
        """All fronts listen, or none; what fails for a moment is tried again."""
        if self.stopped_at:
            return
        if not self.peers.read():
            self.later(LISTEN_RETRY, self.start_listening)
            return
        self.invariants.opening()
        try:
            for front in self.fronts:
                front.open()
        except ListenError as error:
            self.log.error("cannot listen", fault=str(error))
            if error.transient:
                self.later(LISTEN_RETRY, self.start_listening)
            else:
                self.ended_for(f"cannot listen: {error}")
            return
        self.ready = True
        self.log.info("ready", routes=len(self.book.routes), owed=len(self.held))

    def stop(self, done: Callable[[], None]) -> None:
        """A planned stop: still serve what comes, finish what is out, keep the rest for the next start."""
        self.log.info("stopping", out=self.carrier.out, held=len(self.held))
        self.stopped_at = self.now()
        self.ready = False
        self.tell(self.control.begin_shutdown, STOP_TIME, self.handed_down)
        if self.handed_down:
            self.carrier.close()  # connections at rest: receivers hold only so many of one dispatcher
        # Where the platform listens, what comes is kept for the next process: no need to stay at the door.
        self.later(0.0 if self.handed_down else ACCEPT_TIME, self.stop_listening)
        self.later(ACCEPT_TIME, self.finish_stop, done)

    def stop_listening(self) -> None:
        for front in self.fronts:
            front.shut()

    def finish_stop(self, done: Callable[[], None]) -> None:
        late = self.now() - self.stopped_at > STOP_TIME
        if not late and self.has_to_finish():
            self.later(0.02, self.finish_stop, done)
            return
        self.running = False
        self.source.close()
        self.outlet.close()
        self.carrier.close()
        self.log.info("stopped", kept=len(self.held), out=self.carrier.out, **self.counters)
        done()

    def has_to_finish(self) -> bool:
        """Whether something is left to do before the end; the next process takes over what only waits."""
        # What is over and not recorded would be sent once more in the next life.
        if self.outlet.waiting or self.store.behind or any(front.busy for front in self.fronts):
            return True
        sends = not self.handed_down or self.now() < self.control.sends_end_at
        return bool(self.held) if sends else self.carrier.out > 0

    def takes_clients(self) -> bool:
        return self.ready and not self.lameduck

    def set_lameduck(self, on: bool) -> None:
        """Empty this dispatcher, or take clients again; the process runs on, and what it has is served."""
        if on != self.lameduck:
            self.lameduck = on
            self.log.warning("lameduck" if on else "lameduck over", held=len(self.held))
            for front in self.fronts:
                front.set_lameduck(on)

    def later(self, after: float, call: Callable[..., None], *args: Any) -> Timer:
        return self.clock.callLater(max(0.0, after), call, *args)

    def now(self) -> float:
        return self.clock.seconds()

    # Events: calls of the decisions; when all that has come in is read, one turn with its effects

    def tell(self, call: Callable[..., None], *args: Any) -> None:
        self.guard(call, self.now(), *args)
        if not self.turn_due:
            self.turn_due = True
            self.later(0, self.turn)

    def turn(self) -> None:
        self.turn_due = False
        for effect in self.guard(self.control.turn, self.now()) or ():
            self.guard(self.carry_out, effect)
        self.submissions.reply_to_all()

    def guard(self, call: Callable[..., Any], *args: Any) -> Any:
        """A fault ends what it was about, not the process."""
        try:
            return call(*args)
        except Exception:
            self.counters["faults"] += 1
            self.log.exception("fault", call=call.__qualname__)
        return None

    def carry_out(self, effect: interface.Effect) -> None:
        match effect:
            case interface.Attempt(message=mail):
                self.counters["connects"] += 1
                message = self.held[mail]
                message.attempts += 1
                if self.logs_steps:
                    self.step("connect", message, route=effect.route.name)
                self.carrier.attempt(effect, message)
            case interface.Cancel(attempt=attempt):
                self.carrier.cancel(attempt)
            case interface.Defer(message=mail, reason=reason, retry_after=retry_after):
                self.answer(self.held[mail], True, reason, retry_after)
            case interface.Bounce(message=mail, reason=reason):
                self.answer(self.held[mail], False, reason, 0.0)
            case interface.Probe():
                self.counters["probes"] += 1
                self.carrier.probe(effect)
            case interface.CloseIdleConnections(route=route):
                self.carrier.hang_up(route)
            case interface.FetchList():
                if self.running:
                    self.source.ask(effect)
            case interface.StartTimer(delay=after, name=name):
                self.later(after, self.tell, self.control.timer_expired, name)
            case interface.RouteFailed(route=route):
                self.records.write(self.store.route, route.name, RouteRecord(None, self.now()))
            case interface.RouteRecovered(route=route, recovered_at=back_at):
                self.records.write(self.store.route, route.name, RouteRecord(back_at, self.now()))
            case interface.LogLine(text=text):
                self.log.info(text)
            case interface.PeerNote():
                self.log.warning("notes to peers are not sent here")

    # Fronts

    def put(self, submitter: Submitter, stored: StoredMessage, left: float) -> Reply | HeldMessage | None:
        """Take a message on: see `Submissions.put`."""
        return self.submissions.put(submitter, stored, left)

    def withdrawn(self, message: HeldMessage) -> None:
        """Its client went before its answer could leave."""
        self.submissions.withdrawn(message)

    def holds(self, message: HeldMessage) -> bool:
        """Whether it is owed here: not another message of that id, and not one that is over."""
        return self.by_name.get(message.name) is message

    def step(self, event: str, message: HeldMessage, **fields: Any) -> None:
        """Of one mail, by the names that its client and the list gave."""
        stored = self.store.owed.get(message.name)
        names = {"queue_class": stored.queue_class, "destination": stored.destination} if stored else {}
        if stored and stored.key is not None:
            names["key"] = stored.key
        mail = message.name.decode(errors="replace")
        log = self.log.debug if self.verbose else self.log.info
        log(event, mail=mail, **names, connects=message.attempts, **fields)

    def full(self, full: bool) -> None:
        self.log.warning("clients wait to be accepted" if full else "clients are accepted again")

    def short(self) -> None:
        self.counters["out of descriptors"] += 1
        self.log.warning("out of descriptors", so_far=self.counters["out of descriptors"])

    def malformed(self, why: str) -> None:
        self.counters["malformed requests"] += 1
        self.log.warning("malformed request", why=why, so_far=self.counters["malformed requests"])

    def hold(self, held: HeldMessage) -> None:
        self.held[held.message] = self.by_name[held.name] = held
        self.invariants.held(held)

    def forget(self, held: HeldMessage) -> None:
        if self.holds(held):
            self.records.write(self.store.over, held.name)
            del self.by_name[held.name]
        self.held.pop(held.message, None)
        self.invariants.forgotten(held)

    # Ends

    def over(self, message: HeldMessage, word: str) -> None:
        if self.logs_steps:
            self.step("mail over", message, word=word)

    def answer(
        self, held: HeldMessage, handed_back: bool, reason: interface.UndeliveredReason, retry_after: float
    ) -> None:
        word = "deferred" if handed_back else "bounced"
        self.over(held, f"{word}: {reason.value}")
        self.counters[word] += 1
        self.counters[f"{word}: {reason.value}"] += 1
        self.count_of(held, word)
        unanswered = held.submitter is not None or self.reattachment.waits(held)
        if not unanswered:
            self.end_by_notice(held.name, handed_back, retry_after)
        elif self.records.write(self.store.refuse, held.name):
            held.refusal = Reply(ReplyKind.BUSY if handed_back else ReplyKind.FAILED, retry_after)
            self.reattachment.ended(held, held.refusal)
            self.forget(held)
            self.tell(self.control.notice_acknowledged, held.message)
        else:  # the store owes it still, and the next life would send it: accepted, and ended by a notice
            self.records.delay_notice(held.name, encode_notice(held.name, handed_back, retry_after))

    def end_by_notice(self, name: bytes, handed_back: bool, retry_after: float = 0.0) -> None:
        self.records.end_by_notice(name, encode_notice(name, handed_back, retry_after))

    def noticed(self, name: bytes) -> None:
        held = self.by_name.get(name)
        if held:
            self.forget(held)
            self.tell(self.control.notice_acknowledged, held.message)
        else:  # ended in an earlier life
            self.records.write(self.store.over, name)

    # Carriers

    def may_begin(self, attempt: interface.Attempt, held: HeldMessage) -> bool:
        """Asked when the connection is up: what was told meanwhile may forbid it; and the spool must know."""
        if not self.holds(held):
            self.tell(self.control.message_withdrawn, held.message)
            return False
        if not self.allowed(attempt):
            return False
        if not self.records.write(self.store.out, held.name, self.now(), attempt.route.name):
            return False
        # Another process may have taken the last slot since it was looked for: each sees the other's record.
        if self.peers.view.processes and not self.allowed(attempt):
            self.records.write(self.store.back, held.name)
            return False
        held.recorded_attempt = attempt
        return True

    def allowed(self, attempt: interface.Attempt) -> bool:
        """Whether the decisions allow it, by what all processes of this dispatcher have recorded."""
        return self.peers.read() and self.control.may_start(self.now(), attempt)

    def sending(self, attempt: interface.Attempt, message: HeldMessage) -> None:
        self.invariants.sending(attempt, message)

    def sent(self, message: HeldMessage) -> None:
        self.count_of(message, "sent")

    def ended(
        self, attempt: interface.Attempt, message: HeldMessage, end: End, outcome: interface.Outcome
    ) -> None:
        if end is End.DELIVERED and self.now() > message.end - ROUNDING:
            end = End.TOO_LATE
            ending, finished = OUTCOMES[end]
            outcome = replace(outcome, result=ending, finished=finished)
        self.counters[f"ended: {end.value}"] += 1
        if outcome.requested_wait:
            self.invariants.told_to_wait(attempt.route, outcome.requested_wait)
        self.invariants.ended(attempt, message, outcome.result)
        if outcome.result in interface.RESULTS_THAT_MAY_STILL_RUN:
            self.record_rest(message, self.tariff.key_cooldown_time)
        if self.logs_steps:
            self.step(
                "connect ended",
                message,
                route=attempt.route.name,
                end=end.value,
                took=round(outcome.duration, 4),
            )
        if outcome.finished:
            if self.holds(message):  # a second copy may have been served first
                if end is End.DELIVERED:
                    self.counters["relayed"] += 1
                    self.count_of(message, "relayed")
                self.over(message, end.value)
                self.reattachment.ended(message, ACCEPTED)
            self.forget(message)
        elif self.holds(message) and message.recorded_attempt is attempt:
            self.record_end(message, outcome)
        if (
            outcome.requested_wait and self.handed_down
        ):  # binds both processes: to the rules they are one dispatcher
            now = self.now()
            self.records.write(self.store.wait, attempt.route.name, now + outcome.requested_wait, now)
        self.tell(self.control.attempt_ended, attempt, outcome)

    def record_end(self, message: HeldMessage, outcome: interface.Outcome) -> None:
        """Of an attempt that did not deliver it: whether it may have run."""
        if outcome.result in NOT_RUN:
            self.records.write(self.store.back, message.name)
        elif self.handed_down:  # other processes count the calls that are out
            self.records.write(self.store.end, message.name)

    def record_rest(self, held: HeldMessage, seconds: float) -> None:
        """What comes next of its key waits for so long, in the next life and in other processes, too."""
        mail, now = held.message, self.now()
        if mail.queue_class.in_order and mail.key is not None:
            self.records.write(self.store.rest, mail.key, now + seconds, now)

    def probed(self, route: interface.Route, outcome: interface.Outcome) -> None:
        self.tell(self.control.probe_ended, route, outcome)

    # The list

    def news(self, hosts: list[tuple[ListedEndpoint, str]], whole: bool) -> None:
        known = self.book.routes
        named = known.keys() if whole else (entry.name for entry, _ in hosts)
        before = {name: known[name] for name in named if name in known}
        up = [route for route in before.values() if route.listed_state is interface.ListedState.UP]
        routes = self.book.update_list([entry for entry, _ in hosts], whole)
        for route, (_, dial) in zip(routes, hosts, strict=True):
            self.carrier.listed(route, dial)
        drained = [route.name for route in up if route.listed_state is not interface.ListedState.UP]
        if drained:
            self.log.info("drained or gone", routes=drained)
        touched = dict.fromkeys([*before.values(), *routes])
        self.carrier.forget(
            [route for route in touched if route.listed_state is interface.ListedState.REMOVED]
        )
        self.tell(self.control.list_updated, routes, whole)
        self.invariants.listed([*touched])
        self.recover()

    def list_failed(self, why: str) -> None:
        self.counters["list failures"] += 1
        self.log.warning("list failed", why=why)
        self.tell(self.control.list_failed)
        self.recover()

    # Counters

    def count_of(self, held: HeldMessage, word: str) -> None:
        self.count(self.book.class_name(held.message.queue_class), word)

    def count(self, queue_class: str, word: str) -> None:
        self.class_counters.count(queue_class, word, self.book.classes)

    def operators_figures(self) -> dict[str, Any]:
        """What `/_vars` shows: counts since the start of the process, and what is held now."""
        routes = self.book.routes.values()
        draining = sum(route.listed_state is not interface.ListedState.UP for route in routes)
        return {
            "requests": self.class_counters.shown(),
            "in_flight": len(self.held),
            "endpoints_known": len(routes),
            "endpoints_excluded": draining + self.control.excluded_routes(self.now()),
            "reloads_ok": self.counters["configurations read"],
            "reloads_failed": self.counters["configurations refused"],
            "ready": self.takes_clients(),
            "lameduck": self.lameduck,
            **self.configuration_figures(),
        }

    def log_counters(self) -> None:
        self.log.info("counters", **self.figures())

    def figures(self) -> dict[str, float]:
        held = {"held": len(self.held), "out": self.carrier.out}
        held["clients"] = sum(front.busy for front in self.fronts)
        return {**held, **self.configuration_figures(), **dict(sorted(self.counters.items()))}

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

from laureldock import interface as face
from laureldock.interface import Attempt, Ending, Mail, Outcome, Reason, Rerun, Route
from laureldock.records import Call, Case, Lane, Line, Turns

# A route's circuit breaker: closed (live), open (share nought, for its backoff or a told wait), or on trial.
State = Enum("State", "LIVE NOUGHT TRIAL")
# RUN: the latest of a run of failures; WAIT: told to wait; UNSENT: the attempt says nothing of the route.
Sign = Enum("Sign", "SERVED FAILED RUN WAIT TRIED UNSENT")
ROUTE_TABLE = {
    (State.LIVE, Sign.RUN): (State.NOUGHT, "shut"),
    (State.LIVE, Sign.WAIT): (State.NOUGHT, ""),
    (State.NOUGHT, Sign.TRIED): (State.TRIAL, ""),
    (State.TRIAL, Sign.SERVED): (State.LIVE, "reopen"),
    (State.TRIAL, Sign.FAILED): (State.NOUGHT, "shut"),
    (State.TRIAL, Sign.RUN): (State.NOUGHT, "shut"),
    (State.TRIAL, Sign.WAIT): (State.NOUGHT, ""),
    (State.TRIAL, Sign.UNSENT): (State.NOUGHT, ""),
}

# A mail waits for its first or a further attempt, has one out, or is done with.
Stage = Enum("Stage", "LINE OUT DONE")
# AGAIN: another attempt is allowed; SPENT: nothing more may or can be tried; OVER: relayed, or not wanted.
Step = Enum("Step", "DRAWN AGAIN SPENT OVER")
MAIL_TABLE = {
    (Stage.LINE, Step.DRAWN): (Stage.OUT, ""),
    (Stage.LINE, Step.SPENT): (Stage.DONE, "answer"),
    (Stage.LINE, Step.OVER): (Stage.DONE, "pass_turn"),
    (Stage.OUT, Step.DRAWN): (Stage.OUT, ""),  # a second copy
    (Stage.OUT, Step.AGAIN): (Stage.LINE, "queue"),
    (Stage.OUT, Step.SPENT): (Stage.DONE, "answer"),
    (Stage.OUT, Step.OVER): (Stage.DONE, "pass_turn"),
}


class Tally:
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


class Control:
    def __init__(self, tariff: face.Tariff, now: float) -> None:
        self.seed, self.serial = tariff.seed, count(1)
        self.slots, self.room, self.most_attempts = tariff.slots, tariff.room, tariff.most_attempts
        self.may_probe, self.may_cancel, self.notices = tariff.may_probe, tariff.may_cancel, tariff.notices
        self.most_retry_after, self.key_rest = tariff.most_retry_after, tariff.key_rest
        self.connect_time = tariff.connect_time or inf
        self.fees, self.handshake, self.near_list = tariff.fees, tariff.handshake, tariff.near_list
        self.may_copy, self.drain_grace = tariff.may_copy, tariff.drain_grace
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
        self.rate_trust = {"nominal": 1.0, "rough": 2 / 3}.get(tariff.rates, 0.0)  # may be half too high
        self.known = 0  # routes that are listed as up, of all destinations
        self.lines: dict[face.Destination, Line] = {}
        self.busy: dict[Line, None] = {}  # those with mails that wait: a turn looks at no others
        self.calls: dict[Call, None] = {}  # all that are out
        self.fresh: dict[Lane, Call] = {}  # those opened in this turn
        self.ends: list[tuple[float, int, Case]] = []
        self.terms: dict[face.QueueClass, face.Terms] = {}
        self.copies: list[tuple[float, int, Case]] = []  # when a second copy is due
        self.keys: dict[str, Turns] = {}
        self.others = face.OtherProcesses()  # of this dispatcher, while one hands over to the next
        self.resting: list[tuple[float, int, Turns]] = []
        # Kept as long as receivers keep them; by many shorter where attempts find none: idle ones cost.
        self.idle_time = min(tariff.idle_time or inf, 30.0)
        self.keep = self.idle_time if self.many else 30.0 / tariff.instances
        self.idle, self.tally = deque[tuple[float, Lane]](), Tally()  # of all calls, where a route's are few
        self.rest, self.broke = inf, now  # for how long a connection may have rested when one last broke
        self.held, self.ask_backoff, self.asked, self.ticking, self.close_at = 0, 0.0, now, False, inf
        self.keeps = False  # what waits at the end of the process is left to the next one
        self.sends_held = False  # nothing new is sent now: it could not be recorded
        self.effects: list[face.Effect] = []
        if tariff.must_ask:
            self.timer(now, "ask")

    def news(self, now: float, routes: list[Route], whole: bool) -> None:
        self.ask_backoff = 0.0
        for route in [route for line in self.lines.values() for route in line.lanes] if whole else routes:
            gone = route.listed is not face.Listed.UP
            if gone and (lane := self.line(route.destination).lanes.pop(route, None)):
                lane.drained, self.known = now, self.known - 1  # nothing new to it; what is out runs on
        for route in routes:
            line = self.line(route.destination)
            if route.listed is face.Listed.UP and route not in line.lanes:
                line.batch = route.kind.batch
                route.notes = line.lanes[route] = Lane(route, line, State.LIVE, Tally())
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
        self.effects.append(face.Timer(pause, "ask"))

    def taken(self, now: float, mail: Mail) -> None:
        kind, line, end = mail.queue_class, self.line(mail.destination), now + mail.left
        born, once = end - kind.lifetime, kind.rerun is Rerun.ONCE_ONLY
        # Of a mail that ran in an earlier life, the zone that would know a repeat is not known any more.
        single = once or kind.proven or (kind.one_zone and mail.ran is not None)
        fades = born + kind.target_delay if kind.halving else end
        terms = mail.terms or self.plain(kind)
        case = mail.notes = Case(mail, line, Stage.LINE, born, end, fades, once, single, terms)
        # What an earlier life of this dispatcher tried counts as if this one had.
        case.attempts, case.doubt = mail.attempts, 0.0 if mail.ran is None else now - mail.ran
        self.held += not mail.ended
        for lane in line.lanes.values() if self.many else ():  # what is not free is earned by what comes in
            self.refill(now, lane)
            lane.credit += self.bears(now, lane) / len(line.lanes)
        heapq.heappush(self.ends, (case.end, next(self.serial), case))
        if kind.in_order and mail.key is not None:
            case.turns = turns = self.keys.setdefault(mail.key, Turns(mail.key))
            # In the order in which they were accepted, whichever process of this dispatcher did that.
            place = len(turns.cases)
            while (
                place and not (before := turns.cases[place - 1]).out and mail.accepted < before.mail.accepted
            ):
                place -= 1
            turns.cases.insert(place, case)
            if mail.broken:
                turns.rest, turns.rested_by = max(turns.rest, now + self.key_rest), case
        if mail.ended:  # its key's next waits for its notice
            case.stage, case.out = Stage.DONE, 1
        elif case.attempts and not self.may_go(now, case):
            self.step(now, case, Step.SPENT)
        elif case.turns:
            self.wake(now, case.turns)
        else:
            self.queue(now, case)

    def ended(self, now: float, attempt: Attempt, outcome: Outcome) -> None:
        call: Call = attempt.notes
        case: Case = attempt.mail.notes
        call.out -= 1
        if outcome.ending in (Ending.SERVED, Ending.ERROR, Ending.FULL):
            call.lane.heard = now
        if not call.out:
            del self.calls[call], call.lane.calls[call]
            line, call.lane.used = call.lane.line, now
            self.idle.append((now, call.lane))
            self.effects.append(face.Timer(self.keep, "idle"))
            line.out, line.stuck = line.out - 1, line.stuck - call.overdue
            # What a mail costs here in time of a slot; a tenth at a time, so that one heavy mail says little.
            took = (now - call.sent) / len(call.attempts)
            for each in (line, call.lane):
                if outcome.ending is Ending.SERVED or took > each.cost:  # a quick failure is not cheap
                    each.cost += (0.1 if each.cost else 1.0) * (took - each.cost)
        self.judge(now, call, outcome)
        case.out -= 1
        case.attempts -= not outcome.begun  # what never began takes no attempt from its mail
        if case.turns and outcome.ending in face.MAY_RUN_ON:
            case.turns.rest, case.turns.rested_by = now + self.key_rest, case
        if not case.doubt and outcome.ending not in (Ending.FULL, Ending.NO_CONNECTION, Ending.MOOT):
            case.doubt = call.sent
        if not case.doubt and not case.out:
            case.zone = None  # it never ran: any zone will do
        if case.stage is Stage.DONE:
            self.pass_turn(now, case)
        elif not case.out or outcome.finished:  # else its other copy is still out
            self.call_off(case)
            further = Step.AGAIN if self.may_go(now, case) else Step.SPENT
            self.step(now, case, Step.OVER if outcome.finished else further)

    def probed(self, now: float, route: Route, outcome: Outcome) -> None:
        lane: Lane | None = route.notes
        if lane and lane.state is State.TRIAL:
            self.sign(now, lane, self.reading(now, lane, outcome))

    def heard(self, now: float, peer: int, data: bytes) -> None:
        """Notes of peers are not used: they may be lost, and every rule can be kept alone."""

    def timer(self, now: float, name: str) -> None:
        self.ticking = self.ticking and name != "sweep"
        if name == "ask":
            # 6 s after it fell silent, what a watch misses counts as told; a fifth is within a drain's grace.
            self.asked = now
            self.effects.append(face.AskList(watch=True, wait=2.0, time_out=0.2))

    def withdrawn(self, now: float, mail: Mail) -> None:
        if mail.notes.stage is not Stage.DONE:
            self.step(now, mail.notes, Step.OVER)

    def noticed(self, now: float, mail: Mail) -> None:
        mail.notes.out -= 1
        self.pass_turn(now, mail.notes)

    def may_begin(self, now: float, attempt: Attempt) -> bool:
        """The one guard of all that is sent, first or not, once its connection is up."""
        lane, case = attempt.notes.lane, attempt.mail.notes
        listed = attempt.route.listed is face.Listed.UP or now <= lane.drained + self.drain_grace
        open_now = listed and max(lane.opens, lane.line.until) <= now
        room = len(self.calls) + self.others.calls_out <= self.slots and self.shared_windows_hold(lane)
        return open_now and room and self.may_go(now, case) and self.has_turn(now, case)

    def closing(self, now: float, left: float, keeps: bool = False) -> None:
        """`keeps`: the next process takes over what waits when this one ends."""
        self.close_at = now + left / 2  # what is sent by then has as long again to end; others take the rest
        self.keeps = keeps

    def hold_sends(self, now: float, hold: bool) -> None:
        """Nothing new is sent while what is sent cannot be recorded; what waits keeps its attempts."""
        self.sends_held = hold

    def retell(self, now: float, tariff: face.Tariff) -> None:
        """Other settings from now on: the limits on attempts and waits bind every mail from here."""
        self.most_attempts, self.most_retry_after = tariff.most_attempts, tariff.most_retry_after
        self.terms.clear()  # those of classes that are gone go with them; the mails that wait keep theirs

    def other_processes(self, now: float, others: face.OtherProcesses) -> None:
        """Processes of a dispatcher are one to rules and limits: they share parts, slots, room and turns."""
        before, self.others = self.others, others
        self.part = 1.0 / (self.instances * (1 + others.processes))
        for key in before.first_accepted:
            if (turns := self.keys.get(key)) is not None:
                self.wake(now, turns)

    def rest_key(self, now: float, key: str, until: float) -> None:
        """Another process, or an earlier life, had a call of that key broken: it may still run."""
        turns = self.keys.setdefault(key, Turns(key))
        if until > turns.rest:
            turns.rest, turns.rested_by = until, None
        self.wake(now, turns)

    def route_failed(self, now: float, route: Route, at: float) -> None:
        """Another process, or an earlier life, saw it fail at that time: a trial opens it here, too."""
        lane: Lane | None = route.notes
        if lane and lane.state is State.LIVE:
            lane.state, lane.since = State.NOUGHT, lane.since or at
            lane.ill = max(lane.ill, 0.9)  # still failing after a served trial, and so cold then
            self.hold_off(at, lane)

    def route_returned(self, now: float, route: Route, back_at: float) -> None:
        """Another process had it served again; it is cold from `back_at` on."""
        if lane := route.notes:
            if back_at > lane.back:
                lane.back, lane.credit = back_at, 0.0
            if lane.state is State.NOUGHT and lane.until <= now:
                lane.state, lane.hush, lane.ill = State.LIVE, 0.0, min(0.4, lane.ill)

    def told_to_wait(self, now: float, route: Route, wait: float) -> None:
        """By a call of this process, or of another one of this dispatcher that hands over."""
        if lane := route.notes:
            bound = lane if route.kind.apart else lane.line
            bound.until = max(bound.until, now + wait)

    @property
    def full(self) -> bool:
        """Whether no slot is free; a process that ends leaves half of them to the one that takes over."""
        half = self.others.processes > 0 and self.close_at < inf
        most = max(1, self.slots // 2) if half else self.slots
        return len(self.calls) >= min(most, self.slots - self.others.calls_out)

    def shared_windows_hold(self, lane: Lane, more: int = 0) -> bool:
        """Whether operators' windows hold the calls of all processes, and so many more of this one."""
        line, calls_to = lane.line, self.others.calls_to
        if not calls_to:
            return True
        to_route = len(lane.calls) + calls_to.get(lane.route.name, 0)
        to_owner = line.out + sum(calls_to.get(route.name, 0) for route in line.lanes)
        return to_route + more <= lane.route.window and to_owner + more <= line.destination.window

    def excluded(self, now: float) -> int:
        """Routes listed as up that get no share now: shut, on trial, or told to wait."""
        lanes = (lane for line in self.lines.values() for lane in line.lanes.values())
        return sum(lane.state is not State.LIVE or lane.opens > now for lane in lanes)

    def turn(self, now: float) -> list[face.Effect]:
        self.overdue(now)
        while self.idle and self.idle[0][0] <= now - self.keep:
            used, lane = self.idle.popleft()
            if lane.used == used:
                self.effects.append(face.HangUp(lane.route))
        while self.resting and self.resting[0][0] <= now:
            self.wake(now, heapq.heappop(self.resting)[2])
        # Guards memory against mails that are over long before their lifetime: at most as many as are held.
        if len(self.ends) > 2 * self.held + 64:
            self.ends = [each for each in self.ends if each[2].stage is not Stage.DONE]
            heapq.heapify(self.ends)
        gives_up = now >= self.close_at and not self.keeps
        while self.ends and (gives_up or self.ends[0][0] <= now + self.tick):
            case = heapq.heappop(self.ends)[2]
            if case.stage is Stage.LINE:
                self.step(now, case, Step.SPENT)
        self.send(now)
        while self.copies and self.copies[0][0] <= now:
            self.copy(now, heapq.heappop(self.copies)[2])
        self.make_room(now)
        if self.held and not self.ticking:
            self.effects.append(face.Timer(self.tick, "sweep"))
            self.ticking = True
        effects, self.effects = self.effects, []
        return effects

    def reading(self, now: float, lane: Lane, outcome: Outcome) -> Sign:
        """What an outcome says of its route."""
        self.refill(now, lane)
        if outcome.limit is not None:
            lane.told_rate, lane.told_left = outcome.limit, outcome.left
        if outcome.wait:  # binds whatever else the call was: a late answer, or one beside a trial
            self.told_to_wait(now, lane.route, outcome.wait)
        if outcome.ending in (Ending.MOOT, Ending.CANCELLED):
            return Sign.UNSENT
        # Guards against connections closed at rest, unseen until their next call; sooner it is chance.
        if outcome.ending is Ending.RESET and outcome.rested > 0.1:
            self.rest, self.broke = max(0.1, 0.75 * outcome.rested), now
            return Sign.UNSENT
        good = outcome.ending is Ending.SERVED
        if self.seldom and outcome.ending is Ending.NO_CONNECTION and lane.state is State.LIVE:
            self.keep = max(0.1, 0.25 * self.keep)  # grown slowly: a full table costs one in a hundred
        elif good:
            self.keep = min(self.idle_time, 1.01 * self.keep) if self.seldom else self.keep
            lane.refused = lane.line.refused = 0.0
            lane.rest, lane.line.rest = 0.8 * lane.rest, 0.8 * lane.line.rest
        used_up = outcome.ending is Ending.FULL and lane.told_rate and lane.told_left < 0.5
        never = outcome.ending is Ending.NO_CONNECTION and outcome.took > 0.9 * self.connect_time
        silent = self.seldom and (never or outcome.ending is Ending.TIME_OUT)
        if silent:
            rest = self.apart(now - (lane.since or now), self.rate(lane), 4.0)
            lane.hush = max(lane.hush, now + rest * (0.5 + self.chance()))
        elif outcome.ending is Ending.NO_CONNECTION and self.many:
            # It used up no limit, and idle connections of the others soon give way: a moment, each its own.
            lane.until = max(lane.until, now + 0.1 + 0.2 * self.chance())
        elif self.seldom and outcome.ending is Ending.FULL:
            # What one seldom meets teaches no part of its limit: each comes again after a rest of its own.
            bound = lane if lane.route.kind.apart else lane.line
            bound.refused = bound.refused or now
            rate = self.rate(lane) * (1 if lane.route.kind.apart else len(lane.line.lanes))
            even = 1 / (rate * self.part) if rate else 2.0
            bound.rest = min(max(4.0, 3 * bound.rest), max(1.0, 2 * even))
            rest = max(bound.rest, self.apart(now - bound.refused, rate)) * (0.5 + self.chance())
            if outcome.wait > rest:  # shut: it tells all that it turns away the same end, and is cold then
                rest = outcome.wait + self.apart(now + outcome.wait - bound.refused, rate) * self.chance()
                for each in (lane,) if lane.route.kind.apart else lane.line.lanes.values():
                    each.back = now + rest
                    self.effects.append(face.RouteReturned(each.route, each.back))
            bound.until = max(bound.until, now + rest)
            lane.part = max(0.1, 0.5 * lane.part)
            lane.credit = min(0.0, lane.credit) + 0.5 - self.chance()
        elif not good:
            # Take less, down to a tenth: where refused calls use up a limit too, instances that each keep to
            # their part can hold it at nothing. Half a call more or less, lest all come again at once.
            lane.part = max(0.1, lane.part * (0.4 if self.many else 0.7 if used_up else 0.9))
            if used_up or self.many:
                lane.credit = min(0.0, lane.credit) + 0.5 - self.chance()
        elif lane.told_left > 0.5:
            # Others leave much of the limit: take more of it, up to the own part fast.
            lane.part = min(1 / self.part, lane.part * (1.25 if lane.part < 1 else 1.05))
        table = outcome.ending is Ending.NO_CONNECTION and lane.heard > now - outcome.took
        if not used_up and not table:  # a limit used up, or connections beside answered calls, is no outage
            quiet = silent if self.seldom else outcome.ending is Ending.TIME_OUT and self.quiet(now, lane)
            lane.ill += (0.5 if quiet else 0.3) * ((0.0 if good else 1.0) - lane.ill)  # two silent must do
        if not good:
            lane.since = lane.since or now
            lane.gone = lane.gone or (0.0 if table or outcome.ending is Ending.FULL else now)
        elif lane.state is State.LIVE:
            held = lane.hush > lane.gone and lane.line.waiting > len(lane.line.lanes)  # behind a silent route
            if self.many and 0 < lane.gone < now - 1 and (held if self.seldom else lane.ill > 0.2):  # cold
                lane.back, lane.credit = now, 0.0
                self.effects.append(face.RouteReturned(lane.route, now))
            lane.since = lane.gone = 0.0
        bad = Sign.WAIT if outcome.wait else Sign.RUN if self.failing(lane) else Sign.FAILED
        return Sign.SERVED if good else bad

    def failing(self, lane: Lane) -> bool:
        return lane.ill > 0.6  # three in a row, or most of the last few; a tenth of chance errors never is

    def judge(self, now: float, call: Call, outcome: Outcome) -> None:
        """The first outcome of a call speaks for its route and for the destination's window."""
        lane, line = call.lane, call.lane.line
        if outcome.ending is Ending.SERVED:
            lane.tally.add(outcome.took)
            self.tally.add(outcome.took)
        if call.judged and not outcome.wait:
            # Slow is not silent: an answer takes back what its own lateness said, if that failed first.
            if call.overdue and outcome.ending is Ending.SERVED and lane.since >= call.sent:
                lane.hush, lane.since, lane.gone, lane.ill = 0.0, 0.0, 0.0, min(0.3, lane.ill)
            return
        call.judged = True
        sign = self.reading(now, lane, outcome)
        if sign is Sign.SERVED:
            line.window = min(self.cap, line.destination.window, line.window + 1)
        elif sign is not Sign.UNSENT and call.sent >= line.cut:
            line.window, line.cut = max(1.0, line.window / 2), now
        if call.trial or lane.state is not State.TRIAL:
            self.sign(now, lane, sign)

    def sign(self, now: float, lane: Lane, sign: Sign) -> None:
        if (lane.state, sign) in ROUTE_TABLE:
            lane.state, effect = ROUTE_TABLE[lane.state, sign]
            if effect:
                getattr(self, effect)(now, lane)

    def shut(self, now: float, lane: Lane) -> None:
        self.effects.append(face.RouteFailed(lane.route))
        self.hold_off(now, lane)

    def hold_off(self, now: float, lane: Lane) -> None:
        # Half a second, growing by half up to two; of many, up to what all may send to a cold route together.
        cold = self.rate(lane) * self.part * self.cold * self.start
        most = 1 / cold if cold and self.many and not self.seldom else 2.0
        others = self.apart(now - (lane.since or now), self.rate(lane), 2.0) if self.seldom else 0.0
        lane.backoff, lane.down = max(0.5, min(most, lane.backoff * 1.5), others), self.failing(lane)
        lane.hush = max(lane.hush, now + lane.backoff * (0.75 + 0.5 * self.chance()))

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

    def reopen(self, now: float, lane: Lane) -> None:
        # An outage, not a mere wait. The trial that is served says nothing of what was: weighed with it,
        # outages of under three seconds passed for none. Of many, a full table of connections is none.
        cold = self.failing(lane) if self.many and not self.seldom else lane.down or lane.gone > 0
        lane.down = lane.down and self.seldom
        if cold:
            lane.back = now
        self.effects.append(face.RouteReturned(lane.route, now if cold else 0.0))
        lane.since = lane.gone = lane.backoff = lane.credit = 0.0
        lane.ill = min(0.4, lane.ill)

    def slow_start(self, now: float, lane: Lane) -> float:
        """The part of its capacity that a route has at least."""
        return min(1.0, self.start + (1 - self.start) * max(0.0, now - lane.back) / self.warm_time)

    def bears(self, now: float, lane: Lane) -> float:
        """The part of what comes in for a route that may go to it."""
        slow_start = self.slow_start(now, lane)
        return lane.part if slow_start == 1 else min(lane.part, self.cold * slow_start)

    def rate(self, lane: Lane) -> float:
        """Calls a second that the route takes from all instances, as far as known; nought if unknown."""
        parts = 1 if lane.route.kind.apart else len(lane.line.lanes)
        return lane.told_rate or lane.route.rate * self.rate_trust / max(1, parts)

    def share(self, now: float, lane: Lane, rate: float) -> float:
        # Guards mails against a route gone silent: while it owes an answer that is due, it hardly gets any.
        silence = 0.1 if self.quiet(now, lane) else 1.0
        # Guards slots, while few are free, against routes that hold them long: half the time, fourfold share.
        scarce = lane.cost and 4 * len(self.calls) > 3 * self.slots
        thrift = (lane.line.cost / lane.cost) ** 2 if scarce else 1.0
        # What costs a twentieth of a mail more, in fees or for a handshake, gets two fifths of the share.
        new = lane.calls or now - lane.used > self.keep
        cost = self.fees.get(lane.route.zone, 0.0) + (self.handshake if new and self.seldom else 0.0)
        return rate * min(1.0, lane.part) * self.slow_start(now, lane) * silence * thrift * exp(-20 * cost)

    def quiet(self, now: float, lane: Lane) -> bool:
        """Whether it owes an answer past what nine in ten take (a third of the limit), with none since."""
        return any(now - call.sent > call.limit / 3 for call in lane.calls if lane.heard < call.sent)

    def refill(self, now: float, lane: Lane) -> None:
        """One budget of calls keeps this instance to its part of a limit, and of what a cold route bears."""
        if lane.part < 1:  # ten seconds undo any shrinking; a hundred of many, where no room was told
            slow = self.many and not (lane.told_rate and lane.told_left > 0.5)
            grow = 0.1 if not slow else 0.035 if self.seldom else 0.01
            lane.part = min(1.0, lane.part + grow * (now - lane.filled))
        if lane.state is State.LIVE:
            lane.ill *= 0.8 ** (now - lane.filled)
        fill = self.rate(lane) * self.part * self.bears(now, lane)
        free = self.slow_start(now, lane) == 1 and (lane.part >= 1 if self.many else lane.told_rate == 0)
        if free or not fill:
            paced = self.many and lane.back > -inf and fill  # no one sends more than all of its rate
            lane.credit = min(1.0, lane.credit + self.rate(lane) * (now - lane.filled)) if paced else 1.0
        else:
            lane.credit = min(max(1.0, fill * 0.5), lane.credit + fill * (now - lane.filled))
        lane.filled = now

    def overdue(self, now: float) -> None:
        """A call that takes far longer than usual speaks before its time-out does, and may lose its slot."""
        full = self.full
        for call in self.calls:
            # With all slots taken, twice what nine in ten stay under must do for a call of one mail.
            soon = full and len(call.attempts) == 1 and not call.once
            if not call.judged and now - call.sent > call.limit * (0.6 if soon else 1):
                self.judge(now, call, Outcome(Ending.TIME_OUT, now - call.sent))
                call.overdue, call.lane.line.stuck = True, call.lane.line.stuck + 1
        # Guards slots and keys against silence: an overdue call gives way when all slots are taken (that of a
        # once-only mail at twice its limit), and at once where its route went to nought in silence.
        stuck = [call for call in self.calls if call.overdue]
        for call in stuck if self.may_cancel else []:
            lost = call.lane.state is not State.LIVE and call.lane.heard < call.sent and not call.once
            far = not call.once or now - call.sent > 2 * call.limit
            if lost or (full and far) or call.lane.line.stuck > max(1, self.sick_cap // 2):
                call.overdue, call.lane.line.stuck = False, call.lane.line.stuck - 1
                self.effects += [face.Cancel(attempt) for attempt in call.attempts if attempt.mail.notes.out]
                break

    def step(self, now: float, case: Case, step: Step) -> None:
        case.stage, effect = MAIL_TABLE[case.stage, step]
        self.held -= case.stage is Stage.DONE
        if case.queued:
            case.line.waiting, case.queued = case.line.waiting - 1, False
            if not case.line.waiting:
                del self.busy[case.line]
        if effect:
            getattr(self, effect)(now, case)

    def queue(self, now: float, case: Case) -> None:
        if case.turns and not self.has_turn(now, case):
            self.wake(now, case.turns)
            return
        case.line.waiting, case.queued = case.line.waiting + 1, True
        self.busy[case.line] = None
        due = case.doubt + case.mail.queue_class.memory - 0.02
        if case.doubt and due < case.end:  # nobody waits for what may not be sent again
            heapq.heappush(self.ends, (due, next(self.serial), case))
        self.waiters(case).append(case)

    def answer(self, now: float, case: Case) -> None:
        wait = max(0.0, min(case.terms.most_retry_after, case.end - now)) if now < self.close_at else 0.0
        final = case.doubt and (case.single or case.zone is not None)
        reason = Reason.MAY_HAVE_RUN if final else case.reason or self.reason(now, case)
        self.effects.append(face.Bounce(case.mail, reason) if final else face.Defer(case.mail, reason, wait))
        case.out += self.notices  # it is not over before its notice is
        self.pass_turn(now, case)

    def reason(self, now: float, case: Case) -> Reason:
        """Why nothing more is sent for a mail."""
        if case.end <= now + self.tick:
            return Reason.LIFETIME
        if case.doubt and now > case.doubt + case.mail.queue_class.memory - 0.02 - self.tick:
            return Reason.WINDOW
        return Reason.STOPPING if now >= self.close_at else Reason.ATTEMPTS

    def pass_turn(self, now: float, case: Case) -> None:  # once it is over and has nothing out
        if case.turns and not case.out:
            case.turns.cases.remove(case)
            self.wake(now, case.turns)

    def wake(self, now: float, turns: Turns) -> None:
        """Let the first message of a key go on, if it may; else it is looked at again when that changes."""
        head = turns.cases[0] if turns.cases else None
        if turns.rest > now and (head is None or head is not turns.rested_by):
            heapq.heappush(self.resting, (turns.rest, next(self.serial), turns))
        elif head is None:
            if self.keys.get(turns.key) is turns:  # else others have come of that key since
                del self.keys[turns.key]
        elif head.stage is Stage.LINE and not head.queued and self.has_turn(now, head):
            self.queue(now, head)

    def has_turn(self, now: float, case: Case) -> bool:
        """Whether its key does not rest, and no message of it accepted before is owed, here or there."""
        if (turns := case.turns) is None:
            return True
        first_there = self.others.first_accepted.get(turns.key, inf)
        rests = turns.rest > now and turns.rested_by is not case
        is_first = bool(turns.cases) and turns.cases[0] is case
        return is_first and case.mail.accepted <= first_there and not rests

    def may_go(self, now: float, case: Case) -> bool:
        """Whether a further attempt is allowed, and can still be of use."""
        # Tagged mails, as long as they are remembered, less the rounding of clocks; once-only, never.
        memory = -inf if case.single else case.mail.queue_class.memory - 0.02
        outside = case.doubt and now > case.doubt + memory
        most = min(self.most_attempts, case.terms.most_attempts)
        spent = case.stage is Stage.DONE or case.attempts - case.out >= most
        return not outside and not spent and case.end > now + self.tick

    def send(self, now: float) -> None:
        self.fresh.clear()
        ready: list[tuple[float, int, Line, Case]] = []
        aside: list[Case] = []
        may = not self.full and now < self.close_at and not self.sends_held
        misses = [0] * len(self.busy)
        for place, line in enumerate(list(self.busy) if may else []):
            if now >= line.until:
                for each in line.lanes.values():
                    self.refill(now, each)
                self.try_routes(now, line)
                if line.out - line.stuck < int(line.window) and (case := self.best(now, line)):
                    heapq.heappush(ready, (-self.urgency(now, case), place, line, case))
        while ready:
            _, place, line, case = heapq.heappop(ready)
            lane = self.draw(now, case) if not self.full or line.batch > 1 else None
            if lane and case.end - now < lane.tally.most(0.0, 0.25):
                case.reason = Reason.TOO_LATE  # not one call in four would come in time
                self.step(now, case, Step.SPENT)
            elif not lane or not self.has_turn(now, case) or not self.dispatch(now, case, lane):
                aside.append(case)
                misses[place] += 1
            # Enough tries for a line to fill the calls that it opened in this turn.
            if misses[place] <= 2 + line.batch and (following := self.best(now, line)):
                heapq.heappush(ready, (-self.urgency(now, following), place, line, following))
        for case in reversed(aside):
            self.waiters(case).appendleft(case)

    def best(self, now: float, line: Line) -> Case | None:
        """Takes the next mail off a line: first attempts, then further ones, then what came too late."""
        best: deque[Case] | None = None
        steady = any(lane.ill <= 0.2 for lane in line.lanes.values())
        for cases in line.first.values():
            # Those whose importance fades fast now let the punctual go first.
            while cases and (cases[0].stage is not Stage.LINE or now > cases[0].fades):
                line.late.append(cases.popleft())
                while line.late and line.late[0].stage is not Stage.LINE:
                    line.late.popleft()
            may = cases and (steady or not cases[0].once)
            if may and (not best or self.urgency(now, cases[0]) > self.urgency(now, best[0])):
                best = cases
        if best:
            return best.popleft()
        for rest in (line.further, line.late):
            while rest:
                case = rest.popleft() if rest is line.further else rest.pop()
                if self.may_go(now, case):
                    return case
                if case.stage is Stage.LINE:
                    self.step(now, case, Step.SPENT)
        return None

    def waiters(self, case: Case) -> deque[Case]:
        """Further attempts wait in a line of their own, first attempts in one for each sort of mail."""
        sort = case.mail.queue_class
        return case.line.further if case.attempts else case.line.first.setdefault(sort, deque())

    def urgency(self, now: float, case: Case) -> float:
        # Importance, growing with age so that no queue class starves; half at birth keeps classes apart. For
        # each second of a slot, lest receivers that are slow to answer take the slots of those that are not.
        age = max(0.0, now - case.born) / case.mail.queue_class.target_delay
        return case.terms.importance * (0.5 + age) / (0.1 + case.line.cost)

    def draw(self, now: float, case: Case) -> Lane | None:
        """The ordinary path: a weighted random draw over the live routes."""
        # Guards what cannot be tried anew: two served calls or five quiet seconds make a route steady.
        fit = (lane for lane in case.line.lanes.values() if self.fits(case, lane))
        live = (lane for lane in fit if lane.state is State.LIVE and lane.opens <= now)
        free = (lane for lane in live if lane.credit >= 1 or lane in self.fresh)
        lanes = [lane for lane in free if len(lane.calls) < lane.route.window or lane in self.fresh]
        if len(lanes) > 1 and case.last in lanes:
            lanes.remove(case.last)  # a further attempt goes elsewhere where it can
        # Guards routes of which no rate is known against one that told its own: they start as its equals.
        rates = [self.rate(lane) for lane in lanes]
        known = [rate for rate in rates if rate]
        equal = sum(known) / len(known) if known else 1.0
        shares = (self.share(now, lane, rate or equal) for lane, rate in zip(lanes, rates, strict=True))
        sums = list(accumulate(shares))
        return lanes[bisect_right(sums, self.chance() * sums[-1])] if lanes else None

    def fits(self, case: Case, lane: Lane) -> bool:
        return (lane.ill <= 0.2 or not case.once) and case.zone in (None, lane.route.zone)

    def alone(self, case: Case, lane: Lane) -> bool:
        """Whether a mail that may have run there could go again over no other route."""
        live = (each for each in case.line.lanes.values() if each.state is State.LIVE and each is not lane)
        return case.mail.queue_class.one_zone and all(each.route.zone != lane.route.zone for each in live)

    def dispatch(self, now: float, case: Case, lane: Lane, trial: bool = False) -> bool:
        """Send a mail over a route, in a call of this turn or a new one, if limits leave room."""
        call, line = self.fresh.get(lane), case.line
        # What operators set stands instead of what was learned; it is held against the rules at load.
        told = lane.route.time_outs.get(case.mail.queue_class, 0.0)
        if call is None or call.out >= lane.route.kind.batch:
            sick = any(other.ill > 0.3 or other.state is not State.LIVE for other in line.lanes.values())
            most = max(1, (self.sick_cap if sick else self.cap) // (1 + self.others.processes))
            crowded = self.full or line.out >= most or not self.shared_windows_hold(lane, 1)
            # Overdue calls leave the window, lest a few silent ones shut a destination for a queue lifetime.
            if crowded or (not trial and (line.out - line.stuck >= int(line.window) or lane.credit < 1)):
                return False
            # Late for all but the odd heavy mail: thrice what nine in ten take, or twice the target delay.
            target = case.mail.queue_class.target_delay
            usual = lane.tally.most(self.tally.most(target / 2, 0.95) if self.seldom else target / 2)
            limit = told or min(2 * target, max(0.4, 3 * usual))
            call = self.fresh[lane] = Call(lane, now, limit, trial, case.once or self.alone(case, lane))
            self.calls[call] = lane.calls[call] = None
            line.out += 1
            lane.credit -= 1
        else:
            # A further mail is more work, though no further call. Weighed a little, and fully when cold.
            lane.credit -= 0.08 if self.slow_start(now, lane) == 1 else 0.25
        patience = told or min(case.mail.queue_class.memory / 2, call.limit * 2 ** (1 + case.attempts))
        patience = inf if call.once and not told else call.limit if trial and not told else patience
        time_out = min(case.end - now, patience)
        case.attempts, case.out, case.last = case.attempts + 1, case.out + 1, lane
        case.zone = lane.route.zone if case.mail.queue_class.one_zone else None
        call.out += 1
        self.step(now, case, Step.DRAWN)
        hedged = self.may_copy and case.terms.copies > case.out and not case.single and not case.turns
        if hedged and case.terms.copy_after < case.mail.queue_class.memory:
            heapq.heappush(self.copies, (now + case.terms.copy_after, next(self.serial), case))
        rest = self.rest + (now - self.broke) / 20 if case.single else inf  # others are soon tried anew
        call.attempts.append(Attempt(case.mail, lane.route, time_out, call, rest))
        self.effects.append(call.attempts[-1])
        return True

    def copy(self, now: float, case: Case) -> None:
        """A second copy, where the first is slow: over another route, while slots are not short."""
        most = min(self.most_attempts, case.terms.most_attempts)  # those that are out count too
        spare = (
            2 * (len(self.calls) + self.others.calls_out) < self.slots
            and case.out < case.terms.copies
            and now < self.close_at
        )
        may = case.attempts < most and now >= case.line.until and self.may_go(now, case)
        may = may and not self.sends_held
        if case.stage is Stage.OUT and spare and may:
            lane = self.draw(now, case)
            if lane and lane is not case.last:
                self.dispatch(now, case, lane)

    def call_off(self, case: Case) -> None:
        """Copies of a mail that is over."""
        for call in self.calls if case.out and self.may_cancel else ():
            self.effects += [face.Cancel(attempt) for attempt in call.attempts if attempt.mail is case.mail]

    def try_routes(self, now: float, line: Line) -> None:
        """One trial for each route at nought, of a mail that can bear failing where there is one."""
        for lane in line.lanes.values():
            rests = now < lane.opens or (lane.credit < 1 and not self.failing(lane))
            if lane.state is not State.NOUGHT or rests:
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
                    self.effects.append(face.Probe(lane.route, 2.0))  # as long as the longest pause
                self.sign(now, lane, Sign.TRIED)

    def bearer(self, now: float, line: Line, lane: Lane) -> Case | None:
        """A mail that can bear failing; a once-only one where there is neither a better one nor a probe."""
        lists = (line.further, *line.first.values())
        heads = [cases for cases in lists if cases and self.may_go(now, cases[0])]
        heads = [cases for cases in heads if cases[0].zone in (None, lane.route.zone)]
        heads = [cases for cases in heads if self.has_turn(now, cases[0])]
        heads.sort(key=lambda cases: list(Rerun).index(cases[0].mail.queue_class.rerun))
        return heads[0].popleft() if heads and not (self.may_probe and heads[0][0].once) else None

    def make_room(self, now: float) -> None:
        """Defer the least valuable before new mails are turned away at the door."""
        while self.held + self.others.owed > self.room - 2:  # two more may come before the next turn
            line = max(self.busy, key=lambda other: other.waiting, default=None)
            sorts = [cases for cases in line.first.values() if cases] if line else []
            if not sorts:
                return
            case = min(sorts, key=lambda cases: cases[-1].terms.importance).pop()
            if case.stage is Stage.LINE:
                case.reason = Reason.ROOM
                self.step(now, case, Step.SPENT)

    def line(self, destination: face.Destination) -> Line:
        return self.lines.setdefault(destination, Line(destination, window=1.0))

    def plain(self, kind: face.QueueClass) -> face.Terms:
        """What holds for mails of a class where operators set nothing."""
        if kind not in self.terms:
            self.terms[kind] = face.Terms(kind.importance, self.most_attempts, self.most_retry_after, 1, inf)
        return self.terms[kind]

    def chance(self) -> float:
        return zlib.crc32(f"{self.seed}:{next(self.serial)}".encode()) / 2**32

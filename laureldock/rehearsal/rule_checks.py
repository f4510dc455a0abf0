"""The account of a rehearsal, kept by clients and stand-ins, and the six rules held against it. No I/O.

Times are float seconds of one clock. Nothing here comes from the dispatcher but what it told over its fronts,
carriers and outlet.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

TAKEN, BUSY, FAILED, GONE = "taken", "busy", "failed", "gone"
# What sockets and the machine add to a limit before it counts as passed.
SLACK = 0.3
# Seconds after the start of a process in which it makes up for what came due before.
READY_GRACE = 1.5
# Seconds within which a notice is read once it is written; by which an end is seen here later than there.
NOTICE_READ, REST_TOLERANCE = 0.1, 0.05
AT_THE_END = 0.01  # seconds before a lifetime is over in which a 200 may come too late for its client
READ_TIME = 0.02  # seconds in which a process reads an answer that has come
# Calls that cross the answer which tells to wait are let through.
CROSSING = 0.1


@dataclass(eq=False, slots=True)
class Handed:
    """A mail as its client saw it."""

    name: str
    queue_class: str
    effect: str
    key: str
    destination: str
    at: float
    end: float  # of its lifetime
    place: int  # in the order of its key
    word: str = ""  # what the dispatcher answered
    answered: float = 0.0
    notices: list[tuple[float, str]] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class Call:
    """A call as a stand-in saw it."""

    receiver: str
    mail: str
    tag: str
    first: float  # its first byte
    begun: float  # its last byte
    ended: float = 0.0  # its answer written, or its connection gone; nought while it is out
    status: int = 0  # nought: no answer
    ran: bool = False


@dataclass(eq=False, slots=True)
class Told:
    """What a stand-in or the list told, or was: a wait, a drain, or cold."""

    receiver: str
    since: float
    until: float = 0.0
    mail: str = ""  # whose answer told it
    # For cold: calls a second that it bears at a time.
    bears: Callable[[float], float] = lambda at: 0.0


@dataclass(frozen=True, slots=True)
class Restart:
    """A process that ended, and the next one, which was ready again."""

    down: float  # when it was told to end, or killed
    ready: float
    killed: bool  # by SIGKILL alone


@dataclass(slots=True)
class Account:
    handed: dict[str, Handed] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    waits: list[Told] = field(default_factory=list)
    drains: list[Told] = field(default_factory=list)
    colds: list[Told] = field(default_factory=list)
    memory: float = 10.0  # for which a tag is known
    key_rest: float = 0.3
    grace: float = 0.5  # of a drain
    tip: float = 1.5  # times what a cold receiver bears ...
    fall: float = 1.5  # ... for so long
    strays: list[str] = field(default_factory=list)  # notices of mails that nobody handed in
    unread: float = CROSSING  # seconds for which an answer may lie unread at a dispatcher or on its way
    killed: set[str] = field(default_factory=set)  # mails that a dispatcher owed when it was killed
    restarts: list[Restart] = field(default_factory=list)
    unreadable: list[tuple[float, float]] = field(default_factory=list)  # reads of connections failed
    unwritable: list[tuple[float, float]] = field(
        default_factory=list
    )  # nothing could be written to the disk
    no_notices: list[tuple[float, float]] = field(default_factory=list)  # the file of notices took none
    stopped: list[tuple[float, float]] = field(default_factory=list)  # the process was held up

    def due(self, end: float) -> float:
        """When what ends at that time has to be told.

        No notice is overdue while its dispatcher restarts, nor while the disk takes none.
        """
        for since, until in sorted(self.no_notices):
            if since - SLACK <= end < until:
                end = until
        for restart in sorted(self.restarts, key=lambda each: each.down):
            if restart.down - SLACK <= end < restart.ready + READY_GRACE:
                end = restart.ready + READY_GRACE
        return end + SLACK

    def unread_at(self, at: float) -> bool:
        """Whether reads of connections failed about that time."""
        return any(since - SLACK <= at <= until + SLACK for since, until in self.unreadable)

    def read_too_late(self, at: float, end: float) -> bool:
        """Whether what came then was read only after `end`, since its process was held up."""
        return any(since - READ_TIME <= at <= until and until > end for since, until in self.stopped)

    def unknown(self, first: float, second: float) -> bool:
        """Whether a first end may be unknown where a second one is told.

        Its answer could not be read, or a kill came so soon that the next life could not know of it.
        """
        kills = [each.down for each in self.restarts if each.killed and each.down <= second]
        soon = any(first - SLACK <= down <= first + SLACK for down in kills)
        # No record could be written between that end and the kill.
        unwritten = any(since <= first <= down <= until for since, until in self.unwritable for down in kills)
        return soon or unwritten or self.unread_at(first)

    def by_mail(self) -> dict[str, list[Call]]:
        found: dict[str, list[Call]] = {}
        for call in sorted(self.calls, key=lambda each: each.begun):
            found.setdefault(call.mail, []).append(call)
        return found


@dataclass(frozen=True, slots=True)
class Verdict:
    rule: str
    counted: int  # cases in which it could have been broken
    broken: tuple[str, ...]


def judge(account: Account) -> list[Verdict]:
    rules: list[tuple[str, Callable[[Account], Iterator[str | None]]]] = [
        ("one final answer, in time", one_answer),
        ("no effect twice", no_double),
        ("drains are kept", drains),
        ("returning receivers not pushed over", returning),
        ("order of keys", order),
        ("waits are heeded", waits),
    ]
    verdicts = []
    for name, rule in rules:
        found = list(rule(account))
        verdicts.append(Verdict(name, len(found), tuple(each for each in found if each)))
    return verdicts


def one_answer(account: Account) -> Iterator[str | None]:
    """None for each case in which the rule held, else what was seen. So do all of these."""
    calls = account.by_mail()
    for mail in account.handed.values():
        served = [call for call in calls.get(mail.name, []) if call.status == 200]
        yield one_end(account, mail, served, calls.get(mail.name, []))
    for name in account.strays:
        yield f"{name}: a notice, and nobody handed it in"
    for name in calls:
        if name not in account.handed:
            yield f"{name}: a call, and nobody handed it in"


def one_end(account: Account, mail: Handed, served: list[Call], calls: list[Call]) -> str | None:
    if mail.word == GONE:
        return None  # its client went; nothing is owed
    if mail.word != TAKEN:
        late = [call for call in calls if call.begun > mail.answered + CROSSING]
        if mail.notices or late:
            return f"{mail.name}: answered {mail.word}, and more came of it"
        return None if mail.word else f"{mail.name}: no answer at all"
    if mail.notices:  # a 200 as the lifetime ends: its client had stopped counting on it, and is told so
        last = mail.end - AT_THE_END
        served = [
            call for call in served if call.ended < last and not account.read_too_late(call.ended, last)
        ]
    ends = [call.ended for call in served][:1] + [at for at, _ in mail.notices]
    if not ends:
        return f"{mail.name}: taken on, and no end"
    known = mail.name not in account.killed and len(ends) > 1 and not account.unknown(ends[0], ends[1])
    if known:
        return f"{mail.name}: {len(ends)} ends"
    overdue = ends[0] > account.due(mail.end)
    return f"{mail.name}: its end is {ends[0] - mail.end:.2f}s late" if overdue else None


def no_double(account: Account) -> Iterator[str | None]:
    for name, calls in account.by_mail().items():
        mail = account.handed.get(name)
        ran = [call for call in calls if call.ran]
        if mail is None or mail.effect == "redeliverable":
            continue
        if mail.effect == "once-only":
            yield f"{name}: once-only, ran {len(ran)} times" if len(ran) > 1 else None
        else:
            apart = ran[-1].begun - ran[0].begun if ran else 0.0
            yield f"{name}: ran again after {apart:.2f}s" if apart > account.memory else None
        over = [one.ended or one.begun for one in calls if one.status == 200]
        # One that was killed may not have read the answer: a tagged mail may go again, within its window.
        known = name not in account.killed or mail.effect == "once-only"
        known = known and not (over and account.unread_at(min(over)))
        if known and over and any(call.begun > min(over) + account.unread for call in calls):
            yield f"{name}: sent again though it was delivered"


def drains(account: Account) -> Iterator[str | None]:
    for told in account.drains:
        after = [
            call
            for call in account.calls
            if call.receiver == told.receiver
            and call.first > told.since + account.grace
            and (not told.until or call.first < told.until)
        ]
        late = ", ".join(call.mail for call in after[:3])
        yield f"{told.receiver}: {len(after)} calls after its drain ({late})" if after else None


def returning(account: Account) -> Iterator[str | None]:
    """In no window of `fall` seconds more than `tip` times what it bears, and two calls for chance."""
    for told in account.colds:
        times = sorted(
            call.begun
            for call in account.calls
            if call.receiver == told.receiver and told.since <= call.begun < told.until
        )
        worst, text = 0.0, None
        for start in times:
            count = sum(start <= at < start + account.fall for at in times)
            allowed = account.tip * told.bears(start) * account.fall + 2
            if count - allowed > worst:
                worst = count - allowed
                text = f"{told.receiver}: {count} calls in {account.fall}s at {start - told.since:.1f}s cold"
        yield text


def order(account: Account) -> Iterator[str | None]:
    """Nothing is sent before every earlier message of its key is over, nor while its key rests."""
    calls = account.by_mail()
    keys: dict[str, list[Handed]] = {}
    for mail in account.handed.values():
        if mail.key:
            keys.setdefault(mail.key, []).append(mail)
    for mails in keys.values():
        mails.sort(key=lambda each: each.place)
        for place, after in enumerate(mails):
            first = min((call.begun for call in calls.get(after.name, [])), default=None)
            if first is None or not place:
                continue
            found = (early_by(account, each, calls.get(each.name, []), first) for each in mails[:place])
            why = next((each for each in found if each), None)
            yield f"{after.name}: {why}" if why else None


def early_by(account: Account, before: Handed, calls: list[Call], first: float) -> str | None:
    """Why the first call of a later message came too early for this one; None if it did not."""
    if any(call.begun > first or call.ended > first or not call.ended for call in calls):
        return f"sent before {before.name} was over"
    ends = [call.ended for call in calls if call.status == 200] + [at for at, _ in before.notices]
    # A notice is read from its file a moment after it was written there.
    if before.word == TAKEN and not any(end <= first + NOTICE_READ for end in ends):
        return f"sent before {before.name} had an end"
    rests = [call.ended + account.key_rest for call in calls if not call.status and call.ran]
    if rests and first < max(rests) - REST_TOLERANCE:
        return f"sent {max(rests) - first:.2f}s before the rest after {before.name}'s call was over"
    return None


def waits(account: Account) -> Iterator[str | None]:
    for told in account.waits:
        early = [
            call
            for call in account.calls
            if call.receiver == told.receiver and told.since + CROSSING < call.begun < told.until - 0.005
        ]
        yield (
            f"{told.receiver}: {early[0].mail} came {told.until - early[0].begun:.2f}s early"
            if early
            else None
        )

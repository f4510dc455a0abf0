"""Records of a test run, made by clients and stub receivers, and checks of the six delivery rules. No I/O.

Times are float seconds of one clock. The dispatcher's internal state is not used, only what it sent through
its fronts, carriers and outlet.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from itertools import pairwise
from math import inf

ACCEPTED, BUSY, FAILED, ABANDONED = "accepted", "busy", "failed", "abandoned"
# Seconds that sockets and scheduling may add to a limit before it counts as exceeded.
TIMING_TOLERANCE = 0.3
# Seconds after the start of a process in which it handles what came due before.
STARTUP_GRACE = 1.5
# Seconds from the writing of a notice until it is read here; by which the end of a call is observed here
# later than at the dispatcher.
NOTICE_READ_TIME, COOLDOWN_TOLERANCE = 0.1, 0.05
CALL_END_TOLERANCE = 0.01  # seconds in which a receiver sees that a call was given up
# Seconds before the end of a lifetime in which a 200 may come too late for the client.
EXPIRY_MARGIN = 0.01
READ_TIME = 0.02  # seconds in which a process reads a response that has arrived
# Seconds after a response with a requested wait in which calls that were already on their way are allowed.
IN_TRANSIT_TIME = 0.1


@dataclass(eq=False, slots=True)
class SubmittedMessage:
    """A message as its client observed it."""

    name: str
    queue_class: str
    repeat_safety: str
    key: str
    destination: str
    submitted_at: float
    expires_at: float
    position: int  # among the messages of its key
    reply: str = ""  # one of ACCEPTED, BUSY, FAILED, ABANDONED; empty: none
    replied_at: float = 0.0
    notices: list[tuple[float, str]] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class RecordedCall:
    """A call as a stub receiver observed it."""

    receiver: str
    message: str
    tag: str
    first_byte_at: float
    received_at: float  # time of its last byte
    ended_at: float = 0.0  # response written, or connection closed; zero while the call is in flight
    status: int = 0  # zero: no response
    executed: bool = False


@dataclass(eq=False, slots=True)
class ReceiverPeriod:
    """A period in which a rule restricts calls to a receiver: a requested wait, a drain, or a slow start."""

    receiver: str
    since: float
    until: float = 0.0
    message: str = ""  # message whose response requested the wait
    # During a slow start: calls per second that the receiver can take at a given time.
    capacity: Callable[[float], float] = lambda at: 0.0


@dataclass(frozen=True, slots=True)
class Restart:
    """The end of a process, and the moment at which the next one was ready."""

    down_at: float  # when it was signalled to stop, or killed
    ready_at: float
    killed: bool  # by SIGKILL alone


@dataclass(slots=True)
class RunRecord:
    """All that clients and stub receivers observed in one test run."""

    messages: dict[str, SubmittedMessage] = field(default_factory=dict)
    calls: list[RecordedCall] = field(default_factory=list)
    requested_waits: list[ReceiverPeriod] = field(default_factory=list)
    drains: list[ReceiverPeriod] = field(default_factory=list)
    slow_starts: list[ReceiverPeriod] = field(default_factory=list)
    tag_memory: float = 10.0  # seconds for which receivers remember a tag
    key_cooldown: float = 0.3  # seconds
    drain_grace: float = 0.5  # seconds
    overload_factor: float = 1.5  # times the capacity of a cold receiver ...
    overload_window: float = 1.5  # ... over so many seconds
    unknown_notices: list[str] = field(default_factory=list)  # of messages that nobody submitted
    # Seconds for which a response may be unread at a dispatcher or in transit.
    unread_time: float = IN_TRANSIT_TIME
    # Messages that were pending at a dispatcher when it was killed.
    pending_at_kill: set[str] = field(default_factory=set)
    restarts: list[Restart] = field(default_factory=list)
    read_failures: list[tuple[float, float]] = field(default_factory=list)  # reads of connections failed
    disk_failures: list[tuple[float, float]] = field(
        default_factory=list
    )  # nothing could be written to the disk
    # The file of notices could not be written.
    notice_failures: list[tuple[float, float]] = field(default_factory=list)
    pauses: list[tuple[float, float]] = field(default_factory=list)  # the process was stopped
    # The stub receivers were not scheduled: they observed then what had happened since.
    stalls: list[tuple[float, float]] = field(default_factory=list)
    # Receivers see at once how the dispatcher ends a call: no fault of a connection delays it.
    sees_calls_end: bool = False

    def notice_deadline(self, expires_at: float) -> float:
        """Return the time by which a notice of a message that expires at `expires_at` has to be written.

        No notice is overdue while its dispatcher restarts, nor while the disk cannot be written.
        """
        for since, until in sorted(self.notice_failures):
            if since - TIMING_TOLERANCE <= expires_at < until:
                expires_at = until
        for restart in sorted(self.restarts, key=lambda each: each.down_at):
            if restart.down_at - TIMING_TOLERANCE <= expires_at < restart.ready_at + STARTUP_GRACE:
                expires_at = restart.ready_at + STARTUP_GRACE
        return expires_at + TIMING_TOLERANCE

    def reads_failed_at(self, at: float) -> bool:
        """Return whether reads of connections failed about that time."""
        return any(
            since - TIMING_TOLERANCE <= at <= until + TIMING_TOLERANCE for since, until in self.read_failures
        )

    def read_too_late(self, at: float, deadline: float) -> bool:
        """Return whether a paused process read what arrived at `at` only after `deadline`."""
        return any(since - READ_TIME <= at <= until and until > deadline for since, until in self.pauses)

    def earliest(self, observed_at: float) -> float:
        """Return the earliest time at which something can have happened that a stub observed at that time."""
        begins = (since for since, until in self.stalls if since < observed_at <= until + READ_TIME)
        return min(begins, default=observed_at)

    def outcome_may_be_unknown(self, first: float, second: float) -> bool:
        """Return whether the process that wrote the second outcome may not have known of the first.

        The response of the first could not be read, or a kill followed so soon that the next process could
        not know of it.
        """
        kills = [each.down_at for each in self.restarts if each.killed and each.down_at <= second]
        soon = any(first - TIMING_TOLERANCE <= killed_at <= first + TIMING_TOLERANCE for killed_at in kills)
        # No record could be written between that outcome and the kill.
        unwritten = any(
            since <= first <= killed_at <= until for since, until in self.disk_failures for killed_at in kills
        )
        return soon or unwritten or self.reads_failed_at(first)

    def calls_by_message(self) -> dict[str, list[RecordedCall]]:
        """Return the calls of each message, in the order in which they were received."""
        found: dict[str, list[RecordedCall]] = {}
        for call in sorted(self.calls, key=lambda each: each.received_at):
            found.setdefault(call.message, []).append(call)
        return found


@dataclass(frozen=True, slots=True)
class RuleResult:
    """Result of one rule check over a test run."""

    rule: str
    cases: int  # in which the rule could have been violated
    violations: tuple[str, ...]


def check_rules(record: RunRecord) -> list[RuleResult]:
    """Check the six delivery rules by the records of a test run."""
    rules: list[tuple[str, Callable[[RunRecord], Iterator[str | None]]]] = [
        ("one final answer, in time", check_single_outcome),
        ("no effect twice", check_repeats),
        ("drains are kept", check_drains),
        ("returning receivers not pushed over", check_slow_starts),
        ("order of keys", check_key_order),
        ("waits are heeded", check_requested_waits),
    ]
    if record.sees_calls_end:
        rules.append(("one attempt at a time", check_concurrent_attempts))
    results = []
    for name, rule in rules:
        found = list(rule(record))
        results.append(RuleResult(name, len(found), tuple(each for each in found if each)))
    return results


def check_single_outcome(record: RunRecord) -> Iterator[str | None]:
    """Check that each message has one final outcome, in time.

    Like all rule checks, yields None for each case in which the rule held, else what was violated.
    """
    calls = record.calls_by_message()
    for message in record.messages.values():
        delivered = [call for call in calls.get(message.name, []) if call.status == 200]
        yield outcome_violation(record, message, delivered, calls.get(message.name, []))
    for name in record.unknown_notices:
        yield f"{name}: a notice of a message that nobody submitted"
    for name in calls:
        if name not in record.messages:
            yield f"{name}: a call of a message that nobody submitted"


def outcome_violation(
    record: RunRecord, message: SubmittedMessage, delivered: list[RecordedCall], calls: list[RecordedCall]
) -> str | None:
    """Return what is wrong with the outcomes of a message; None if nothing is."""
    if message.reply == ABANDONED:
        return None  # its client gave up; nothing is pending
    if message.reply != ACCEPTED:
        late = [call for call in calls if call.received_at > message.replied_at + IN_TRANSIT_TIME]
        if message.notices or late:
            return f"{message.name}: a notice or call after the reply {message.reply}"
        return None if message.reply else f"{message.name}: no reply"
    if message.notices:  # a 200 as the lifetime ends: its client no longer waits for it, and gets the notice
        last = message.expires_at - EXPIRY_MARGIN
        delivered = [
            call
            for call in delivered
            if call.ended_at < last and not record.read_too_late(call.ended_at, last)
        ]
    outcomes = [call.ended_at for call in delivered][:1] + [at for at, _ in message.notices]
    if not outcomes:
        return f"{message.name}: accepted, and no outcome"
    repeated = (
        message.name not in record.pending_at_kill
        and len(outcomes) > 1
        and not record.outcome_may_be_unknown(outcomes[0], outcomes[1])
    )
    if repeated:
        return f"{message.name}: {len(outcomes)} outcomes"
    overdue = outcomes[0] > record.notice_deadline(message.expires_at)
    return f"{message.name}: its outcome is {outcomes[0] - message.expires_at:.2f}s late" if overdue else None


def check_repeats(record: RunRecord) -> Iterator[str | None]:
    """Check that no message takes effect twice by its repeat safety."""
    for name, calls in record.calls_by_message().items():
        message = record.messages.get(name)
        executed = [call for call in calls if call.executed]
        if message is None or message.repeat_safety == "redeliverable":
            continue
        if message.repeat_safety == "once-only":
            yield f"{name}: once-only, executed {len(executed)} times" if len(executed) > 1 else None
        else:
            interval = executed[-1].received_at - executed[0].received_at if executed else 0.0
            yield f"{name}: executed again after {interval:.2f}s" if interval > record.tag_memory else None
        delivered_at = [one.ended_at or one.received_at for one in calls if one.status == 200]
        # A killed process may not have read the response: it may send a tagged message again, within its
        # window.
        known = name not in record.pending_at_kill or message.repeat_safety == "once-only"
        known = known and not (delivered_at and record.reads_failed_at(min(delivered_at)))
        if (
            known
            and delivered_at
            and any(call.received_at > min(delivered_at) + record.unread_time for call in calls)
        ):
            yield f"{name}: sent again after it was delivered"


def check_concurrent_attempts(record: RunRecord) -> Iterator[str | None]:
    """Check that no attempt of a message is sent while an earlier one is in flight; none may be hedged."""
    for name, calls in record.calls_by_message().items():
        for earlier, later in pairwise(calls):
            ended_at = earlier.ended_at or inf
            overlap = min(ended_at, later.ended_at or inf) - later.received_at
            text = f"{name}: sent {later.receiver} while in flight at {earlier.receiver} for {overlap:.2f}s"
            yield text if later.received_at < ended_at - CALL_END_TOLERANCE else None


def check_drains(record: RunRecord) -> Iterator[str | None]:
    """Check that no call begins at a draining receiver after the grace."""
    for period in record.drains:
        after = [
            call
            for call in record.calls
            if call.receiver == period.receiver
            and call.first_byte_at > period.since + record.drain_grace
            and (not period.until or call.first_byte_at < period.until)
        ]
        late = ", ".join(call.message for call in after[:3])
        yield f"{period.receiver}: {len(after)} calls after its drain ({late})" if after else None


def check_slow_starts(record: RunRecord) -> Iterator[str | None]:
    """Check the calls to receivers that have just recovered.

    No `overload_window` has more than `overload_factor` times what the receiver can take, and two calls for
    chance.
    """
    for period in record.slow_starts:
        times = sorted(
            call.received_at
            for call in record.calls
            if call.receiver == period.receiver and period.since <= call.received_at < period.until
        )
        worst, text = 0.0, None
        for start in times:
            count = sum(start <= at < start + record.overload_window for at in times)
            allowed = record.overload_factor * period.capacity(start) * record.overload_window + 2
            if count - allowed > worst:
                worst = count - allowed
                text = (
                    f"{period.receiver}: {count} calls in {record.overload_window}s"
                    f" at {start - period.since:.1f}s of slow start"
                )
        yield text


def check_key_order(record: RunRecord) -> Iterator[str | None]:
    """Check that nothing is sent before every earlier message of its key is finished, nor in its cooldown."""
    calls = record.calls_by_message()
    keys: dict[str, list[SubmittedMessage]] = {}
    for message in record.messages.values():
        if message.key:
            keys.setdefault(message.key, []).append(message)
    for same_key in keys.values():
        same_key.sort(key=lambda each: each.position)
        for index, later in enumerate(same_key):
            first = min((call.received_at for call in calls.get(later.name, [])), default=None)
            if first is None or not index:
                continue
            found = (
                order_violation(record, each, calls.get(each.name, []), first) for each in same_key[:index]
            )
            reason = next((each for each in found if each), None)
            yield f"{later.name}: {reason}" if reason else None


def order_violation(
    record: RunRecord, earlier: SubmittedMessage, calls: list[RecordedCall], first: float
) -> str | None:
    """Return why a later message's first call came too early for the earlier message; None if it did not."""
    if any(call.received_at > first or call.ended_at > first or not call.ended_at for call in calls):
        return f"sent before the calls of {earlier.name} had ended"
    outcomes = [call.ended_at for call in calls if call.status == 200] + [at for at, _ in earlier.notices]
    # A notice is read from its file a moment after it was written.
    if earlier.reply == ACCEPTED and not any(
        outcome_at <= first + NOTICE_READ_TIME for outcome_at in outcomes
    ):
        return f"sent before {earlier.name} had an outcome"
    cooldowns = [
        record.earliest(call.ended_at) + record.key_cooldown
        for call in calls
        if not call.status and call.executed
    ]
    if cooldowns and first < max(cooldowns) - COOLDOWN_TOLERANCE:
        return f"sent {max(cooldowns) - first:.2f}s before the cooldown after a call of {earlier.name} ended"
    return None


def check_requested_waits(record: RunRecord) -> Iterator[str | None]:
    """Check that no call arrives at a receiver during a wait that it requested."""
    for period in record.requested_waits:
        early = [
            call
            for call in record.calls
            if call.receiver == period.receiver
            and period.since + IN_TRANSIT_TIME < call.received_at < period.until - 0.005
        ]
        yield (
            f"{period.receiver}: {early[0].message} came {period.until - early[0].received_at:.2f}s early"
            if early
            else None
        )

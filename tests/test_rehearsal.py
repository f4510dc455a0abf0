"""The rule checks find each violation in the records of a test run; `make rehearse` plays a complete run."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from laureldock.rehearsal.rule_checks import (
    ACCEPTED,
    BUSY,
    ReceiverPeriod,
    RecordedCall,
    Restart,
    RunRecord,
    SubmittedMessage,
    check_rules,
)


def add_message(
    record: RunRecord, name: str, repeat_safety: str = "redeliverable", key: str = "", reply: str = ACCEPTED
) -> SubmittedMessage:
    number = len(record.messages)
    found = SubmittedMessage(
        name,
        repeat_safety,
        repeat_safety,
        key,
        "north",
        10.0 + number,
        18.0 + number,
        number,
        reply,
        10.1 + number,
    )
    record.messages[name] = found
    return found


def add_call(
    record: RunRecord, name: str, at: float, status: int = 200, duration: float = 0.1, receiver: str = "n1"
) -> None:
    executed = status in (200, 500, 0)
    record.calls.append(
        RecordedCall(receiver, name, "t", at, at, at + duration if duration else 0.0, status, executed)
    )


def no_outcome(record: RunRecord) -> None:
    add_message(record, "m1")


def two_outcomes(record: RunRecord) -> None:
    add_message(record, "m1").notices.append((11.0, "given_up"))
    add_call(record, "m1", 10.5)


def late_outcome(record: RunRecord) -> None:
    add_message(record, "m1").notices.append((18.9, "given_up"))


def sent_after_refusal(record: RunRecord) -> None:
    add_message(record, "m1", reply=BUSY)
    add_call(record, "m1", 10.5)


def once_only_twice(record: RunRecord) -> None:
    add_message(record, "m1", "once-only")
    add_call(record, "m1", 10.5, 0)
    add_call(record, "m1", 11.0)


def tag_forgotten(record: RunRecord) -> None:
    add_message(record, "m1", "tagged")
    add_call(record, "m1", 10.5, 500)
    record.messages["m1"].expires_at = 30.0
    add_call(record, "m1", 21.0)


def after_drain(record: RunRecord) -> None:
    add_message(record, "m1")
    record.drains.append(ReceiverPeriod("n1", 10.0))
    add_call(record, "m1", 10.6)


def overloaded(record: RunRecord) -> None:
    record.slow_starts.append(ReceiverPeriod("n1", 10.0, 14.0, capacity=lambda at: 2.0))
    for number in range(8):
        add_message(record, f"m{number}")
        add_call(record, f"m{number}", 10.0 + number / 10)


def overtaken(record: RunRecord) -> None:
    add_message(record, "m1", "tagged", "k")
    add_message(record, "m2", "tagged", "k")
    add_call(record, "m1", 10.5, duration=2.0)
    add_call(record, "m2", 11.0)


def within_wait(record: RunRecord) -> None:
    add_message(record, "m1")
    record.requested_waits.append(ReceiverPeriod("n1", 10.0, 11.0))
    add_call(record, "m1", 10.5)


@pytest.mark.parametrize(
    ("violate", "rule"),
    [
        (no_outcome, 0), (two_outcomes, 0), (late_outcome, 0), (sent_after_refusal, 0), (once_only_twice, 1),
        (tag_forgotten, 1), (after_drain, 2), (overloaded, 3), (overtaken, 4), (within_wait, 5),
    ],
)  # fmt: skip
def test_each_rule_check_finds_its_violation(violate: Callable[[RunRecord], None], rule: int) -> None:
    record = RunRecord()
    violate(record)
    results = check_rules(record)
    assert [index for index, result in enumerate(results) if result.violations] == [rule]
    assert results[rule].cases >= len(results[rule].violations)


def test_a_correct_run_has_no_violations() -> None:
    record = RunRecord()
    for number in range(4):
        add_message(record, f"m{number}", "tagged", "k")
        add_call(record, f"m{number}", 10.5 + number)
    record.requested_waits.append(ReceiverPeriod("n1", 10.7, 11.2))
    record.drains.append(ReceiverPeriod("n1", 13.4))
    results = check_rules(record)
    assert not any(result.violations for result in results)
    assert [result.cases for result in results] == [4, 4, 1, 0, 3, 1]


def test_a_second_outcome_is_allowed_if_a_killed_process_could_not_record_the_first() -> None:
    """The response had been sent, and was not read or not recorded when the process was killed."""
    record = RunRecord()
    add_message(record, "m1", "once-only").notices.append((13.0, "given_up"))
    add_call(record, "m1", 10.5)
    assert check_rules(record)[0].violations
    record.pending_at_kill.add("m1")
    assert not check_rules(record)[0].violations


def test_a_notice_is_allowed_for_a_delivery_as_the_lifetime_ends() -> None:
    """The client no longer waits for it then; a moment earlier the notice is a second outcome."""
    record = RunRecord()
    late = add_message(record, "m1")
    late.notices.append((18.0, "handed_back"))
    add_call(record, "m1", late.expires_at - 0.12)
    record.calls[-1].ended_at = late.expires_at - 0.005
    assert not check_rules(record)[0].violations
    record.calls[-1].ended_at = late.expires_at - 0.02
    assert check_rules(record)[0].violations


def test_a_notice_is_overdue_only_once_its_file_can_be_written() -> None:
    record = RunRecord()
    add_message(record, "m1").notices.append((19.4, "handed_back"))
    assert check_rules(record)[0].violations
    record.notice_failures.append((17.9, 19.2))
    assert not check_rules(record)[0].violations
    record.messages["m1"].notices = [(19.6, "handed_back")]
    assert check_rules(record)[0].violations
    record.messages["m1"].notices = [(19.4, "handed_back")]
    record.notice_failures = [(16.0, 17.9)]
    assert check_rules(record)[0].violations


def test_a_notice_is_allowed_for_a_delivery_that_a_paused_process_read_too_late() -> None:
    """The response was unread until the lifetime had ended; if it was read in time, the notice is a second
    outcome."""
    record = RunRecord()
    late = add_message(record, "m1")
    late.notices.append((18.1, "handed_back"))
    add_call(record, "m1", late.expires_at - 0.2)
    record.calls[-1].ended_at = late.expires_at - 0.08
    assert check_rules(record)[0].violations
    record.pauses.append((late.expires_at - 0.1, late.expires_at + 0.05))
    assert not check_rules(record)[0].violations
    record.pauses = [(late.expires_at - 0.3, late.expires_at - 0.15)]
    assert check_rules(record)[0].violations
    record.pauses = [(late.expires_at + 0.05, late.expires_at + 0.2)]
    assert check_rules(record)[0].violations


def test_a_notice_is_overdue_only_once_its_process_has_restarted() -> None:
    record = RunRecord()
    add_message(record, "m1").notices.append((20.9, "given_up"))
    assert check_rules(record)[0].violations
    record.restarts.append(Restart(17.5, 19.5, True))
    assert not check_rules(record)[0].violations
    record.messages["m1"].notices = [(21.4, "given_up")]
    assert check_rules(record)[0].violations


def test_two_outcomes_far_from_any_kill_are_a_violation() -> None:
    record = RunRecord(restarts=[Restart(15.0, 16.0, True)])
    add_message(record, "m1").notices.append((17.0, "given_up"))
    add_call(record, "m1", 10.5)
    assert check_rules(record)[0].violations
    record.disk_failures.append((10.0, 16.0))  # until after the kill
    assert not check_rules(record)[0].violations
    record.disk_failures = [(10.0, 14.0)]  # the first outcome could be recorded before the kill
    assert check_rules(record)[0].violations


def test_a_cooldown_counts_from_when_a_stalled_stub_could_have_seen_the_end_of_the_call() -> None:
    """A stub that was not scheduled sees the end of a call late: the dispatcher had waited its 0.3 s."""
    record = RunRecord()
    add_message(record, "m1", "tagged", "k")
    add_message(record, "m2", "tagged", "k")
    add_call(record, "m1", 11.0, 0, duration=0.5)
    add_call(record, "m1", 11.5, duration=0.05)
    add_call(record, "m2", 11.7)  # 0.1 s early, as the stub saw it
    assert check_rules(record)[4].violations
    record.stalls.append((11.38, 11.5))
    assert not check_rules(record)[4].violations
    for stall in ((11.47, 11.5), (11.2, 11.4), (11.52, 11.7)):  # too short, over by then, later
        record.stalls = [stall]
        assert check_rules(record)[4].violations

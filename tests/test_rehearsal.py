"""The account of a rehearsal finds each broken rule; a whole rehearsal is played by `make rehearse`."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from laureldock.rehearsal.rule_checks import BUSY, TAKEN, Account, Call, Handed, Restart, Told, judge


def mail(
    account: Account, name: str, effect: str = "redeliverable", key: str = "", word: str = TAKEN
) -> Handed:
    place = len(account.handed)
    found = Handed(name, effect, effect, key, "north", 10.0 + place, 18.0 + place, place, word, 10.1 + place)
    account.handed[name] = found
    return found


def call(
    account: Account, name: str, at: float, status: int = 200, took: float = 0.1, to: str = "n1"
) -> None:
    ran = status in (200, 500, 0)
    account.calls.append(Call(to, name, "t", at, at, at + took if took else 0.0, status, ran))


def no_end(account: Account) -> None:
    mail(account, "m1")


def two_ends(account: Account) -> None:
    mail(account, "m1").notices.append((11.0, "given_up"))
    call(account, "m1", 10.5)


def late_end(account: Account) -> None:
    mail(account, "m1").notices.append((18.9, "given_up"))


def sent_after_refusal(account: Account) -> None:
    mail(account, "m1", word=BUSY)
    call(account, "m1", 10.5)


def payment_twice(account: Account) -> None:
    mail(account, "m1", "once-only")
    call(account, "m1", 10.5, 0)
    call(account, "m1", 11.0)


def tag_forgotten(account: Account) -> None:
    mail(account, "m1", "tagged")
    call(account, "m1", 10.5, 500)
    account.handed["m1"].end = 30.0
    call(account, "m1", 21.0)


def after_drain(account: Account) -> None:
    mail(account, "m1")
    account.drains.append(Told("n1", 10.0))
    call(account, "m1", 10.6)


def pushed_over(account: Account) -> None:
    account.colds.append(Told("n1", 10.0, 14.0, bears=lambda at: 2.0))
    for number in range(8):
        mail(account, f"m{number}")
        call(account, f"m{number}", 10.0 + number / 10)


def overtaken(account: Account) -> None:
    mail(account, "m1", "tagged", "k")
    mail(account, "m2", "tagged", "k")
    call(account, "m1", 10.5, took=2.0)
    call(account, "m2", 11.0)


def within_wait(account: Account) -> None:
    mail(account, "m1")
    account.waits.append(Told("n1", 10.0, 11.0))
    call(account, "m1", 10.5)


@pytest.mark.parametrize(
    ("breaks", "rule"),
    [
        (no_end, 0), (two_ends, 0), (late_end, 0), (sent_after_refusal, 0), (payment_twice, 1),
        (tag_forgotten, 1), (after_drain, 2), (pushed_over, 3), (overtaken, 4), (within_wait, 5),
    ],
)  # fmt: skip
def test_each_rule_is_found_broken(breaks: Callable[[Account], None], rule: int) -> None:
    account = Account()
    breaks(account)
    verdicts = judge(account)
    assert [place for place, verdict in enumerate(verdicts) if verdict.broken] == [rule]
    assert verdicts[rule].counted >= len(verdicts[rule].broken)


def test_an_account_in_order_breaks_nothing() -> None:
    account = Account()
    for number in range(4):
        mail(account, f"m{number}", "tagged", "k")
        call(account, f"m{number}", 10.5 + number)
    account.waits.append(Told("n1", 10.7, 11.2))
    account.drains.append(Told("n1", 13.4))
    verdicts = judge(account)
    assert not any(verdict.broken for verdict in verdicts)
    assert [verdict.counted for verdict in verdicts] == [4, 4, 1, 0, 3, 1]


def test_an_end_that_a_killed_process_could_not_record_may_be_told_again() -> None:
    """Its answer had been written, and was not read or not put down when it was killed."""
    account = Account()
    mail(account, "m1", "once-only").notices.append((13.0, "given_up"))
    call(account, "m1", 10.5)
    assert judge(account)[0].broken
    account.killed.add("m1")
    assert not judge(account)[0].broken


def test_a_delivery_as_the_lifetime_ends_may_be_told_as_none() -> None:
    """Its client had stopped counting on it; a moment before that the notice is a second end."""
    account = Account()
    late = mail(account, "m1")
    late.notices.append((18.0, "handed_back"))
    call(account, "m1", late.end - 0.12)
    account.calls[-1].ended = late.end - 0.005
    assert not judge(account)[0].broken
    account.calls[-1].ended = late.end - 0.02
    assert judge(account)[0].broken


def test_a_notice_is_not_overdue_while_its_file_cannot_be_written_and_is_later() -> None:
    account = Account()
    mail(account, "m1").notices.append((19.4, "handed_back"))
    assert judge(account)[0].broken
    account.no_notices.append((17.9, 19.2))
    assert not judge(account)[0].broken
    account.handed["m1"].notices = [(19.6, "handed_back")]
    assert judge(account)[0].broken
    account.handed["m1"].notices = [(19.4, "handed_back")]
    account.no_notices = [(16.0, 17.9)]
    assert judge(account)[0].broken


def test_a_delivery_that_a_held_up_process_read_too_late_may_be_told_as_none() -> None:
    """It lay unread until the lifetime was over; one that was read in time is a second end."""
    account = Account()
    late = mail(account, "m1")
    late.notices.append((18.1, "handed_back"))
    call(account, "m1", late.end - 0.2)
    account.calls[-1].ended = late.end - 0.08
    assert judge(account)[0].broken
    account.stopped.append((late.end - 0.1, late.end + 0.05))
    assert not judge(account)[0].broken
    account.stopped = [(late.end - 0.3, late.end - 0.15)]
    assert judge(account)[0].broken
    account.stopped = [(late.end + 0.05, late.end + 0.2)]
    assert judge(account)[0].broken


def test_a_notice_is_not_overdue_while_its_process_restarts_and_is_later() -> None:
    account = Account()
    mail(account, "m1").notices.append((20.9, "given_up"))
    assert judge(account)[0].broken
    account.restarts.append(Restart(17.5, 19.5, True))
    assert not judge(account)[0].broken
    account.handed["m1"].notices = [(21.4, "given_up")]
    assert judge(account)[0].broken


def test_two_ends_far_from_any_kill_are_two() -> None:
    account = Account(restarts=[Restart(15.0, 16.0, True)])
    mail(account, "m1").notices.append((17.0, "given_up"))
    call(account, "m1", 10.5)
    assert judge(account)[0].broken
    account.unwritable.append((10.0, 16.0))  # until after the kill
    assert not judge(account)[0].broken
    account.unwritable = [(10.0, 14.0)]  # it could be put down before
    assert judge(account)[0].broken

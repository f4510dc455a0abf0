"""What a play of one soaked dispatcher has shown: its account held against the rules, and its log."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path

from laureldock.rehearsal.rule_checks import TAKEN, Account, judge
from laureldock.rehearsal.soak.faults import Trouble
from laureldock.rehearsal.soak.relay import Relay
from laureldock.rehearsal.soak.soak_result import Findings
from laureldock.rehearsal.soak.system_calls import Fault


def judge_play(
    findings: Findings,
    account: Account,
    troubles: Sequence[Trouble],
    relays: Mapping[str, Relay],
    log: Path,
    began: float,
    notices_on_disk: bool,
) -> None:
    """Fill in the findings of a play whose load began at `began` (seconds of the wall clock).

    `notices_on_disk`: they are a file in the folder whose writes may fail. It takes a while where much was
    handed in: no play may go on beside. OSError: the log cannot be read.
    """
    forget_lost_answers(account, relays)
    note_failing_calls(account, troubles, began, notices_on_disk)
    findings.handed_in = len(account.handed)
    findings.accepted = sum(mail.word == TAKEN for mail in account.handed.values())
    findings.delivered = len({call.mail for call in account.calls if call.status == 200})
    findings.verdicts = judge(account)
    findings.troubles = [
        f"{each.at:.1f}-{each.until:.1f}s {each.kind} {each.target}".strip() for each in troubles
    ]
    cases = [case for verdict in findings.verdicts for case in verdict.broken]
    findings.stories = [
        story(account, name, began) for name in account.handed if any(name in case for case in cases)
    ]
    read_log(findings, log)


def forget_lost_answers(account: Account, relays: Mapping[str, Relay]) -> None:
    """What a stand-in answered and its relay did not pass on was told to nobody."""
    for call in account.calls:
        relayed = relays[call.receiver].calls
        same = [each for each in relayed if each.mail == call.mail and each.at <= call.first]
        if same and same[-1].answered:
            continue
        call.status = 0
        account.waits = [
            each for each in account.waits if (each.receiver, each.mail) != (call.receiver, call.mail)
        ]


def note_failing_calls(
    account: Account, troubles: Sequence[Trouble], began: float, notices_on_disk: bool
) -> None:
    """When reads of connections failed, and when nothing could be written."""
    for each in troubles:
        window = began + each.at, began + each.until
        if each.kind is Fault.BROKEN:
            account.unreadable.append(window)
        elif each.kind is Fault.DISK_ERROR and each.share == 1.0:
            account.unwritable.append(window)
            if notices_on_disk:
                account.no_notices.append(window)


def story(account: Account, name: str, began: float) -> str:
    """All that was seen of a message, in seconds from the start of the load."""
    mail = account.handed[name]
    parts = [f"{name} {mail.effect} to {mail.destination} {mail.key}: at {mail.at - began:.2f}"]
    parts.append(f"{mail.word or 'no answer'} {mail.answered - began:.2f}")
    for call in account.calls:
        if call.mail == name:
            ran = "ran" if call.ran else "not run"
            parts.append(
                f"{call.receiver} {call.first - began:.2f}-{call.ended - began:.2f} {call.status} {ran}"
            )
    parts += [f"{word} {at - began:.2f}" for at, word in mail.notices]
    return "; ".join(parts)


def read_log(findings: Findings, log: Path) -> None:
    """Violations and faults, as the processes logged them. OSError."""
    text = log.read_text(errors="replace") if log.exists() else ""
    findings.violations = text.count('"event": "invariant violated"')
    if "Traceback" in text or '"event": "fault"' in text:
        findings.defects.append(f"an exception in {log}")

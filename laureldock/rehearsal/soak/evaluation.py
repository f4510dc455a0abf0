"""Evaluates the soak of one dispatcher: checks the rules by its records, and searches its log for errors."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from datetime import datetime
from pathlib import Path

from laureldock.rehearsal.rule_checks import ACCEPTED, RunRecord, check_rules
from laureldock.rehearsal.soak.faults import ScheduledFault
from laureldock.rehearsal.soak.relay import Relay
from laureldock.rehearsal.soak.soak_result import SoakResult
from laureldock.rehearsal.soak.system_calls import SystemCallFault


def evaluate_run(
    result: SoakResult,
    record: RunRecord,
    faults: Sequence[ScheduledFault],
    relays: Mapping[str, Relay],
    log: Path,
    started_at: float,
    notices_on_disk: bool,
) -> None:
    """Fill in the result of a run whose load began at `started_at` (seconds of the wall clock).

    `notices_on_disk`: notices are written to a file in the folder whose writes may fail. With many messages
    this blocks for a while, so no run may be in progress meanwhile. Raises OSError if the log cannot be read.
    """
    discard_lost_responses(record, relays)
    record_system_call_faults(record, faults, started_at, notices_on_disk)
    result.submitted = len(record.messages)
    result.accepted = sum(message.reply == ACCEPTED for message in record.messages.values())
    result.delivered = len({call.message for call in record.calls if call.status == 200})
    result.rule_results = check_rules(record)
    result.faults = [
        f"{each.since:.1f}-{each.until:.1f}s {each.kind} {each.target}".strip() for each in faults
    ]
    result.periods = [
        f"{since - started_at:.2f}-{until - started_at:.2f}s {what}"
        for since, until, what in periods_of(record)
    ]
    cases = [case for rule_result in result.rule_results for case in rule_result.violations]
    for name in record.messages:
        if any(name in case for case in cases):
            result.message_histories.append(message_history(record, name, started_at))
            result.message_histories += logged_steps(log, name, started_at)
    read_log(result, log)


def periods_of(record: RunRecord) -> list[tuple[float, float, str]]:
    """What a failure may have to do with, in the order in which it began: begin, end and what it was."""
    found = [(since, until, "stub receivers stalled") for since, until in record.stalls]
    found += [
        (each.since, each.until, f"wait of {each.receiver} for {each.message}")
        for each in record.requested_waits
    ]
    found += [
        (each.down_at, each.ready_at, "killed" if each.killed else "restarted") for each in record.restarts
    ]
    return sorted(found)


def discard_lost_responses(record: RunRecord, relays: Mapping[str, Relay]) -> None:
    """Remove from the records what a stub receiver sent and its relay did not pass on."""
    for call in (each for each in record.calls if each.receiver in relays):
        relayed = relays[call.receiver].calls
        same = [
            each for each in relayed if each.message == call.message and each.relayed_at <= call.first_byte_at
        ]
        if same and same[-1].response_passed:
            continue
        call.status = 0
        record.requested_waits = [
            each
            for each in record.requested_waits
            if (each.receiver, each.message) != (call.receiver, call.message)
        ]


def record_system_call_faults(
    record: RunRecord, faults: Sequence[ScheduledFault], started_at: float, notices_on_disk: bool
) -> None:
    """Record when reads of connections failed, and when nothing could be written to disk."""
    for each in faults:
        period = started_at + each.since, started_at + each.until
        if each.kind is SystemCallFault.BROKEN:
            record.read_failures.append(period)
        elif each.kind is SystemCallFault.DISK_ERROR and each.share == 1.0:
            record.disk_failures.append(period)
            if notices_on_disk:
                record.notice_failures.append(period)


def message_history(record: RunRecord, name: str, started_at: float) -> str:
    """Format all that was observed of a message, in seconds from the start of the load."""
    message = record.messages[name]
    parts = [
        f"{name} {message.repeat_safety} to {message.destination} {message.key}:"
        f" at {message.submitted_at - started_at:.2f}"
    ]
    parts.append(f"{message.reply or 'no reply'} {message.replied_at - started_at:.2f}")
    for call in record.calls:
        if call.message == name:
            executed = "executed" if call.executed else "not executed"
            parts.append(
                f"{call.receiver} {call.first_byte_at - started_at:.2f}-{call.ended_at - started_at:.2f}"
                f" {call.status} {executed}"
            )
    parts += [f"{outcome} {at - started_at:.2f}" for at, outcome in message.notices]
    return "; ".join(parts)


def logged_steps(log: Path, name: str, started_at: float) -> list[str]:
    """Format the steps of a message that the processes logged, in seconds from the start of the load."""
    lines = log.read_text(errors="replace").splitlines() if log.exists() else []
    steps = []
    for line in lines:
        if f'"mail": "{name}"' not in line:
            continue
        fields = json.loads(line)
        at = datetime.fromisoformat(fields["timestamp"]).timestamp() - started_at
        details = (str(fields[each]) for each in ("event", "route", "end", "word") if each in fields)
        steps.append(f"  process {fields['process_id']} at {at:.3f}: {', '.join(details)}")
    return steps


def read_log(result: SoakResult, log: Path) -> None:
    """Add the violations and faults that the processes logged to the result. Raises OSError."""
    text = log.read_text(errors="replace") if log.exists() else ""
    result.invariant_violations = text.count('"event": "invariant violated"')
    if "Traceback" in text or '"event": "fault"' in text:
        result.errors.append(f"an exception in {log}")

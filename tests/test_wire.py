"""The simulator's adapter as a process: its output and its exit status."""

from __future__ import annotations

import json
import subprocess
import sys

PROFILE = {
    "classes": [{"name": "bulk", "effect": "retryable", "points": 1, "aim_ns": 2e9, "deadline_ns": 9e9}],
    "discovery": "subscribe", "kinds": ["any"], "n_instances": 1, "unheard_of": {"x": [1]},
    "family_info": {"call_slots": 4, "batch_by_kind": [1], "routes_apart": [True], "fades": "linear"},
    "limits": {"most_held": 20, "max_attempts": 4},
    "invariants": {"start_capacity": 0.3, "tip_multiple": 2, "fall_ns": 2e9, "warm_after_ns": 9e9},
}  # fmt: skip
ROUTE = {"endpoint": "e1", "dc": "z", "health": "up", "owner_no": 5, "generation_hw": "any", "weight": 9}
MESSAGE = {"op_id": "t/a", "band": "bulk", "expires_in_ns": 9000000000, "addressee_no": 5}
START_EVENTS: list[object] = [
    {"born": {"dispatcher_id": 3, "rng_seed": 1, "profile_data": PROFILE}},
    {"directory": {"slot": 0, "records": [ROUTE]}},
    {"view": {"dispatcher_id": 3, "slot": 0, "generation": 1, "form": "restored"}},
    {"arrival": {"dispatcher_id": 3, **MESSAGE}},
]


def run(*lines: object) -> subprocess.CompletedProcess[str]:
    text = "".join((line if isinstance(line, str) else json.dumps(line)) + "\n" for line in lines)
    command = [sys.executable, "-m", "laureldock.benchlink"]
    return subprocess.run(command, input=text, capture_output=True, text=True, timeout=30, check=False)


def batch(at: float, *events: object) -> list[object]:
    return [{"batch": {"at_time_ns": round(at * 1e9)}}, *events, {"flush": {}}]


def test_a_message_is_sent_and_events_for_a_finished_one_are_ignored() -> None:
    ended = {"dispatcher_id": 3, "op_id": "t/a", "shot": 0, "endpoint": "e1", "ending": "ok", "closed": True}
    outcome = {"attempt_end": {**ended, "latency_ns": 5000000, "hold_ms": None, "stats": None}}
    done = run(*batch(7, *START_EVENTS), *batch(8, outcome), *batch(9, outcome), *batch(10))
    names = [next(iter(json.loads(line))) for line in done.stdout.splitlines()]
    assert names == ["observe", "dispatch", "remind", "next", "remind", "next", "next", "next"]
    assert done.returncode == 0


def test_malformed_input_ends_the_process_with_an_error_message() -> None:
    strange = {"sneeze": {"dispatcher_id": 3}}
    cut = batch(7, *START_EVENTS)[:-1]
    headless: list[object] = [{"flush": {}}]
    bad: list[list[object]] = [["{"], batch(7, *START_EVENTS, strange), batch(7, strange), headless, cut]
    for lines in bad:
        done = run(*lines)
        assert done.returncode == 2
        assert done.stderr.startswith("benchlink: ") and "Traceback" not in done.stderr
        assert done.stdout == ""

"""The configuration file and environment that a platform gives to the processes of a soaked dispatcher."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

from laureldock.rehearsal.scripted_run import LIFETIME, QUEUE_CLASSES
from laureldock.rehearsal.soak.dispatcher_process import Address

NANOSECONDS = 1e9
EFFECTS = {"redeliverable": "retryable", "tagged": "dedup", "once-only": "fragile"}
TAG_MEMORY = 10.0  # seconds; `RunRecord.tag_memory` has the same
SOCKETS, DISK_MB = 512, 64


def queue_class(name: str, repeat_safety: str) -> dict[str, Any]:
    """Return a queue class in the format of the platform's settings."""
    found = {
        "name": name,
        "effect": EFFECTS[repeat_safety],
        "points": 1,
        "aim_ns": NANOSECONDS,
        "deadline_ns": LIFETIME * NANOSECONDS,
    }
    if repeat_safety == "tagged":
        found |= {"window_ns": TAG_MEMORY * NANOSECONDS, "dedup_scope": "all", "in_order": True}
    return found


def settings() -> dict[str, Any]:
    """Return the rules and limits of the example configuration in the platform's format."""
    return {
        "classes": [queue_class(name, repeat_safety) for name, repeat_safety in QUEUE_CLASSES.items()],
        "kinds": ["partner"],
        "n_instances": 1,
        "weight_kind": "nominal",
        "telemetry": {"fields": ["x0", "x1"], "via": "inline"},
        "family_info": {"call_slots": 64, "batch_by_kind": [1], "routes_apart": [True], "fades": "linear"},
        "limits": {
            "most_held": 2000,
            "max_attempts": 8,
            "may_cancel": True,
            "probes": True,
            "connect_timeout_ns": NANOSECONDS,
            "conn_idle_ns": 15 * NANOSECONDS,
            "retry_after": True,
            "max_retry_after_ns": 3 * NANOSECONDS,
        },
        "invariants": {
            "start_capacity": 0.3,
            "tip_multiple": 1.5,
            "fall_ns": 1.5 * NANOSECONDS,
            "warm_after_ns": 4 * NANOSECONDS,
            "key_rest_ns": 0.3 * NANOSECONDS,
        },
    }


def write_configuration(
    file: Path,
    name: str,
    seed: int,
    listen: str,
    discovery: str,
    known: dict[str, Any],
    more_limits: dict[str, float] | None = None,
) -> None:
    """Write the file that `LB_CONFIG` names, atomically, with `more_limits` on top. Raises OSError."""
    limits = {"cores": 1, "memory_mb": 64, "sockets": SOCKETS, "disk_mb": DISK_MB, **(more_limits or {})}
    fields = {"name": name, "seed": f"{seed:x}", "listen": listen, "discovery": discovery}
    new_file = file.with_suffix(".new")
    new_file.write_text(json.dumps({**fields, "limits": limits, "known": known, "settings": settings()}))
    new_file.rename(file)


def environment(file: Path, state: Path, management: Address, passed: int) -> dict[str, str]:
    """Return the environment of a process; `passed` is the listening socket's descriptor, -1 for none."""
    variables = {
        **os.environ,
        "LB_CONFIG": str(file),
        "LB_STATE": str(state),
        "LB_MANAGEMENT": f"{management[0]}:{management[1]}",
    }
    if passed >= 0:
        variables["LB_PASSED_SOCKET"] = str(passed)
    return variables

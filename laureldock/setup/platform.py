"""What the platform tells, its environment, its JSON and the simulator's profile, read into a plan."""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from laureldock.setup.plan import (
    Customer,
    Front,
    Kind,
    Limits,
    Outlet,
    Plan,
    QueueClass,
    Returning,
    Source,
)
from laureldock.setup.rules import Bounds
from laureldock.setup.units import Seconds, Size, address

Fields = dict[str, Any]
NS = 1e9
EFFECTS = {"retryable": "redeliverable", "dedup": "tagged", "fragile": "once-only"}
# By the platform's protocol clients send one command at a time; who sends many at once is no client of it.
PIPELINE = 16


def seconds(value: Any) -> Seconds:
    return Seconds(float(value or 0) / NS)


def queue_class(entry: Fields) -> QueueClass:
    tagged = entry["effect"] == "dedup"
    return QueueClass(
        effect=EFFECTS[entry["effect"]],  # type: ignore[arg-type]
        importance=float(entry["points"]),
        target_delay=seconds(entry["aim_ns"]),
        lifetime=seconds(entry["deadline_ns"]),
        late_share=float(entry.get("late_share") or 0),
        in_order=bool(entry.get("in_order")),
        memory=seconds(entry.get("window_ns")) if tagged else None,
        one_zone=tagged and entry.get("dedup_scope") != "all",
    )


def plan_from_profile(seed: int, profile: Fields, sockets: bool) -> Plan:
    """The settings that an instance is given at its start. KeyError, TypeError, ValueError."""
    limits, rules, family = profile["limits"], profile["invariants"], profile["family_info"]
    batches, apart = family.get("batch_by_kind") or [], family.get("routes_apart") or []
    listens = sockets or profile.get("discovery") == "subscribe"
    return Plan(
        seed=seed,
        instances=profile["n_instances"],
        reports=(profile.get("telemetry") or {}).get("fields") or [],
        limits=Limits(
            slots=family["call_slots"],
            room=limits["most_held"],
            connects=limits["max_attempts"],
            cancel=bool(limits.get("may_cancel")),
            probes=bool(limits.get("probes")),
            copies=bool(limits.get("second_copies")),
            over_quota=float(profile.get("over_share_worth") or 0),
            retry_after=seconds(limits.get("max_retry_after_ns") if limits.get("retry_after") else 0),
            key_rest=seconds(rules.get("key_rest_ns")),
            rates=profile.get("weight_kind") or "off",
            connect_time=seconds(limits.get("connect_timeout_ns")),
            idle_time=seconds(limits.get("conn_idle_ns")),
            handshake=float((profile.get("prices") or {}).get("handshake") or 0),
            fees=dict(zip(profile.get("zones") or [], family.get("carriage") or [], strict=False)),
            fades="halving" if family.get("fades") == "halving" else "linear",
        ),
        returning=Returning(
            start_capacity=float(rules["start_capacity"]),
            tip_multiple=float(rules["tip_multiple"]),
            fall_time=seconds(rules["fall_ns"]),
            warm_time=seconds(rules["warm_after_ns"]),
        ),
        source=Source(kind="platform" if listens else "file"),
        classes={entry["name"]: queue_class(entry) for entry in profile["classes"]},
        kinds={
            name: Kind(batch=max([1, *batches[place : place + 1]]), apart=any(apart[place : place + 1]))
            for place, name in enumerate(profile.get("kinds") or [])
        },
        customers={
            entry["name"]: Customer(quota=float(entry.get("quota_per_s") or 0))
            for entry in profile.get("customers") or []
        },
    )


def bounds(profile: Fields) -> Bounds:
    """What the platform's own limits allow."""
    limits, rules = profile["limits"], profile["invariants"]
    return Bounds(
        connects=limits["max_attempts"],
        copies=bool(limits.get("second_copies")),
        key_rest=seconds(rules.get("key_rest_ns")),
        drain_grace=seconds(rules.get("drain_grace_ns")),
    )


def told(environ: Mapping[str, str]) -> Fields:
    """The JSON that LB_CONFIG names. ValueError in plain words."""
    try:
        found: Fields = json.loads(Path(environ["LB_CONFIG"]).read_bytes())
    except (OSError, RecursionError) as fault:
        raise ValueError(f"LB_CONFIG: {fault}") from None
    return found


def is_positive(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and value > 0


def unsound(found: Fields) -> list[str]:
    """What makes a file that comes at SIGHUP be turned down whole, beyond what cannot be read."""
    faults = []
    try:
        profile = found["settings"]
        if not is_positive(profile["limits"]["max_attempts"]):
            faults.append(
                f"settings.limits.max_attempts: no number above 0: {profile['limits']['max_attempts']!r}"
            )
        for place, entry in enumerate(profile["classes"]):
            if not is_positive(entry["deadline_ns"]):
                faults.append(
                    f"settings.classes[{place}].deadline_ns: no number above 0: {entry['deadline_ns']!r}"
                )
        if not profile["classes"]:
            faults.append("settings.classes: none")
    except (KeyError, TypeError, IndexError) as fault:
        faults.append(f"{fault!r} is missing or of the wrong kind")
    return faults


def plan_from_platform(environ: Mapping[str, str], again: bool = False) -> tuple[Plan, Bounds]:
    """The plan of a dispatcher on the platform, and what it is held to. ValueError in plain words.

    `again`: a file read at SIGHUP, held to more, since a dispatcher that runs keeps its settings rather.
    """
    try:
        found = told(environ)
        if again and (faults := unsound(found)):
            raise ValueError("; ".join(faults))
        profile, limits = found["settings"], found["limits"]
        plan = plan_from_profile(int(found["seed"], 16), profile, True)
        plan.name = str(environ.get("LB_NAME") or found["name"])
        plan.state = environ["LB_STATE"]
        plan.limits.sockets = int(limits["sockets"])
        plan.limits.disk = Size(float(limits["disk_mb"]) * 1e6)
        listen = address(environ.get("LB_LISTEN") or found["listen"])
        # At SIGHUP the file is newer than the environment, which was told at the start.
        directory = address(
            found["discovery"] if again else environ.get("LB_DISCOVERY") or found["discovery"]
        )
        plan.front = [Front(listen=listen, pipeline=PIPELINE)]
        told_at = environ.get("LB_MANAGEMENT") or found.get("management")
        plan.management = address(told_at) if told_at else ""
        plan.passed = int(environ.get("LB_PASSED_SOCKET") or -1)
        plan.source = Source(kind="platform", address=directory, known=found["known"])
        plan.outlet = Outlet(kind="platform", address=directory)
        return plan, bounds(profile)
    except KeyError as fault:
        raise ValueError(f"{fault} is not set") from None
    except (TypeError, AttributeError) as fault:
        raise ValueError(str(fault)) from None

"""Converts the platform's environment and JSON, and the simulator's profile, into a plan."""

from __future__ import annotations

import json
from collections.abc import Mapping
from math import isfinite
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
from laureldock.setup.units import Seconds, Size, parse_address

Fields = dict[str, Any]
NS = 1e9
EFFECTS = {"retryable": "redeliverable", "dedup": "tagged", "fragile": "once-only"}
# Clients of the platform's protocol send one command at a time; one that sends many does not follow it.
PIPELINE = 16


def seconds(value: Any) -> Seconds:
    return Seconds(float(value or 0) / NS)


def queue_class(each: Fields) -> QueueClass:
    tagged = each["effect"] == "dedup"
    return QueueClass(
        effect=EFFECTS[each["effect"]],  # type: ignore[arg-type]
        importance=float(each["points"]),
        target_delay=seconds(each["aim_ns"]),
        lifetime=seconds(each["deadline_ns"]),
        late_share=float(each.get("late_share") or 0),
        in_order=bool(each.get("in_order")),
        memory=seconds(each.get("window_ns")) if tagged else None,
        one_zone=tagged and each.get("dedup_scope") != "all",
    )


def plan_from_profile(seed: int, profile: Fields, sockets: bool) -> Plan:
    """The plan for the settings of an instance at startup. Raises KeyError, TypeError, ValueError."""
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
        classes={each["name"]: queue_class(each) for each in profile["classes"]},
        kinds={
            name: Kind(batch=max([1, *batches[index : index + 1]]), apart=any(apart[index : index + 1]))
            for index, name in enumerate(profile.get("kinds") or [])
        },
        customers={
            each["name"]: Customer(quota=float(each.get("quota_per_s") or 0))
            for each in profile.get("customers") or []
        },
    )


def bounds(profile: Fields) -> Bounds:
    """The bounds that the platform's limits set."""
    limits, rules = profile["limits"], profile["invariants"]
    return Bounds(
        connects=limits["max_attempts"],
        copies=bool(limits.get("second_copies")),
        key_rest=seconds(rules.get("key_rest_ns")),
        drain_grace=seconds(rules.get("drain_grace_ns")),
    )


def read_configuration(environ: Mapping[str, str]) -> Fields:
    """Read the JSON file that LB_CONFIG names. Raises ValueError with a message for operators."""
    try:
        configuration: Fields = json.loads(Path(environ["LB_CONFIG"]).read_bytes())
    except (OSError, RecursionError) as error:
        raise ValueError(f"LB_CONFIG: {error}") from None
    return configuration


def is_positive(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and value > 0


def reload_faults(configuration: Fields) -> list[str]:
    """Faults that a file read at SIGHUP is refused for, beyond those that make it unreadable."""
    faults = []
    try:
        profile = configuration["settings"]
        if not is_positive(profile["limits"]["max_attempts"]):
            faults.append(
                f"settings.limits.max_attempts: must be above 0, not {profile['limits']['max_attempts']!r}"
            )
        for index, each in enumerate(profile["classes"]):
            if not is_positive(each["deadline_ns"]):
                faults.append(
                    f"settings.classes[{index}].deadline_ns: must be above 0, not {each['deadline_ns']!r}"
                )
        if not profile["classes"]:
            faults.append("settings.classes: no queue class")
    except (KeyError, TypeError, IndexError) as error:
        faults.append(f"{error!r} is missing or has the wrong type")
    return faults


def memory_limit(limits: Fields) -> Size | None:
    """The limit on memory, if there is one. Raises ValueError."""
    megabytes = limits.get("memory_mb")
    if megabytes is None:
        return None
    if not is_positive(megabytes) or not isfinite(megabytes):
        raise ValueError(f"limits.memory_mb: must be above 0, not {megabytes!r}")
    return Size(megabytes * 1e6)


def plan_from_platform(environ: Mapping[str, str], reload: bool = False) -> tuple[Plan, Bounds]:
    """The plan of a dispatcher on the platform, and its bounds. Raises ValueError, with a plain message.

    `reload`: the file is read at SIGHUP. It is checked more strictly, since a running dispatcher can keep the
    settings that it has.
    """
    try:
        configuration = read_configuration(environ)
        if reload and (faults := reload_faults(configuration)):
            raise ValueError("; ".join(faults))
        profile, limits = configuration["settings"], configuration["limits"]
        plan = plan_from_profile(int(configuration["seed"], 16), profile, True)
        plan.name = str(environ.get("LB_NAME") or configuration["name"])
        plan.state = environ["LB_STATE"]
        plan.limits.sockets = int(limits["sockets"])
        plan.limits.disk = Size(float(limits["disk_mb"]) * 1e6)
        plan.limits.memory = memory_limit(limits)
        listen = parse_address(environ.get("LB_LISTEN") or configuration["listen"])
        # At SIGHUP the file is newer than the environment, which was set at startup.
        directory = parse_address(
            configuration["discovery"]
            if reload
            else environ.get("LB_DISCOVERY") or configuration["discovery"]
        )
        plan.front = [Front(listen=listen, pipeline=PIPELINE)]
        management_address = environ.get("LB_MANAGEMENT") or configuration.get("management")
        plan.management = parse_address(management_address) if management_address else ""
        plan.passed = int(environ.get("LB_PASSED_SOCKET") or -1)
        plan.source = Source(kind="platform", address=directory, known=configuration["known"])
        plan.outlet = Outlet(kind="platform", address=directory)
        return plan, bounds(profile)
    except KeyError as error:
        raise ValueError(f"{error} is not set") from None
    except (TypeError, AttributeError) as error:
        raise ValueError(str(error)) from None

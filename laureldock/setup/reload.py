"""What of a plan may change while a dispatcher runs."""

from __future__ import annotations

from laureldock.setup.plan import SETTINGS, Plan, Table

# Whole tables that may change; of the rest only settings of `SETTINGS`. A class's own figures may not: mails
# that wait were taken on under them, and the store knows them by its name.
FREE = {"endpoints", "terms", "log", "destinations", "customers"}
ADDRESSES = ("source", "outlet")
FREE_PARTS = {"fleet.seeds"}
NAMES = {"classes": "class", "kinds": "kind", "destinations": "destination", "endpoints": "endpoint"}


def bare(table: Table) -> dict[str, object]:
    """A table without the settings that may change."""
    return {name: getattr(table, name) for name in table.__struct_fields__ if name not in SETTINGS}


def parts(plan: Plan) -> dict[str, object]:
    """What may not change, by the name that a person would give it."""
    found: dict[str, object] = {}
    for field in plan.__struct_fields__:
        value = getattr(plan, field)
        name = NAMES.get(field, field)
        if field in FREE:
            continue
        if field in ("classes", "kinds"):
            for key, table in value.items():
                found |= {f"{name}.{key}.{part}": each for part, each in bare(table).items()}
        elif field in ADDRESSES:
            found[f"{name}.kind"] = value.kind
            if field == "outlet":
                found["outlet.path"] = value.path
            else:
                found["source.controllers"] = value.controllers
        elif isinstance(value, Table):
            found |= {f"{name}.{part}": getattr(value, part) for part in value.__struct_fields__}
        else:
            found[name] = value
    found = {name: value for name, value in found.items() if name not in FREE_PARTS}
    found |= {f"destination.{key}.kind": table.kind for key, table in plan.destinations.items() if table.kind}
    return found


def refused(old: Plan, new: Plan) -> list[str]:
    """The names of what differs and may not."""
    before, after = parts(old), parts(new)
    listed = {each.destination for each in old.endpoints} & {each.destination for each in new.endpoints}
    fresh = {f"destination.{name}.kind" for name in {**old.destinations, **new.destinations}} - {
        f"destination.{name}.kind" for name in listed
    }
    return sorted(
        name for name in {**before, **after} if before.get(name) != after.get(name) and name not in fresh
    )


def changes(old: Plan, new: Plan) -> list[str]:
    """The tables that differ."""
    return [
        NAMES.get(name, name) for name in old.__struct_fields__ if getattr(old, name) != getattr(new, name)
    ]

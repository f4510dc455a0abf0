"""Which settings of a plan may change while a dispatcher runs."""

from __future__ import annotations

from laureldock.setup.plan import SETTINGS, Plan, Table

# Tables that may change as a whole; in the others only `SETTINGS` may. A queue class's own settings take a
# restart; pending messages keep those that they were accepted under.
RELOADABLE_TABLES = {"endpoints", "terms", "log", "destinations", "customers"}
ADAPTER_TABLES = ("source", "outlet")  # their addresses may change
RELOADABLE_SETTINGS = {"fleet.seeds"}
FILE_NAMES = {"classes": "class", "kinds": "kind", "destinations": "destination", "endpoints": "endpoint"}


def fixed_settings(table: Table) -> dict[str, object]:
    """The values of a table without the settings that may change."""
    return {name: getattr(table, name) for name in table.__struct_fields__ if name not in SETTINGS}


def fixed_values(plan: Plan) -> dict[str, object]:
    """The values that may not change, by their names in the file."""
    found: dict[str, object] = {}
    for field in plan.__struct_fields__:
        value = getattr(plan, field)
        name = FILE_NAMES.get(field, field)
        if field in RELOADABLE_TABLES:
            continue
        if field in ("classes", "kinds"):
            for key, table in value.items():
                found |= {f"{name}.{key}.{setting}": each for setting, each in fixed_settings(table).items()}
        elif field in ADAPTER_TABLES:
            found[f"{name}.kind"] = value.kind
            if field == "outlet":
                found["outlet.path"] = value.path
            else:
                found["source.controllers"] = value.controllers
        elif isinstance(value, Table):
            found |= {f"{name}.{setting}": getattr(value, setting) for setting in value.__struct_fields__}
        else:
            found[name] = value
    found = {name: value for name, value in found.items() if name not in RELOADABLE_SETTINGS}
    found |= {f"destination.{key}.kind": table.kind for key, table in plan.destinations.items() if table.kind}
    return found


def forbidden_changes(old: Plan, new: Plan) -> list[str]:
    """Names of settings that differ and may not change.

    The kind of a destination may change unless it has endpoints both before and after.
    """
    before, after = fixed_values(old), fixed_values(new)
    listed_in_both = {each.destination for each in old.endpoints} & {
        each.destination for each in new.endpoints
    }
    free_kinds = {f"destination.{name}.kind" for name in {**old.destinations, **new.destinations}} - {
        f"destination.{name}.kind" for name in listed_in_both
    }
    return sorted(
        name for name in {**before, **after} if before.get(name) != after.get(name) and name not in free_kinds
    )


def changed_tables(old: Plan, new: Plan) -> list[str]:
    """Names of the tables that differ."""
    return [
        FILE_NAMES.get(name, name)
        for name in old.__struct_fields__
        if getattr(old, name) != getattr(new, name)
    ]

"""laureldock config"""

from __future__ import annotations

import json
from functools import partial
from importlib import import_module
from importlib.resources import files
from typing import Any

import click

from laureldock.setup.faults import Path, RefusedError, dotted
from laureldock.setup.reading import LoadedPlan, load

CONTROLLER_COMMANDS = ("apply", "status")  # of config_changes.py
MAX_SHOWN = 200  # faults printed; of a file that repeats one fault, the rest are only counted


class ConfigGroup(click.Group):
    """Imports the commands that talk to a controller on use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *CONTROLLER_COMMANDS])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        if name not in CONTROLLER_COMMANDS:
            return super().get_command(ctx, name)
        command: click.Command = getattr(import_module("laureldock.cli.config_changes"), name)
        return command


@click.group("config", cls=ConfigGroup)
def command() -> None:
    """Check, show and describe configuration files; propose changes to a controller."""


def exit_with_faults(
    refused: RefusedError, as_json: bool = False, max_shown: int = MAX_SHOWN, count: int = 0
) -> None:
    """Print the faults, one per line, and exit with 2. `count`: number of all faults, if more than given."""
    count = max(count, len(refused.faults))
    if as_json:
        result = {"ok": False, "faults": [each.fields() for each in refused.faults]}
        click.echo(json.dumps(result if count == len(refused.faults) else {**result, "count": count}))
    else:
        printed = refused.faults[:max_shown]
        for fault in printed:
            click.echo(str(fault), err=True)
        if count > len(printed):
            click.echo(f"and {count - len(printed)} more", err=True)
        click.echo(f"{count} faults", err=True)
    raise SystemExit(2)


@command.command()
@click.argument("file")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def check(file: str, as_json: bool) -> None:
    """Check FILE by the format and the rules; exit 2 and print all faults if there are any."""
    try:
        plan = load(file).plan
    except RefusedError as refused:
        exit_with_faults(refused, as_json)
        return
    result = {"classes": len(plan.classes), "endpoints": len(plan.endpoints), "terms": len(plan.terms)}
    if as_json:
        click.echo(json.dumps({"ok": True, **result}))
    else:
        click.echo(f"{file}: valid: " + ", ".join(f"{value} {name}" for name, value in result.items()))


@command.command()
@click.argument("file")
@click.option("--json", "as_json", is_flag=True, help="As JSON: the value and origin of each setting.")
def show(file: str, as_json: bool) -> None:
    """Print the settings in force with FILE, and the origin of each. The output is a configuration itself."""
    try:
        loaded = load(file)
    except RefusedError as refused:
        exit_with_faults(refused, as_json)
        return
    if as_json:
        origins = loaded.origins()
        result = {
            dotted(path): {"value": value, "origin": origins.get(path, "default")}
            for path, value in flattened(plan_values(loaded), ())
        }
        click.echo(json.dumps(result))
    else:
        click.echo(annotated_toml(loaded), nl=False)


def plan_values(loaded: LoadedPlan) -> dict[str, Any]:
    """The plan as values of a file, without unset settings."""
    import msgspec

    from laureldock.setup.units import encode

    result: dict[str, Any] = msgspec.to_builtins(loaded.plan, enc_hook=encode)
    return without_none(result)  # type: ignore[no-any-return]


def without_none(value: Any) -> Any:
    if isinstance(value, dict):
        return {name: without_none(each) for name, each in value.items() if each is not None}
    return [without_none(each) for each in value] if isinstance(value, list) else value


def flattened(value: Any, path: Path) -> list[tuple[Path, Any]]:
    if isinstance(value, dict):
        return [leaf for name, each in value.items() for leaf in flattened(each, (*path, name))]
    if isinstance(value, list) and value and isinstance(value[0], dict):
        return [leaf for index, each in enumerate(value) for leaf in flattened(each, (*path, index))]
    return [(path, value)]


def annotated_toml(loaded: LoadedPlan) -> str:
    import tomlkit

    origins, document = loaded.origins(), tomlkit.document()

    def fill(target: Any, values: dict[str, Any], path: Path) -> None:
        tables = {name: each for name, each in values.items() if is_table(each)}
        for name, value in values.items():
            if name not in tables:
                item = tomlkit.item(value)
                item.comment(origins.get((*path, name), "default"))
                target.add(name, item)
        for name, value in tables.items():
            if isinstance(value, dict):
                inner = tomlkit.table()
                fill(inner, value, (*path, name))
                target.add(name, inner)
            else:
                array = tomlkit.aot()
                for index, each in enumerate(value):
                    inner = tomlkit.table()
                    fill(inner, each, (*path, name, index))
                    array.append(inner)
                target.add(name, array)

    fill(document, plan_values(loaded), ())
    return tomlkit.dumps(document)


def is_table(value: Any) -> bool:
    return isinstance(value, dict) or (isinstance(value, list) and bool(value) and isinstance(value[0], dict))


@command.command()
def schema() -> None:
    """Print the JSON Schema of the format, for editors."""
    import msgspec

    from laureldock.setup import plan
    from laureldock.setup.units import encode
    from laureldock.setup.units import schema as hook

    result = msgspec.json.schema(plan.Plan, schema_hook=hook)
    for name, table in result["$defs"].items():  # msgspec omits the defaults of durations and sizes
        kind = getattr(plan, name)
        for each in msgspec.structs.fields(kind):
            if isinstance(each.default_factory, partial):
                value = msgspec.to_builtins(each.default_factory(), enc_hook=encode)
                table["properties"][each.encode_name]["default"] = value
    click.echo(json.dumps(result, indent=2))


@command.command()
def example() -> None:
    """Print an example configuration with comments."""
    click.echo(files("laureldock.setup").joinpath("example.toml").read_text(), nl=False)

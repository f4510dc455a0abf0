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
MOST_SHOWN = 200  # faults; a file that repeats one is shown the rest by number


class ConfigGroup(click.Group):
    """Commands that talk to a controller are imported when they are asked for."""

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


def refuse(
    refused: RefusedError, as_json: bool = False, most_shown: int = MOST_SHOWN, count: int = 0
) -> None:
    """Every fault on a line, and exit 2. `count`: of all, where not all were told."""
    count = max(count, len(refused.faults))
    if as_json:
        told = {"ok": False, "faults": [each.fields() for each in refused.faults]}
        click.echo(json.dumps(told if count == len(refused.faults) else {**told, "count": count}))
    else:
        shown = refused.faults[:most_shown]
        for fault in shown:
            click.echo(str(fault), err=True)
        if count > len(shown):
            click.echo(f"and {count - len(shown)} more", err=True)
        click.echo(f"{count} faults", err=True)
    raise SystemExit(2)


@command.command()
@click.argument("file")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def check(file: str, as_json: bool) -> None:
    """Hold FILE against the format and the rules; exit 2 with every fault."""
    try:
        plan = load(file).plan
    except RefusedError as refused:
        refuse(refused, as_json)
        return
    told = {"classes": len(plan.classes), "endpoints": len(plan.endpoints), "terms": len(plan.terms)}
    if as_json:
        click.echo(json.dumps({"ok": True, **told}))
    else:
        click.echo(f"{file}: good: " + ", ".join(f"{value} {name}" for name, value in told.items()))


@command.command()
@click.argument("file")
@click.option("--json", "as_json", is_flag=True, help="As JSON: value and origin of each setting.")
def show(file: str, as_json: bool) -> None:
    """Print what holds under FILE, and where each value came from. The output is itself a configuration."""
    try:
        loaded = load(file)
    except RefusedError as refused:
        refuse(refused, as_json)
        return
    if as_json:
        origins = loaded.origins()
        told = {
            dotted(path): {"value": value, "origin": origins.get(path, "default")}
            for path, value in leaves(plain(loaded), ())
        }
        click.echo(json.dumps(told))
    else:
        click.echo(shown(loaded), nl=False)


def plain(loaded: LoadedPlan) -> dict[str, Any]:
    """The plan as the file's own values, without what is not set."""
    import msgspec

    from laureldock.setup.units import encode

    told: dict[str, Any] = msgspec.to_builtins(loaded.plan, enc_hook=encode)
    return without_none(told)  # type: ignore[no-any-return]


def without_none(value: Any) -> Any:
    if isinstance(value, dict):
        return {name: without_none(each) for name, each in value.items() if each is not None}
    return [without_none(each) for each in value] if isinstance(value, list) else value


def leaves(value: Any, path: Path) -> list[tuple[Path, Any]]:
    if isinstance(value, dict):
        return [leaf for name, each in value.items() for leaf in leaves(each, (*path, name))]
    if isinstance(value, list) and value and isinstance(value[0], dict):
        return [leaf for index, each in enumerate(value) for leaf in leaves(each, (*path, index))]
    return [(path, value)]


def shown(loaded: LoadedPlan) -> str:
    import tomlkit

    origins, document = loaded.origins(), tomlkit.document()

    def fill(into: Any, told: dict[str, Any], path: Path) -> None:
        tables = {name: each for name, each in told.items() if nested(each)}
        for name, value in told.items():
            if name not in tables:
                item = tomlkit.item(value)
                item.comment(origins.get((*path, name), "default"))
                into.add(name, item)
        for name, value in tables.items():
            if isinstance(value, dict):
                inner = tomlkit.table()
                fill(inner, value, (*path, name))
                into.add(name, inner)
            else:
                array = tomlkit.aot()
                for index, each in enumerate(value):
                    inner = tomlkit.table()
                    fill(inner, each, (*path, name, index))
                    array.append(inner)
                into.add(name, array)

    fill(document, plain(loaded), ())
    return tomlkit.dumps(document)


def nested(value: Any) -> bool:
    return isinstance(value, dict) or (isinstance(value, list) and bool(value) and isinstance(value[0], dict))


@command.command()
def schema() -> None:
    """Print the JSON Schema of the format, for editors."""
    import msgspec

    from laureldock.setup import plan
    from laureldock.setup.units import encode
    from laureldock.setup.units import schema as hook

    told = msgspec.json.schema(plan.Plan, schema_hook=hook)
    for name, table in told["$defs"].items():  # the defaults of durations and sizes
        kind = getattr(plan, name)
        for each in msgspec.structs.fields(kind):
            if isinstance(each.default_factory, partial):
                value = msgspec.to_builtins(each.default_factory(), enc_hook=encode)
                table["properties"][each.encode_name]["default"] = value
    click.echo(json.dumps(told, indent=2))


@command.command()
def example() -> None:
    """Print a commented file that passes the check."""
    click.echo(files("laureldock.setup").joinpath("example.toml").read_text(), nl=False)

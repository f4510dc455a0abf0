"""laureldock version"""

from __future__ import annotations

import json

import click

from laureldock import __version__


@click.command("version", help="Print the version.")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def command(as_json: bool) -> None:
    click.echo(json.dumps({"version": __version__}) if as_json else __version__)

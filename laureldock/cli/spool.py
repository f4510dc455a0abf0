"""laureldock spool"""

from __future__ import annotations

import json
from pathlib import Path

import click

from laureldock.clocks import read_clocks
from laureldock.stores.spool import Spool


@click.command("spool")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="A JSON object a line.")
def command(folder: Path, as_json: bool) -> None:
    """Print what the spool in FOLDER owes; it is only read."""
    to_wall = read_clocks().monotonic_to_wall
    for owed in Spool(folder, 0, writes=False).pending.values():
        name, size = owed.name.decode(), len(owed.body)
        if as_json:
            told = {"mail": name, "destination": owed.destination, "queue_class": owed.queue_class}
            click.echo(
                json.dumps(
                    {**told, "connects": owed.attempts, "bytes": size, "end": owed.expires_at + to_wall}
                )
            )
        else:
            click.echo(f"{name} to {owed.destination}: {owed.attempts} connects, {size} bytes")

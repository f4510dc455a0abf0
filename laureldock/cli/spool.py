"""laureldock spool"""

from __future__ import annotations

import json
from pathlib import Path

import click

from laureldock.clocks import read_clocks
from laureldock.stores.spool import Spool


@click.command("spool")
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="One JSON object per line.")
def command(folder: Path, as_json: bool) -> None:
    """Print the pending messages of the spool in FOLDER, which is only read."""
    to_wall = read_clocks().monotonic_to_wall
    for message in Spool(folder, 0, writes=False).pending.values():
        name, size = message.name.decode(), len(message.body)
        if as_json:
            fields = {"mail": name, "destination": message.destination, "queue_class": message.queue_class}
            click.echo(
                json.dumps(
                    {
                        **fields,
                        "connects": message.attempts,
                        "bytes": size,
                        "end": message.expires_at + to_wall,
                    }
                )
            )
        else:
            click.echo(f"{name} to {message.destination}: {message.attempts} attempts, {size} bytes")

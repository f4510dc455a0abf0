"""laureldock info"""

from __future__ import annotations

import json
import socket

import click

from laureldock.wire import resp


def read_counters(address: str) -> dict[str, int | str]:
    """The counters of the dispatcher that listens there. Raises OSError or ValueError."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), 5) as connection, connection.makefile("rb") as reply:
        connection.sendall(resp.command(b"INFO"))
        header = reply.readline()
        if header[:1] != b"$":
            raise ValueError(f"unexpected reply {header[:60]!r}")
        text = reply.read(int(header[1:])).decode()
    pairs = (line.partition(":") for line in text.splitlines() if line and not line.startswith("#"))
    return {name: int(value) if value.isdigit() else value for name, _, value in pairs}


@click.command("info")
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def command(address: str, as_json: bool) -> None:
    """Print the counters of the dispatcher that listens at ADDRESS (host:port)."""
    try:
        counters = read_counters(address)
    except (OSError, ValueError) as fault:
        raise click.ClickException(f"no answer from {address}: {fault}") from None
    if as_json:
        click.echo(json.dumps(counters))
        return
    for name, value in counters.items():
        click.echo(f"{name}: {value}")

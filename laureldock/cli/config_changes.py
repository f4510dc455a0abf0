"""laureldock config apply, laureldock config status"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import click

MAX_SHOWN = 1000  # faults printed of a refused change

if TYPE_CHECKING:
    from laureldock.replication.messages import Status, SubscriberStatus


@click.command()
@click.argument("changes")
@click.argument("address")
@click.option("--expect", type=click.IntRange(0), help="Refuse unless this is the newest version.")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def apply(changes: str, address: str, expect: int | None, as_json: bool) -> None:
    """Propose the file CHANGES to the controller that listens at ADDRESS (host:port).

    CHANGES is TOML: entries to put are tables of a configuration ([[endpoint]], [destination.NAME],
    [[terms]], [customer.NAME], [class.NAME]); entries to remove are a list, for example
    remove = ["endpoint.bank-1"]. It is accepted as a whole or not at all. Prints the new version, or the
    current one if nothing differs.

    Exit codes: 0 accepted, 1 no reply (see `config status` whether it was accepted), 2 refused.
    """
    from laureldock.cli.config import exit_with_faults
    from laureldock.controller.client import UnreachableError, propose
    from laureldock.replication.messages import Rejected
    from laureldock.setup.changes_file import locate_change_faults, read_changes
    from laureldock.setup.faults import Fault, RefusedError

    try:
        change, locations = read_changes(changes)
    except RefusedError as refused:
        exit_with_faults(refused, as_json)
        return
    try:
        reply = propose(address, change, -1 if expect is None else expect)
    except UnreachableError as fault:
        raise click.ClickException(str(fault)) from None
    if isinstance(reply, Rejected):
        faults = [Fault(each.path, each.reason, each.allowed, each.also or None) for each in reply.faults]
        exit_with_faults(
            RefusedError(locate_change_faults(faults, locations)), as_json, MAX_SHOWN, reply.count
        )
        return
    position = reply.position
    if as_json:
        result = {"ok": True, "version": position.version, "epoch": position.epoch, "digest": reply.digest}
        click.echo(json.dumps(result))
    else:
        click.echo(f"version {position.version}")


@click.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def status(address: str, as_json: bool) -> None:
    """Print how many dispatchers run which version, as the controller at ADDRESS (host:port) knows it."""
    from laureldock.controller import client

    try:
        current = client.status(address)
    except client.UnreachableError as fault:
        raise click.ClickException(str(fault)) from None
    click.echo(json.dumps(status_fields(current)) if as_json else "\n".join(status_lines(current)))


def status_fields(current: Status) -> dict[str, Any]:
    return {
        "version": current.position.version,
        "epoch": current.position.epoch,
        "digest": current.digest,
        "entries": current.entries,
        "accepted_seconds_ago": None if current.accepted_seconds_ago < 0 else current.accepted_seconds_ago,
        "versions": {each.version: each.dispatchers for each in current.versions},
        "slowest": [subscriber_fields(each) for each in current.slowest],
    }


def subscriber_fields(each: SubscriberStatus) -> dict[str, Any]:
    refused = {"version": each.refused_version, "reason": each.refused_reason}
    return {
        "dispatcher": each.dispatcher,
        "version": each.position.version,
        "epoch": each.position.epoch,
        "connected": each.connected,
        "silent_seconds": each.silent_seconds,
        "behind_seconds": each.behind_seconds,
        "refused": refused if each.refused_version else None,
    }


def status_lines(current: Status) -> list[str]:
    ago = current.accepted_seconds_ago
    when = "" if ago < 0 else f", accepted {ago:.1f} s ago"
    text = [
        f"version {current.position.version}{when}, {current.entries} entries, digest {current.digest:016x}"
    ]
    text.append(f"{sum(each.dispatchers for each in current.versions)} dispatchers")
    text += [f"  {each.dispatchers} with version {each.version} in force" for each in current.versions]
    if current.slowest:
        text.append("not at the newest version, the slowest first:")
    return text + [f"  {subscriber_line(each)}" for each in current.slowest]


def subscriber_line(each: SubscriberStatus) -> str:
    text = f"{each.dispatcher}: version {each.position.version}, behind for {each.behind_seconds:.1f} s"
    if not each.connected:
        text += f", not connected, last heard {each.silent_seconds:.1f} s ago"
    if each.refused_version:
        text += f", refused version {each.refused_version}: {each.refused_reason}"
    return text

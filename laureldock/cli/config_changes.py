"""laureldock config apply, laureldock config status"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import click

MAX_TOLD = 1000  # faults of a refused change, a line each

if TYPE_CHECKING:
    from laureldock.replication.messages import Status, SubscriberStatus


@click.command()
@click.argument("changes")
@click.argument("address")
@click.option("--expect", type=click.IntRange(0), help="Refused unless this is the newest version.")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def apply(changes: str, address: str, expect: int | None, as_json: bool) -> None:
    """Propose the file CHANGES to the controller that listens at ADDRESS (host:port).

    CHANGES is TOML: the tables of a configuration for what is put ([[endpoint]], [destination.NAME],
    [[terms]], [customer.NAME], [class.NAME]), and for what is removed a list, as
    remove = ["endpoint.bank-1"]. It is taken as a whole or not at all. Prints the version that it is; where
    nothing differs, the present one.

    Exit codes: 0 accepted, 1 no answer (look at `config status` whether it was accepted), 2 refused.
    """
    from laureldock.cli.config import refuse
    from laureldock.controller.client import UnreachableError, propose
    from laureldock.replication.messages import Rejected
    from laureldock.setup.changes_file import locate_change_faults, read_changes
    from laureldock.setup.faults import Fault, RefusedError

    try:
        change, places = read_changes(changes)
    except RefusedError as refused:
        refuse(refused, as_json)
        return
    try:
        answer = propose(address, change, -1 if expect is None else expect)
    except UnreachableError as fault:
        raise click.ClickException(str(fault)) from None
    if isinstance(answer, Rejected):
        faults = [Fault(each.path, each.reason, each.allowed, each.also or None) for each in answer.faults]
        refuse(RefusedError(locate_change_faults(faults, places)), as_json, MAX_TOLD, answer.count)
        return
    position = answer.position
    if as_json:
        told = {"ok": True, "version": position.version, "epoch": position.epoch, "digest": answer.digest}
        click.echo(json.dumps(told))
    else:
        click.echo(f"version {position.version}")


@click.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def status(address: str, as_json: bool) -> None:
    """Print how many dispatchers have which version in force, by the controller at ADDRESS (host:port)."""
    from laureldock.controller import client

    try:
        found = client.status(address)
    except client.UnreachableError as fault:
        raise click.ClickException(str(fault)) from None
    click.echo(json.dumps(fields(found)) if as_json else "\n".join(lines(found)))


def fields(found: Status) -> dict[str, Any]:
    return {
        "version": found.position.version,
        "epoch": found.position.epoch,
        "digest": found.digest,
        "entries": found.entries,
        "accepted_seconds_ago": None if found.accepted_seconds_ago < 0 else found.accepted_seconds_ago,
        "versions": {each.version: each.dispatchers for each in found.versions},
        "slowest": [subscriber_fields(each) for each in found.slowest],
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


def lines(found: Status) -> list[str]:
    ago = found.accepted_seconds_ago
    when = "" if ago < 0 else f", accepted {ago:.1f} s ago"
    told = [f"version {found.position.version}{when}, {found.entries} entries, digest {found.digest:016x}"]
    told.append(f"{sum(each.dispatchers for each in found.versions)} dispatchers")
    told += [f"  {each.dispatchers} with version {each.version} in force" for each in found.versions]
    if found.slowest:
        told.append("not at the newest version, the slowest first:")
    return told + [f"  {subscriber_line(each)}" for each in found.slowest]


def subscriber_line(each: SubscriberStatus) -> str:
    told = f"{each.dispatcher}: version {each.position.version}, behind for {each.behind_seconds:.1f} s"
    if not each.connected:
        told += f", not connected, last heard {each.silent_seconds:.1f} s ago"
    if each.refused_version:
        told += f", refused version {each.refused_version}: {each.refused_reason}"
    return told

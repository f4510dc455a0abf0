"""laureldock fleet"""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.parse
import urllib.request
from typing import Any

import click


def call(address: str, path: str, method: str = "GET") -> dict[str, Any]:
    """OSError, ValueError."""
    asked = urllib.request.Request(f"http://{address}{path}", method=method)
    try:
        with urllib.request.urlopen(asked, timeout=5) as answer:
            told = json.loads(answer.read())
    except urllib.error.HTTPError as answer:
        told = json.loads(answer.read())
        raise ValueError(told.get("error", f"status {answer.code}")) from None
    if not isinstance(told, dict):
        raise ValueError("it answered no object")
    return told


def asked(address: str, path: str, method: str = "GET") -> dict[str, Any]:
    try:
        return call(address, path, method)
    except (OSError, ValueError) as fault:
        raise click.ClickException(f"no answer from {address}: {fault}") from None


def table(told: dict[str, Any]) -> list[str]:
    rows = [("member", "site", "state", "generation", "incarnation", "load", "address")]
    for each in told["members"]:
        state = each["state"] + (" (lameduck)" if each["lameduck"] else "")
        load = f"{each['load']:.0%}"
        told_of = each["name"], each["site"], state, str(each["generation"]), str(each["incarnation"])
        rows.append((*told_of, load, each["address"]))
    widths = [max(len(row[index]) for row in rows) for index in range(len(rows[0]))]
    lines = [
        f"{told['name']} in {told['fleet']} ({told['standing']}): digest {told['digest']}, version"
        f" {told['version']}, still for {told['still_s']:.1f} s"
    ]
    lines += ["  ".join(f"{each:{width}}" for each, width in zip(row, widths, strict=True)) for row in rows]
    for site, by in sorted(told["reach"].items()):
        heard = ", ".join(f"{name} {share:.0%}" for name, share in sorted(by.items()))
        lines.append(f"site {site or '-'}: heard by {heard}")
    return [line.rstrip() for line in lines]


@click.group("fleet")
def command() -> None:
    """The view that a dispatcher has of its fleet, by its operators' ADDRESS (host:port)."""


@command.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def view(address: str, as_json: bool) -> None:
    """Print the members as the dispatcher at ADDRESS holds them."""
    told = asked(address, "/_fleet")
    click.echo(json.dumps(told) if as_json else "\n".join(table(told)))


@command.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="A JSON object a change.")
@click.option("--every", default=1.0, show_default=True, help="Seconds between looks.")
@click.option("--count", type=int, help="End after so many looks; else at an interrupt.")
def watch(address: str, as_json: bool, every: float, count: int | None) -> None:
    """Print what changes in the view of the dispatcher at ADDRESS."""
    before: dict[str, Any] = {}
    looks = 0
    while count is None or looks < count:
        if looks:
            time.sleep(every)
        looks += 1
        told = asked(address, "/_fleet")
        for line in differences(before, told):
            stamp = time.strftime("%H:%M:%S")
            click.echo(json.dumps({"at": stamp, **line}) if as_json else f"{stamp} {shown(line)}")
        before = told


def differences(before: dict[str, Any], after: dict[str, Any]) -> list[dict[str, Any]]:
    known = {each["name"]: each for each in before.get("members", [])}
    found = []
    for each in after["members"]:
        old = known.pop(each["name"], None)
        changed = [
            name for name in ("state", "generation", "lameduck", "site", "address")
            if old is None or old[name] != each[name]
        ]  # fmt: skip
        if changed:
            found.append({"member": each["name"], **{name: each[name] for name in changed}})
    return found + [{"member": name, "state": "forgotten"} for name in known]


def shown(line: dict[str, Any]) -> str:
    return " ".join(
        [str(line["member"]), *(f"{name}={value}" for name, value in line.items() if name != "member")]
    )


@command.command()
@click.argument("name")
@click.argument("address")
def forget(name: str, address: str) -> None:
    """Tell the fleet, by the dispatcher at ADDRESS, that the failed member NAME will not return."""
    asked(address, f"/_fleet/forget/{urllib.parse.quote(name, safe='')}", "PUT")
    click.echo(f"{name} is held to have left")

"""laureldock fleet"""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.parse
import urllib.request
from typing import Any

import click


def request_json(address: str, path: str, method: str = "GET") -> dict[str, Any]:
    """The JSON object of a reply. Raises OSError or ValueError."""
    request = urllib.request.Request(f"http://{address}{path}", method=method)
    try:
        with urllib.request.urlopen(request, timeout=5) as response:
            reply = json.loads(response.read())
    except urllib.error.HTTPError as response:
        reply = json.loads(response.read())
        raise ValueError(reply.get("error", f"status {response.code}")) from None
    if not isinstance(reply, dict):
        raise ValueError("the reply is not a JSON object")
    return reply


def query(address: str, path: str, method: str = "GET") -> dict[str, Any]:
    try:
        return request_json(address, path, method)
    except (OSError, ValueError) as fault:
        raise click.ClickException(f"no answer from {address}: {fault}") from None


def view_lines(reply: dict[str, Any]) -> list[str]:
    rows = [("member", "site", "state", "generation", "incarnation", "load", "address")]
    for each in reply["members"]:
        state = each["state"] + (" (lameduck)" if each["lameduck"] else "")
        load = f"{each['load']:.0%}"
        columns = each["name"], each["site"], state, str(each["generation"]), str(each["incarnation"])
        rows.append((*columns, load, each["address"]))
    widths = [max(len(row[index]) for row in rows) for index in range(len(rows[0]))]
    lines = [
        f"{reply['name']} in {reply['fleet']} ({reply['standing']}): digest {reply['digest']}, version"
        f" {reply['version']}, still for {reply['still_s']:.1f} s"
    ]
    lines += ["  ".join(f"{each:{width}}" for each, width in zip(row, widths, strict=True)) for row in rows]
    for site, by in sorted(reply["reach"].items()):
        heard = ", ".join(f"{name} {share:.0%}" for name, share in sorted(by.items()))
        lines.append(f"site {site or '-'}: heard by {heard}")
    return [line.rstrip() for line in lines]


@click.group("fleet")
def command() -> None:
    """Show the fleet view of the dispatcher with the management ADDRESS (host:port)."""


@command.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def view(address: str, as_json: bool) -> None:
    """Print the members in the view of the dispatcher at ADDRESS."""
    reply = query(address, "/_fleet")
    click.echo(json.dumps(reply) if as_json else "\n".join(view_lines(reply)))


@command.command()
@click.argument("address")
@click.option("--json", "as_json", is_flag=True, help="One JSON object per change.")
@click.option("--every", default=1.0, show_default=True, help="Seconds between polls.")
@click.option("--count", type=int, help="Stop after this many polls; default: at an interrupt.")
def watch(address: str, as_json: bool, every: float, count: int | None) -> None:
    """Print changes in the view of the dispatcher at ADDRESS."""
    before: dict[str, Any] = {}
    polls = 0
    while count is None or polls < count:
        if polls:
            time.sleep(every)
        polls += 1
        reply = query(address, "/_fleet")
        for line in differences(before, reply):
            stamp = time.strftime("%H:%M:%S")
            click.echo(json.dumps({"at": stamp, **line}) if as_json else f"{stamp} {change_line(line)}")
        before = reply


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


def change_line(line: dict[str, Any]) -> str:
    return " ".join(
        [str(line["member"]), *(f"{name}={value}" for name, value in line.items() if name != "member")]
    )


@command.command()
@click.argument("name")
@click.argument("address")
def forget(name: str, address: str) -> None:
    """Mark the failed member NAME as left, through the dispatcher at ADDRESS; it will not return."""
    query(address, f"/_fleet/forget/{urllib.parse.quote(name, safe='')}", "PUT")
    click.echo(f"{name} is held to have left")

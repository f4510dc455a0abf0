"""The command line."""

from __future__ import annotations

import json
import os
import signal
import socket
import sys
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import click
import structlog
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import CannotListenError
from twisted.internet.main import installReactor

from laureldock import __version__
from laureldock.net.clients import Door
from laureldock.net.dispatcher import Dispatcher, Place
from laureldock.net.http import address
from laureldock.net.spool import Spool


class SteadyReactor(EPollReactor):
    """Timers run by the monotonic clock: a step of the wall clock neither delays nor hurries them."""

    def seconds(self) -> float:
        return time.monotonic()

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Door:  # noqa: N802
        door = Door(port, factory, backlog, interface, self)
        door.startListening()
        return door

    def runUntilCurrent(self) -> None:  # noqa: N802
        """After a stall, what has come in is read before any timer says that it has not come."""
        if self.running:
            self.doIteration(0)
        super().runUntilCurrent()


def directory(environ: Mapping[str, str]) -> str:
    """Where the list and the notices are by the file as it is now, newer than the environment."""
    try:
        return address(json.loads(Path(environ["LB_CONFIG"]).read_bytes())["discovery"])
    except (OSError, KeyError, TypeError, RecursionError) as fault:
        raise ValueError(repr(fault)) from None


def place(environ: Mapping[str, str]) -> Place:
    """What the environment and the file that it names tell; ValueError in plain words if they don't."""
    try:
        told: dict[str, Any] = json.loads(Path(environ["LB_CONFIG"]).read_bytes())
        limits = told["limits"]
        found = Place(
            name=environ.get("LB_NAME") or told["name"],
            listen=address(environ.get("LB_LISTEN") or told["listen"]),
            directory=address(environ.get("LB_DISCOVERY") or told["discovery"]),
            state=Path(environ["LB_STATE"]),
            seed=int(told["seed"], 16),
            sockets=int(limits["sockets"]),
            disk=float(limits["disk_mb"]) * 1e6,
            known=told["known"],
            settings=told["settings"],
        )
    except KeyError as fault:
        raise ValueError(f"{fault} is not set") from None
    except (OSError, TypeError, AttributeError) as fault:
        raise ValueError(str(fault)) from None
    if not found.state.is_dir():
        raise ValueError(f"no folder for the spool: {found.state}")
    return found


@click.group()
def cli() -> None:
    """Dispatches notifications ("mails") to outside receivers."""


@cli.command()
def serve() -> None:
    """Run a dispatcher, told by LB_CONFIG, LB_STATE and their like."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
    )
    reactor = SteadyReactor()
    installReactor(reactor)
    try:
        dispatcher = Dispatcher(place(os.environ), reactor)
        dispatcher.start()
    except (ValueError, KeyError, TypeError, AttributeError, OSError, CannotListenError) as fault:
        raise click.ClickException(f"cannot start: {type(fault).__name__}: {fault}") from None
    signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(dispatcher.log_counters))
    signal.signal(
        signal.SIGHUP,
        lambda *_: reactor.callFromThread(dispatcher.moved, lambda: directory(os.environ)),
    )
    reactor.run()
    sys.exit(dispatcher.fault)


@cli.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)


@cli.command()
@click.argument("address")
def info(address: str) -> None:
    """Print the counters of the dispatcher that listens at ADDRESS."""
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), 5) as link, link.makefile("rb") as answer:
            link.sendall(b"*1\r\n$4\r\nINFO\r\n")
            text = answer.read(int(answer.readline()[1:]))
    except (OSError, ValueError) as fault:
        raise click.ClickException(f"no answer from {address}: {fault}") from None
    for name, value in json.loads(text).items():
        click.echo(f"{name}: {value}")


@cli.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False, path_type=Path))
def spool(folder: Path) -> None:
    """Print what the spool in FOLDER owes; it is only read."""
    for owed in Spool(folder, 0).owed.values():
        what = f"{owed.connects} connects, {len(owed.body)} bytes"
        click.echo(f"{owed.name.decode()} to {owed.destination}: {what}")


if __name__ == "__main__":
    cli()

"""CPU time of a message in a real process, and of attempts for messages to receivers that are down."""

from __future__ import annotations

import socket
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path

from benchmarks.slopes.model import Experiment, SlopeDefinition, Values
from benchmarks.slopes.process import WAIT_TIMEOUT, DispatcherProcess, address_of, endpoint
from benchmarks.slopes.receivers import StubReceivers
from laureldock.wire.resp import command

BODY = b"x" * 200

MESSAGES = [1_000, 2_000, 4_000, 8_000]
DESTINATIONS = [2_000, 8_000, 32_000, 64_000]
# Messages that use up the room for idle connections, and those that are measured.
FILLING_MESSAGES, MEASURED_MESSAGES = 600, 1_000
DOWN = [250, 500, 1_000, 2_000]
LISTED = 8_000  # total number of destinations, some of which are down
LIFETIME = 10.0  # seconds
BATCH_SIZE = 32  # messages that the client hands in before it reads replies


def hand_in(process: DispatcherProcess, destinations: Iterable[str], batch_size: int = BATCH_SIZE) -> int:
    """Hand in a message for each destination and wait until none is held; returns how many were accepted."""
    accepted, names = 0, list(destinations)
    with (
        socket.create_connection(("127.0.0.1", process.port)) as connection,
        connection.makefile("rb") as replies,
    ):
        for start in range(0, len(names), batch_size):
            batch = names[start : start + batch_size]
            unique = f"{time.monotonic_ns()}-{start}"
            for number, name in enumerate(batch):
                fields = f"c=news,d={int(LIFETIME * 1000)},dest={name}".encode()
                connection.sendall(command(b"MSG.PUT", b"0", f"{unique}-{number}".encode(), fields, BODY))
            for _ in batch:
                accepted += replies.readline().startswith(b"+OK")
    wait_until_empty(process)
    return accepted


def wait_until_empty(process: DispatcherProcess) -> None:
    deadline = time.monotonic() + WAIT_TIMEOUT
    while process.counter("held"):
        if time.monotonic() > deadline:
            raise RuntimeError("messages are held for too long")
        time.sleep(0.1)


def cpu_seconds_for(process: DispatcherProcess, destinations: list[str]) -> float:
    """CPU seconds for one message to each destination.

    Raises RuntimeError unless all are accepted and delivered.
    """
    before = process.wait_until_idle()
    accepted = hand_in(process, destinations)
    used = process.wait_until_idle() - before
    lost = process.counter("bounced") + process.counter("deferred")
    if accepted != len(destinations) or lost:
        raise RuntimeError(f"{accepted} of {len(destinations)} messages accepted, {lost} not delivered")
    return used


def message_costs(size: int) -> Values:
    """Messages over idle connections to four receivers, and to destinations that are new to the process."""
    with tempfile.TemporaryDirectory() as folder:
        receivers = StubReceivers(4, BODY)
        addresses = receivers.addresses
        process = DispatcherProcess(Path(folder), room=4_000)
        kept = [endpoint(f"k{each}", "kept", address, 0) for each, address in enumerate(addresses)]
        listed = [endpoint(f"e{each}", f"d{each}", addresses[each % 4], 0) for each in range(size)]
        process.write([*kept, *listed])
        try:
            process.start()
            cpu_seconds_for(process, ["kept"] * 200)
            found = {"mail: kept connections": [cpu_seconds_for(process, ["kept"] * size)]}
            found["mail: first to its destination"] = [
                cpu_seconds_for(process, [f"d{each}" for each in range(size)])
            ]
        finally:
            process.stop()
            receivers.close()
    return found


def costs_among_destinations(size: int) -> Values:
    """Cost of a message by the number of listed destinations, with no room for more idle connections."""
    with tempfile.TemporaryDirectory() as folder:
        receivers = StubReceivers(4, BODY)
        process = DispatcherProcess(Path(folder), room=4_000)
        addresses = receivers.addresses
        process.write(endpoint(f"e{each}", f"d{each}", addresses[each % 4], 0) for each in range(size))
        try:
            process.start()
            cpu_seconds_for(process, [f"d{each}" for each in range(FILLING_MESSAGES)])
            used = cpu_seconds_for(
                process, [f"d{FILLING_MESSAGES + each}" for each in range(MEASURED_MESSAGES)]
            )
        finally:
            process.stop()
            receivers.close()
    return {"mail: among destinations": [used / MEASURED_MESSAGES]}


def costs_of_destinations_down(size: int) -> Values:
    """One message for each of `size` destinations whose receivers refuse every connection."""
    found: Values = {}
    with tempfile.TemporaryDirectory() as folder:
        process = DispatcherProcess(Path(folder), room=4_000, lifetime=LIFETIME)
        process.write(endpoint(f"e{each}", f"d{each}", address_of(each)) for each in range(LISTED))
        try:
            process.start()
            before = process.wait_until_idle()
            hand_in(process, [f"d{each}" for each in range(size)], batch_size=size)
            attempts = process.counter("connects") + process.counter("probes")
            found["down: trials"] = [float(attempts)]
            found["down: processor"] = [process.wait_until_idle() - before]
        finally:
            process.kill()
    return found


EXPERIMENTS = [
    Experiment(
        "mails",
        [
            SlopeDefinition("mail: kept connections", "s of processor", "mails"),
            SlopeDefinition("mail: first to its destination", "s of processor", "mails"),
        ],
        MESSAGES,
        [2, 2, 2, 1],
        message_costs,
    ),
    Experiment(
        "among",
        [SlopeDefinition("mail: among destinations", "s of processor a mail", "destinations")],
        DESTINATIONS,
        [2, 2, 1, 1],
        costs_among_destinations,
    ),
    Experiment(
        "down",
        [
            SlopeDefinition("down: trials", "connects and probes", "destinations down with a mail each"),
            SlopeDefinition("down: processor", "s of processor", "destinations down with a mail each"),
        ],
        DOWN,
        [2, 2, 1, 1],
        costs_of_destinations_down,
    ),
]

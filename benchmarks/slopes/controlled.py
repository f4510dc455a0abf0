"""Cost of configuration from a controller: bytes of a change, stream, snapshot; controller and follower."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

from benchmarks.slopes.model import Experiment, SlopeDefinition, Values
from benchmarks.slopes.process import (
    START_TIMEOUT,
    DispatcherProcess,
    address_of,
    free_port,
    process_cpu_seconds,
    resident_bytes,
)
from laureldock.controller.client import UnreachableError, status
from laureldock.replication import messages
from laureldock.replication.change_log import ChangeLog
from laureldock.replication.messages import (
    HEARTBEAT_INTERVAL,
    ChangeMessage,
    Heartbeat,
    InForce,
    Message,
    Position,
    SnapshotPart,
)
from laureldock.replication.parts import snapshot_parts
from laureldock.setup.changes import Change, EndpointEntry, encode_change, entry_digest
from laureldock.setup.plan import Endpoint
from laureldock.setup.units import Address

ENTRIES_OF_A_CHANGE = [1, 4, 16, 64, 256]
DESTINATIONS = [1_000, 8_000, 32_000, 128_000]
SECONDS = [2, 20, 200, 2_000]
LENGTH_BYTES = 4  # before each frame
FAR_POSITION, ANY_DIGEST = Position(1 << 55, 1 << 20), 1 << 60  # encoded at their maximum length
CONFIGURATION_FOLDER = "configuration"
SOURCE = """\
[source]
kind = "controller"
controllers = ["127.0.0.1:{port}"]
"""
CONTROLLER_FILE = """\
name = "control"
[controller]
listen = "127.0.0.1:{port}"
[log]
level = "error"
[class.news]
effect = "redeliverable"
target_delay = "1s"
lifetime = "10s"
"""


def endpoints(count: int) -> Iterator[EndpointEntry]:
    """Endpoints, each with a destination of its own."""
    for number in range(count):
        address = Address(address_of(number))
        name = f"e{number}"
        yield EndpointEntry(name, Endpoint(destination=f"d{number}", address=address, name=name, rate=20.0))


def frame_bytes(message: Message) -> int:
    return LENGTH_BYTES + len(messages.encode(message))


def change(size: int) -> Values:
    """Bytes of a change of `size` endpoints, to a dispatcher and back."""
    body = encode_change(Change(tuple(endpoints(size))))
    change_message = ChangeMessage(FAR_POSITION, ANY_DIGEST, time.time(), messages.checksum(body), body)
    size_both = frame_bytes(change_message) + frame_bytes(InForce(FAR_POSITION, ANY_DIGEST))
    return {"change by controller: bytes": [float(size_both)]}


def idle_stream(size: int) -> Values:
    """Bytes of heartbeats in both directions, in `size` seconds without a change."""
    each = frame_bytes(Heartbeat(FAR_POSITION))
    return {"stream by controller: bytes": [2 * each * size / HEARTBEAT_INTERVAL]}


def snapshot(size: int) -> Values:
    """Bytes of a snapshot of all entries, as sent to a new dispatcher."""
    parts = (
        SnapshotPart(number, messages.checksum(body), body)
        for number, body in enumerate(snapshot_parts(endpoints(size)))
    )
    return {"snapshot by controller: bytes": [float(sum(map(frame_bytes, parts)))]}


def fill(folder: Path, count: int, durable: bool) -> None:
    """Fill the folder of a controller, or of a dispatcher that follows one, with `count` endpoints."""
    entries = list(endpoints(count))
    digest = 0
    for entry in entries:
        digest ^= entry_digest(entry)
    log = ChangeLog(folder, durable)
    for _ in log.load():
        pass
    log.compact(Position(1, 1), digest, snapshot_parts(entries), len(entries))
    log.close()


def wait_until_ready(child: subprocess.Popen[bytes], address: str) -> None:
    deadline = time.monotonic() + START_TIMEOUT
    while time.monotonic() < deadline and child.poll() is None:
        try:
            status(address)
            return
        except UnreachableError:
            time.sleep(0.02)
    raise RuntimeError("the controller did not start")


def controller(size: int) -> Values:
    """Memory and CPU time of the start of a controller with `size` endpoints on its disk."""
    with tempfile.TemporaryDirectory() as name:
        folder, port = Path(name), free_port()
        file = folder / "controller.toml"
        file.write_text(CONTROLLER_FILE.format(port=port))
        fill(folder / "controller-state", size, durable=True)
        disk = sum(each.stat().st_size for each in (folder / "controller-state").iterdir())
        command = [sys.executable, "-m", "laureldock", "controller", str(file)]
        child = subprocess.Popen(command, stdout=subprocess.DEVNULL)
        try:
            wait_until_ready(child, f"127.0.0.1:{port}")
            memory, start = resident_bytes(child.pid), process_cpu_seconds(child.pid)
        finally:
            child.kill()
            child.wait(30)
    found = {"memory": memory, "start": start, "disk": float(disk)}
    return {f"controller: {what}": [value] for what, value in found.items()}


def follower(size: int) -> Values:
    """Start of a dispatcher with `size` stored endpoints that cannot reach a controller."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        (folder / "state").mkdir()
        fill(folder / "state" / CONFIGURATION_FOLDER, size, durable=False)
        process = DispatcherProcess(folder)
        process.write([SOURCE.format(port=free_port())])
        try:
            process.start()
            if process.counter("configuration_version") != 1:
                raise RuntimeError("the dispatcher has another configuration")
            found = {"memory": process.start_memory, "start": process.start_cpu_seconds}
        finally:
            process.kill()
    return {f"follower: {what}": [value] for what, value in found.items()}


EXPERIMENTS = [
    Experiment(
        "controlled_stream",
        [SlopeDefinition("stream by controller: bytes", "B", "seconds")],
        SECONDS,
        [1] * 4,
        idle_stream,
    ),
    Experiment(
        "controlled_change",
        [SlopeDefinition("change by controller: bytes", "B", "entries of a change")],
        ENTRIES_OF_A_CHANGE,
        [1] * 5,
        change,
    ),
    Experiment(
        "controlled_snapshot",
        [SlopeDefinition("snapshot by controller: bytes", "B", "destinations")],
        DESTINATIONS,
        [1] * 4,
        snapshot,
    ),
    Experiment(
        "controller",
        [
            SlopeDefinition("controller: memory", "B", "destinations"),
            SlopeDefinition("controller: start", "s of processor", "destinations"),
            SlopeDefinition("controller: disk", "B", "destinations"),
        ],
        DESTINATIONS,
        [3, 2, 2, 1],
        controller,
    ),
    Experiment(
        "follower",
        [
            SlopeDefinition("follower: memory", "B", "destinations"),
            SlopeDefinition("follower: start", "s of processor", "destinations"),
        ],
        DESTINATIONS,
        [3, 2, 2, 1],
        follower,
    ),
]

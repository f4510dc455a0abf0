"""Cost of pending messages at the start of a dispatcher: with a fresh spool, and after SIGKILL."""

from __future__ import annotations

import socket
import tempfile
import time
from pathlib import Path

from benchmarks.slopes.model import Experiment, SlopeDefinition, Values
from benchmarks.slopes.process import DispatcherProcess, endpoint
from laureldock.core.messages import StoredMessage
from laureldock.stores.spool import Spool

SIZES = [2_000, 10_000, 50_000, 200_000]
DESTINATIONS = 100
DISK_MB = 1024
LIFETIME = 3600.0  # seconds
BODY = b"x" * 200


def write_spool(folder: Path, count: int) -> int:
    """Write a spool with `count` pending messages; returns its size in bytes."""
    folder.mkdir()
    store, end = Spool(folder, DISK_MB << 20), time.monotonic() + LIFETIME
    store.open()
    for number in range(count):
        destination = f"d{number % DESTINATIONS}"
        store.accept(StoredMessage(b"m%d" % number, None, "news", "", b"", destination, end, BODY))
    store.close()
    return store.size


def pending_costs(size: int) -> Values:
    """The receiver accepts connections and never responds, so that no pending message finishes meanwhile."""
    with tempfile.TemporaryDirectory() as name, socket.create_server(("127.0.0.1", 0), backlog=64) as silent:
        folder, address = Path(name), f"127.0.0.1:{silent.getsockname()[1]}"
        disk = write_spool(folder / "state", size)
        process = DispatcherProcess(folder, slots=8, room=size + 1000, disk_mb=DISK_MB, lifetime=LIFETIME)
        process.write(endpoint(f"e{each}", f"d{each}", address) for each in range(DESTINATIONS))
        try:
            process.start()
            found = {
                "memory": [process.start_memory],
                "start": [process.start_cpu_seconds],
                "disk": [float(disk)],
            }
            process.kill()
            process.start()
            found |= {
                "memory after a kill": [process.start_memory],
                "start after a kill": [process.start_cpu_seconds],
            }
            if process.counter("held") != size:
                raise RuntimeError(f"{process.counter('held')} messages are held, not {size}")
        finally:
            process.kill()
    return {f"owed mail: {name}": values for name, values in found.items()}


UNITS = {
    "memory": "B",
    "start": "s of processor",
    "disk": "B",
    "memory after a kill": "B",
    "start after a kill": "s of processor",
}
EXPERIMENTS = [
    Experiment(
        "owed",
        [SlopeDefinition(f"owed mail: {name}", unit, "owed mails") for name, unit in UNITS.items()],
        SIZES,
        [3, 3, 3, 2],
        pending_costs,
    )
]

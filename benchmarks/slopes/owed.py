"""What mails that are owed cost a dispatcher at its start: a fresh one, and one after SIGKILL."""

from __future__ import annotations

import socket
import tempfile
import time
from pathlib import Path

from benchmarks.slopes.model import Experiment, Measured, Values
from benchmarks.slopes.process import Process, endpoint
from laureldock.core.messages import StoredMessage
from laureldock.stores.spool import Spool

SIZES = [2_000, 10_000, 50_000, 200_000]
DESTINATIONS = 100
DISK_MB = 1024
LIFETIME = 3600.0  # seconds
BODY = b"x" * 200


def hand_over(folder: Path, count: int) -> int:
    """Write a spool that owes so many mails; its bytes."""
    folder.mkdir()
    store, end = Spool(folder, DISK_MB << 20), time.monotonic() + LIFETIME
    store.open()
    for number in range(count):
        destination = f"d{number % DESTINATIONS}"
        store.take(StoredMessage(b"m%d" % number, None, "news", "", b"", destination, end, BODY))
    store.close()
    return store.size


def owed(size: int) -> Values:
    """Receivers accept and never answer, so that nothing of what is owed is over meanwhile."""
    with tempfile.TemporaryDirectory() as name, socket.create_server(("127.0.0.1", 0), backlog=64) as silent:
        folder, address = Path(name), f"127.0.0.1:{silent.getsockname()[1]}"
        disk = hand_over(folder / "state", size)
        process = Process(folder, slots=8, room=size + 1000, disk_mb=DISK_MB, lifetime=LIFETIME)
        process.write(endpoint(f"e{each}", f"d{each}", address) for each in range(DESTINATIONS))
        try:
            process.start()
            found = {
                "memory": [process.start_memory],
                "start": [process.start_processor],
                "disk": [float(disk)],
            }
            process.kill()
            process.start()
            found |= {
                "memory after a kill": [process.start_memory],
                "start after a kill": [process.start_processor],
            }
            if process.counter("held") != size:
                raise RuntimeError(f"{process.counter('held')} mails are held, not {size}")
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
        [Measured(f"owed mail: {name}", unit, "owed mails") for name, unit in UNITS.items()],
        SIZES,
        [3, 3, 3, 2],
        owed,
    )
]

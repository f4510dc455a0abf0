"""Initial fill of a controller: its duration, the delay of streams meanwhile, and what new dispatchers read.

    python benchmarks/first_fill.py --destinations 370000

Runs a real controller on loopback with an empty folder. One simulated dispatcher follows it and records the
longest time without any data from the controller. Bounded by --limit seconds. Prints one JSON object.
"""

from __future__ import annotations

import argparse
import json
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from laureldock.controller import client
from laureldock.rehearsal.ports import free_port
from laureldock.replication import messages
from laureldock.replication.messages import NO_POSITION, Accepted, Heartbeat, Message, Subscribe
from laureldock.setup.changes import Change, EndpointEntry
from laureldock.setup.plan import Endpoint
from laureldock.setup.units import Address

CONTROLLER_FILE = """\
[controller]
listen = "127.0.0.1:{port}"
[class.news]
effect = "redeliverable"
target_delay = "5s"
lifetime = "30s"
"""


def framed(message: Message) -> bytes:
    payload = messages.encode(message)
    return len(payload).to_bytes(4, "big") + payload


class StreamListener(threading.Thread):
    """A dispatcher that only receives, and sends heartbeats."""

    def __init__(self, port: int) -> None:
        super().__init__(daemon=True)
        self.connection = socket.create_connection(("127.0.0.1", port), 5)
        self.connection.settimeout(0.2)
        self.connection.sendall(framed(Subscribe("listener", NO_POSITION, 0)))
        self.longest_silence, self.closed = 0.0, False

    def run(self) -> None:
        received_at = heartbeat_at = time.monotonic()
        while not self.closed:
            try:
                self.closed = not self.connection.recv(1 << 16)
                now = time.monotonic()
                self.longest_silence, received_at = max(self.longest_silence, now - received_at), now
            except TimeoutError:
                now = time.monotonic()
            except OSError:
                self.closed = True
            if now > heartbeat_at + 1.5:
                self.connection.sendall(framed(Heartbeat(NO_POSITION)))
                heartbeat_at = now


def endpoints(count: int) -> tuple[EndpointEntry, ...]:
    """Endpoints, each with a destination of its own."""
    found = []
    for number in range(count):
        name = f"receiver-{number:06}"
        address = Address(f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080")
        value = Endpoint(destination=f"merchant-{number:06}", address=address, name=name)
        found.append(EndpointEntry(name, value))
    return tuple(found)


def start_controller(file: Path, log: Path, limit: float) -> tuple[subprocess.Popen[bytes], float]:
    """Start the controller; returns its process and the seconds until it was ready."""
    started_at, ready = time.monotonic(), log.read_text().count("controller ready") if log.exists() else 0
    with log.open("ab") as out:
        process = subprocess.Popen([sys.executable, "-m", "laureldock", "controller", str(file)], stdout=out)
    while log.read_text().count("controller ready") == ready:
        if process.poll() is not None or time.monotonic() > started_at + limit:
            process.kill()
            raise SystemExit("the controller did not start in time")
        time.sleep(0.05)
    return process, time.monotonic() - started_at


def resident_bytes(process: subprocess.Popen[bytes]) -> int:
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) * 1024 for line in lines if line.startswith("VmRSS"))


def snapshot_event(log: Path, since: float, limit: float) -> dict[str, object]:
    while time.monotonic() < since + limit:
        for line in log.read_text().splitlines():
            if '"snapshot written"' in line:
                found: dict[str, object] = json.loads(line)
                return found
        time.sleep(0.1)
    raise SystemExit("no snapshot was written in time")


def measure(folder: Path, destinations: int, limit: float) -> dict[str, object]:
    port, file, log = free_port(), folder / "controller.toml", folder / "log"
    file.write_text(CONTROLLER_FILE.format(port=port))
    change = Change(endpoints(destinations))
    process, _ = start_controller(file, log, limit)
    try:
        listener = StreamListener(port)
        listener.start()
        started_at = time.monotonic()
        reply = client.propose(f"127.0.0.1:{port}", change)
        accepted_at = time.monotonic()
        if not isinstance(reply, Accepted):
            raise SystemExit(f"the controller refused the change: {reply}")
        snapshot = snapshot_event(log, accepted_at, limit)
        time.sleep(3.0)
        longest, stream_closed, resident = listener.longest_silence, listener.closed, resident_bytes(process)
        process.send_signal(signal.SIGTERM)
        process.wait(10)
        process, restart = start_controller(file, log, limit)
        size = int(str(snapshot["bytes"]))
        return {
            "destinations": destinations,
            "accepted_after_s": round(accepted_at - started_at, 1),
            "snapshot_s": snapshot["took"],
            "snapshot_bytes": size,
            "bytes_a_destination": round(size / destinations, 1),
            "longest_silence_s": round(longest, 2),
            "stream_closed": stream_closed,
            "resident_bytes": resident,
            "restart_s": round(restart, 1),
            "wait_of_a_new_dispatcher_s": round(size / 4000),
        }
    finally:
        process.kill()
        process.wait()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--destinations", type=int, default=370_000)
    parser.add_argument("--limit", type=float, default=170.0, help="Seconds for each step.")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(measure(Path(folder), options.destinations, options.limit)))


if __name__ == "__main__":
    main()

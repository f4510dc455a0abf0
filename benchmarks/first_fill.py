"""A first fill of a controller: how long it takes, what streams wait meanwhile, what a new one must read.

    python benchmarks/first_fill.py --destinations 370000

A real controller on loopback with an empty folder; one dispatcher follows it, played by hand, and notes the
longest time without a word from the controller. Bounded by --limit seconds. Prints one JSON object.
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
from laureldock.rehearsal.play import free_port
from laureldock.replication import messages
from laureldock.replication.messages import NO_POSITION, Accepted, Heartbeat, Message, Subscribe
from laureldock.setup.changes import Change, EndpointEntry
from laureldock.setup.plan import Endpoint
from laureldock.setup.units import Address

FILE = """\
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


class Listener(threading.Thread):
    """A dispatcher that only listens and beats."""

    def __init__(self, port: int) -> None:
        super().__init__(daemon=True)
        self.link = socket.create_connection(("127.0.0.1", port), 5)
        self.link.settimeout(0.2)
        self.link.sendall(framed(Subscribe("listener", NO_POSITION, 0)))
        self.longest, self.closed = 0.0, False

    def run(self) -> None:
        heard = beaten = time.monotonic()
        while not self.closed:
            try:
                self.closed = not self.link.recv(1 << 16)
                now = time.monotonic()
                self.longest, heard = max(self.longest, now - heard), now
            except TimeoutError:
                now = time.monotonic()
            except OSError:
                self.closed = True
            if now > beaten + 1.5:
                self.link.sendall(framed(Heartbeat(NO_POSITION)))
                beaten = now


def endpoints(count: int) -> tuple[EndpointEntry, ...]:
    """Each of a destination of its own."""
    found = []
    for number in range(count):
        name = f"receiver-{number:06}"
        address = Address(f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080")
        value = Endpoint(destination=f"merchant-{number:06}", address=address, name=name)
        found.append(EndpointEntry(name, value))
    return tuple(found)


def launched(file: Path, log: Path, limit: float) -> tuple[subprocess.Popen[bytes], float]:
    """The process, and how long it took until it was ready."""
    began, ready = time.monotonic(), log.read_text().count("controller ready") if log.exists() else 0
    with log.open("ab") as out:
        process = subprocess.Popen([sys.executable, "-m", "laureldock", "controller", str(file)], stdout=out)
    while log.read_text().count("controller ready") == ready:
        if process.poll() is not None or time.monotonic() > began + limit:
            process.kill()
            raise SystemExit("the controller did not start in time")
        time.sleep(0.05)
    return process, time.monotonic() - began


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


def measured(folder: Path, destinations: int, limit: float) -> dict[str, object]:
    port, file, log = free_port(), folder / "controller.toml", folder / "log"
    file.write_text(FILE.format(port=port))
    change = Change(endpoints(destinations))
    process, _ = launched(file, log, limit)
    try:
        listener = Listener(port)
        listener.start()
        began = time.monotonic()
        answer = client.propose(f"127.0.0.1:{port}", change)
        accepted = time.monotonic()
        if not isinstance(answer, Accepted):
            raise SystemExit(f"refused: {answer}")
        snapshot = snapshot_event(log, accepted, limit)
        time.sleep(3.0)
        longest, cut, resident = listener.longest, listener.closed, resident_bytes(process)
        process.send_signal(signal.SIGTERM)
        process.wait(10)
        process, restart = launched(file, log, limit)
        size = int(str(snapshot["bytes"]))
        return {
            "destinations": destinations,
            "accepted_after_s": round(accepted - began, 1),
            "snapshot_s": snapshot["took"],
            "snapshot_bytes": size,
            "bytes_a_destination": round(size / destinations, 1),
            "longest_silence_s": round(longest, 2),
            "stream_closed": cut,
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
    told = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        print(json.dumps(measured(Path(folder), told.destinations, told.limit)))


if __name__ == "__main__":
    main()

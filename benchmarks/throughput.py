"""CPU time per message of a dispatcher on loopback: closed-loop clients, receivers that respond at once.

    python -m benchmarks.throughput [--against CHECKOUT] [--seconds 6] [--pairs 5]

With another checkout, the two run alternately and the ratio of each pair is printed: absolute values vary
with the load of the machine, ratios within a run do not. Every message is written to the spool, as in
production.
"""

from __future__ import annotations

import json
import os
import selectors
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

import click

SETTINGS: dict[str, Any] = {
    "classes": [{"name": "news", "effect": "retryable", "points": 1, "aim_ns": 2e9, "deadline_ns": 9e9}],
    "kinds": ["any"], "n_instances": 1, "telemetry": {"fields": ["x0", "x1"], "via": "inline"},
    "family_info": {"call_slots": 64, "batch_by_kind": [1], "routes_apart": [True], "fades": "linear"},
    "limits": {"most_held": 400, "max_attempts": 4, "may_cancel": True, "connect_timeout_ns": 1e9,
               "conn_idle_ns": 15e9, "retry_after": True, "max_retry_after_ns": 3e9},
    "invariants": {"start_capacity": 0.3, "tip_multiple": 2, "fall_ns": 2e9, "warm_after_ns": 9e9,
                   "key_rest_ns": 3e8},
}  # fmt: skip
BODY = b"x" * 200
CORES = sorted(os.sched_getaffinity(0))
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class StubReceivers:
    """Receivers that respond to every call at once, with no more HTTP than the benchmark needs."""

    def __init__(self, count: int) -> None:
        self.selector = selectors.DefaultSelector()
        self.ports = []
        for _ in range(count):
            listener = socket.create_server(("127.0.0.1", 0), backlog=256)
            listener.setblocking(False)
            self.ports.append(listener.getsockname()[1])
            self.selector.register(listener, selectors.EVENT_READ, None)
        self.served = 0
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        while True:
            for key, _ in self.selector.select():
                sock: Any = key.fileobj
                if key.data is None:
                    connection, _ = sock.accept()
                    connection.setblocking(False)
                    self.selector.register(connection, selectors.EVENT_READ, bytearray())
                    continue
                try:
                    data = sock.recv(65536)
                except ConnectionResetError:  # the dispatcher reset a watch of the endpoint list
                    data = b""
                key.data.extend(data)
                if not data:
                    self.selector.unregister(sock)
                    sock.close()
                elif key.data.startswith(b"GET"):
                    time.sleep(0)  # watch of the endpoint list: no update
                elif key.data.endswith(BODY):
                    key.data.clear()
                    self.served += 1
                    sock.sendall(RESPONSE)


def cpu_seconds(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def peak_memory(pid: int) -> float:
    """Peak resident size in MB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1000


def command(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class DispatcherRun:
    """One dispatcher, started from a checkout."""

    def __init__(self, checkout: Path, folder: Path) -> None:
        self.receivers = StubReceivers(4)
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        entry = {"site": "a", "class": "any", "block": 7, "share": 0.0, "health": "Ready"}
        hosts = [{"host": f"r{p}", "dial": f"127.0.0.1:{p}", **entry} for p in self.receivers.ports]
        document = {"name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": "7", "settings": SETTINGS}
        document["discovery"] = f"127.0.0.1:{self.receivers.ports[0]}"
        document["known"] = {"seq": 1, "whole": True, "hosts": hosts}
        document["limits"] = {"cores": 1, "memory_mb": 192, "sockets": 1024, "disk_mb": 64}
        config, state = folder / "config.json", folder / "state"
        config.write_text(json.dumps(document))
        state.mkdir()
        environ = {**os.environ, "LB_CONFIG": str(config), "LB_STATE": str(state)}
        started_at = time.monotonic()
        python = [sys.executable, "-m", "laureldock", "serve"]
        self.process = subprocess.Popen(python, cwd=checkout, env=environ, stdout=subprocess.DEVNULL)
        cores = CORES
        if len(cores) > 2:  # dedicate one to the dispatcher: migrations between cores cost cold caches
            os.sched_setaffinity(self.process.pid, {cores[-1]})
            os.sched_setaffinity(0, set(cores[:-1]))
        while not self.ready():
            if self.process.poll() is not None:
                raise click.ClickException(f"the dispatcher of {checkout} exited")
            time.sleep(0.005)
        self.start_time, self.start_memory = time.monotonic() - started_at, peak_memory(self.process.pid)

    def ready(self) -> bool:
        try:
            with socket.create_connection(("127.0.0.1", self.port), 5) as connection:
                connection.sendall(b"PING\r\n")
                return connection.recv(16) == b"+PONG\r\n"
        except OSError:
            return False

    def load(self, seconds: float, clients: int) -> dict[str, float]:
        """Run closed-loop clients; returns figures of the dispatcher's process for that time."""
        deadline, counts = time.monotonic() + seconds, [0] * clients

        def client(number: int) -> None:
            with socket.create_connection(("127.0.0.1", self.port)) as connection:
                while time.monotonic() < deadline:
                    # Messages handed in faster than delivered would be refused, which costs CPU time too.
                    if sum(counts) - (self.receivers.served - served) > 4 * clients:
                        time.sleep(0.0005)
                        continue
                    name = b"c%d-%d" % (number, counts[number])
                    connection.sendall(command(b"MSG.PUT", b"0", name, b"c=news,d=9000,dest=7", BODY))
                    if connection.recv(64)[:1] == b"+":
                        counts[number] += 1

        served = self.receivers.served
        threads = [threading.Thread(target=client, args=(number,)) for number in range(clients)]
        before, started_at = cpu_seconds(self.process.pid), time.monotonic()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        accepted, drain_deadline = sum(counts), time.monotonic() + 2.0
        while self.receivers.served - served < accepted and time.monotonic() < drain_deadline:
            time.sleep(0.01)
        used, delivered = cpu_seconds(self.process.pid) - before, self.receivers.served - served
        if delivered < accepted * 0.99:
            raise click.ClickException(f"{accepted} messages accepted, {delivered} delivered")
        return {
            "us_a_mail": used / delivered * 1e6,
            "mails_a_second": delivered / (time.monotonic() - started_at),
            "memory_mb": peak_memory(self.process.pid),
        }

    def stop(self) -> None:
        self.process.terminate()
        self.process.wait(10)


def measure(checkout: Path, seconds: float, clients: int) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder:
        run = DispatcherRun(checkout, Path(folder))
        try:
            run.load(1.0, clients)  # warm-up
            figures = run.load(seconds, clients)
        finally:
            run.stop()
    return {**figures, "start_s": run.start_time, "start_memory_mb": run.start_memory}


@click.command()
@click.option("--against", type=click.Path(exists=True, path_type=Path), help="Another checkout.")
@click.option("--seconds", default=6.0, show_default=True)
@click.option("--pairs", default=5, show_default=True)
@click.option("--clients", default=8, show_default=True)
def main(against: Path | None, seconds: float, pairs: int, clients: int) -> None:
    own = Path(__file__).parent.parent
    figures: dict[str, list[list[float]]] = {}
    checkouts = list(enumerate([own, against] if against else [own]))
    for pair in range(pairs):
        for index, checkout in checkouts if pair % 2 else checkouts[::-1]:
            for name, value in measure(checkout, seconds, clients).items():
                figures.setdefault(name, [[], []])[index].append(value)
    for name, (own_values, other_values) in figures.items():
        text = f"{name:16} {sorted(own_values)[len(own_values) // 2]:10.2f}"
        if other_values:
            ratios = sorted(a / b for a, b in zip(own_values, other_values, strict=True))
            text += f"  against {sorted(other_values)[len(other_values) // 2]:10.2f}"
            text += (
                f"  ratio {ratios[0]:.3f} {ratios[len(ratios) // 2]:.3f} {ratios[-1]:.3f} (min, median, max)"
            )
        click.echo(text)


if __name__ == "__main__":
    main()

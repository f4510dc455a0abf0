"""Configuration file with many endpoints: time to check it, time until ready, and stall caused by a reload.

    python -m benchmarks.configuration [--endpoints 20000] [--runs 3]

The stall of a reload is the longest time that a reply to PING takes, with continuous requests while the file
is read again with a tenth of its endpoints replaced. For comparison, the same is measured without a reload.
"""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click

from benchmarks.throughput import peak_memory

HEAD = """\
[limits]
slots = 256
[[front]]
listen = "127.0.0.1:{port}"
[class.news]
effect = "redeliverable"
target_delay = "1s"
lifetime = "10s"
[class.charge]
effect = "once-only"
target_delay = "1s"
lifetime = "10s"
time_out = "5s"
"""


def config_text(port: int, count: int, skipped: int) -> str:
    parts = [HEAD.format(port=port)]
    for number in range(skipped, count + skipped):
        address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080"
        parts.append(f'[[endpoint]]\nname = "e{number}"\ndestination = "d{number // 4}"\n')
        parts.append(f'address = "{address}"\nrate = 20.0\n')
    return "".join(parts)


def longest_reply_time(port: int, seconds: float) -> float:
    """The longest time that a reply to PING takes, with continuous requests."""
    longest, end = 0.0, time.monotonic() + seconds
    with socket.create_connection(("127.0.0.1", port), 10) as connection:
        while (requested_at := time.monotonic()) < end:
            connection.sendall(b"PING\r\n")
            connection.recv(16)
            longest = max(longest, time.monotonic() - requested_at)
    return longest


def is_ready(port: int, process: subprocess.Popen[bytes]) -> bool:
    try:
        with socket.create_connection(("127.0.0.1", port), 5) as connection:
            connection.sendall(b"PING\r\n")
            return connection.recv(16) == b"+PONG\r\n"
    except OSError:
        if process.poll() is not None:
            raise click.ClickException("the dispatcher exited") from None
        return False


def measure_once(folder: Path, count: int) -> dict[str, float]:
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    file = folder / "big.toml"
    file.write_text(config_text(port, count, 0))
    python = [sys.executable, "-m", "laureldock"]
    started_at = time.monotonic()
    subprocess.run([*python, "config", "check", str(file)], check=True, capture_output=True)
    figures = {"check_s": time.monotonic() - started_at}
    started_at = time.monotonic()
    process = subprocess.Popen([*python, "serve", str(file)], stdout=subprocess.DEVNULL)
    try:
        while not is_ready(port, process):
            time.sleep(0.005)
        figures["ready_s"] = time.monotonic() - started_at
        figures["memory_mb"] = peak_memory(process.pid)
        figures["calm_gap_s"] = longest_reply_time(port, 4.0)
        file.write_text(config_text(port, count, count // 10))
        process.send_signal(signal.SIGHUP)
        figures["reload_gap_s"] = longest_reply_time(port, 4.0)
    finally:
        process.terminate()
        process.wait(10)
    return figures


@click.command()
@click.option("--endpoints", default=20000, show_default=True)
@click.option("--runs", default=3, show_default=True)
def main(endpoints: int, runs: int) -> None:
    found: dict[str, list[float]] = {}
    for _ in range(runs):
        with tempfile.TemporaryDirectory() as folder:
            for name, value in measure_once(Path(folder), endpoints).items():
                found.setdefault(name, []).append(value)
    for name, values in found.items():
        low, *_, high = sorted(values) if len(values) > 1 else values * 2
        click.echo(
            f"{name:14} {low:8.3f} {sorted(values)[len(values) // 2]:8.3f} {high:8.3f}  (min, median, max)"
        )


if __name__ == "__main__":
    main()

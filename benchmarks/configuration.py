"""A file of many endpoints: seconds to check it, to be ready with it, and how long a reload holds mails up.

    python -m benchmarks.configuration [--endpoints 20000] [--runs 3]

The pause of a reload is the longest gap between answers to PING, asked without a break while the file is read
again with a tenth of its endpoints replaced; beside it the longest gap of as many seconds without a reload.
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

from benchmarks.throughput import memory

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


def written(port: int, count: int, skipped: int) -> str:
    parts = [HEAD.format(port=port)]
    for place in range(skipped, count + skipped):
        address = f"10.{place >> 16 & 255}.{place >> 8 & 255}.{place & 255}:8080"
        parts.append(f'[[endpoint]]\nname = "e{place}"\ndestination = "d{place // 4}"\n')
        parts.append(f'address = "{address}"\nrate = 20.0\n')
    return "".join(parts)


def gap(port: int, seconds: float) -> float:
    """The longest wait for an answer, asked without a break."""
    longest, end = 0.0, time.monotonic() + seconds
    with socket.create_connection(("127.0.0.1", port), 10) as link:
        while (asked := time.monotonic()) < end:
            link.sendall(b"PING\r\n")
            link.recv(16)
            longest = max(longest, time.monotonic() - asked)
    return longest


def ready(port: int, child: subprocess.Popen[bytes]) -> bool:
    try:
        with socket.create_connection(("127.0.0.1", port), 5) as link:
            link.sendall(b"PING\r\n")
            return link.recv(16) == b"+PONG\r\n"
    except OSError:
        if child.poll() is not None:
            raise click.ClickException("the dispatcher ended") from None
        return False


def once(folder: Path, count: int) -> dict[str, float]:
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    file = folder / "big.toml"
    file.write_text(written(port, count, 0))
    python = [sys.executable, "-m", "laureldock"]
    began = time.monotonic()
    subprocess.run([*python, "config", "check", str(file)], check=True, capture_output=True)
    figures = {"check_s": time.monotonic() - began}
    began = time.monotonic()
    child = subprocess.Popen([*python, "serve", str(file)], stdout=subprocess.DEVNULL)
    try:
        while not ready(port, child):
            time.sleep(0.005)
        figures["ready_s"] = time.monotonic() - began
        figures["memory_mb"] = memory(child.pid)
        figures["calm_gap_s"] = gap(port, 4.0)
        file.write_text(written(port, count, count // 10))
        child.send_signal(signal.SIGHUP)
        figures["reload_gap_s"] = gap(port, 4.0)
    finally:
        child.terminate()
        child.wait(10)
    return figures


@click.command()
@click.option("--endpoints", default=20000, show_default=True)
@click.option("--runs", default=3, show_default=True)
def main(endpoints: int, runs: int) -> None:
    found: dict[str, list[float]] = {}
    for _ in range(runs):
        with tempfile.TemporaryDirectory() as folder:
            for name, value in once(Path(folder), endpoints).items():
                found.setdefault(name, []).append(value)
    for name, values in found.items():
        low, *_, high = sorted(values) if len(values) > 1 else values * 2
        click.echo(
            f"{name:14} {low:8.3f} {sorted(values)[len(values) // 2]:8.3f} {high:8.3f}  (min, median, max)"
        )


if __name__ == "__main__":
    main()

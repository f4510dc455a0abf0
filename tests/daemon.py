"""Test rig: a dispatcher process with a configuration file, and stub receivers in this process."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import redis.asyncio as redis

from laureldock.rehearsal.ports import free_port
from laureldock.rehearsal.rule_checks import RunRecord
from laureldock.rehearsal.stub_receivers import StubReceiver

HEAD = """\
name = "dock"
[limits]
sockets = 1024
slots = 400
room = 3000
[[front]]
listen = "127.0.0.1:{port}"
[outlet]
kind = "lines"
path = "undelivered.jsonl"
[class.news]
effect = "redeliverable"
target_delay = "5s"
lifetime = "30s"
[class.charge]
effect = "once-only"
target_delay = "5s"
lifetime = "30s"
"""


class Daemon:
    """A dispatcher with a folder and stub receivers, which this class does not start."""

    def __init__(self, folder: Path, names: dict[str, str], call_time: float, rate: float) -> None:
        """`names` are the receivers, each with its destination; all have the same call time and rate."""
        self.folder, self.record, self.port = folder, RunRecord(), free_port()
        self.file = folder / "laureldock.toml"
        self.receivers = {
            name: StubReceiver(name, destination, self.record, 1, rate, call_time)
            for name, destination in names.items()
        }
        self.process: asyncio.subprocess.Process | None = None
        pool = redis.BlockingConnectionPool(port=self.port, protocol=2, max_connections=40, timeout=20)
        self.client = redis.Redis.from_pool(pool)

    def write_configuration(self, more: str = "", without: str = "", head: str = HEAD) -> None:
        """Write the configuration: `head`, `more`, and the receivers but for the one named `without`."""
        text = head.format(port=self.port) + more
        for each in self.receivers.values():
            if each.name != without:
                text += f'[[endpoint]]\nname = "{each.name}"\ndestination = "{each.destination}"\n'
                text += f'address = "127.0.0.1:{each.port}"\n'
        new_file = self.file.with_suffix(".new")
        new_file.write_text(text)
        new_file.rename(self.file)

    async def launch(self, *flags: str) -> None:
        """Start the process, and wait until it is ready."""
        await self.start_process(*flags)
        await self.wait_ready()

    async def start_process(self, *flags: str) -> None:
        """Start the process."""
        command = [sys.executable, "-m", "laureldock", "serve", str(self.file), *flags]
        log = (self.folder / "log").open("ab")
        self.process = await asyncio.create_subprocess_exec(*command, stdout=log, stderr=log)
        log.close()

    async def kill(self) -> None:
        """Kill the process, if it runs."""
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def wait_ready(self) -> None:
        """Wait until the dispatcher replies to PING. Raises TimeoutError, or AssertionError if it ended."""
        assert self.process
        async with asyncio.timeout(20):
            while True:
                with contextlib.suppress(OSError, redis.RedisError):
                    if await self.client.ping():
                        return
                assert self.process.returncode is None, (self.folder / "log").read_text()
                await asyncio.sleep(0.05)

    async def submit(
        self, name: str, queue_class: str = "news", destination: str = "north", key: str = "0"
    ) -> Any:
        """Submit a message, and return the reply."""
        fields = f"c={queue_class},d=30000,dest={destination}"
        words = ("MSG.PUT", key, name, fields, b"hello")
        return await self.client.execute_command(*words)  # type: ignore[no-untyped-call]

    async def counters(self) -> dict[str, Any]:
        """Return the reply to INFO."""
        found: dict[str, Any] = await self.client.info()
        return found

    async def wait_for_counter(self, name: str, value: int, seconds: float = 20.0) -> None:
        """Wait until a counter has a value."""
        deadline = time.monotonic() + seconds
        while (current := (await self.counters()).get(name, 0)) != value:
            assert time.monotonic() < deadline, f"{name} is {current}, not {value}"
            await asyncio.sleep(0.02)

    def reload(self) -> None:
        """Send SIGHUP."""
        assert self.process
        self.process.send_signal(signal.SIGHUP)


@contextlib.asynccontextmanager
async def daemon(
    folder: Path, names: dict[str, str], call_time: float = 0.02, rate: float = 400.0
) -> AsyncIterator[Daemon]:
    """Start a dispatcher with its receivers, and stop them at the end."""
    here = Daemon(folder, names, call_time, rate)
    for receiver in here.receivers.values():
        await receiver.start(time.time())
    here.write_configuration()
    try:
        await here.launch()
        yield here
    finally:
        await here.client.aclose()
        await here.kill()
        for receiver in here.receivers.values():
            await receiver.stop()

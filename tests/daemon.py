"""A dispatcher as a process by a configuration file, among stand-in receivers in this process."""

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

from laureldock.rehearsal.rule_checks import Account
from laureldock.rehearsal.scripted_run import free_port
from laureldock.rehearsal.stub_receivers import Receiver

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
    def __init__(self, folder: Path, names: dict[str, str], pace: float, rate: float) -> None:
        """`names` of the receivers, each with its destination; all of one pace and limit."""
        self.folder, self.account, self.port = folder, Account(), free_port()
        self.file = folder / "laureldock.toml"
        self.receivers = {
            name: Receiver(name, owner, self.account, 1, rate, pace) for name, owner in names.items()
        }
        self.process: asyncio.subprocess.Process | None = None
        pool = redis.BlockingConnectionPool(port=self.port, protocol=2, max_connections=40, timeout=20)
        self.client = redis.Redis.from_pool(pool)

    def write(self, behind: str = "", without: str = "", head: str = HEAD) -> None:
        text = head.format(port=self.port) + behind
        for each in self.receivers.values():
            if each.name != without:
                text += f'[[endpoint]]\nname = "{each.name}"\ndestination = "{each.destination}"\n'
                text += f'address = "127.0.0.1:{each.port}"\n'
        fresh = self.file.with_suffix(".new")
        fresh.write_text(text)
        fresh.rename(self.file)

    async def launch(self, *flags: str) -> None:
        await self.spawn(*flags)
        await self.ready()

    async def spawn(self, *flags: str) -> None:
        command = [sys.executable, "-m", "laureldock", "serve", str(self.file), *flags]
        log = (self.folder / "log").open("ab")
        self.process = await asyncio.create_subprocess_exec(*command, stdout=log, stderr=log)
        log.close()

    async def kill(self) -> None:
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def ready(self) -> None:
        assert self.process
        async with asyncio.timeout(20):
            while True:
                with contextlib.suppress(OSError, redis.RedisError):
                    if await self.client.ping():
                        return
                assert self.process.returncode is None, (self.folder / "log").read_text()
                await asyncio.sleep(0.05)

    async def put(self, name: str, sort: str = "news", to: str = "north", key: str = "0") -> Any:
        fields = f"c={sort},d=30000,dest={to}"
        words = ("MSG.PUT", key, name, fields, b"hello")
        return await self.client.execute_command(*words)  # type: ignore[no-untyped-call]

    async def figures(self) -> dict[str, Any]:
        found: dict[str, Any] = await self.client.info()
        return found

    async def until(self, name: str, value: int, seconds: float = 20.0) -> None:
        end = time.monotonic() + seconds
        while (seen := (await self.figures()).get(name, 0)) != value:
            assert time.monotonic() < end, f"{name} is {seen}, not {value}"
            await asyncio.sleep(0.02)

    def hang_up(self) -> None:
        assert self.process
        self.process.send_signal(signal.SIGHUP)


@contextlib.asynccontextmanager
async def daemon(
    folder: Path, names: dict[str, str], pace: float = 0.02, rate: float = 400.0
) -> AsyncIterator[Daemon]:
    found = Daemon(folder, names, pace, rate)
    for receiver in found.receivers.values():
        await receiver.start(time.time())
    found.write()
    try:
        await found.launch()
        yield found
    finally:
        await found.client.aclose()
        await found.kill()
        for receiver in found.receivers.values():
            await receiver.stop()

"""The runner's side of a process of hollow members."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from laureldock.rehearsal.scale import commands
from laureldock.rehearsal.scale.commands import Command, Ready, Reply, Sample, Views

MAX_REPLY_BYTES = 1 << 27
REPLY_TIMEOUT = 60.0  # seconds; a process whose members are all busy replies late


class HostProcess:
    """A process that hosts the hollow members `names`, all of one region."""

    def __init__(self, number: int, region: str, names: list[str], folder: Path) -> None:
        self.number, self.region, self.names, self.folder = number, region, names, folder
        self.process: asyncio.subprocess.Process | None = None
        self.lock = asyncio.Lock()
        self.empty_bytes = 0  # resident size before any member has started

    async def start(self, setup: commands.Setup) -> None:
        """Start the process and set it up. Raises OSError, TimeoutError or RuntimeError."""
        with (self.folder / f"hollow-{self.number}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "laureldock.rehearsal.scale.hollow",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                limit=MAX_REPLY_BYTES,
            )
        reply = await self.send_command(setup)
        assert isinstance(reply, Ready)
        self.empty_bytes = reply.resident_bytes

    async def send_command(self, command: Command) -> Reply:
        """Send a command and wait for its reply.

        Raises TimeoutError, or RuntimeError if the process has ended.
        """
        process = self.process
        assert process and process.stdin and process.stdout
        async with self.lock, asyncio.timeout(REPLY_TIMEOUT):
            process.stdin.write(commands.encode(command) + b"\n")
            await process.stdin.drain()
            line = await process.stdout.readline()
        if not line:
            raise RuntimeError(
                f"process {self.number} of hollow members exited; see its log in {self.folder}"
            )
        return commands.decode_reply(line)

    async def views(self) -> Views:
        reply = await self.send_command(commands.GetViews())
        assert isinstance(reply, Views)
        return reply

    async def sample(self) -> Sample:
        reply = await self.send_command(commands.GetSample())
        assert isinstance(reply, Sample)
        return reply

    async def stop(self) -> None:
        process = self.process
        if process is None or process.returncode is not None:
            return
        if process.stdin:
            process.stdin.close()
        try:
            async with asyncio.timeout(5.0):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()


def split_by_region(names_by_region: dict[str, list[str]], max_size: int) -> list[tuple[str, list[str]]]:
    """Split each region into processes of nearly equal size, with at most `max_size` members each."""
    processes = []
    for region, names in names_by_region.items():
        count = -(-len(names) // max_size)
        for number in range(count):
            processes.append((region, names[number::count]))
    return processes

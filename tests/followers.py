"""Dispatcher processes that subscribe to a controller, and a stub controller in this process."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from collections.abc import AsyncIterator, Iterable
from pathlib import Path
from typing import Any

from daemon import HEAD, Daemon
from replication_rig import MemoryController

from laureldock.rehearsal.ports import free_port
from laureldock.rehearsal.rule_checks import RunRecord
from laureldock.rehearsal.stub_receivers import StubReceiver
from laureldock.replication import messages
from laureldock.replication.messages import (
    Accepted,
    InForce,
    Message,
    Propose,
    Refused,
    Status,
    StatusRequest,
    Subscribe,
)
from laureldock.setup import plan
from laureldock.setup.changes import Change, EndpointEntry, EntryKey, EntryKind, encode_change
from laureldock.setup.units import Address

SOURCE = """\
[source]
kind = "controller"
controllers = [{controllers}]
"""


class Follower(Daemon):
    """A dispatcher whose file has no entries. `controllers`: addresses of controllers or relays to them."""

    def __init__(self, folder: Path, name: str, record: RunRecord, controllers: Iterable[str]) -> None:
        folder.mkdir(exist_ok=True)
        super().__init__(folder, {}, 0.0, 0.0)
        self.name, self.record = name, record
        self.controllers = [*controllers]
        self.extra = ""
        self.write_file()

    def write_file(self) -> None:
        controllers = ", ".join(f'"{each}"' for each in self.controllers)
        text = HEAD.format(port=self.port).replace('name = "dock"', f'name = "{self.name}"')
        new_file = self.file.with_suffix(".new")
        new_file.write_text(text + SOURCE.format(controllers=controllers) + self.extra)
        new_file.rename(self.file)

    @property
    def configuration(self) -> Path:
        return self.folder / "state" / "configuration"

    async def version(self) -> int:
        return int((await self.counters()).get("configuration_version", -1))

    async def until_version(self, version: int, seconds: float = 15.0) -> float:
        """Wait until that version or a later one is in force; return the seconds it took."""
        began = time.monotonic()
        while (seen := await self.version()) < version:
            assert time.monotonic() < began + seconds, f"{self.name} is at {seen}, not {version}"
            await asyncio.sleep(0.02)
        return time.monotonic() - began

    def send_signal(self, number: signal.Signals) -> None:
        assert self.process
        self.process.send_signal(number)

    async def end(self, number: signal.Signals = signal.SIGKILL) -> None:
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(number)
            await self.process.wait()

    def logged(self) -> str:
        return (self.folder / "log").read_text()


class Receivers:
    """Stub receivers with a common run record, and the configuration entries for them."""

    def __init__(self, names: dict[str, str], pace: float = 0.02, rate: float = 400.0) -> None:
        self.record = RunRecord()
        self.by_name = {
            name: StubReceiver(name, destination_name, self.record, 1, rate, pace)
            for name, destination_name in names.items()
        }

    async def start(self) -> None:
        for receiver in self.by_name.values():
            await receiver.start(time.time())

    async def stop(self) -> None:
        for receiver in self.by_name.values():
            await receiver.stop()

    def entry(self, name: str, destination: str = "", **more: Any) -> EndpointEntry:
        receiver = self.by_name[name]
        address = Address(f"127.0.0.1:{receiver.port}")
        destination_name = destination or str(receiver.destination)
        value = plan.Endpoint(name=name, destination=destination_name, address=address, **more)
        return EndpointEntry(name, value)

    def puts(self, *names: str) -> Change:
        return Change(puts=tuple(self.entry(name) for name in names or self.by_name))


def removal(*names: str) -> Change:
    return Change(removals=tuple(EntryKey(EntryKind.ENDPOINT, name) for name in names))


class StubController:
    """A stub controller for dispatchers; `wire` can modify or drop the messages that it sends."""

    def __init__(self) -> None:
        self.state = MemoryController()
        self.port = free_port()
        self.streams: dict[str, asyncio.StreamWriter] = {}
        self.received: list[tuple[str, Message]] = []
        self.wire: Any = lambda name, message: [message]
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[Any]] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        heartbeat_task = asyncio.create_task(self.send_heartbeats())
        self.tasks.add(heartbeat_task)

    async def stop(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()
        if self.server:
            self.server.close()
        for writer in self.streams.values():
            writer.transport.abort()
        self.streams.clear()

    async def send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(2.0)
            for name in list(self.streams):
                self.send(name, self.state.heartbeat())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self.tasks.add(task)
        name = ""
        try:
            while True:
                length = int.from_bytes(await reader.readexactly(4), "big")
                message = messages.decode(await reader.readexactly(length))
                if isinstance(message, Subscribe):
                    name = message.dispatcher
                    self.streams[name] = writer
                self.received.append((name, message))
                if isinstance(message, Subscribe):
                    for each in self.state.respond(message):
                        self.send(name, each)
                    self.send(name, self.state.heartbeat())
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            if self.streams.get(name) is writer:
                del self.streams[name]
            writer.transport.abort()
            self.tasks.discard(task)

    def send(self, name: str, message: Message) -> None:
        for each in self.wire(name, message):
            data = each if isinstance(each, bytes) else messages.encode(each)
            self.streams[name].write(len(data).to_bytes(4, "big") + data)

    def accept(self, change: Change, body: bytes | None = None) -> int:
        """Accept and send a change; return its version."""
        message = self.state.accept(change, body)
        for name in list(self.streams):
            self.send(name, message)
        return self.state.position.version

    def versions(self, name: str) -> list[int]:
        """The versions that a dispatcher has acknowledged."""
        return [
            each.position.version
            for sender, each in self.received
            if sender == name and isinstance(each, InForce)
        ]

    def refusals(self, name: str) -> list[Refused]:
        return [each for sender, each in self.received if sender == name and isinstance(each, Refused)]


@contextlib.asynccontextmanager
async def followers(
    folder: Path, names: dict[str, str], controllers: Iterable[str], count: int = 1, pace: float = 0.02
) -> AsyncIterator[tuple[Receivers, list[Follower]]]:
    """Receivers, and dispatchers that are not started yet; all are stopped at the end of the block."""
    receivers = Receivers(names, pace)
    await receivers.start()
    addresses = [*controllers]
    dispatchers = [
        Follower(folder / f"d{number}", f"d{number}", receivers.record, addresses)
        for number in range(1, count + 1)
    ]
    try:
        yield receivers, dispatchers
    finally:
        for each in dispatchers:
            await each.client.aclose()
            await each.end()
        await receivers.stop()


@contextlib.asynccontextmanager
async def one_follower(
    folder: Path, names: dict[str, str], pace: float = 0.02
) -> AsyncIterator[tuple[StubController, Receivers, Follower]]:
    """A dispatcher that has received all receivers as version 1 from a stub controller."""
    controller = StubController()
    async with followers(folder, names, [controller.address], pace=pace) as (receivers, [dispatcher]):
        controller.state.accept(receivers.puts())
        await controller.start()
        await dispatcher.launch()
        await dispatcher.until_version(1)
        yield controller, receivers, dispatcher
        await controller.stop()


CONTROLLER_FILE = """\
name = "c1"
[controller]
listen = "127.0.0.1:{port}"
pace = "{pace}"
[class.news]
effect = "redeliverable"
target_delay = "5s"
lifetime = "30s"
[class.charge]
effect = "once-only"
target_delay = "5s"
lifetime = "30s"
"""


class RejectedError(Exception):
    """The controller did not accept a change."""


class ControllerProcess:
    """A `laureldock controller` process, or one that kills itself at a point of `crashing_controller`."""

    def __init__(self, folder: Path, extra: str = "", pace: str = "4kB") -> None:
        folder.mkdir(exist_ok=True)
        self.folder, self.port = folder, free_port()
        self.file = folder / "controller.toml"
        self.file.write_text(CONTROLLER_FILE.format(port=self.port, pace=pace) + extra)
        self.process: asyncio.subprocess.Process | None = None

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def launch(self, *crash: str) -> None:
        tests = Path(__file__).parent
        program = [str(tests / "crashing_controller.py"), *crash] if crash else ["-m", "laureldock"]
        command = [sys.executable, *program, "controller", str(self.file)]
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=log, cwd=tests.parent, env={**os.environ, "PYTHONPATH": "."}
            )
        async with asyncio.timeout(20):
            while True:
                with contextlib.suppress(OSError, EOFError):
                    await self.status()
                    return
                assert self.process.returncode is None, (self.folder / "log").read_text()
                await asyncio.sleep(0.05)

    async def ask(self, message: Message) -> Message:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            data = messages.encode(message)
            writer.write(len(data).to_bytes(4, "big") + data)
            length = int.from_bytes(await reader.readexactly(4), "big")
            return messages.decode(await reader.readexactly(length))
        finally:
            writer.transport.abort()

    async def status(self) -> Status:
        response = await self.ask(StatusRequest())
        assert isinstance(response, Status)
        return response

    async def accept(self, change: Change) -> int:
        """Propose a change; return its version.

        Raises RejectedError; EOFError or OSError if the controller ended meanwhile.
        """
        response = await self.ask(Propose(encode_change(change), True))
        if not isinstance(response, Accepted):
            raise RejectedError(response)
        return response.position.version

    def versions_subscribed(self, name: str) -> list[tuple[int, bool]]:
        """The version of each subscription of a dispatcher, and whether a snapshot was to be sent."""
        lines = map(json.loads, (self.folder / "log").read_text().splitlines())
        own_lines = (line for line in lines if line.get("dispatcher") == name)
        return [
            (line["version"], line["snapshot"])
            for line in own_lines
            if line["event"] == "dispatcher subscribed"
        ]

    async def in_force(self, dispatchers: int, seconds: float = 15.0) -> float:
        """Wait until all dispatchers have acknowledged the newest version; return the seconds it took."""
        began = time.monotonic()
        while True:
            status = await self.status()
            newest = [each for each in status.versions if each.version == status.position.version]
            if newest and newest[0].dispatchers >= dispatchers:
                return time.monotonic() - began
            assert time.monotonic() < began + seconds, status
            await asyncio.sleep(0.05)

    async def ended(self) -> None:
        """Wait until it has killed itself."""
        assert self.process
        async with asyncio.timeout(10):
            await self.process.wait()

    async def kill(self, number: signal.Signals = signal.SIGKILL) -> None:
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()


class CuttableRelay:
    """A TCP relay to a controller. While `cut`, like an unplugged cable, it forwards and refuses nothing."""

    def __init__(self, to: int) -> None:
        self.to, self.port = to, free_port()
        self.cut = False
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    async def stop(self) -> None:
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self.tasks.add(task)
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError, ExceptionGroup):
            await self.forward(reader, writer)
        writer.transport.abort()
        self.tasks.discard(task)

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward data until either end closes."""
        await self.wait_until_open()
        upstream_reader, upstream_writer = await asyncio.open_connection("127.0.0.1", self.to)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.copy(reader, upstream_writer))
                group.create_task(self.copy(upstream_reader, writer))
        finally:
            upstream_writer.transport.abort()

    async def wait_until_open(self) -> None:
        while self.cut:
            await asyncio.sleep(0.02)

    async def copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65536):
            await self.wait_until_open()
            writer.write(data)
            await writer.drain()
        raise EOFError

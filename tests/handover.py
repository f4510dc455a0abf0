"""Test rig: processes of one dispatcher on a passed socket, and clients with connections to each of them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from itertools import accumulate
from pathlib import Path
from typing import Any

from laureldock.rehearsal.ports import free_port
from laureldock.rehearsal.rule_checks import ACCEPTED, RunRecord, SubmittedMessage, check_rules
from laureldock.rehearsal.scripted_run import new_lines
from laureldock.rehearsal.soak.clients import Connection, command
from laureldock.rehearsal.soak.dispatcher_process import DispatcherProcess
from laureldock.rehearsal.soak.process_group import UNREAD_RESPONSE_TIME
from laureldock.rehearsal.stub_receivers import StubReceiver

KEY_COOLDOWN = 0.3  # seconds
LIFETIME = 8.0  # seconds
CONFIGURATION = """\
name = "dock"
passed = {passed}
management = "127.0.0.1:{management}"
[limits]
sockets = 512
slots = {slots}
room = 400
connects = 8
key_rest = "300ms"
rates = "nominal"
[returning]
start_capacity = 0.3
tip_multiple = 1.5
fall_time = "1.5s"
warm_time = "4s"
[[front]]
listen = "127.0.0.1:{port}"
[outlet]
kind = "lines"
path = "undelivered.jsonl"
[class.order]
effect = "tagged"
memory = "20s"
in_order = true
target_delay = "2s"
lifetime = "{lifetime:g}s"
[class.notice]
effect = "redeliverable"
target_delay = "2s"
lifetime = "{lifetime:g}s"
[kind.partner]
apart = true
{limits}"""


@dataclass(eq=False, slots=True)
class ServingProcess:
    """A process of the dispatcher, and clients' connections to it."""

    process: DispatcherProcess
    connections: list[Connection] = field(default_factory=list)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        self.process.send_signal(number)

    async def wait_ended(self, timeout: float = 10.0) -> None:
        """Wait for its end. Raises TimeoutError."""
        await asyncio.wait_for(self.process.process.wait(), timeout)


class HandoverRig:
    """A folder, a listening socket and stub receivers, for one process after another."""

    def __init__(
        self, folder: Path, names: dict[str, str], call_time: float, rate: float, slots: int, limits: str
    ) -> None:
        self.folder, self.slots, self.limits = folder, slots, limits
        self.record = RunRecord(key_cooldown=KEY_COOLDOWN)
        self.receivers = {
            name: StubReceiver(name, destination, self.record, number, rate, call_time)
            for number, (name, destination) in enumerate(names.items())
        }
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port: int = self.listening.getsockname()[1]
        self.processes: list[ServingProcess] = []

    async def launch(self) -> ServingProcess:
        """Start a process beside those that run, and wait until it is ready."""
        management = free_port()
        file = self.folder / f"laureldock-{len(self.processes)}.toml"
        text = CONFIGURATION.format(
            passed=self.listening.fileno(),
            management=management,
            port=self.port,
            slots=self.slots,
            lifetime=LIFETIME,
            limits=self.limits,
        )
        for destination_name in sorted({each.destination for each in self.receivers.values()}):
            text += f'[destination.{destination_name}]\nkind = "partner"\n'
        for each in self.receivers.values():
            text += f'[[endpoint]]\nname = "{each.name}"\ndestination = "{each.destination}"\n'
            text += f'address = "127.0.0.1:{each.port}"\nrate = {each.rate:g}\n'
        file.write_text(text)
        command_line = [sys.executable, "-m", "laureldock", "serve", str(file)]
        process = await DispatcherProcess.launch(
            command_line, file, ("127.0.0.1", management), self.folder / "log", self.listening.fileno()
        )
        found = ServingProcess(process)
        self.processes.append(found)
        await process.wait_ready()
        return found

    @property
    def log(self) -> str:
        """The log of all processes."""
        return (self.folder / "log").read_text(errors="replace")

    async def connect(self, serving: ServingProcess, count: int = 1) -> None:
        """Open `count` connections to a process; any process may accept one, so some are closed again."""
        others: list[Connection] = []
        async with asyncio.timeout(10):
            while len(serving.connections) < count:
                connection = Connection(*await asyncio.open_connection("127.0.0.1", self.port))
                accepted_by = await accepting_process(connection)
                (serving.connections if accepted_by == serving.process.process_id else others).append(
                    connection
                )
        for each in others:
            each.writer.close()

    async def submit(
        self,
        process: ServingProcess,
        name: str,
        key: str = "",
        queue_class: str = "order",
        destination: str = "north",
    ) -> str:
        """Submit a message to a process, and return the first word of its reply."""
        return await self.exchange(process.connections[0], name, key, queue_class, destination)

    async def exchange(
        self, connection: Connection, name: str, key: str, queue_class: str, destination: str
    ) -> str:
        """Submit a message on a connection, and return its reply; empty if the connection was closed."""
        now = time.time()
        repeat_safety = "redeliverable" if queue_class == "notice" else "tagged"
        number = len(self.record.messages)
        message = SubmittedMessage(
            name, queue_class, repeat_safety, key, destination, now, now + LIFETIME, number
        )
        message = self.record.messages.setdefault(name, message)  # a client may submit an id again
        fields = f"c={queue_class},d={round(LIFETIME * 1000)},dest={destination},k=t{name}"
        connection.writer.write(
            command(b"MSG.PUT", key.encode() or b"0", name.encode(), fields.encode(), b"x")
        )
        async with asyncio.timeout(5):
            line = await connection.reader.readline()
        message.reply, message.replied_at = (
            (ACCEPTED if line == b"+OK\r\n" else line.decode().strip()),
            time.time(),
        )
        return message.reply

    async def submit_to_any(
        self, processes: list[ServingProcess], name: str, key: str, destination: str
    ) -> None:
        """Submit a message to the first of these processes; to the next if its connection is closed."""
        for process in processes:
            while process.connections:
                connection = process.connections.pop()  # nobody else uses it meanwhile
                with contextlib.suppress(OSError):
                    if await self.exchange(connection, name, key, "order", destination):
                        process.connections.append(connection)
                        return
                connection.writer.transport.abort()
        connection = Connection(*await asyncio.open_connection("127.0.0.1", self.port))
        assert await self.exchange(connection, name, key, "order", destination), f"no reply to {name}"
        connection.writer.close()

    async def kill(self, process: ServingProcess) -> None:
        """Kill a process; responses sent right before may not have been read."""
        await process.process.kill()
        recent = time.time() - UNREAD_RESPONSE_TIME
        self.record.pending_at_kill |= {call.message for call in self.record.calls if call.ended_at > recent}

    async def wait_delivered(self, *names: str, timeout: float = 10.0) -> None:
        """Wait until each of these messages was delivered. Raises TimeoutError."""
        async with asyncio.timeout(timeout):
            while not set(names) <= {call.message for call in self.record.calls if call.status == 200}:
                await asyncio.sleep(0.01)

    async def watch_notices(self) -> None:
        """Read notices as they are written."""
        undelivered, offset = self.folder / "state" / "undelivered.jsonl", 0
        while True:
            lines, offset = new_lines(undelivered, offset)
            for notice in map(json.loads, lines):
                self.record.messages[notice["message"]].notices.append((time.time(), notice["outcome"]))
            await asyncio.sleep(0.02)

    async def wait_finished(self, *names: str, timeout: float) -> None:
        """Wait until each of these messages was delivered, or has a notice. Raises TimeoutError."""
        async with asyncio.timeout(timeout):
            while True:
                delivered = {call.message for call in self.record.calls if call.status == 200}
                if all(name in delivered or self.record.messages[name].notices for name in names):
                    return
                await asyncio.sleep(0.02)

    def calls(self, name: str) -> list[tuple[float, float, int]]:
        """Return begin, end and status of each call of a message, in seconds from the first call of all."""
        first = min((call.received_at for call in self.record.calls), default=0.0)
        return [
            (round(call.received_at - first, 3), round(call.ended_at - first, 3), call.status)
            for call in self.record.calls
            if call.message == name
        ]

    def max_in_flight(self) -> int:
        """Return the maximum number of calls that were in flight at once."""
        steps = [(call.received_at, 1) for call in self.record.calls]
        steps += [(call.ended_at, -1) for call in self.record.calls]
        return max(accumulate(step for _, step in sorted(steps)))

    def violations(self, rule: str = "") -> list[str]:
        """Return the violations of the rules whose names contain `rule`."""
        return [
            f"{result.rule}: {case}"
            for result in check_rules(self.record)
            if rule in result.rule
            for case in result.violations
        ]

    def details(self, cases: list[str]) -> str:
        """Format calls and notices of each message in these cases, in seconds from its submission."""
        lines = [*cases]
        for message in self.record.messages.values():
            if not any(re.search(rf"\b{re.escape(message.name)}\b", case) for case in cases):
                continue
            calls = [
                (
                    round(call.received_at - message.submitted_at, 3),
                    round(call.ended_at - message.submitted_at, 3),
                    call.status,
                )
                for call in self.record.calls
                if call.message == message.name
            ]
            notices = [(round(at - message.submitted_at, 3), outcome) for at, outcome in message.notices]
            lines.append(f"{message.name} ({message.reply}): calls {calls}, notices {notices}")
        return "\n".join(lines)


async def accepting_process(connection: Connection) -> int:
    """Return the id of the process that accepted a connection."""
    connection.writer.write(command(b"INFO"))
    size = int((await connection.reader.readline())[1:])
    text = (await connection.reader.readexactly(size + 2)).decode()
    counters = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
    return int(counters["process_id"])


@contextlib.asynccontextmanager
async def handover_rig(
    folder: Path,
    names: dict[str, str] | None = None,
    call_time: float = 0.2,
    rate: float = 200.0,
    slots: int = 64,
    limits: str = "",
) -> AsyncIterator[HandoverRig]:
    """Start a rig with its receivers, and stop it at the end. `limits`: lines for the destination kind."""
    rig = HandoverRig(folder, names or {"n1": "north", "n2": "north"}, call_time, rate, slots, limits)
    for receiver in rig.receivers.values():
        await receiver.start(time.time())
    notices = asyncio.create_task(rig.watch_notices())
    try:
        yield rig
    finally:
        notices.cancel()
        for process in rig.processes:
            for connection in process.connections:
                connection.writer.transport.abort()
            await process.process.kill()
        for receiver in rig.receivers.values():
            await receiver.stop()
        rig.listening.close()


def run(scenario: Any) -> None:
    """Run a scenario to its end."""
    asyncio.run(scenario)

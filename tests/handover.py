"""Two processes of one dispatcher on a socket passed to both, and clients with a connection to either."""

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

from laureldock.rehearsal.rule_checks import TAKEN, Account, Handed, judge
from laureldock.rehearsal.scripted_run import free_port, new_lines
from laureldock.rehearsal.soak.clients import Connection, command
from laureldock.rehearsal.soak.dispatcher_process import DispatcherProcess
from laureldock.rehearsal.soak.process_group import UNREAD_ANSWERS
from laureldock.rehearsal.stub_receivers import Receiver

KEY_REST = 0.3  # seconds
LIFETIME = 8.0
HEAD = """\
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
class Served:
    """A process of the dispatcher, and clients' connections to it."""

    process: DispatcherProcess
    connections: list[Connection] = field(default_factory=list)

    def send(self, sign: signal.Signals) -> None:
        """A signal, if it lives."""
        self.process.send(sign)

    async def ended(self, within: float = 10.0) -> None:
        """Wait for its end. TimeoutError."""
        await asyncio.wait_for(self.process.process.wait(), within)


class HandOver:
    """A folder, a listening socket and stand-in receivers, for one process after another."""

    def __init__(
        self, folder: Path, names: dict[str, str], pace: float, rate: float, slots: int, limits: str
    ) -> None:
        self.folder, self.slots, self.limits = folder, slots, limits
        self.account = Account(key_rest=KEY_REST)
        self.receivers = {
            name: Receiver(name, owner, self.account, place, rate, pace)
            for place, (name, owner) in enumerate(names.items())
        }
        self.listening = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port: int = self.listening.getsockname()[1]
        self.processes: list[Served] = []

    async def launch(self) -> Served:
        """Start a process beside those that run; returns once it says that it is ready."""
        management = free_port()
        file = self.folder / f"laureldock-{len(self.processes)}.toml"
        text = HEAD.format(
            passed=self.listening.fileno(),
            management=management,
            port=self.port,
            slots=self.slots,
            lifetime=LIFETIME,
            limits=self.limits,
        )
        for owner in sorted({each.destination for each in self.receivers.values()}):
            text += f'[destination.{owner}]\nkind = "partner"\n'
        for each in self.receivers.values():
            text += f'[[endpoint]]\nname = "{each.name}"\ndestination = "{each.destination}"\n'
            text += f'address = "127.0.0.1:{each.port}"\nrate = {each.rate:g}\n'
        file.write_text(text)
        command_line = [sys.executable, "-m", "laureldock", "serve", str(file)]
        process = await DispatcherProcess.launch(
            command_line, file, ("127.0.0.1", management), self.folder / "log", self.listening.fileno()
        )
        found = Served(process)
        self.processes.append(found)
        await process.ready()
        return found

    @property
    def log(self) -> str:
        return (self.folder / "log").read_text(errors="replace")

    async def connect(self, to: Served, count: int = 1) -> None:
        """Give a process so many connections of clients; either may accept one, so some are closed again."""
        others: list[Connection] = []
        async with asyncio.timeout(10):
            while len(to.connections) < count:
                connection = Connection(*await asyncio.open_connection("127.0.0.1", self.port))
                process = await accepting_process(connection)
                (to.connections if process == to.process.id else others).append(connection)
        for each in others:
            each.writer.close()

    async def put(
        self,
        process: Served,
        name: str,
        key: str = "",
        queue_class: str = "order",
        to: str = "north",
    ) -> str:
        """Hand a message in to a process; the first word of its reply."""
        return await self.exchange(process.connections[0], name, key, queue_class, to)

    async def exchange(self, connection: Connection, name: str, key: str, queue_class: str, to: str) -> str:
        """Hand a message in on a connection; the first word of its reply, empty where it was closed."""
        now = time.time()
        effect = "redeliverable" if queue_class == "notice" else "tagged"
        place = len(self.account.handed)
        mail = Handed(name, queue_class, effect, key, to, now, now + LIFETIME, place)
        mail = self.account.handed.setdefault(name, mail)  # a client sends it once more under its id
        fields = f"c={queue_class},d={round(LIFETIME * 1000)},dest={to},k=t{name}"
        connection.writer.write(
            command(b"MSG.PUT", key.encode() or b"0", name.encode(), fields.encode(), b"x")
        )
        async with asyncio.timeout(5):
            line = await connection.reader.readline()
        mail.word, mail.answered = (TAKEN if line == b"+OK\r\n" else line.decode().strip()), time.time()
        return mail.word

    async def hand_in(self, processes: list[Served], name: str, key: str, to: str) -> None:
        """Hand a message in to the first of these processes; to the next where its connection is closed."""
        for process in processes:
            while process.connections:
                connection = process.connections.pop()  # for this one alone
                with contextlib.suppress(OSError):
                    if await self.exchange(connection, name, key, "order", to):
                        process.connections.append(connection)
                        return
                connection.writer.transport.abort()
        connection = Connection(*await asyncio.open_connection("127.0.0.1", self.port))
        assert await self.exchange(connection, name, key, "order", to), f"nobody answers {name}"
        connection.writer.close()

    async def kill(self, process: Served) -> None:
        """Kill a process; what it was answered right before may not have been read."""
        await process.process.kill()
        recent = time.time() - UNREAD_ANSWERS
        self.account.killed |= {call.mail for call in self.account.calls if call.ended > recent}

    async def until_delivered(self, *names: str, within: float = 10.0) -> None:
        """Wait until each of these messages was delivered. TimeoutError."""
        async with asyncio.timeout(within):
            while not set(names) <= {call.mail for call in self.account.calls if call.status == 200}:
                await asyncio.sleep(0.01)

    async def watch_notices(self) -> None:
        """Read notices as they are written."""
        undelivered, read = self.folder / "state" / "undelivered.jsonl", 0
        while True:
            lines, read = new_lines(undelivered, read)
            for told in map(json.loads, lines):
                self.account.handed[told["message"]].notices.append((time.time(), told["outcome"]))
            await asyncio.sleep(0.02)

    async def until_ended(self, *names: str, within: float) -> None:
        """Wait until each of these messages was delivered, or ended by a notice. TimeoutError."""
        async with asyncio.timeout(within):
            while True:
                served = {call.mail for call in self.account.calls if call.status == 200}
                if all(name in served or self.account.handed[name].notices for name in names):
                    return
                await asyncio.sleep(0.02)

    def calls(self, name: str) -> list[tuple[float, float, int]]:
        """Begin, end and status of each call of a message, in seconds from the first of all."""
        began = min((call.begun for call in self.account.calls), default=0.0)
        return [
            (round(call.begun - began, 3), round(call.ended - began, 3), call.status)
            for call in self.account.calls
            if call.mail == name
        ]

    def most_out(self) -> int:
        """The most calls that were out at once."""
        steps = [(call.begun, 1) for call in self.account.calls]
        steps += [(call.ended, -1) for call in self.account.calls]
        return max(accumulate(step for _, step in sorted(steps)))

    def broken(self, rule: str = "") -> list[str]:
        """What the account shows of broken rules."""
        return [
            f"{verdict.rule}: {case}"
            for verdict in judge(self.account)
            if rule in verdict.rule
            for case in verdict.broken
        ]

    def details(self, cases: list[str]) -> str:
        """Of each message that these cases name: its calls and notices, in seconds from its hand-in."""
        told = [*cases]
        for mail in self.account.handed.values():
            if not any(re.search(rf"\b{re.escape(mail.name)}\b", case) for case in cases):
                continue
            calls = [
                (round(call.begun - mail.at, 3), round(call.ended - mail.at, 3), call.status)
                for call in self.account.calls
                if call.mail == mail.name
            ]
            notices = [(round(at - mail.at, 3), outcome) for at, outcome in mail.notices]
            told.append(f"{mail.name} ({mail.word}): calls {calls}, notices {notices}")
        return "\n".join(told)


async def accepting_process(connection: Connection) -> int:
    """The id of the process that accepted a connection."""
    connection.writer.write(command(b"INFO"))
    size = int((await connection.reader.readline())[1:])
    text = (await connection.reader.readexactly(size + 2)).decode()
    figures = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
    return int(figures["process_id"])


@contextlib.asynccontextmanager
async def hand_over(
    folder: Path,
    names: dict[str, str] | None = None,
    pace: float = 0.2,
    rate: float = 200.0,
    slots: int = 64,
    limits: str = "",
) -> AsyncIterator[HandOver]:
    """A rig, with its receivers started; all that it began ends with it. `limits`: lines of the kind."""
    found = HandOver(folder, names or {"n1": "north", "n2": "north"}, pace, rate, slots, limits)
    for receiver in found.receivers.values():
        await receiver.start(time.time())
    notices = asyncio.create_task(found.watch_notices())
    try:
        yield found
    finally:
        notices.cancel()
        for process in found.processes:
            for connection in process.connections:
                connection.writer.transport.abort()
            await process.process.kill()
        for receiver in found.receivers.values():
            await receiver.stop()
        found.listening.close()


def run(scenario: Any) -> None:
    """Play a scenario to its end."""
    asyncio.run(scenario)

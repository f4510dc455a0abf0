"""Stand-ins for the cases of this review: a platform, endpoints and clients, all on loopback addresses.

Only the standard library is used. Each stand-in does what the pages allow it, and writes what it sees to the
record of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
NS = 1_000_000_000
# Between case.py and run.sh, which turns BROKEN into 1 and all else but HELD into 2: a defect of the
# stand-ins, which ends Python with 1, must not be read as a broken rule.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2
RESTART_PAUSE = 0.6  # seconds from SIGKILL to the next start, as the protocol page has it


class CouldNotRunError(Exception):
    """The case could not be played, so that it says nothing of the rule."""


class Record:
    """The lines of record.txt: seconds since the start of the case, and what was seen."""

    def __init__(self, file: Path) -> None:
        self.started_at = time.monotonic()
        self.file = file.open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def line(self, text: str) -> None:
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def host_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


async def read_http(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """One request: its first line, its headers by lower-case name, its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return head[0], headers, await reader.readexactly(int(headers.get("content-length", "0")))


def http_response(status: int, body: bytes = b"", headers: tuple[str, ...] = ()) -> bytes:
    lines = [f"HTTP/1.1 {status} -", *headers]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


@dataclass(eq=False)
class Call:
    """A call that reached an endpoint with its last byte."""

    endpoint: str
    message: str
    tag: str
    body: bytes
    at: float  # seconds since the start of the case
    status: int = 0  # of the answer; 0: none was written

    @property
    def may_have_run(self) -> bool:
        """By the table of outcomes: only what was turned away has surely not run."""
        return self.status not in (429, 503)


@dataclass(eq=False)
class Answer:
    """What an endpoint does with a call: an answer after some seconds, or none at all."""

    status: int = 200
    after: float = 0.05
    headers: tuple[str, ...] = ()
    hangs: bool = False


class Endpoint:
    """An endpoint of a destination. `decide` says what becomes of each call."""

    def __init__(self, rig: Rig, name: str, block: int, decide: Callable[[Call], Answer]) -> None:
        self.rig, self.name, self.block, self.decide = rig, name, block, decide
        self.health, self.version = "Ready", 41
        self.address = ""
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                await self.serve_call(reader, writer)
        with contextlib.suppress(OSError):
            writer.transport.abort()

    async def serve_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        rig = self.rig
        first, headers, body = await read_http(reader)
        if not first.startswith("POST /hook "):
            writer.write(http_response(200 if first.startswith("GET /alive ") else 404))
            return
        call = Call(
            self.name,
            headers.get("x-call-id", ""),
            headers.get("idempotency-key", ""),
            body,
            rig.record.now(),
        )
        rig.calls.append(call)
        answer = self.decide(call)
        fate = "is turned away" if answer.status in (429, 503) and not answer.hangs else "runs"
        rig.record.line(f"endpoint {self.name}: call {call.message} has come whole, and {fate}")
        if answer.hangs:
            await asyncio.sleep(3600)
        await asyncio.sleep(answer.after)
        call.status = answer.status
        told = " ".join(answer.headers)
        rig.record.line(f"endpoint {self.name}: call {call.message} is answered {answer.status} {told}")
        writer.write(http_response(answer.status, b"", answer.headers))
        await writer.drain()

    def listed(self) -> dict[str, Any]:
        return {
            "host": self.name,
            "dial": self.address,
            "site": "a",
            "class": "national",
            "block": self.block,
            "health": self.health,
            "share": 50.0,
            "born_ms": 0,
        }


class Platform:
    """Discovery with its watch, and the address for notices."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.seq, self.changed = rig, 41, asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def whole_list(self) -> dict[str, Any]:
        hosts = [each.listed() for each in self.rig.endpoints.values()]
        return {"seq": self.seq, "whole": True, "hosts": hosts}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                first, _, body = await read_http(reader)
                writer.write(await self.answer(first.split(" ")[1], body))
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.transport.abort()

    async def answer(self, target: str, body: bytes) -> bytes:
        path, _, query = target.partition("?")
        if path == "/v1/notices":
            for line in body.splitlines():
                self.rig.noticed(json.loads(line))
            return http_response(204)
        words = dict(part.split("=", 1) for part in query.split("&") if part)
        if "after" not in words:
            return http_response(200, json.dumps(self.whole_list()).encode())
        if int(words["after"]) >= self.seq:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(words["wait_ms"]) / 1000)
        hosts = [each.listed() for each in self.rig.endpoints.values() if each.version > int(words["after"])]
        return http_response(200, json.dumps({"seq": self.seq, "whole": False, "hosts": hosts}).encode())


class Client:
    """One client connection. It sends one request at a time, and waits for its answer."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.ended = False

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(*host_port(self.rig.listen))

    async def put(self, message: Message) -> str:
        """Hand a message in; returns the answer's line, empty if the connection ended without one."""
        if self.writer is None or self.reader is None:
            await self.connect()
        assert self.writer and self.reader
        self.rig.sent(message)
        self.writer.write(message.encode())
        return await self.read_answer(message)

    async def read_answer(self, message: Message, seconds: float = 0.4) -> str:
        """The answer to a request that was sent; the protocol gives a client 400 ms."""
        assert self.writer and self.reader
        line = b""
        with contextlib.suppress(OSError, TimeoutError):
            line = await asyncio.wait_for(self.reader.readline(), seconds)
        message.answer = line.decode("latin-1").strip()
        self.ended = not line and self.reader.at_eof()  # the dispatcher has ended the connection
        seen = message.answer or (
            "no answer: the connection was ended" if self.ended else "no answer in time"
        )
        self.rig.record.line(f"client: {message.name} got {seen}")
        if not line:
            self.close()
        return message.answer

    def close(self) -> None:
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None


@dataclass(eq=False)
class Message:
    """A message as a client hands it in."""

    name: str
    queue_class: str
    destination: int
    lifetime_ms: int = 12000
    tag: str = ""
    key: str = "0000000000000000"
    body: bytes = b"hello"
    answer: str = ""
    sent_at: float = 0.0
    notices: list[tuple[float, str]] = field(default_factory=list)

    def encode(self) -> bytes:
        fields = f"c={self.queue_class},d={self.lifetime_ms},dest={self.destination}"
        fields += f",k={self.tag}" if self.tag else ""
        words = [b"MSG.PUT", self.key.encode(), self.name.encode(), fields.encode(), self.body]
        return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class Dispatcher:
    """The project's own program, started by `run` of the deploy file, with what the platform tells it."""

    def __init__(self, rig: Rig) -> None:
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self.command = tomllib.load(file)["run"]
        self.rig = rig
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, ready_within: float = 20.0) -> None:
        rig = self.rig
        rig.renew_seed()
        own = {
            name: value for name, value in os.environ.items() if not name.startswith(("LB_", "LAURELDOCK_"))
        }
        variables = own | rig.variables()
        with (rig.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                self.command,
                cwd=ROOT,
                env=variables,
                stdout=log,
                stderr=log,
            )
        rig.processes.append(self.process)
        rig.record.line("platform: a process is started")
        until = time.monotonic() + ready_within
        while not await self.says_pong():
            if self.process.returncode is not None or time.monotonic() > until:
                raise CouldNotRunError("the dispatcher did not become ready")
            await asyncio.sleep(0.05)
        rig.record.line("platform: it is ready")

    async def says_pong(self) -> bool:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*host_port(self.rig.listen))
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            with contextlib.suppress(TimeoutError, OSError):
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.transport.abort()
                return line == b"+PONG\r\n"
            writer.transport.abort()
        return False

    def signal(self, number: signal.Signals) -> None:
        assert self.process
        self.rig.record.line(f"platform: {number.name} to the process")
        self.process.send_signal(number)

    async def kill(self) -> None:
        assert self.process
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def figures(self) -> dict[str, Any]:
        """`GET /_vars` at the operators' address."""
        reader, writer = await asyncio.open_connection(*host_port(self.rig.management))
        writer.write(b"GET /_vars HTTP/1.1\r\nHost: operators\r\nConnection: close\r\n\r\n")
        try:
            text = await asyncio.wait_for(reader.read(), 2.0)
        finally:
            writer.transport.abort()
        found: dict[str, Any] = json.loads(text.partition(b"\r\n\r\n")[2])
        return found


class Rig:
    """One play of a case: its folder, its record, its stand-ins and processes."""

    def __init__(self, case: Path, folder: Path) -> None:
        self.folder, self.record = folder, Record(case / "record.txt")
        self.mode = os.environ.get("TROUBLE", "1")
        self.trouble = self.mode != "0"
        self.state = folder / "state"
        self.state.mkdir()
        self.listen, self.management = free_address(), free_address()
        self.endpoints: dict[str, Endpoint] = {}
        self.messages: dict[str, Message] = {}
        self.calls: list[Call] = []
        self.processes: list[asyncio.subprocess.Process] = []
        self.platform = Platform(self)
        self.record.line(
            f"TROUBLE={self.mode}: " + ("with" if self.trouble else "without") + " the disruption"
        )

    async def add_endpoint(self, name: str, block: int, decide: Callable[[Call], Answer]) -> Endpoint:
        endpoint = self.endpoints[name] = Endpoint(self, name, block, decide)
        await endpoint.start()
        return endpoint

    def sent(self, message: Message) -> None:
        self.messages[message.name] = message
        message.sent_at = self.record.now()
        self.record.line(
            f"client: sends {message.name}, class {message.queue_class}, destination {message.destination}"
        )

    def noticed(self, notice: dict[str, Any]) -> None:
        self.record.line(f"platform: notice {json.dumps(notice)}")
        if notice["message"] in self.messages:
            self.messages[notice["message"]].notices.append((self.record.now(), notice["outcome"]))

    def calls_of(self, message: Message) -> list[Call]:
        return [call for call in self.calls if call.message == message.name]

    async def wait_until(self, holds: Callable[[], bool], seconds: float, what: str) -> None:
        until = time.monotonic() + seconds
        while not holds():
            if time.monotonic() > until:
                raise CouldNotRunError(f"not within {seconds:g} s: {what}")
            await asyncio.sleep(0.01)

    def write_configuration(self, settings: dict[str, Any], disk_mb: float = 3) -> Path:
        """Replace the file that LB_CONFIG names, in one step."""
        file = self.folder / "config.json"
        fields = {
            "name": "n1",
            "listen": self.listen,
            "discovery": self.platform.address,
            "management": self.management,
            "seed": self.seed(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512, "disk_mb": disk_mb},
            "known": self.platform.whole_list(),
            "settings": settings,
        }
        new_file = file.with_suffix(".new")
        new_file.write_text(json.dumps(fields))
        new_file.rename(file)
        return file

    def log_lines(self) -> list[str]:
        """The log of the processes."""
        with contextlib.suppress(OSError):
            return (self.folder / "log").read_text(errors="replace").splitlines()
        return []

    def seed(self) -> str:
        """The seed for random numbers, which is new with each start."""
        return f"{0x8C1F30D27A5BE964 + 0x9E3779B97F4A7C15 * len(self.processes) & (1 << 64) - 1:016x}"

    def renew_seed(self) -> None:
        """Put the seed of the next start into the file that LB_CONFIG names."""
        file = self.folder / "config.json"
        fields = json.loads(file.read_text()) | {"seed": self.seed()}
        new_file = file.with_suffix(".new")
        new_file.write_text(json.dumps(fields))
        new_file.rename(file)

    def variables(self) -> dict[str, str]:
        """The environment that the platform gives to a process."""
        return {
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_STATE": str(self.state),
            "LB_NAME": "n1",
            "LB_LISTEN": self.listen,
            "LB_DISCOVERY": self.platform.address,
            "LB_MANAGEMENT": self.management,
        }


def queue_class(name: str, effect: str, **more: Any) -> dict[str, Any]:
    """A class of the settings."""
    found: dict[str, Any] = {
        "name": name,
        "effect": effect,
        "points": 1.0,
        "aim_ns": 2 * NS,
        "deadline_ns": 12 * NS,
        "late_share": 0.5,
        "streamed": False,
        "in_order": False,
    }
    if effect == "dedup":
        found |= {"dedup_scope": "all", "window_ns": 5 * NS}
    return found | more


def settings(classes: list[dict[str, Any]], **more: Any) -> dict[str, Any]:
    """The settings of a small deployment of three dispatchers."""
    return {
        "classes": classes,
        "client_habits": {"marks_retry": False},
        "customers": [],
        "discovery": "automatic",
        "family_info": {
            "batch_by_kind": [1],
            "call_slots": 18,
            "carriage": [0.0],
            "fades": "linear",
            "refused_price": 0.03,
            "routes_apart": [True],
        },
        "invariants": {
            "answer_slack_ns": 20_000_000,
            "drain_grace_ns": 500_000_000,
            "fall_ns": 1_500_000_000,
            "key_rest_ns": 300_000_000,
            "must_ask_in_ns": 10 * NS,
            "start_capacity": 0.29,
            "tip_multiple": 1.5,
            "warm_after_ns": 13 * NS,
        },
        "kinds": ["national"],
        "limits": {
            "may_cancel": True,
            "conn_idle_ns": 15 * NS,
            "connect_timeout_ns": NS,
            "max_attempts": 8,
            "most_held": 271,
            "max_retry_after_ns": 3 * NS,
            "peer_messages": False,
            "probes": False,
            "retry_after": True,
            "second_copies": False,
            "streams_per_conn": 1,
        },
        "n_instances": 3,
        "ordinal": 0,
        "over_share_worth": 0.2,
        "prices": {"handshake": 0.04},
        "round_ns": 5_000_000,
        "telemetry": {"fields": ["x0", "x1"], "via": "inline"},
        "weight_kind": "nominal",
        "zone": "a",
        "zones": ["a"],
    } | more


def play(case: Path, scenario: Callable[[Rig], Awaitable[list[str]]], seconds: float = 110.0) -> None:
    """Play a scenario, which returns the breaks of the rule that it saw, and exit with the result."""

    async def run() -> int:
        task = asyncio.current_task()
        assert task
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            rig = Rig(case, Path(folder))
            result = COULD_NOT_RUN
            try:
                async with asyncio.timeout(seconds):
                    await rig.platform.start()
                    breaks = await scenario(rig)
                for each in breaks:
                    rig.record.line(f"BROKEN: {each}")
                result = BROKEN if breaks else HELD
            except (Exception, asyncio.CancelledError) as fault:  # also a defect of the stand-ins
                rig.record.line(f"could not run: {fault!r}")
            finally:
                for process in rig.processes:
                    if process.returncode is None:
                        with contextlib.suppress(ProcessLookupError):
                            process.kill()
                        await process.wait()
                for line in rig.log_lines():
                    rig.record.line(f"log: {line}")
            ends = {HELD: "the rule held", BROKEN: "the rule was broken"}
            rig.record.line(ends.get(result, "the case could not run"))
            return result

    sys.exit(asyncio.run(run()))

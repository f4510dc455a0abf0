"""Stand-ins of the cases 6 to 10: platform agent, endpoints, clients, and the launcher of the program.

Written from the protocol and deployment pages, with the standard library alone. All addresses are on
127.0.0.1 with free ports. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
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
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENT_WAIT = 0.4  # seconds that a client waits for its answer
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes
PASSED = 7  # the descriptor of the clients' listening socket, where the platform holds it


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, in `record.txt` beside the script."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def write(self, *words: object, at: float | None = None) -> None:
        when = (time.monotonic() if at is None else at) - self.began
        self.file.write(f"{when:9.4f} {' '.join(str(word) for word in words)}\n")

    def close(self) -> None:
        self.file.close()


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """The first line, the headers and the body of one HTTP request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        headers = {
            name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError, asyncio.LimitOverrunError):
        return None
    return first, headers, body


def response(status: int, headers: dict[str, object] | None = None, body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status} x"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


@dataclass
class Entry:
    """An endpoint in discovery's list."""

    host: str
    port: int
    block: int
    kind: str
    site: str = "a"
    share: float = 0.0
    health: str = "Ready"
    version: int = 40
    address: str = "127.0.0.1"

    def encode(self) -> dict[str, Any]:
        return {
            "host": self.host, "dial": f"{self.address}:{self.port}", "site": self.site, "class": self.kind,
            "block": self.block, "health": self.health, "share": self.share, "born_ms": 0,
        }  # fmt: skip


class Platform:
    """Discovery's agent of one dispatcher, with the notices."""

    def __init__(self, record: Record, entries: list[Entry]) -> None:
        self.record, self.entries, self.version = record, {each.host: each for each in entries}, 40
        self.changed = asyncio.Event()
        self.notices: dict[str, list[tuple[float, str]]] = {}
        self.delay = 0.0  # seconds until an answer about the list is written
        self.told_at: dict[int, float] = {}  # when an answer with this version was first written
        self.port = 0
        self.server: asyncio.Server | None = None
        self.open: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def move_away(self) -> None:
        """The address that a reload replaces: no new connection, and an end of the open ones after 1.5 s."""
        assert self.server is not None
        self.server.close()
        await asyncio.sleep(1.5)
        for writer in self.open:
            writer.transport.abort()

    def whole(self) -> dict[str, Any]:
        listed = [each.encode() for each in self.entries.values() if each.health != "Gone"]
        return {"seq": self.version, "whole": True, "hosts": listed}

    def change(self, *hosts: str, health: str) -> None:
        self.version += 1
        for host in hosts:
            self.entries[host].health, self.entries[host].version = health, self.version
        self.record.write("list", self.version, health, *hosts)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        with contextlib.suppress(OSError):
            while (request := await read_request(reader)) is not None:
                first, _, body = request
                target = first.split()[1]
                if target == "/v1/notices":
                    writer.write(self.take_notices(body))
                else:
                    writer.write(await self.answer_list(target))
                await writer.drain()
        self.open.discard(writer)
        writer.transport.abort()

    def take_notices(self, body: bytes) -> bytes:
        for line in body.splitlines():
            notice = json.loads(line)
            self.notices.setdefault(notice["message"], []).append((time.monotonic(), notice["outcome"]))
            self.record.write("notice", notice["message"], notice["outcome"], notice.get("retry_in_ms", ""))
        return response(204)

    async def answer_list(self, target: str) -> bytes:
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        update = self.whole()
        if "after" in query:
            after = int(query["after"])
            if after >= self.version:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), int(query["wait_ms"]) / 1000)
            changes = [each.encode() for each in self.entries.values() if each.version > after]
            update = {"seq": self.version, "whole": False, "hosts": changes}
        if self.delay:
            await asyncio.sleep(self.delay)
        self.told_at.setdefault(update["seq"], time.monotonic())
        return response(200, {"Content-Type": "application/json"}, json.dumps(update).encode())


@dataclass(eq=False)
class Call:
    """A call that an endpoint got, with the time of its last byte."""

    message: str
    at: float
    headers: dict[str, str]
    peer: int
    ended: str = ""
    ended_at: float = 0.0


Handler = Callable[[Call], Awaitable[bytes | None]]


class Endpoint:
    """An endpoint: `handle` gives the answer to a call; None breaks the connection by a reset."""

    def __init__(self, record: Record, name: str, handle: Handler) -> None:
        self.record, self.name, self.handle = record, name, handle
        self.calls: list[Call] = []
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20, backlog=512)
        self.server, self.port = server, server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = writer.get_extra_info("peername")[1]
        with contextlib.suppress(OSError):
            while (request := await read_request(reader)) is not None:
                first, headers, _ = request
                if not first.startswith("POST /hook "):
                    writer.write(response(404))
                    continue
                call = Call(headers["x-call-id"], time.monotonic(), headers, peer)
                self.calls.append(call)
                self.record.write(self.name, "call", call.message)
                handling = asyncio.ensure_future(self.handle(call))
                # A caller gives a call up by closing, or by ending its sending.
                gone = asyncio.ensure_future(reader.read(1))
                await asyncio.wait({handling, gone}, return_when=asyncio.FIRST_COMPLETED)
                if gone.done() and not handling.done():
                    handling.cancel()
                    call.ended, call.ended_at = "given up", time.monotonic()
                    self.record.write(self.name, "given up", call.message)
                    break
                answer = handling.result()
                call.ended_at = time.monotonic()
                if answer is None:
                    call.ended = "reset"
                    gone.cancel()
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    self.record.write(self.name, "reset", call.message)
                    break
                gone.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await gone
                if not gone.cancelled():  # the caller was quicker: nothing is written
                    call.ended = "given up"
                    self.record.write(self.name, "given up", call.message)
                    break
                call.ended = answer.split(b" ", 2)[1].decode()
                self.record.write(self.name, call.ended, call.message)
                writer.write(answer)
                await writer.drain()
        writer.transport.abort()


@dataclass
class Client:
    """A client of one dispatcher: it keeps its connections, and opens more when all are busy."""

    record: Record
    port: int
    idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = field(default_factory=list)
    answers: dict[str, str] = field(default_factory=dict)
    answered_at: dict[str, float] = field(default_factory=dict)

    async def put(self, key: str, message: str, fields: str, body: bytes) -> str:
        """Hand a message in; returns the answer's line, "no answer" or "closed"."""
        words = [b"MSG.PUT", key.encode(), message.encode(), fields.encode(), body]
        data = b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(x), x) for x in words)
        self.record.write("client", message, fields, f"key={key}", f"{len(body)} bytes")
        answer = "closed"
        for _ in range(2):  # once more, if a close between requests crossed it
            try:
                reader, writer = self.idle.pop() if self.idle else await self.connect()
            except OSError:
                answer = "no connection"
                break
            writer.write(data)
            try:
                line = await asyncio.wait_for(reader.readline(), CLIENT_WAIT)
            except TimeoutError:
                writer.transport.abort()
                answer = "no answer"
                break
            except OSError:
                line = b""
            if line:
                answer = line.decode().strip()
                self.idle.append((reader, writer))
                break
            writer.transport.abort()
        self.answers[message], self.answered_at[message] = answer, time.monotonic()
        self.record.write("answer", message, answer)
        return answer

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def ping(self) -> bool:
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await self.connect()
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.transport.abort()
            return line == b"+PONG\r\n"
        return False


class Dispatcher:
    """The program, started by the deploy file's `run`, with its folder that lasts."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        name: str,
        settings: dict[str, Any],
        platform: Platform,
        **limits: Any,
    ) -> None:
        self.record, self.name, self.settings, self.platform = record, name, settings, platform
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3, **limits}
        self.folder = folder / name
        self.state, self.temporary = self.folder / "state", self.folder / "tmp"
        self.state.mkdir(parents=True)
        self.temporary.mkdir()
        self.config = self.folder / "config.json"
        self.port, self.seed = free_port(), 0x8C1F30D27A5BE964 + sum(name.encode())
        self.client = Client(record, self.port)
        self.processes: list[asyncio.subprocess.Process] = []
        self.passed = -1  # the descriptor of the clients' listening socket, where the platform holds it
        self.management = 0  # the port where operators call the process that was started last
        self.write_config()

    def write_config(self) -> None:
        new = self.config.with_suffix(".new")
        address = f"127.0.0.1:{self.platform.port}"
        new.write_text(
            json.dumps({
                "name": self.name, "listen": f"127.0.0.1:{self.port}", "discovery": address,
                "seed": f"{self.seed:016x}", "limits": self.limits, "known": self.platform.whole(),
                "settings": self.settings,
            })
        )  # fmt: skip
        new.rename(self.config)

    async def start(self, wait: bool = True) -> asyncio.subprocess.Process:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environment |= {
            "LB_CONFIG": str(self.config), "LB_STATE": str(self.state), "LB_NAME": self.name,
            "LB_LISTEN": f"127.0.0.1:{self.port}", "LB_DISCOVERY": f"127.0.0.1:{self.platform.port}",
            "TMPDIR": str(self.temporary), "PYTHONDONTWRITEBYTECODE": "1",
        }  # fmt: skip
        if self.passed >= 0:
            self.management = free_port()
            environment["LB_PASSED_SOCKET"] = str(self.passed)
            environment["LB_MANAGEMENT"] = f"127.0.0.1:{self.management}"
        with (self.folder / "log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log, pass_fds=[self.passed] if self.passed >= 0 else [],
            )  # fmt: skip
        self.processes.append(process)
        self.record.write("start", self.name)
        if wait:
            until = time.monotonic() + 30
            while not await self.is_ready():
                if time.monotonic() > until or process.returncode is not None:
                    raise CannotRunError(
                        f"{self.name} was not ready: {(self.folder / 'log').read_text()[-600:]}"
                    )
                await asyncio.sleep(0.05)
            self.record.write("ready", self.name)
        return process

    async def is_ready(self) -> bool:
        """Whether the process that was started last takes clients."""
        if not self.management:
            return await self.client.ping()
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.management)
            writer.write(b"GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.transport.abort()
            return line.split()[1:2] == [b"200"]
        return False

    def signal(self, number: signal.Signals, process: asyncio.subprocess.Process | None = None) -> None:
        """Signal a process, the one that was started last if none is named."""
        self.record.write(number.name, self.name)
        with contextlib.suppress(ProcessLookupError):
            os.kill((process or self.processes[-1]).pid, number)

    def hold_socket(self) -> None:
        """Have the platform hold the clients' listening socket, as descriptor 7 of each process."""
        held = socket.socket()
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind(("127.0.0.1", self.port))
        held.listen(512)
        if held.fileno() != PASSED:
            os.dup2(held.fileno(), PASSED)
            held.close()
        else:
            held.detach()
        self.passed = PASSED

    async def end(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGKILL)
                await process.wait()


def settings(classes: list[dict[str, Any]], kinds: list[str], **changes: Any) -> dict[str, Any]:
    """Settings like those of the wire page's example; `changes` replace values of the inner tables."""
    ns = 1_000_000_000
    found: dict[str, Any] = {
        "classes": classes,
        "client_habits": {"marks_retry": False},
        "customers": [],
        "discovery": "automatic",
        "family_info": {
            "batch_by_kind": [1] * len(kinds), "call_slots": 18, "carriage": [0.0, 0.0], "fades": "linear",
            "notes": "", "refused_price": 0.03, "report_x0": "share of the allowance that is left",
            "report_x1": "calls a second that the limit allows; 0 where there is none",
            "routes_apart": [True] * len(kinds),
        },
        "goal": {"whole": 0.45, "worst_class": 0.3, "worst_window": 0.25},
        "invariants": {
            "answer_slack_ns": 20_000_000, "drain_grace_ns": ns // 2, "fall_ns": ns * 3 // 2,
            "must_ask_in_ns": 10 * ns, "start_capacity": 0.29, "tip_multiple": 1.5,
            "warm_after_ns": 13 * ns,
        },
        "kinds": kinds,
        "limits": {
            "conn_idle_ns": 15 * ns, "connect_timeout_ns": ns, "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 400000, "max_attempts": 8, "max_retry_after_ns": 3 * ns, "may_cancel": True,
            "most_held": 271, "peer_messages": False, "probes": True, "retry_after": True,
            "second_copies": False, "streams_per_conn": 1,
        },
        "n_instances": 3,
        "ordinal": 0,
        "over_share_worth": 0.2,
        "prices": {
            "connection": 0.0, "cross_zone": 0.01, "discovery": 0.0, "handshake": 0.04, "late_fail": 0.02,
            "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.03,
        },
        "round_ns": 5_000_000,
        "service_type": "deliver",
        "telemetry": {"fields": ["x0", "x1"], "via": "inline"},
        "tier": 0,
        "tiers": ["outside-partners"],
        "value_by": "request",
        "weight_kind": "rough",
        "zone": "a",
        "zones": ["a", "b"],
    }  # fmt: skip
    for table, values in changes.items():
        if isinstance(values, dict):
            found[table] = {**found[table], **values}
        else:
            found[table] = values
    return found


def queue_class(
    name: str, effect: str, aim: float, deadline: float, window: float = 5.0, **more: Any
) -> dict[str, Any]:
    ns = 1_000_000_000
    return {
        "name": name, "effect": effect, "aim_ns": int(aim * ns), "deadline_ns": int(deadline * ns),
        "window_ns": int(window * ns), "dedup_scope": "all", "in_order": False, "late_share": 0.5,
        "points": 1.0, "streamed": False, **more,
    }  # fmt: skip


Case = Callable[[Record, Path, list[Dispatcher]], Awaitable[tuple[int, str]]]


def play(case: Case, folder: Path, limit: float = 115.0) -> None:
    """Play a case, end all that it started, print the verdict, and exit with its code."""
    with contextlib.suppress(OSError):  # kept free for the clients' listening socket
        os.fstat(PASSED)
        os.close(PASSED)
    reserved = os.open(os.devnull, os.O_RDONLY)
    if reserved != PASSED:
        os.dup2(reserved, PASSED)
        os.close(reserved)
    record, temporary, started = Record(folder), Path(tempfile.mkdtemp(prefix="case-")), []

    async def main() -> tuple[int, str]:
        playing = asyncio.ensure_future(asyncio.wait_for(case(record, temporary, started), limit))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        try:
            return await playing
        except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
            return NOT_RUN, f"could not run: {error!r}"
        finally:
            for each in started:
                await each.end()

    code, why = asyncio.run(main())
    if code != HELD and os.environ.get("KEEP"):
        print("kept", temporary)
    else:
        shutil.rmtree(temporary, ignore_errors=True)
    verdict = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[code]
    record.write(f"verdict: {verdict}: {why}")
    record.close()
    print(f"{verdict}: {why}")
    sys.stdout.flush()
    os._exit(code)

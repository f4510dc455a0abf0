"""The dispatcher as a process on loopback, with one stub server as receiver, endpoint list and notices."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import pytest
from drivers import PLATFORM_SETTINGS, InMemoryDispatcher


class Platform(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    relayed: list[str]
    notices: list[str]
    slow: threading.Event

    def do_GET(self) -> None:
        time.sleep(int(self.path.rpartition("wait_ms=")[2]) / 1000)  # the list does not change
        self.reply(200, b'{"seq":1,"whole":false,"hosts":[]}')

    def do_POST(self) -> None:
        body = self.rfile.read(int(self.headers["Content-Length"]))
        if self.path == "/v1/notices":
            self.notices.extend(body.decode().split())
            self.reply(204, b"")
            return
        if body.startswith(b"slow"):
            self.slow.wait(20)
        self.relayed.append(self.headers["X-Call-Id"])
        self.reply(200, b"")

    def reply(self, status: int, body: bytes) -> None:
        self.send_response(status)
        if status != 204:
            self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args: Any) -> None:
        """Log nothing."""


class PlatformServer(ThreadingHTTPServer):
    def handle_error(self, request: Any, client_address: Any) -> None:
        """Print nothing of connections that a killed dispatcher left.

        A run of pytest once ended on an internal error as it formatted a failure while these were printed.
        """
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)


@pytest.fixture
def platform() -> Iterator[ThreadingHTTPServer]:
    Platform.relayed, Platform.notices, Platform.slow = [], [], threading.Event()
    server = PlatformServer(("127.0.0.1", 0), Platform)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield server
    Platform.slow.set()
    server.shutdown()
    server.server_close()


class Process:
    stderr: int | None = None  # where its standard error goes

    def __init__(
        self, folder: Path, platform: ThreadingHTTPServer, more: dict[str, str] | None = None
    ) -> None:
        self.prepare(folder, platform, more)
        self.start()

    def prepare(
        self, folder: Path, platform: ThreadingHTTPServer, more: dict[str, str] | None = None
    ) -> None:
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.port = free.getsockname()[1]
        address = f"127.0.0.1:{platform.server_port}"
        hosts = {
            **InMemoryDispatcher.endpoint_list("1"),
            "hosts": [{**InMemoryDispatcher.endpoint_list("1")["hosts"][0], "dial": address}],
        }
        fields = {"name": "n0", "listen": f"127.0.0.1:{self.port}", "discovery": address, "seed": "7"}
        limits = {"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": 1}
        config = folder / "config.json"
        config.write_text(
            json.dumps({**fields, "limits": limits, "known": hosts, "settings": PLATFORM_SETTINGS})
        )

        (folder / "state").mkdir()
        self.environ = {
            **os.environ,
            "LB_CONFIG": str(config),
            "LB_STATE": str(folder / "state"),
            **(more or {}),
        }

    def launch(self) -> None:
        command = [sys.executable, "-m", "laureldock", "serve"]
        self.child = subprocess.Popen(command, env=self.environ, stdout=subprocess.PIPE, stderr=self.stderr)

    def start(self) -> None:
        self.launch()
        until(lambda: self.ask(b"PING\r\n") == b"+PONG\r\n")

    def open(self) -> socket.socket:
        return socket.create_connection(("127.0.0.1", self.port), 10)

    def ask(self, *parts: bytes, link: socket.socket | None = None) -> bytes:
        try:
            with link.dup() if link else self.open() as own:
                own.settimeout(10)
                own.sendall(b"".join(parts))
                return own.recv(4096)
        except ConnectionRefusedError:
            return b""

    def put(self, name: str, queue_class: str, body: str, link: socket.socket | None = None) -> bytes:
        return self.ask(
            InMemoryDispatcher.command("MSG.PUT", "0", name, f"c={queue_class},d=9000,dest=7", body),
            link=link,
        )


def until(condition: Callable[[], bool]) -> None:
    end = time.monotonic() + 20
    while not condition():
        assert time.monotonic() < end, "the condition was not met within 20 s"
        time.sleep(0.02)


def test_killed_and_stopped_processes_keep_pending_messages(
    tmp_path: Path, platform: ThreadingHTTPServer
) -> None:
    process = Process(tmp_path, platform)
    try:
        assert process.put("m1", "news", "quick") == b"+OK\r\n"
        until(lambda: Platform.relayed == ["m1"])
        assert process.put("m2", "charge", "slow") == b"+OK\r\n"
        until(lambda: b"out:1" in process.ask(b"INFO\r\n"))

        process.child.kill()
        process.child.wait(10)
        process.start()
        until(lambda: Platform.notices == ['{"message":"m2","outcome":"given_up"}'])
        with process.open() as link:
            assert process.put("m3", "news", "slow", link) == b"+OK\r\n"
            process.child.send_signal(signal.SIGHUP)
            until(lambda: b"configurations_read:1" in process.ask(b"INFO\r\n"))
            process.child.send_signal(signal.SIGUSR1)
            process.child.send_signal(signal.SIGTERM)
            time.sleep(0.1)
            assert process.put("m4", "news", "slow too", link) == b"+OK\r\n"
            threading.Timer(1.0, Platform.slow.set).start()
            began = time.monotonic()
            assert process.child.wait(10) == 0
            assert time.monotonic() - began < 3.7
        assert process.child.stdout
        logged = [json.loads(line) for line in process.child.stdout]
        assert [line["event"] for line in logged] == [
            "starting", "ready", "configuration read", "counters", "stopping", "stopped"
        ]  # fmt: skip
        assert logged[3]["taken"] == 1 and logged[5]["taken"] == 2
        finished = [*Platform.relayed, *(json.loads(line)["message"] for line in Platform.notices)]
        assert "m3" in finished and "m4" in finished

        command = [sys.executable, "-m", "laureldock", "spool", str(tmp_path / "state")]
        assert subprocess.run(command, capture_output=True, check=True).stdout == b""
    finally:
        process.child.kill()


class MergedOutputProcess(Process):
    stderr = subprocess.STDOUT


def test_repeated_signals_stop_the_process_once_and_in_order(
    tmp_path: Path, platform: ThreadingHTTPServer
) -> None:
    """A second SIGTERM left a traceback in the log: the reactor was stopped while it was stopping."""
    process = MergedOutputProcess(tmp_path, platform)
    try:
        assert process.put("m1", "news", "slow") == b"+OK\r\n"
        until(lambda: b"out:1" in process.ask(b"INFO\r\n"))
        for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM):
            process.child.send_signal(number)
            time.sleep(0.05)
        Platform.slow.set()
        assert process.child.wait(10) == 0
        assert process.child.stdout
        lines = process.child.stdout.read().decode().splitlines()
        events = [json.loads(line)["event"] for line in lines]  # a traceback would not be JSON
        assert events.count("stopping") == events.count("stopped") == 1
        assert Platform.relayed == ["m1"]
    finally:
        process.child.kill()


def test_a_planned_stop_ends_the_process_without_tearing_the_interpreter_down(
    tmp_path: Path, platform: ThreadingHTTPServer
) -> None:
    """Meanwhile responses were not read, though receivers counted them as delivered, and messages whose time
    ended were told late: nobody held them until the next process got the lock on the spool."""
    (tmp_path / "sitecustomize.py").write_text("import atexit, time\natexit.register(time.sleep, 5)\n")
    process = Process(tmp_path, platform, {"PYTHONPATH": str(tmp_path)})
    try:
        assert process.put("m1", "news", "slow") == b"+OK\r\n"
        until(lambda: b"out:1" in process.ask(b"INFO\r\n"))
        began = time.monotonic()
        process.child.send_signal(signal.SIGTERM)
        assert process.child.wait(10) == 0
        assert time.monotonic() - began < 4.5
        assert process.child.stdout
        assert json.loads(process.child.stdout.read().splitlines()[-1])["event"] == "stopped"
    finally:
        process.child.kill()


def test_messages_withdrawn_during_a_stall_are_not_sent(
    tmp_path: Path, platform: ThreadingHTTPServer
) -> None:
    """A resumed process reads requests before it sees their connections closed; it used to send them all."""
    process = Process(tmp_path, platform)
    try:
        first = process.open()
        assert process.put("m0", "news", "quick", first) == b"+OK\r\n"
        until(lambda: Platform.relayed == ["m0"])  # from here on there is an idle connection
        process.child.send_signal(signal.SIGSTOP)
        connections = [first, *(process.open() for _ in range(6))]
        for index, link in enumerate(connections):
            link.sendall(
                InMemoryDispatcher.command("MSG.PUT", "0", f"s{index}", "c=news,d=9000,dest=7", "quick")
            )
        time.sleep(0.4)
        for link in connections:
            link.close()
        process.child.send_signal(signal.SIGCONT)
        until(lambda: b"clients:1" in process.ask(b"INFO\r\n"))
        assert process.put("m1", "news", "quick") == b"+OK\r\n"
        until(lambda: len(Platform.relayed) > 1)
        assert Platform.relayed == ["m0", "m1"]
    finally:
        process.child.kill()


def test_many_clients_leave_sockets_for_other_uses(tmp_path: Path, platform: ThreadingHTTPServer) -> None:
    """All waiting clients were accepted at once, beyond the limit of sockets, and requests were closed
    without a reply."""
    process = Process(tmp_path, platform)
    connections = []
    try:
        process.child.send_signal(signal.SIGSTOP)
        for index in range(240):
            connections.append(process.open())
            connections[-1].sendall(
                InMemoryDispatcher.command("MSG.PUT", "0", f"m{index}", "c=news,d=9000,dest=7", "quick")
            )
        process.child.send_signal(signal.SIGCONT)
        max_descriptors = 0
        for link in connections:
            link.settimeout(5)
            assert link.recv(64)[:4] in (b"+OK\r", b"-BUS")
            max_descriptors = max(max_descriptors, len(os.listdir(f"/proc/{process.child.pid}/fd")))
        assert max_descriptors <= 200  # of 256
    finally:
        process.child.kill()
        for link in connections:
            link.close()


@pytest.mark.parametrize("invalid", ["LB_STATE", "LB_CONFIG", "settings", "known", "seed"])
def test_invalid_startup_settings_end_it_with_a_one_line_error(
    invalid: str, tmp_path: Path, platform: ThreadingHTTPServer
) -> None:
    process = Process(tmp_path, platform)
    process.child.kill()
    process.child.wait(10)
    config = Path(process.environ["LB_CONFIG"])
    if invalid.startswith("LB_"):
        process.environ[invalid] = str(tmp_path / "nowhere")
    else:
        config.write_text(json.dumps({**json.loads(config.read_text()), invalid: {"hosts": 5}}))
    command = [sys.executable, "-m", "laureldock", "serve"]
    result = subprocess.run(command, env=process.environ, capture_output=True, text=True, timeout=20)

    assert result.returncode > 0
    assert result.stderr.startswith("Error: cannot start: ") and "Traceback" not in result.stderr


def test_questionable_platform_settings_are_logged_and_applied(
    tmp_path: Path, platform: ThreadingHTTPServer
) -> None:
    process = Process(tmp_path, platform)
    try:
        process.child.kill()
        process.child.wait(10)
        config = Path(process.environ["LB_CONFIG"])
        document = json.loads(config.read_text())
        del document["settings"]["limits"]["conn_idle_ns"]
        config.write_text(json.dumps(document))
        process.start()
        assert process.put("m1", "news", "quick") == b"+OK\r\n"
        until(lambda: Platform.relayed == ["m1"])
        process.child.terminate()
        process.child.wait(10)
        assert process.child.stdout
        lines = [json.loads(line) for line in process.child.stdout]
        warnings = [line["faults"] for line in lines if line["event"] == "settings questionable"]
        assert warnings == [["limits.idle_time: no kept connection could be used"]]
    finally:
        process.child.kill()

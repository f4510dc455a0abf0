"""The management address of a dispatcher: readiness, counters and lameduck over HTTP."""

from __future__ import annotations

import json
import socket
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

from test_process import Platform, Process, platform, until

__all__ = ["platform"]


def call(port: int, path: str, method: str = "GET") -> tuple[int, Any]:
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", method=method)
    try:
        with urllib.request.urlopen(request, timeout=5) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read())


def test_readiness_counters_and_lameduck(tmp_path: Path, platform: Any) -> None:
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    process = Process(tmp_path, platform, {"LB_MANAGEMENT": f"127.0.0.1:{port}"})
    try:
        assert call(port, "/_ready")[0] == 200
        assert process.put("m1", "news", "quick") == b"+OK\r\n"
        assert process.put("m2", "nosuch", "quick").startswith(b"-ERR")
        until(lambda: call(port, "/_vars")[1]["requests"].get("news", {}).get("served") == 1)
        figures = call(port, "/_vars")[1]
        assert figures["requests"]["news"] == {"served": 1, "refused": 0, "failed": 0, "attempts": 1}
        assert figures["requests"]["nosuch"]["failed"] == 1
        assert (figures["in_flight"], figures["endpoints_known"], figures["reloads_ok"]) == (0, 1, 0)

        with process.open() as kept:  # a connection between requests is closed at lameduck
            assert process.ask(b"PING\r\n", link=kept) == b"+PONG\r\n"
            assert call(port, "/_lameduck/on", "PUT") == (200, {"lameduck": True})
            kept.settimeout(5)
            assert kept.recv(10) == b""
        assert process.ask(b"PING\r\n").startswith(b"-LAMEDUCK")
        assert call(port, "/_ready")[0] == 503
        with process.open() as link:  # a new connection is served once, then closed
            assert process.put("m3", "news", "quick", link) == b"+OK\r\n"
            link.settimeout(5)
            assert link.recv(10) == b""
        until(lambda: "m3" in Platform.relayed)

        assert call(port, "/_lameduck/off", "PUT") == (200, {"lameduck": False})
        assert call(port, "/_ready")[0] == 200
        assert process.ask(b"PING\r\n") == b"+PONG\r\n"
        assert call(port, "/_nothing")[0] == 404
    finally:
        process.child.kill()

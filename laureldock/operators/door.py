"""The operators' address: HTTP/1.1 by twisted.web, one short answer to each call, never a wait.

GET /_ready           200 while this process takes clients, else 503
GET /_vars            the figures, as JSON
PUT /_lameduck/on     empty the dispatcher: clients are told no and their connections close once answered
PUT /_lameduck/off    take clients again
GET /_fleet           the view of the fleet, as JSON; 404 where the configuration has no [fleet]
PUT /_fleet/forget/NAME  the failed member of that name will not return
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

from twisted.internet.error import CannotListenError
from twisted.internet.posixbase import PosixReactorBase
from twisted.internet.tcp import Port
from twisted.web import http, resource, server

from laureldock.sockets.reactor import listen_error

# Callers that connect and say nothing hold a socket; a caller waits 1 s, so 3 s of silence is no call.
SILENT = 3.0
FORGET = b"/_fleet/forget/"


@dataclass(frozen=True, slots=True)
class Operated:
    """What the door asks of the dispatcher."""

    ready: Callable[[], bool]
    figures: Callable[[], dict[str, Any]]
    lameduck: Callable[[bool], None]
    fleet: Callable[[], dict[str, Any]] | None = None
    forget: Callable[[str], bool] | None = None


class Calls(resource.Resource):
    isLeaf = True  # noqa: N815  twisted.web's name

    def __init__(self, operated: Operated) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.operated = operated

    def answer(self, request: server.Request, status: int, body: dict[str, Any]) -> bytes:
        request.setResponseCode(status)
        request.setHeader(b"content-type", b"application/json")  # type: ignore[no-untyped-call]
        return json.dumps(body, separators=(",", ":")).encode() + b"\n"

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        match request.path:
            case b"/_ready":
                ready = self.operated.ready()
                return self.answer(request, 200 if ready else 503, {"ready": ready})
            case b"/_vars":
                return self.answer(request, 200, self.operated.figures())
            case b"/_fleet" if self.operated.fleet:
                return self.answer(request, 200, self.operated.fleet())
        return self.answer(request, 404, {"error": "no such call"})

    def render_PUT(self, request: server.Request) -> bytes:  # noqa: N802
        match request.path:
            case b"/_lameduck/on" | b"/_lameduck/off" as path:
                on = path.endswith(b"/on")
                self.operated.lameduck(on)
                return self.answer(request, 200, {"lameduck": on})
            case path if path.startswith(FORGET) and self.operated.forget:
                name = unquote(path.removeprefix(FORGET).decode("latin-1"))
                if self.operated.forget(name):
                    return self.answer(request, 200, {"left": name})
                return self.answer(request, 409, {"error": f"no member {name!r} that failed"})
        return self.answer(request, 404, {"error": "no such call"})

    render_POST = render_PUT  # noqa: N815  what some tools send for a PUT


class Site(server.Site):
    def log(self, request: http.Request) -> None:
        """No line for each call: the scrapes of every second would drown the log."""


class Door:
    def __init__(self, reactor: PosixReactorBase, at: str, operated: Operated) -> None:
        self.reactor, self.at = reactor, at
        self.site = Site(Calls(operated), timeout=SILENT)  # type: ignore[no-untyped-call]
        self.site.noisy = False
        self.port: Port | None = None

    def open(self) -> None:
        """Listen. OSError."""
        host, _, port = self.at.rpartition(":")
        try:
            self.port = self.reactor.listenTCP(  # type: ignore[no-untyped-call]
                int(port), self.site, backlog=64, interface=host
            )
        except CannotListenError as barred:
            raise listen_error(barred) from None

    def shut(self) -> None:
        if self.port:
            self.port.stopListening()  # type: ignore[no-untyped-call]
            self.port = None

"""HTTP/1.1 server for operators, by twisted.web. Every request gets a short response without a wait.

GET /_ready           200 while this process accepts clients, else 503
GET /_vars            the metrics, as JSON
PUT /_lameduck/on     health checks fail, and connections close after the reply
PUT /_lameduck/off    accept clients again
GET /_fleet           the membership view, as JSON; 404 if the configuration has no [fleet]
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

# Seconds. A connection without a request holds a socket. Callers wait 1 s, so after 3 s none is coming.
IDLE_TIMEOUT = 3.0
FORGET_PREFIX = b"/_fleet/forget/"


@dataclass(frozen=True, slots=True)
class OperatorActions:
    """What the server calls in the dispatcher."""

    is_ready: Callable[[], bool]
    metrics: Callable[[], dict[str, Any]]
    set_lameduck: Callable[[bool], None]
    fleet_report: Callable[[], dict[str, Any]] | None = None
    forget_member: Callable[[str], bool] | None = None


class OperatorResource(resource.Resource):
    """Responds to the requests listed at the head of this module, in JSON."""

    isLeaf = True  # noqa: N815  twisted.web's name

    def __init__(self, actions: OperatorActions) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.actions = actions

    def respond(self, request: server.Request, status: int, body: dict[str, Any]) -> bytes:
        request.setResponseCode(status)
        request.setHeader(b"content-type", b"application/json")  # type: ignore[no-untyped-call]
        return json.dumps(body, separators=(",", ":")).encode() + b"\n"

    def render_GET(self, request: server.Request) -> bytes:  # noqa: N802
        match request.path:
            case b"/_ready":
                ready = self.actions.is_ready()
                return self.respond(request, 200 if ready else 503, {"ready": ready})
            case b"/_vars":
                return self.respond(request, 200, self.actions.metrics())
            case b"/_fleet" if self.actions.fleet_report:
                return self.respond(request, 200, self.actions.fleet_report())
        return self.respond(request, 404, {"error": "no such call"})

    def render_PUT(self, request: server.Request) -> bytes:  # noqa: N802
        match request.path:
            case b"/_lameduck/on" | b"/_lameduck/off" as path:
                on = path.endswith(b"/on")
                self.actions.set_lameduck(on)
                return self.respond(request, 200, {"lameduck": on})
            case path if path.startswith(FORGET_PREFIX) and self.actions.forget_member:
                name = unquote(path.removeprefix(FORGET_PREFIX).decode("latin-1"))
                if self.actions.forget_member(name):
                    return self.respond(request, 200, {"left": name})
                return self.respond(request, 409, {"error": f"no member {name!r} that failed"})
        return self.respond(request, 404, {"error": "no such call"})

    render_POST = render_PUT  # noqa: N815  some tools send POST in place of PUT


class OperatorSite(server.Site):
    def log(self, request: http.Request) -> None:
        """Requests are not logged: metrics are scraped every second, which would flood the log."""


class OperatorServer:
    """Listens at `address`, which is host:port."""

    def __init__(self, reactor: PosixReactorBase, address: str, actions: OperatorActions) -> None:
        self.reactor, self.address = reactor, address
        self.site = OperatorSite(OperatorResource(actions), timeout=IDLE_TIMEOUT)  # type: ignore[no-untyped-call]
        self.site.noisy = False
        self.port: Port | None = None

    def open(self) -> None:
        """Listen. Raises OSError if that fails."""
        host, _, port = self.address.rpartition(":")
        try:
            self.port = self.reactor.listenTCP(  # type: ignore[no-untyped-call]
                int(port), self.site, backlog=64, interface=host
            )
        except CannotListenError as error:
            raise listen_error(error) from None

    def close(self) -> None:
        if self.port:
            self.port.stopListening()  # type: ignore[no-untyped-call]
            self.port = None

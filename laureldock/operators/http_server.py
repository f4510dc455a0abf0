"""HTTP/1.1 server for operators. Every request gets a short response without a wait, and then the close.

GET /_ready           200 while this process accepts clients, else 503
GET /_vars            the metrics, as JSON
PUT /_lameduck/on     health checks fail, and connections close after the reply
PUT /_lameduck/off    accept clients again
GET /_fleet           the membership view, as JSON; 404 if the configuration has no [fleet]
PUT /_fleet/forget/NAME  the failed member of that name will not return

A request is read up to the end of its head, and of that only the first line counts; what a caller sends on is
dropped. The number of callers, the size of a head and the time of a call are bounded, and so is the memory.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote

from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IAddress
from twisted.internet.posixbase import PosixReactorBase
from twisted.internet.protocol import Factory
from twisted.internet.tcp import Connection, Port
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from laureldock.sockets.reactor import listen_error

# Seconds from the connect to the end of a call; callers wait 1 s.
CALL_TIMEOUT = 3.0
# Connections at once; the oldest is closed for one more. Callers come one by one and wait for their answers.
MAX_CALLERS = 32
MAX_HEAD_BYTES = 8 << 10
FORGET_PREFIX = "/_fleet/forget/"


@dataclass(frozen=True, slots=True)
class OperatorActions:
    """What the server calls in the dispatcher."""

    is_ready: Callable[[], bool]
    metrics: Callable[[], dict[str, Any]]
    set_lameduck: Callable[[bool], None]
    fleet_report: Callable[[], dict[str, Any]] | None = None
    forget_member: Callable[[str], bool] | None = None


@dataclass(frozen=True, slots=True)
class OperatorResponse:
    """A response with a body of JSON."""

    status: HTTPStatus
    body: dict[str, Any]

    def encode(self, with_body: bool = True) -> bytes:
        """The bytes of the response, after which the connection closes."""
        body = json.dumps(self.body, separators=(",", ":")).encode() + b"\n"
        head = (
            f"HTTP/1.1 {self.status.value} {self.status.phrase}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        return head.encode() + (body if with_body else b"")


def respond(actions: OperatorActions, method: str, path: str) -> OperatorResponse:
    """Carry a request out. POST stands for PUT, which some tools send in its place."""
    if method in ("GET", "HEAD"):
        return respond_to_get(actions, path)
    if method in ("PUT", "POST"):
        return respond_to_put(actions, path)
    return OperatorResponse(HTTPStatus.METHOD_NOT_ALLOWED, {"error": "no such method"})


def respond_to_get(actions: OperatorActions, path: str) -> OperatorResponse:
    """Readiness, metrics and the view of the fleet."""
    match path:
        case "/_ready":
            ready = actions.is_ready()
            status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
            return OperatorResponse(status, {"ready": ready})
        case "/_vars":
            return OperatorResponse(HTTPStatus.OK, actions.metrics())
        case "/_fleet" if actions.fleet_report:
            return OperatorResponse(HTTPStatus.OK, actions.fleet_report())
    return NOT_FOUND


def respond_to_put(actions: OperatorActions, path: str) -> OperatorResponse:
    """Lameduck, and members that will not return."""
    if path in ("/_lameduck/on", "/_lameduck/off"):
        on = path.endswith("/on")
        actions.set_lameduck(on)
        return OperatorResponse(HTTPStatus.OK, {"lameduck": on})
    if path.startswith(FORGET_PREFIX) and actions.forget_member:
        name = unquote(path.removeprefix(FORGET_PREFIX))
        if actions.forget_member(name):
            return OperatorResponse(HTTPStatus.OK, {"left": name})
        return OperatorResponse(HTTPStatus.CONFLICT, {"error": f"no member {name!r} that failed"})
    return NOT_FOUND


NOT_FOUND = OperatorResponse(HTTPStatus.NOT_FOUND, {"error": "no such call"})
BAD_REQUEST = OperatorResponse(HTTPStatus.BAD_REQUEST, {"error": "not a request"})
HEAD_TOO_LARGE = OperatorResponse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, {"error": "head too large"})


class OperatorConnection(LineReceiver):
    """One call: a head is read, the response written, and the rest dropped until the caller closes."""

    transport: Connection  # type: ignore[assignment]
    MAX_LENGTH = MAX_HEAD_BYTES
    delimiter = b"\n"

    def __init__(self, server: OperatorServer) -> None:
        self.server = server
        self.request_line: str | None = None
        self.head_bytes = 0
        self.responded = False

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = MAX_HEAD_BYTES
        self.server.connection_opened(self)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        self.server.connection_closed(self)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        line = line.removesuffix(b"\r")
        self.head_bytes += len(line) + 1
        if self.head_bytes > MAX_HEAD_BYTES:
            self.send(HEAD_TOO_LARGE)
        elif self.request_line is None:
            if line:  # an empty line before a request is skipped, by RFC 9112, section 2.2
                self.request_line = line.decode("latin-1")
        elif not line:
            self.carry_out(self.request_line)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Drop what comes behind the head."""

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        self.send(HEAD_TOO_LARGE)

    def carry_out(self, request_line: str) -> None:
        """Respond to a request by its first line."""
        method, _, rest = request_line.partition(" ")
        target, _, version = rest.partition(" ")
        if not target.startswith("/") or not version.startswith("HTTP/1."):
            self.send(BAD_REQUEST)
            return
        response = respond(self.server.actions, method, target.partition("?")[0])
        self.send(response, with_body=method != "HEAD")

    def send(self, response: OperatorResponse, with_body: bool = True) -> None:
        """Send the one response, and end the sending; a close over unread bytes would lose it."""
        if not self.responded:
            self.responded = True
            self.setRawMode()
            self.transport.write(response.encode(with_body))
            self.transport.loseWriteConnection()


class OperatorServer(Factory):
    """Listens at `address`, which is host:port."""

    noisy = False

    def __init__(self, reactor: PosixReactorBase, address: str, actions: OperatorActions) -> None:
        self.reactor, self.address, self.actions = reactor, address, actions
        self.connections: dict[OperatorConnection, Any] = {}  # the oldest first, each with its timer
        self.port: Port | None = None

    def open(self) -> None:
        """Listen. Raises OSError if that fails."""
        host, _, port = self.address.rpartition(":")
        try:
            self.port = self.reactor.listenTCP(int(port), self, backlog=64, interface=host)
        except CannotListenError as error:
            raise listen_error(error) from None

    def buildProtocol(self, addr: IAddress | None) -> OperatorConnection:  # noqa: N802
        return OperatorConnection(self)

    def connection_opened(self, connection: OperatorConnection) -> None:
        """Bound the time of a call, and the number of calls."""
        self.connections[connection] = self.reactor.callLater(
            CALL_TIMEOUT, connection.transport.abortConnection
        )
        if len(self.connections) > MAX_CALLERS:
            next(iter(self.connections)).transport.abortConnection()

    def connection_closed(self, connection: OperatorConnection) -> None:
        """Forget a connection."""
        timer = self.connections.pop(connection, None)
        if timer and timer.active():
            timer.cancel()

    def close(self) -> None:
        """Stop listening."""
        if self.port:
            self.port.stopListening()
            self.port = None

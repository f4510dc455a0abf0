"""Source of endpoints from the platform: watches its discovery service by long polling."""

from __future__ import annotations

from typing import Any

from msgspec import DecodeError, Struct, ValidationError, convert, field
from msgspec.json import Decoder
from twisted.internet.posixbase import PosixReactorBase

from laureldock.core.call_results import CallResult
from laureldock.core.protocols import EndpointListListener
from laureldock.delivery_settings import ListedEndpoint
from laureldock.interface import FetchList, ListedState
from laureldock.setup.units import parse_address
from laureldock.sockets.http_client import HttpConnection
from laureldock.sockets.serial_http_client import SerialHttpClient
from laureldock.wire.http1 import Headers

LISTED_STATES = {"Ready": ListedState.UP, "Terminating": ListedState.DRAINING, "Gone": ListedState.REMOVED}
ListUpdate = tuple[int, bool, list[tuple[ListedEndpoint, str]]]
MAX_LIST_BYTES = 1 << 22  # about ten thousand entries, and far below the memory limit
# Seconds beyond the wait for updates after which a response that still arrives in parts is given up. The
# platform counts a change as known six seconds after the watch fell silent. Detecting the silent watch takes
# 2.3 s of these, and six failed requests (refused, hanging, silent, cut short, corrupted, an error response)
# take 1.9 s together. The rest must suffice for an endless corrupted response and a slow one after it.
PARTIAL_RESPONSE_TIME = 0.7


Scalar = str | int | float | bool


class HostEntry(Struct, frozen=True):
    """An endpoint in the server's list, as far as it is used; other fields are skipped."""

    host: Scalar
    dial: Scalar
    block: Scalar
    health: str
    share: Scalar | None = None
    site: Scalar | None = None
    kind: Scalar | None = field(default=None, name="class")

    def to_endpoint(self) -> ListedEndpoint:
        """The entry as the core has it. Raises ValueError, KeyError, OverflowError."""
        rate = float(self.share or 0)
        if not 0 <= rate < 1e9:
            raise ValueError(f"share is out of range: {rate}")
        return ListedEndpoint(
            name=str(self.host),
            destination=int(self.block),
            zone=str(self.site),
            kind=str(self.kind),
            listed_rate=rate,
            listed_state=LISTED_STATES[self.health],
        )


class HostList(Struct, frozen=True):
    """A list of the server: the full one, or the entries that changed."""

    seq: int
    whole: bool
    hosts: list[HostEntry]

    def to_update(self) -> ListUpdate:
        """The version, whether it is a full list, and the entries with their addresses. ValueError."""
        try:
            entries = [(host.to_endpoint(), str(parse_address(host.dial))) for host in self.hosts]
        except (KeyError, OverflowError) as error:
            raise ValueError(f"not an endpoint list: {error!r}") from None
        return self.seq, self.whole, entries


decoder = Decoder(HostList)


def parse_endpoint_list(data: Any) -> ListUpdate:
    """Parse an endpoint list that was decoded from JSON already. Raises ValueError if it is malformed."""
    try:
        return convert(data, HostList).to_update()
    except ValidationError as error:
        raise ValueError(f"not an endpoint list: {error}") from None


def decode_endpoint_list(body: bytes) -> ListUpdate:
    """Decode an endpoint list from JSON, without objects for what is not used. Raises ValueError."""
    try:
        return decoder.decode(body).to_update()
    except DecodeError as error:
        raise ValueError(f"not an endpoint list: {error}") from None


class PlatformSource(SerialHttpClient):
    """Watches the endpoint list: each request waits for an update, and the next follows its response.

    `known` is the list that this dispatcher had last, from its configuration.
    """

    keeps_body = True

    def __init__(
        self, core: EndpointListListener, reactor: PosixReactorBase, address: str, known: Any
    ) -> None:
        super().__init__(core, reactor, address, MAX_LIST_BYTES)
        self.core, self.known = core, known
        self.version: int | None = None  # of the list held; None: the next request is for the full list
        self.last_fetch: FetchList | None = None
        # Of the last request: when it began, and for how long its response may wait for an update.
        self.requested_at = self.wait_time = 0.0
        self.watching = self.settled = False

    def start(self) -> None:
        """Report the list from the configuration."""
        self.apply(*parse_endpoint_list(self.known))

    def apply(self, version: int, full: bool, entries: list[tuple[ListedEndpoint, str]]) -> None:
        self.version = version
        self.core.list_updated(entries, full)

    def fetch_list(self, asked: FetchList) -> None:
        if not self.busy:
            self.last_fetch, self.requested_at = asked, self.core.now()
            # The first request after a start or a failure does not wait for an update, so that a silent
            # server is detected sooner.
            self.wait_time = asked.max_wait if self.watching else 0.0
            self.start_request(
                self.wait_time + asked.timeout, asked.timeout, self.wait_time + PARTIAL_RESPONSE_TIME
            )

    def change_address(self, address: str) -> None:
        """Fetch from another address. Its versions are its own, so the full list is requested."""
        super().change_address(address)
        self.version, self.watching = None, False
        if self.last_fetch:
            self.fetch_list(self.last_fetch)

    def write_request(self, connection: HttpConnection) -> None:
        wait_ms = max(1, round(self.wait_time * 1000))
        query = b"?after=%d&wait_ms=%d" % (self.version, wait_ms) if self.version is not None else b""
        head = [b"GET /discovery/hosts" + query + b" HTTP/1.1", b"Host: " + self.address.encode()]
        connection.send_request(head, b"", self)

    def response_received(self, status: int, headers: Headers, body: bytes) -> None:
        if status != 200:
            return self.fail(f"answer {status}")
        try:
            update = decode_endpoint_list(body)
        except (ValueError, RecursionError) as error:
            self.version = None
            return self.fail(str(error))
        fetch = self.last_fetch
        # Nothing newer long before the wait is over: an earlier response has come again, or the server does
        # not wait. It counts as a failure, so that the next request is not sent at once, in an endless loop.
        if (
            self.version is not None
            and update[0] <= self.version
            and self.core.now() < self.requested_at + self.wait_time / 2
        ):
            return self.fail("nothing newer long before the requested wait was over")
        if not self.core.list_fits(update[2], update[1]):
            return self.fail("a list that does not fit into the limit on memory")
        self.end_request()
        self.watching = self.settled = True
        self.core.guard(self.apply, *update)
        if fetch and self.core.running:
            self.fetch_list(fetch)
        return None

    def can_reuse(self, connection: HttpConnection) -> bool:
        """It needs no rest: an earlier response that comes again is known by its version."""
        return not connection.discard_if_unread()

    def request_written(self) -> None:
        """Does nothing: requests for the list are not counted."""

    def request_failed(self, end: CallResult) -> None:
        self.fail(end.value)

    def fail(self, why: str) -> None:
        if self.end_request():
            self.discard_connection()
            self.watching, self.settled = False, True
            self.core.list_failed(why)

"""Stub receivers: HTTP servers on loopback that record their calls, and have faults at scripted times."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass, field
from functools import partial

import h11

from laureldock.rehearsal.response_repeats import ResponseRepeater, ResponseRepeats, StubConnection
from laureldock.rehearsal.rule_checks import ReceiverPeriod, RecordedCall, RunRecord


@dataclass(frozen=True, slots=True)
class FaultPeriod:
    """A fault of a stub receiver between two times, in seconds from the start of the load.

    `refuse`: 429, with a requested wait until the end of the fault; `silent`: the call is executed and never
    gets a response; `down`: connections are refused, and the receiver is cold afterwards; `error`: 500 after
    execution; `slow`: the call takes `slowdown` times as long.
    """

    kind: str
    since: float
    until: float
    slowdown: float = 10.0


@dataclass(slots=True)
class StubReceiver:
    """One stub receiver; `seed` determines its response times and random refusals."""

    name: str
    destination: str
    record: RunRecord
    seed: int
    rate: float = 40.0  # calls per second that it can take
    call_time: float = 0.05  # seconds that a call takes, at the median
    refused_fraction: float = 0.0  # of the calls, that get a 503
    wait_fraction: float = 0.0  # of the calls, that get a 429 with a wait of `short_wait` seconds
    short_wait: float = 0.05
    repeats: ResponseRepeats | None = None  # of its responses
    faults: list[FaultPeriod] = field(default_factory=list)
    start_capacity: float = 0.3
    warm_time: float = 4.0
    started_at: float = 0.0
    port: int = 0
    server: asyncio.Server | None = None
    connections: set[asyncio.StreamWriter] = field(default_factory=set)
    connection_count: int = 0  # accepted so far
    rng: random.Random = field(default_factory=random.Random)
    repeater: ResponseRepeater = field(init=False)

    def __post_init__(self) -> None:
        self.repeater = ResponseRepeater(self.name, self.repeats, self.seed)

    async def start(self, started_at: float) -> None:
        """Listen; `started_at` is the start of the load, in seconds of the wall clock."""
        self.started_at, self.rng = started_at, random.Random(self.seed)
        await self.listen()

    async def listen(self) -> None:
        """Listen on the port of the last time, or on a free one. Raises OSError."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def run(self) -> None:
        """Stop and listen again as the faults of kind `down` state."""
        for fault in sorted(self.faults, key=lambda each: each.since):
            if fault.kind == "down":
                await asyncio.sleep(max(0.0, self.started_at + fault.since - time.time()))
                await self.stop()
                await asyncio.sleep(max(0.0, self.started_at + fault.until - time.time()))
                recovered_at = time.time()
                self.record.slow_starts.append(
                    ReceiverPeriod(
                        self.name,
                        recovered_at,
                        recovered_at + self.warm_time,
                        capacity=partial(self.capacity_at, recovered_at),
                    )
                )
                await self.listen()

    def capacity_at(self, recovered_at: float, at: float) -> float:
        """Return the calls per second that it can take at a time after its recovery."""
        fraction = self.start_capacity + (1 - self.start_capacity) * (at - recovered_at) / self.warm_time
        return self.rate * min(1.0, fraction)

    async def stop(self) -> None:
        """Stop listening, and abort all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for connection in list(self.connections):
            connection.transport.abort()

    def current_fault(self) -> FaultPeriod | None:
        """Return the fault that is active now."""
        now = time.time() - self.started_at
        return next((each for each in self.faults if each.since <= now < each.until), None)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        self.connections.add(writer)
        self.connection_count += 1
        connection = StubConnection(self.connection_count, writer)
        calls: list[RecordedCall] = []
        try:
            await self.serve_requests(reader, connection, calls)
        except (OSError, h11.RemoteProtocolError, asyncio.IncompleteReadError):
            pass  # the caller closed, or did not speak HTTP: its call is recorded without a response
        finally:
            for call in calls:
                call.ended_at = call.ended_at or time.time()
            self.connections.discard(writer)
            writer.transport.abort()

    async def serve_requests(
        self, reader: asyncio.StreamReader, connection: StubConnection, calls: list[RecordedCall]
    ) -> None:
        """Respond to the requests of one connection in turn, and add their calls to `calls`."""
        http = h11.Connection(h11.SERVER)
        request: h11.Request | None = None
        first_byte_at = 0.0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(65536)
                if request is None and data:
                    first_byte_at = first_byte_at or time.time()
                    connection.request_open = True
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage) and request:
                status, headers = await self.respond(request, first_byte_at, calls, reader)
                head = h11.Response(status_code=status, headers=[*headers, ("Content-Length", "0")])
                response = (http.send(head) or b"") + (http.send(h11.EndOfMessage()) or b"")
                connection.writer.write(response)
                connection.request_open = False
                self.repeater.response_sent(connection, status, response)
                await connection.writer.drain()
                if calls and request.method == b"POST":
                    calls[-1].ended_at, calls[-1].status = calls[-1].ended_at or time.time(), status
                if http.our_state is not h11.DONE:
                    return
                http.start_next_cycle()
                request, first_byte_at = None, 0.0
            elif isinstance(event, h11.ConnectionClosed):
                return

    async def respond(
        self,
        request: h11.Request,
        first_byte_at: float,
        calls: list[RecordedCall],
        reader: asyncio.StreamReader,
    ) -> tuple[int, list[tuple[str, str]]]:
        """Record a call, and return the status and headers of its response.

        Raises ConnectionResetError once the caller has closed.
        """
        headers = {name.decode(): value.decode() for name, value in request.headers}
        fault = self.current_fault()
        if request.method == b"GET":
            if fault and fault.kind == "silent":
                await reader.read(1)  # until the caller closes
                raise ConnectionResetError
            return (503 if fault and fault.kind == "refuse" else 200), []
        call = RecordedCall(
            self.name, headers["x-call-id"], headers.get("idempotency-key", ""), first_byte_at, time.time()
        )
        self.record.calls.append(call)
        calls.append(call)
        if fault and fault.kind == "refuse":
            remaining = self.started_at + fault.until - time.time()
            wait = max(1, round(min(remaining, 0.8) * 1000))
            now = time.time()
            self.record.requested_waits.append(
                ReceiverPeriod(self.name, now, now + wait / 1000, call.message)
            )
            return 429, [("X-RateLimit-Wait-Ms", str(wait))]
        if self.refused_fraction and self.rng.random() < self.refused_fraction:
            return 503, []
        if self.wait_fraction and self.rng.random() < self.wait_fraction:
            now = time.time()
            self.record.requested_waits.append(
                ReceiverPeriod(self.name, now, now + self.short_wait, call.message)
            )
            return 429, [("X-RateLimit-Wait-Ms", str(round(self.short_wait * 1000)))]
        call.executed = True
        if fault and fault.kind == "silent":
            await reader.read(1)  # until the caller closes
            raise ConnectionResetError
        slowdown = fault.slowdown if fault and fault.kind == "slow" else 1.0
        await execute_call(reader, slowdown * self.call_time * self.rng.lognormvariate(0.0, 0.4))
        return (500 if fault and fault.kind == "error" else 200), [
            ("X-Load-Report", f"x0=0.9,x1={self.rate:g}")
        ]


async def execute_call(reader: asyncio.StreamReader, seconds: float) -> None:
    """Take `seconds` for a call. Raises ConnectionResetError as soon as its caller has closed."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await reader.read(1)
            raise ConnectionResetError

"""Stand-in receivers: HTTP servers on loopback that fail by a script, and an account of what reaches them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass, field
from functools import partial

import h11

from laureldock.rehearsal.rule_checks import Account, Call, Told


@dataclass(frozen=True, slots=True)
class Fault:
    """What a receiver does between two times of the script.

    `refuse`: 429 and a wait until its end; `silent`: the call runs and is never answered; `down`: no
    connection, and cold when it is back; `error`: 500, having run; `slow`: so many times as long.
    """

    sort: str
    since: float
    until: float
    times: float = 10.0


@dataclass(slots=True)
class Receiver:
    name: str
    destination: str
    account: Account
    seed: int
    rate: float = 40.0  # calls a second that it takes
    pace: float = 0.05  # seconds that a call takes, at the median
    turned_away: float = 0.0  # part of the calls that are answered 503
    faults: list[Fault] = field(default_factory=list)
    start_capacity: float = 0.3
    warm_time: float = 4.0
    began: float = 0.0
    port: int = 0
    server: asyncio.Server | None = None
    links: set[asyncio.StreamWriter] = field(default_factory=set)
    chance: random.Random = field(default_factory=random.Random)

    async def start(self, began: float) -> None:
        self.began, self.chance = began, random.Random(self.seed)
        await self.listen()

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def run(self) -> None:
        """Goes down and comes back by the script."""
        for fault in sorted(self.faults, key=lambda each: each.since):
            if fault.sort == "down":
                await asyncio.sleep(max(0.0, self.began + fault.since - time.time()))
                await self.stop()
                await asyncio.sleep(max(0.0, self.began + fault.until - time.time()))
                back = time.time()
                self.account.colds.append(
                    Told(self.name, back, back + self.warm_time, bears=partial(self.bears, back))
                )
                await self.listen()

    def bears(self, back: float, at: float) -> float:
        """Calls a second that it bears at a time after its return."""
        grown = self.start_capacity + (1 - self.start_capacity) * (at - back) / self.warm_time
        return self.rate * min(1.0, grown)

    async def stop(self) -> None:
        if self.server:
            self.server.close()
            self.server = None
        for link in list(self.links):
            link.transport.abort()

    def fault(self) -> Fault | None:
        now = time.time() - self.began
        return next((each for each in self.faults if each.since <= now < each.until), None)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.links.add(writer)
        calls: list[Call] = []
        try:
            await self.converse(reader, writer, calls)
        except (OSError, h11.RemoteProtocolError, asyncio.IncompleteReadError):
            pass  # the other side went, or spoke no HTTP: its call shows as never answered
        finally:
            for call in calls:
                call.ended = call.ended or time.time()
            self.links.discard(writer)
            writer.transport.abort()

    async def converse(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, calls: list[Call]
    ) -> None:
        wire = h11.Connection(h11.SERVER)
        request: h11.Request | None = None
        first = 0.0
        while True:
            event = wire.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(65536)
                if request is None and data:
                    first = first or time.time()
                wire.receive_data(data)
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage) and request:
                status, headers = await self.answer(request, first, calls, reader)
                head = h11.Response(status_code=status, headers=[*headers, ("Content-Length", "0")])
                writer.write((wire.send(head) or b"") + (wire.send(h11.EndOfMessage()) or b""))
                await writer.drain()
                if calls and request.method == b"POST":
                    calls[-1].ended, calls[-1].status = calls[-1].ended or time.time(), status
                if wire.our_state is not h11.DONE:
                    return
                wire.start_next_cycle()
                request, first = None, 0.0
            elif isinstance(event, h11.ConnectionClosed):
                return

    async def answer(
        self, request: h11.Request, first: float, calls: list[Call], reader: asyncio.StreamReader
    ) -> tuple[int, list[tuple[str, str]]]:
        headers = {name.decode(): value.decode() for name, value in request.headers}
        fault = self.fault()
        if request.method == b"GET":
            if fault and fault.sort == "silent":
                await reader.read(1)  # until the other side gives it up
                raise ConnectionResetError
            return (503 if fault and fault.sort == "refuse" else 200), []
        call = Call(self.name, headers["x-call-id"], headers.get("idempotency-key", ""), first, time.time())
        self.account.calls.append(call)
        calls.append(call)
        if fault and fault.sort == "refuse":
            left = self.began + fault.until - time.time()
            wait = max(1, round(min(left, 0.8) * 1000))
            now = time.time()
            self.account.waits.append(Told(self.name, now, now + wait / 1000, call.mail))
            return 429, [("X-RateLimit-Wait-Ms", str(wait))]
        if self.turned_away and self.chance.random() < self.turned_away:
            return 503, []
        call.ran = True
        if fault and fault.sort == "silent":
            await reader.read(1)  # until the other side gives it up
            raise ConnectionResetError
        times = fault.times if fault and fault.sort == "slow" else 1.0
        await work(reader, times * self.pace * self.chance.lognormvariate(0.0, 0.4))
        return (500 if fault and fault.sort == "error" else 200), [
            ("X-Load-Report", f"x0=0.9,x1={self.rate:g}")
        ]


async def work(reader: asyncio.StreamReader, seconds: float) -> None:
    """Take so long for a call. ConnectionResetError as soon as its caller has gone."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await reader.read(1)
            raise ConnectionResetError

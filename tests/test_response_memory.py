"""Memory and work that receivers and the list server can cause by what they answer."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
from memory_rig import memory_of, memory_rig

from laureldock.rehearsal.soak.clients import command
from laureldock.rehearsal.soak.discovery import Endpoint
from laureldock.wire.http1 import MalformedResponseError, ResponseParser

MEMORY_MB = 64
CALLS = 20  # of all destinations together, whose windows begin with one call
ENDPOINTS = 20_000
LARGE_HEAD = b"HTTP/1.1 500 Late\r\n" + b"".join(b"X-H%d: %s\r\n" % (each, b"h" * 8000) for each in range(60))


class HeadServer:
    """A receiver that answers each call with the start of a large head, and says nothing more."""

    def __init__(self) -> None:
        self.calls = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
            writer.write(LARGE_HEAD)
            await reader.read()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()


def test_heads_of_receivers_that_never_end_stay_within_the_limit_on_memory(tmp_path: Path) -> None:
    async def play() -> None:
        async with memory_rig(tmp_path, MEMORY_MB) as rig:
            receiver = HeadServer()
            server = await asyncio.start_server(receiver.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            # Several destinations, each with a window of its own.
            rig.discovery.put(*(Endpoint(f"h{number}", port, 10 + number, 400.0) for number in range(8)))
            process = await rig.launch()
            before = memory_of(process.process_id)["VmRSS"]
            reader, writer = await asyncio.open_connection(*rig.address)
            until = time.monotonic() + 6.0
            number = 0
            while time.monotonic() < until:
                fields = b"c=notice,d=8000,dest=%d" % (10 + number % 8)
                writer.write(command(b"MSG.PUT", b"0", b"h%d" % number, fields, b"x"))
                await reader.readline()
                number += 1
                await asyncio.sleep(0.005)
            assert receiver.calls > CALLS
            assert memory_of(process.process_id)["VmHWM"] <= before + 4.0
            writer.close()
            server.close()

    asyncio.run(play())


def test_a_list_that_does_not_fit_is_refused_and_the_known_one_stays(tmp_path: Path) -> None:
    async def play() -> None:
        async with memory_rig(tmp_path, MEMORY_MB) as rig:
            process = await rig.launch()
            rig.discovery.put(*(Endpoint(f"e{number}", 9, 10 + number, 1.0) for number in range(ENDPOINTS)))
            await asyncio.sleep(4.0)
            assert memory_of(process.process_id)["VmHWM"] <= MEMORY_MB
            counters = await process.counters()
            assert counters is not None
            assert counters["endpoints_known"] == 1
            assert counters["memory"]["gave way: list refused"] > 0
            assert "memory is short" in rig.log
            reader, writer = await asyncio.open_connection(*rig.address)
            writer.write(command(b"MSG.PUT", b"0", b"m1", b"c=notice,d=8000,dest=1", b"x"))
            assert await reader.readline() == b"+OK\r\n"
            writer.close()

    asyncio.run(play())


@pytest.mark.parametrize(
    "lines",
    [
        [b"HTTP/1.1 100 Continue", b""] * 2000,
        [b"HTTP/1.1 500 Error", *[b"a: " + b"b" * 7000] * 4],
        [b"HTTP/1.1 500 Error", b"Transfer-Encoding: chunked", b"", b"0", *[b"t: trailer"] * 4000],
    ],
)
def test_lines_of_one_response_are_bounded(lines: list[bytes]) -> None:
    parser = ResponseParser(65_536, keeps_body=False)
    with pytest.raises(MalformedResponseError):
        for line in lines:
            parser.feed_line(line)


def test_a_body_in_single_bytes_ends_before_its_chunk_sizes_cost_much() -> None:
    parser = ResponseParser(65_536, keeps_body=False)
    for line in (b"HTTP/1.1 500 Error", b"Transfer-Encoding: chunked", b""):
        parser.feed_line(line)
    with pytest.raises(MalformedResponseError):
        for _ in range(20_000):
            parser.feed_line(b"1")
            parser.feed_data(b"x")
    assert not parser.body

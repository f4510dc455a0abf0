"""Commands that a client writes behind one another: which are carried out, and how many may wait."""

from __future__ import annotations

from itertools import accumulate
from pathlib import Path

import pytest
from drivers import InMemoryDispatcher
from hypothesis import given
from hypothesis import strategies as st

from laureldock.setup.platform import PIPELINE
from laureldock.wire import resp
from laureldock.wire.resp import CommandReader, PipelineCounter

# A menu, as a person writes it: each line begins like a command.
MENU = b"Lunches:\r\n" + b"* a dish\r\n" * (PIPELINE + 4)
MAX_BULK = 1 << 16
TOO_MANY = "-ERR too many commands at once"


@pytest.fixture
def dispatcher(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> InMemoryDispatcher:
    return InMemoryDispatcher(tmp_path, monkeypatch)


def put(number: int, body: bytes) -> bytes:
    return resp.command(b"MSG.PUT", b"0", b"m%d" % number, b"c=news,d=9000,dest=7", body)


def replies(dispatcher: InMemoryDispatcher, client: str = "client") -> list[str]:
    written = [line.partition(f"-> {client}: ")[2] for line in dispatcher.lines]
    return [reply for line in written if line for reply in line.split(" | ")]


def test_lines_of_bodies_behind_a_command_are_no_commands(dispatcher: InMemoryDispatcher) -> None:
    """Guards against requests that end unanswered because lines of the bodies behind them begin with `*`."""
    client = dispatcher.connect_client()
    dispatcher.send(client, b"".join(put(number, MENU) for number in (1, 2, 3)))
    assert replies(dispatcher) == ["+OK"] * 3


def test_as_many_commands_may_wait_as_the_limit_says(dispatcher: InMemoryDispatcher) -> None:
    """Whole or in part: one more than the limit behind the first ends the connection with an error."""
    command = resp.command(b"PING")
    dispatcher.send(dispatcher.connect_client("within"), command * (1 + PIPELINE))
    assert replies(dispatcher, "within") == ["+PONG"] * (1 + PIPELINE)
    dispatcher.send(dispatcher.connect_client("beyond"), command * (1 + PIPELINE) + command[:1])
    assert replies(dispatcher, "beyond") == [TOO_MANY]


WORDS = [b"PING", b"\r\n*3\r\n", b"$1\r\n", b"", MENU, b"*0\r\n"]
ARRAYS = st.lists(st.sampled_from(WORDS), min_size=1, max_size=4).map(lambda words: resp.command(*words))
UNCOUNTED = [b"PING\r\n", b"\r\n", b"*0\r\n", b" \r\n"]


@given(
    commands=st.lists(st.one_of(ARRAYS, st.sampled_from(UNCOUNTED)), min_size=1, max_size=12),
    pieces=st.lists(st.integers(1, 400), max_size=12),
    waiting=st.integers(0, 3),
)
def test_the_count_is_of_the_commands_that_have_begun_to_arrive(
    commands: list[bytes], pieces: list[int], waiting: int
) -> None:
    """However the bytes are cut, and while up to `waiting` commands that have arrived whole wait."""
    stream = b"".join(commands)
    ends = list(accumulate(len(command) for command in commands))
    counter = PipelineCounter(MAX_BULK)
    received = handled = 0
    for cut in [*(size for size in accumulate(pieces) if size < len(stream)), len(stream)]:
        counter.data_received(stream[received:cut])
        received = cut
        whole = sum(end <= received for end in ends)
        for index in range(handled, max(handled, whole - waiting)):
            handled = index + 1
            behind = zip(commands[handled:], ends[index:], strict=False)  # each with where it starts
            begun = [stream[start:received][: len(command)] for command, start in behind if start < received]
            expected = sum(part.startswith(b"*") and part != b"*0\r\n" for part in begun)
            if commands[index] not in UNCOUNTED:
                assert counter.count_behind(stream[ends[index] : received]) == expected


def read_all(reader: CommandReader) -> list[list[bytes]]:
    found: list[list[bytes]] = []
    while (words := reader.next_command()) is not None or reader.has_more_to_read:
        if words:
            found.append(words)
    return found


@given(
    commands=st.lists(
        st.one_of(ARRAYS, st.sampled_from(UNCOUNTED), st.just(resp.command(*[b"w"] * 100))),
        min_size=1,
        max_size=12,
    ),
    pieces=st.lists(st.integers(1, 400), max_size=12),
)
def test_commands_are_the_same_however_their_bytes_are_cut(commands: list[bytes], pieces: list[int]) -> None:
    stream = b"".join(commands)
    whole = CommandReader(MAX_BULK)
    whole.feed(stream)
    expected = read_all(whole)
    reader, received, found = CommandReader(MAX_BULK), 0, list[list[bytes]]()
    for cut in [*(size for size in accumulate(pieces) if size < len(stream)), len(stream)]:
        reader.feed(stream[received:cut])
        received = cut
        found += read_all(reader)
    assert found == expected
    assert reader.is_empty
    assert len(expected) == sum(command not in UNCOUNTED or command == b"PING\r\n" for command in commands)

"""RESP2 from the server's side, without I/O: reads lines and bulk bytes, returns complete commands.

Source: the Redis serialization protocol specification, version 2: requests as arrays of bulk strings, and
inline commands as typed by hand.
"""

from __future__ import annotations

from collections import deque

LINE_END, EMPTY_ARRAY = b"\r\n", b"*0\r\n"
MAX_WORDS = 1024  # in one command; the longest ones in a pipeline are far shorter
MAX_COMMAND_BYTES = 1 << 17  # in all words together: twice the longest body, which leaves room for the rest


class MalformedCommandError(Exception):
    """The bytes are no command, and the start of the next one cannot be found either."""


class PipelineCounter:
    """Counts the commands that have arrived, whole or in part, behind the one that is carried out.

    It follows the lengths in front of the words, so that no byte of a body counts, and reads each command
    once, however often it is asked. Commands typed by hand are not counted: only programs pipeline.
    """

    def __init__(self, max_bulk: int) -> None:
        self.max_bulk = max_bulk
        # Positions are bytes from the start of the connection. Commands before `counted_to` are whole.
        self.received = self.counted_to = 0
        self.command_ends: deque[int] = deque()  # of those that are not carried out yet

    def data_received(self, data: bytes) -> None:
        self.received += len(data)

    def count_behind(self, unparsed: bytes) -> int:
        """Count them; `unparsed`: all bytes received behind the command that is carried out."""
        start = self.received - len(unparsed)
        while self.command_ends and self.command_ends[0] <= start:
            self.command_ends.popleft()
        position = max(self.counted_to, start) - start
        while end := find_command_end(unparsed, position, self.max_bulk):
            if starts_command(unparsed, position):
                self.command_ends.append(start + end)
            position = end
        self.counted_to = start + position
        return len(self.command_ends) + starts_command(unparsed, position)


class CommandParser:
    """Reads the commands of one connection. `wants_bulk` says whether it needs bulk bytes or a line next."""

    def __init__(self, max_bulk: int) -> None:
        self.max_bulk = max_bulk
        self.words: list[bytes] = []
        self.missing_words = 0  # words of the current command that have not arrived
        self.bulk_size, self.bulk_data = 0, bytearray()
        self.command_bytes = 0
        self.wants_bulk = False

    @property
    def has_partial_command(self) -> bool:
        """Whether a command has arrived in part."""
        return bool(self.words or self.missing_words)

    def reset(self) -> None:
        self.words, self.missing_words, self.wants_bulk = [], 0, False
        self.bulk_data.clear()

    def parse_complete(self, data: bytes) -> tuple[list[bytes], int] | None:
        """The command at the start of the bytes, if all of it is there, and its length: the fast path.

        None for everything else, also for malformed bytes: `feed_line` and `feed_bulk` take those, and raise
        an error that names the fault.
        """
        return None if self.missing_words else parse_complete_command(data, 0, self.max_bulk)

    def feed_line(self, line: bytes) -> list[bytes] | None:
        """Take a line without its line end; return a command if it is complete. MalformedCommandError."""
        if self.missing_words:
            if line[:1] != b"$":
                raise MalformedCommandError("a bulk string was due")
            self.bulk_size = parse_count(line[1:], self.max_bulk)
            self.command_bytes += self.bulk_size
            if self.command_bytes > MAX_COMMAND_BYTES:
                raise MalformedCommandError("a command too long")
            self.bulk_data.clear()
            self.wants_bulk = True
        elif line[:1] == b"*":
            self.words, self.missing_words, self.command_bytes = [], parse_count(line[1:], MAX_WORDS), 0
        elif line.strip():
            if not (line.isascii() and line.decode().isprintable()):
                raise MalformedCommandError("neither an array nor a command typed by hand")
            return line.split()
        return None

    def feed_bulk(self, data: bytes) -> tuple[list[bytes] | None, bytes]:
        """Take bytes of a bulk string; return a command if it is complete, and the bytes that follow it.

        MalformedCommandError.
        """
        part = data[: self.bulk_size + 2 - len(self.bulk_data)]
        self.bulk_data += part
        if len(self.bulk_data) < self.bulk_size + 2:
            return None, b""
        if self.bulk_data[self.bulk_size :] != b"\r\n":
            raise MalformedCommandError("a bulk string without its end")
        self.wants_bulk = False
        self.words.append(bytes(self.bulk_data[: self.bulk_size]))
        self.missing_words -= 1
        if self.missing_words:
            return None, data[len(part) :]
        words, self.words = self.words, []
        return words, data[len(part) :]


def parse_complete_command(data: bytes, position: int, max_bulk: int) -> tuple[list[bytes], int] | None:
    """The array of bulk strings that starts at `position`, if all of it is there, and where it ends."""
    if data[position : position + 1] != b"*":
        return None
    limit = position + MAX_COMMAND_BYTES
    end = data.find(b"\r\n", position + 1, position + 12)
    digits = data[position + 1 : end]
    if end < 0 or not digits.isdigit() or not 0 < (word_count := int(digits)) <= MAX_WORDS:
        return None
    words, position = [], end + 2
    for _ in range(word_count):
        end = data.find(b"\r\n", position, position + 12)
        if end < 0 or data[position : position + 1] != b"$" or not data[position + 1 : end].isdigit():
            return None
        start = end + 2
        position = start + int(data[position + 1 : end])
        if position - start > max_bulk or data[position : position + 2] != b"\r\n":
            return None
        words.append(data[start:position])
        position += 2
    return (words, position) if position <= limit else None


def starts_command(data: bytes, position: int) -> bool:
    """Whether an array of words, not a line or an empty array, starts there."""
    return data.startswith(b"*", position) and not data.startswith(EMPTY_ARRAY, position)


def find_command_end(data: bytes, position: int, max_bulk: int) -> int:
    """Return where the command or line at `position` ends, or 0 if it is incomplete or malformed."""
    if starts_command(data, position):
        found = parse_complete_command(data, position, max_bulk)
        return found[1] if found else 0
    line_end = data.find(LINE_END, position)
    return line_end + len(LINE_END) if line_end >= 0 else 0


def parse_count(digits: bytes, limit: int) -> int:
    if not digits.isdigit() or len(digits) > 9 or int(digits) > limit:
        raise MalformedCommandError("a count that cannot be")
    return int(digits)


def error(text: str) -> bytes:
    """An error reply of one line: line ends in the text become spaces."""
    return b"-%s\r\n" % text.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ")


def integer(value: int) -> bytes:
    return b":%d\r\n" % value


def bulk(data: bytes) -> bytes:
    return b"$%d\r\n%s\r\n" % (len(data), data)


def array(items: list[bytes]) -> bytes:
    """An array of items that are already encoded."""
    return b"*%d\r\n" % len(items) + b"".join(items)


def command(*words: bytes) -> bytes:
    """A command as a client sends it."""
    return array([bulk(word) for word in words])

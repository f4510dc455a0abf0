"""RESP2 from the server's side, without I/O: reads lines and bulk bytes, returns complete commands.

Source: the Redis serialization protocol specification, version 2: requests as arrays of bulk strings, and
inline commands as typed by hand.
"""

from __future__ import annotations

MAX_WORDS = 1024  # in one command; the longest ones in a pipeline are far shorter
MAX_COMMAND_BYTES = 1 << 17  # in all words together: twice the longest body, which leaves room for the rest


class MalformedCommandError(Exception):
    """The bytes are no command, and the start of the next one cannot be found either."""


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
        if self.missing_words or data[:1] != b"*":
            return None
        end = data.find(b"\r\n", 1, 12)
        if end < 0 or not data[1:end].isdigit() or not 0 < (word_count := int(data[1:end])) <= MAX_WORDS:
            return None
        words, position = [], end + 2
        for _ in range(word_count):
            end = data.find(b"\r\n", position, position + 12)
            if end < 0 or data[position : position + 1] != b"$" or not data[position + 1 : end].isdigit():
                return None
            start = end + 2
            position = start + int(data[position + 1 : end])
            if position - start > self.max_bulk or data[position : position + 2] != b"\r\n":
                return None
            words.append(data[start:position])
            position += 2
        return (words, position) if position <= MAX_COMMAND_BYTES else None

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

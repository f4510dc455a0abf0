"""RESP2 as a server reads and writes it, without I/O: lines and bulk bytes in, whole commands out.

Source: the Redis serialization protocol specification, version 2, requests as arrays of bulk strings, and
inline commands as typed by hand.
"""

from __future__ import annotations

MOST_WORDS = 1024  # in a command; a pipeline's longest are far shorter
MOST_COMMAND = 1 << 17  # bytes in all words: the longest body with twice its head


class MalformedError(Exception):
    """What came is no command, and what follows it cannot be found either."""


class Commands:
    """Reads the commands of one connection. `wants_bulk` says whether bytes or a line must be fed next."""

    def __init__(self, most_bulk: int) -> None:
        self.most_bulk = most_bulk
        self.words: list[bytes] = []
        self.due = 0  # words still to come
        self.size, self.bulk = 0, bytearray()
        self.total = 0
        self.wants_bulk = False

    @property
    def half(self) -> bool:
        """Whether a command has begun to come."""
        return bool(self.words or self.due)

    def clear(self) -> None:
        self.words, self.due, self.wants_bulk = [], 0, False
        self.bulk.clear()

    def whole(self, data: bytes) -> tuple[list[bytes], int] | None:
        """The command with which the bytes begin, if all of it is there, and its length; the quick way.

        None for whatever is not plainly one: it is fed by `line` and `raw`, which tell what is wrong.
        """
        if self.due or data[:1] != b"*":
            return None
        end = data.find(b"\r\n", 1, 12)
        if end < 0 or not data[1:end].isdigit() or not 0 < (due := int(data[1:end])) <= MOST_WORDS:
            return None
        words, place = [], end + 2
        for _ in range(due):
            end = data.find(b"\r\n", place, place + 12)
            if end < 0 or data[place : place + 1] != b"$" or not data[place + 1 : end].isdigit():
                return None
            start = end + 2
            place = start + int(data[place + 1 : end])
            if place - start > self.most_bulk or data[place : place + 2] != b"\r\n":
                return None
            words.append(data[start:place])
            place += 2
        return (words, place) if place <= MOST_COMMAND else None

    def line(self, line: bytes) -> list[bytes] | None:
        """A line without its end; a whole command, if that was all of it. MalformedError."""
        if self.due:
            if line[:1] != b"$":
                raise MalformedError("a bulk string was due")
            self.size = count(line[1:], self.most_bulk)
            self.total += self.size
            if self.total > MOST_COMMAND:
                raise MalformedError("a command too long")
            self.bulk.clear()
            self.wants_bulk = True
        elif line[:1] == b"*":
            self.words, self.due, self.total = [], count(line[1:], MOST_WORDS), 0
        elif line.strip():
            if not (line.isascii() and line.decode().isprintable()):
                raise MalformedError("neither an array nor a command typed by hand")
            return line.split()
        return None

    def raw(self, data: bytes) -> tuple[list[bytes] | None, bytes]:
        """Bytes of a bulk string and what is behind them: a whole command, if so, and what is left over."""
        part = data[: self.size + 2 - len(self.bulk)]
        self.bulk += part
        if len(self.bulk) < self.size + 2:
            return None, b""
        if self.bulk[self.size :] != b"\r\n":
            raise MalformedError("a bulk string without its end")
        self.wants_bulk = False
        self.words.append(bytes(self.bulk[: self.size]))
        self.due -= 1
        if self.due:
            return None, data[len(part) :]
        words, self.words = self.words, []
        return words, data[len(part) :]


def count(digits: bytes, most: int) -> int:
    if not digits.isdigit() or len(digits) > 9 or int(digits) > most:
        raise MalformedError("a count that cannot be")
    return int(digits)


def error(text: str) -> bytes:
    """One error line, whatever the text holds."""
    return b"-%s\r\n" % text.encode("ascii", "replace").replace(b"\r", b" ").replace(b"\n", b" ")


def integer(value: int) -> bytes:
    return b":%d\r\n" % value


def bulk(data: bytes) -> bytes:
    return b"$%d\r\n%s\r\n" % (len(data), data)


def array(parts: list[bytes]) -> bytes:
    """Of parts that are encoded already."""
    return b"*%d\r\n" % len(parts) + b"".join(parts)


def command(*words: bytes) -> bytes:
    """As a client sends it."""
    return array([bulk(word) for word in words])

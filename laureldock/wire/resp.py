"""RESP2 from the server's side, without I/O: takes bytes as they arrive, returns complete commands.

Source: the Redis serialization protocol specification, version 2: requests as arrays of bulk strings, and
inline commands as typed by hand.
"""

from __future__ import annotations

from collections import deque
from math import inf

LINE_END, EMPTY_ARRAY = b"\r\n", b"*0\r\n"
MAX_WORDS = 128  # in one command; all that are known are far shorter
MAX_WORDS_PER_TURN = 32  # that are looked through while other connections wait
MAX_COMMAND_BYTES = 1 << 17  # in all words together: twice the longest body, which leaves room for the rest
MAX_LINE_BYTES = 1024  # far more than a length or a count, and enough for a command typed by hand
MAX_UNCOUNTED = 256  # lines and empty arrays that are passed over in one count of the commands that wait


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

    def count_behind(self, data: bytes, offset: int = 0, limit: float = inf) -> int:
        """Count them; `data` from `offset` on is all that was received behind the command carried out.

        The work of one call is bounded: it stops beyond `limit` commands, or after many lines that are none.
        """
        origin = self.received - len(data)
        while self.command_ends and self.command_ends[0] <= origin + offset:
            self.command_ends.popleft()
        position = max(self.counted_to - origin, offset)
        uncounted = 0
        while len(self.command_ends) <= limit and uncounted < MAX_UNCOUNTED:
            end = find_command_end(data, position, self.max_bulk)
            if not end:
                break
            if starts_command(data, position):
                self.command_ends.append(origin + end)
            else:
                uncounted += 1
            position = end
        self.counted_to = origin + position
        return len(self.command_ends) + starts_command(data, position)


class CommandReader:
    """Cuts the bytes of one connection into commands, and holds what is not a whole one yet as bytes.

    A command that arrives in pieces is looked through once, however it is cut.
    """

    def __init__(self, max_bulk: int) -> None:
        self.max_bulk = max_bulk
        self.data, self.start = b"", 0  # what is held, and where the next command starts
        self._forget_position()

    def _forget_position(self) -> None:
        # Of the command at `start`: bytes looked through; words that have not arrived whole; where the bulk
        # string that is due ends, 0 if a line is due; bytes of its bulk strings.
        self.position, self.missing_words, self.bulk_end, self.command_bytes = self.start, 0, 0, 0
        self.has_more_to_read = False  # the work of a turn ended before the bytes did

    @property
    def is_empty(self) -> bool:
        """Whether nothing is held."""
        return len(self.data) == self.start

    def feed(self, data: bytes) -> None:
        """Add bytes that were received."""
        self.compact()
        self.data += data

    def compact(self) -> None:
        """Drop the bytes of commands that were returned."""
        if self.start:
            self.data = self.data[self.start :]
            self.position -= self.start
            self.bulk_end -= self.start if self.bulk_end else 0
            self.start = 0

    def clear(self) -> None:
        """Drop all that is held."""
        self.data, self.start = b"", 0
        self._forget_position()

    def next_command(self) -> list[bytes] | None:
        """The words of the next command; none of an empty line or array; None if it is not whole yet.

        None, too, after the work of one turn, and then `has_more_to_read`. Raises MalformedCommandError.
        """
        if self.position == self.start and (
            found := parse_complete_command(self.data, self.start, self.max_bulk)
        ):
            words, end = found
        elif end := self._find_end():
            words = split_command(self.data, self.start, end)
        else:
            return None
        self.start = end
        self._forget_position()
        return words

    def _find_end(self) -> int:
        """Return where the command at `start` ends, 0 if that is not known yet. MalformedCommandError."""
        self.has_more_to_read = False
        for _ in range(MAX_WORDS_PER_TURN):
            if self.bulk_end:
                if len(self.data) < self.bulk_end:
                    return 0
                if self.data[self.bulk_end - 2 : self.bulk_end] != LINE_END:
                    raise MalformedCommandError("a bulk string without its end")
                self.position, self.bulk_end = self.bulk_end, 0
                self.missing_words -= 1
                if not self.missing_words:
                    return self.position
            line_end = self.data.find(LINE_END, self.position)
            length = (len(self.data) - len(LINE_END) if line_end < 0 else line_end) - self.position
            if length > MAX_LINE_BYTES:
                raise MalformedCommandError("a line too long")
            if line_end < 0:
                return 0
            if self._read_line(line_end):
                return self.position
        self.has_more_to_read = True
        return 0

    def _read_line(self, line_end: int) -> bool:
        """Take in a line that is due; whether it is all of the command. Raises MalformedCommandError."""
        kind, digits = self.data[self.position : self.position + 1], self.data[self.position + 1 : line_end]
        self.position = line_end + len(LINE_END)
        if self.missing_words:
            if kind != b"$":
                raise MalformedCommandError("a bulk string was due")
            size = parse_count(digits, self.max_bulk)
            self.command_bytes += size
            if self.command_bytes > MAX_COMMAND_BYTES:
                raise MalformedCommandError("a command too long")
            self.bulk_end = self.position + size + len(LINE_END)
            return False
        if kind != b"*":
            return True
        self.missing_words = parse_count(digits, MAX_WORDS)
        return not self.missing_words


def split_command(data: bytes, start: int, end: int) -> list[bytes]:
    """The words of a whole command or line. Raises MalformedCommandError for a line that cannot be typed."""
    line_end = data.index(LINE_END, start)
    if data[start : start + 1] != b"*":
        line = data[start:line_end]
        if line.strip() and not (line.isascii() and line.decode().isprintable()):
            raise MalformedCommandError("neither an array nor a command typed by hand")
        return line.split()
    words, position = [], line_end + len(LINE_END)
    while position < end:
        line_end = data.index(LINE_END, position)
        position = line_end + len(LINE_END) + int(data[position + 1 : line_end])
        words.append(data[line_end + len(LINE_END) : position])
        position += len(LINE_END)
    return words


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

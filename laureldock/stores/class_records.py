"""Records of the queue classes under which messages were accepted.

A file has each class once, as `["class", name, number, settings]`, where the number is one of this file.
Ahead of the record of a message there is `["under", message name, number]`. Releases that know neither kind
skip both, and go by the name of the class; so does this one for a message without such a record.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, fields
from math import inf
from typing import Any

from laureldock.core.messages import StoredMessage
from laureldock.delivery_settings import class_values
from laureldock.interface import QueueClass, RepeatSafety
from laureldock.stores.spool_records import RECORD_HEADER, encode_payload

CLASS_RECORD, UNDER_RECORD = "class", "under"
# All settings of a class but its name. A record of an earlier release may lack some: they get the default.
SETTING_NAMES = frozenset(each.name for each in fields(QueueClass)) - {"name"}
MAX_NUMBER = 2**31  # as long as the number of any class in a file


def encode_class(queue_class: QueueClass, number: int) -> bytes:
    """The payload of the record of a queue class."""
    settings = {name: getattr(queue_class, name) for name in sorted(SETTING_NAMES)}
    settings["repeat_safety"] = queue_class.repeat_safety.value
    if queue_class.tag_memory_time == inf:  # JSON has no such number
        del settings["tag_memory_time"]
    return encode_payload([CLASS_RECORD, queue_class.name, number, settings])


def decode_class(name: str, settings: dict[str, Any]) -> QueueClass:
    """The queue class of a record; settings that only later releases have are ignored."""
    known = {each: value for each, value in settings.items() if each in SETTING_NAMES}
    try:
        known["repeat_safety"] = RepeatSafety(settings["repeat_safety"])
    except ValueError:  # one that only later releases have
        known["repeat_safety"] = RepeatSafety.ONCE_ONLY
    return QueueClass(**known, name=name)


def encode_under(message: StoredMessage, number: int) -> bytes:
    """The payload of the record of the class under which the message that follows was accepted."""
    return encode_payload([UNDER_RECORD, message.name.decode(), number])


class ClassReader:
    """The queue class of each message of one file, as the records of the file are read in order."""

    def __init__(self) -> None:
        self.by_number: dict[int, QueueClass] = {}
        self._next_message = ""
        self._next_class: QueueClass | None = None

    def read_class(self, name: str, number: int, settings: dict[str, Any]) -> None:
        """Take in the record of a class."""
        self.by_number[number] = decode_class(name, settings)

    def read_under(self, message_name: str, number: int) -> None:
        """Take in the record of the class of the message that follows."""
        self._next_message, self._next_class = message_name, self.by_number.get(number)

    def class_of_next(self, message_name: str) -> QueueClass | None:
        """The class of a message whose record comes now; None if no record ahead of it told."""
        # Names are compared: an older release may have appended its message where a write was cut short.
        found = self._next_class if self._next_message == message_name else None
        self._next_message, self._next_class = "", None
        return found


@dataclass(eq=False, slots=True)
class FileEntry:
    """A queue class in one file."""

    record_bytes: int  # reserved for its record
    number: int = 0  # in the file; 0 until it has one
    in_file: bool = False  # whether its record was written
    messages: int = 0  # pending ones that were accepted under it


class ClassTable:
    """The queue classes of one file, with the bytes to be reserved for those that pending messages have.

    A class that no message has any more is left out when the file is compacted.
    """

    def __init__(self) -> None:
        self.reserved_bytes = 0
        # Objects with the same values share an entry.
        self._entries: dict[QueueClass, FileEntry] = {}
        self._by_values: dict[tuple[Any, ...], FileEntry] = {}
        self._last_number = 0

    def set_numbers(self, by_number: dict[int, QueueClass]) -> None:
        """The file that is written from now on has these classes."""
        for number, queue_class in by_number.items():
            entry = self._entry_of(queue_class)
            entry.number, entry.in_file = number, True
            self._last_number = max(self._last_number, number)

    def bytes_to_reserve(self, message: StoredMessage) -> int:
        """Bytes to reserve for the class of one more message, beyond those that are reserved by now."""
        if message.accepted_class is None:
            return 0
        entry = self._entry_of(message.accepted_class)
        return 0 if entry.messages else entry.record_bytes

    def add(self, message: StoredMessage) -> None:
        """A message is pending from now on."""
        self.reserved_bytes += self.bytes_to_reserve(message)
        if message.accepted_class is not None:
            self._entry_of(message.accepted_class).messages += 1

    def remove(self, message: StoredMessage) -> None:
        """A message is no longer pending."""
        if message.accepted_class is None:
            return
        entry = self._entry_of(message.accepted_class)
        entry.messages -= 1
        if not entry.messages:
            self.reserved_bytes -= entry.record_bytes

    def payloads_for(self, message: StoredMessage) -> Iterator[bytes]:
        """The payloads that have to be in the file ahead of that of a message."""
        if message.accepted_class is None:
            return
        entry = self._entry_of(message.accepted_class)
        if not entry.number:
            self._last_number += 1
            entry.number = self._last_number
        if not entry.in_file:
            yield encode_class(message.accepted_class, entry.number)
        yield encode_under(message, entry.number)

    def written(self, message: StoredMessage) -> None:
        """The payloads for that message are in the file."""
        if message.accepted_class is not None:
            self._entry_of(message.accepted_class).in_file = True

    def _entry_of(self, queue_class: QueueClass) -> FileEntry:
        entry = self._entries.get(queue_class)
        if entry is None:
            size = RECORD_HEADER.size + len(encode_class(queue_class, MAX_NUMBER))
            entry = self._by_values.setdefault(class_values(queue_class), FileEntry(size))
            self._entries[queue_class] = entry
        return entry

"""What was taken on and is still owed, in files that outlive the process.

One file of records, appended to: a length, a checksum, a line of JSON and, for a mail, its body. Before it is
full it is written anew with only what is still owed. What was written outlives a kill; no sync is needed.
"""

from __future__ import annotations

import json
import os
import zlib
from collections.abc import Iterator
from pathlib import Path
from struct import Struct
from typing import Any

from laureldock.core.letters import Owed

HEAD = Struct(">II")
BLOCK = 512  # in which the folder's limit is counted


def record(mail: Owed) -> bytes:
    fields = [mail.key, mail.queue_class, mail.customer, mail.tag.decode(), mail.destination, mail.end]
    return pack(["mail", mail.name.decode(), *fields, mail.connects, mail.ran, mail.out], mail.body)


def pack(fields: list[Any], body: bytes = b"") -> bytes:
    data = json.dumps(fields, separators=(",", ":")).encode() + b"\n" + body
    return HEAD.pack(len(data), zlib.crc32(data)) + data


def records(data: bytes) -> Iterator[tuple[int, list[Any], bytes]]:
    """Each whole record with the place where it ends; a torn one ends them."""
    place = 0
    while place + HEAD.size <= len(data):
        size, check = HEAD.unpack_from(data, place)
        place += HEAD.size + size
        text = data[place - size : place]
        if len(text) < size or zlib.crc32(text) != check:
            return
        line, _, body = text.partition(b"\n")
        yield place, json.loads(line), body


class Spool:
    def __init__(self, folder: Path, disk: float) -> None:
        self.path, self.fresh = folder / "spool", folder / "spool.new"
        # Two files stand side by side while one is written anew: a third of the room for what is owed, two
        # for the file that grows; one block of each is lost to the way of counting.
        self.most_owed = int(disk / 3) - 2 * BLOCK
        self.most = 2 * self.most_owed
        self.owed: dict[bytes, Owed] = {}
        self.room = 0
        data = self.path.read_bytes() if self.path.exists() else b""
        self.size = 0
        for place, fields, body in records(data):
            self.size = place
            self.replay(fields, body)
        self.torn = len(data) - self.size
        self.file = -1

    def open(self) -> None:
        """From here on the folder is written to; what was torn or half renewed is dropped."""
        self.fresh.unlink(missing_ok=True)
        self.file = os.open(self.path, os.O_RDWR | os.O_CREAT, 0o600)
        os.ftruncate(self.file, self.size)
        os.lseek(self.file, 0, os.SEEK_END)

    def replay(self, fields: list[Any], body: bytes) -> None:
        sort, name, *rest = fields
        name = name.encode()
        if sort == "mail":
            key, queue_class, customer, tag, destination, end, connects, ran, out = rest
            tag = tag.encode()
            mail = Owed(name, key, queue_class, customer, tag, destination, end, body, connects, ran, out)
            self.add(mail, record(mail))
        elif name in self.owed:
            self.apply(sort, self.owed[name], rest)

    @staticmethod
    def room_for(mail: Owed, record: bytes) -> int:
        """Besides the mail: its notice, and the record that it is over."""
        return len(record) + 8 * len(mail.name) + 256

    def add(self, mail: Owed, record: bytes) -> None:
        mail.room = self.room_for(mail, record)
        self.room += mail.room
        self.owed[mail.name] = mail

    def apply(self, sort: str, mail: Owed, rest: list[Any]) -> None:
        match sort:
            case "out":
                if mail.ran is None:
                    mail.ran = mail.out
                mail.connects, mail.out = mail.connects + 1, rest[0]
            case "back":
                mail.out = None
            case "notice":
                mail.notice = rest[0].encode()
            case "over":
                self.room -= mail.room
                del self.owed[mail.name]

    def take(self, mail: Owed) -> bool:
        """Whether there was room for it."""
        data = record(mail)
        if self.room + self.room_for(mail, data) > self.most_owed:
            return False
        try:
            self.write(data)
        except OSError:
            return False
        self.add(mail, data)
        return True

    def out(self, name: bytes, at: float) -> None:
        self.tell("out", name, at)

    def back(self, name: bytes) -> None:
        """Its last connect has not run."""
        self.tell("back", name)

    def notice(self, name: bytes, line: bytes) -> None:
        self.tell("notice", name, line.decode())

    def over(self, name: bytes) -> None:
        self.tell("over", name)

    def tell(self, sort: str, name: bytes, *rest: Any) -> None:
        if name in self.owed:
            try:
                self.write(pack([sort, name.decode(), *rest]))
            finally:  # true all the same, and in the file once that is written anew
                self.apply(sort, self.owed[name], list(rest))

    def write(self, record: bytes) -> None:
        if self.size + len(record) > self.most:
            self.renew()
        done = os.write(self.file, record)
        if done < len(record):
            os.ftruncate(self.file, self.size)
            os.lseek(self.file, self.size, os.SEEK_SET)
            raise OSError("the spool's disk is full")
        self.size += done

    def renew(self) -> None:
        parts = []
        for mail in self.owed.values():
            parts.append(record(mail))
            if mail.notice:
                parts.append(pack(["notice", mail.name.decode(), mail.notice.decode()]))
        data = b"".join(parts)
        file = os.open(self.fresh, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            if os.write(file, data) < len(data):
                raise OSError("the spool's disk is full")
            os.rename(self.fresh, self.path)
        except OSError:
            os.close(file)
            self.fresh.unlink(missing_ok=True)
            raise
        os.close(self.file)
        self.file, self.size = file, len(data)

    def close(self) -> None:
        os.close(self.file)

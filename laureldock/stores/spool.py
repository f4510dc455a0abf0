"""The spool: messages that were accepted and are still owed, in files that outlive the process.

One file of records (`spool_records.py`), appended to. Before it is full it is written anew with only what is
still owed. What was written outlives a kill; no sync is needed.

Two processes of one dispatcher may share the folder while one hands over to the next. Each holds a lock on
the file it writes (`spool`, else `spool.1`, ...); a file whose lock is free belongs to a process that has
ended, and what it owes is taken over whole, then the file goes.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path
from typing import Any

from laureldock.core.messages import StoredMessage
from laureldock.file_locks import open_locked
from laureldock.stores.peer_spool import PeerSpool
from laureldock.stores.spool_records import (
    decode_message,
    decode_records,
    encode_message,
    encode_record,
)

BLOCK = 512  # bytes, in which the folder's limit is counted


class Spool:
    """A `Store` of the core in a folder. `disk` is the limit on the folder, in bytes.

    With `writes` this process is to write the folder, else it only reads what all its files owe.
    """

    def __init__(self, folder: Path, disk: float, writes: bool = True) -> None:
        self.folder = folder
        file: int | None = -1
        number, self.held = 0, []  # files that other living processes write
        while writes and (file := open_locked(self.numbered_path(number))) is None:
            self.held.append(self.numbered_path(number))
            number += 1
        self.file = file if file is not None and writes else -1
        self.path = self.numbered_path(number)
        # Two files stand side by side while one is written anew: a third of the room for what is owed, two
        # for the file that grows; one block of each is lost to the way of counting. A process beside another
        # has half of that.
        self.max_owed = int(disk / (6 if self.held else 3)) - 2 * BLOCK
        self.max_size = 2 * self.max_owed
        self.owed: dict[bytes, StoredMessage] = {}
        self.room = 0  # bytes reserved for what is owed
        self.waits: dict[str, float] = {}  # told to this process, or to one whose file it took
        data = self.path.read_bytes() if self.path.exists() else b""
        self.size = 0
        for offset, fields, body in decode_records(data):
            self.size = offset
            self.replay(fields, body)
        self.torn = len(data) - self.size
        self.ended_files: list[tuple[Path, int]] = []  # with their locked descriptors
        self.peers: dict[Path, PeerSpool] = {}
        for path in self.unknown_files():
            file = open_locked(path) if writes else -1
            if file is None:
                self.held.append(path)
            else:
                self.read_ended(path, file)

    @property
    def renewed_path(self) -> Path:
        """Where the file is written anew."""
        return self.path.with_name(self.path.name + ".new")

    def unknown_files(self) -> list[Path]:
        """Files of other processes in the folder that this one does not know of yet."""
        files = (path for path in self.folder.glob("spool*") if not path.name.endswith(".new"))
        return sorted(path for path in files if path != self.path and path not in self.held)

    def read_ended(self, path: Path, file: int) -> None:
        """What an ended process's file owes is owed by this one; the file goes at the next `absorb_ended`."""
        self.ended_files.append((path, file))
        for _, fields, body in decode_records(path.read_bytes()):
            self.replay(fields, body)

    def keys_elsewhere(self) -> list[str]:
        """Keys of messages that other living processes owe; new files are watched from now on."""
        self.held += self.unknown_files()
        keys: dict[str, None] = {}
        for path in self.held:
            peer = self.peers.get(path) or PeerSpool()
            self.peers[path] = peer
            keys.update(dict.fromkeys(peer.keys(path)))
        for path in list(self.peers):
            if path not in self.held:
                del self.peers[path]
        return list(keys)

    def waits_elsewhere(self) -> dict[str, float]:
        """Routes that told another process to wait, by what `keys_elsewhere` has read, and until when."""
        return {name: until for peer in self.peers.values() for name, until in peer.waits.items()}

    def wait(self, route: str, until: float, now: float) -> None:
        """A route told this process to wait until then, by the wall clock; others read it. OSError."""
        self.waits = {name: end for name, end in self.waits.items() if end > now}
        self.waits[route] = until
        self.write(encode_record(["wait", route, until]))

    def numbered_path(self, number: int) -> Path:
        """The file of the process that found `number` others in the folder."""
        return self.folder / ("spool" if number == 0 else f"spool.{number}")

    @property
    def sharing(self) -> bool:
        """Whether another process writes the folder too."""
        return bool(self.held)

    def open(self) -> None:
        """Begin to write the folder; what was torn or half renewed is dropped. OSError."""
        self.renewed_path.unlink(missing_ok=True)
        os.ftruncate(self.file, self.size)
        os.lseek(self.file, 0, os.SEEK_END)
        self.absorb_ended()

    def absorb_ended(self) -> None:
        """Remove the files of ended processes, once what they owe is in this one's. OSError."""
        if not self.ended_files:
            return
        self.renew()
        for path, file in self.ended_files:
            path.unlink(missing_ok=True)
            os.close(file)
        self.ended_files = []

    def adopt(self) -> list[StoredMessage]:
        """What processes that have ended since owe, now owed by this one. OSError."""
        adopted: list[StoredMessage] = []
        for path in list(self.held):
            file = open_locked(path)
            if file is None:
                continue
            self.held.remove(path)
            before = set(self.owed)
            self.read_ended(path, file)
            adopted += [message for name, message in self.owed.items() if name not in before]
        self.absorb_ended()
        first_path = self.numbered_path(0)
        if not self.held and self.path != first_path:  # no other process is left
            os.rename(self.path, first_path)
            self.path = first_path
        return adopted

    def replay(self, fields: list[Any], body: bytes) -> None:
        """Apply a record that was read."""
        kind, name, *rest = fields
        name = name.encode()
        if kind == "mail":
            message = decode_message(fields[1:], body)
            self.add(message, encode_message(message))
        elif kind == "wait":
            self.waits[name.decode()] = rest[0]
        elif name in self.owed:
            self.apply(kind, self.owed[name], rest)

    @staticmethod
    def reserved_for(message: StoredMessage, record: bytes) -> int:
        """Bytes to reserve: besides the message its notice, and the record that it is over."""
        return len(record) + 8 * len(message.name) + 256

    def add(self, message: StoredMessage, record: bytes) -> None:
        """Owe a message, whose record is given."""
        message.room = self.reserved_for(message, record)
        self.room += message.room
        self.owed[message.name] = message

    def apply(self, kind: str, message: StoredMessage, rest: list[Any]) -> None:
        """Apply a change of a message that is owed."""
        match kind:
            case "out":
                if message.ran is None:
                    message.ran = message.out
                message.attempts, message.out = message.attempts + 1, rest[0]
            case "back":
                message.out = None
            case "notice":
                message.notice = rest[0].encode()
            case "over":
                self.room -= message.room
                del self.owed[message.name]

    def take(self, message: StoredMessage) -> bool:
        """Owe a message from now on; False where there is no room for it."""
        data = encode_message(message)
        if self.room + self.reserved_for(message, data) > self.max_owed:
            return False
        try:
            self.write(data)
        except OSError:
            return False
        self.add(message, data)
        return True

    def out(self, name: bytes, at: float) -> None:
        """An attempt begins, at a time of the wall clock. OSError."""
        self.append("out", name, at)

    def back(self, name: bytes) -> None:
        """Its last attempt has not run. OSError."""
        self.append("back", name)

    def notice(self, name: bytes, line: bytes) -> None:
        """It ends by this notice, once that is taken. OSError."""
        self.append("notice", name, line.decode())

    def over(self, name: bytes) -> None:
        """It is owed no more. OSError."""
        self.append("over", name)

    def append(self, kind: str, name: bytes, *rest: Any) -> None:
        """Record a change of a message, if it is owed. OSError; the change holds all the same."""
        if name in self.owed:
            try:
                self.write(encode_record([kind, name.decode(), *rest]))
            finally:  # in the file once that is written anew
                self.apply(kind, self.owed[name], list(rest))

    def write(self, record: bytes) -> None:
        """Append a record whole, or not at all. OSError."""
        if self.size + len(record) > self.max_size:
            self.renew()
        written = os.write(self.file, record)
        if written < len(record):
            os.ftruncate(self.file, self.size)
            os.lseek(self.file, self.size, os.SEEK_SET)
            raise OSError("the spool's disk is full")
        self.size += written

    def renew(self) -> None:
        """Write the file anew with what is still owed. OSError; the old file stays then."""
        parts = []
        for message in self.owed.values():
            parts.append(encode_message(message))
            if message.notice:
                parts.append(encode_record(["notice", message.name.decode(), message.notice.decode()]))
        parts += [encode_record(["wait", route, until]) for route, until in self.waits.items()]
        data = b"".join(parts)
        file = os.open(self.renewed_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            with contextlib.suppress(OSError):  # before its name is the spool's
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            if os.write(file, data) < len(data):
                raise OSError("the spool's disk is full")
            os.rename(self.renewed_path, self.path)
        except OSError:
            os.close(file)
            self.renewed_path.unlink(missing_ok=True)
            raise
        os.close(self.file)
        self.file, self.size = file, len(data)

    def close(self) -> None:
        """Close the file, and with it release its lock."""
        os.close(self.file)
        self.file = -1

"""What was taken on and is still owed, in files that outlive the process.

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
from laureldock.stores.peer_spool import PeerSpool
from laureldock.stores.spool_records import (
    decode_message,
    decode_records,
    encode_message,
    encode_record,
    open_locked,
)

BLOCK = 512  # bytes, in which the folder's limit is counted


class Spool:
    """`writes`: this process is to write the folder, else it only reads what all its files owe."""

    def __init__(self, folder: Path, disk: float, writes: bool = True) -> None:
        self.folder = folder
        file: int | None = -1
        place, self.held = 0, []  # the files that other living processes write
        while writes and (file := open_locked(self.named(place))) is None:
            self.held.append(self.named(place))
            place += 1
        self.file = file if file is not None and writes else -1
        self.path = self.named(place)
        # Two files stand side by side while one is written anew: a third of the room for what is owed, two
        # for the file that grows; one block of each is lost to the way of counting. A process beside another
        # has half of that.
        self.most_owed = int(disk / (6 if self.held else 3)) - 2 * BLOCK
        self.most = 2 * self.most_owed
        self.owed: dict[bytes, StoredMessage] = {}
        self.room = 0
        self.waits: dict[str, float] = {}  # told to this process, or to one whose file it took
        data = self.path.read_bytes() if self.path.exists() else b""
        self.size = 0
        for place, fields, body in decode_records(data):
            self.size = place
            self.replay(fields, body)
        self.torn = len(data) - self.size
        self.left: list[tuple[Path, int]] = []  # files of ended processes, to be taken over at `open`
        self.watched: dict[Path, PeerSpool] = {}
        for path in self.others():
            file = open_locked(path) if writes else -1
            if file is None:
                self.held.append(path)
            else:
                self.take_file(path, file)

    @property
    def fresh(self) -> Path:
        """Where the file is written anew."""
        return self.path.with_name(self.path.name + ".new")

    def others(self) -> list[Path]:
        """Files of other processes in the folder that this one does not know of yet."""
        found = (path for path in self.folder.glob("spool*") if not path.name.endswith(".new"))
        return sorted(path for path in found if path != self.path and path not in self.held)

    def take_file(self, path: Path, file: int) -> None:
        """What an ended process's file owes is owed by this one; the file goes at the next `take_left`."""
        self.left.append((path, file))
        for _, fields, body in decode_records(path.read_bytes()):
            self.replay(fields, body)

    def keys_elsewhere(self) -> list[str]:
        """Keys of mails that other living processes owe; a file that has come is watched from now on."""
        self.held += self.others()
        keys: dict[str, None] = {}
        for path in self.held:
            watch = self.watched.get(path) or PeerSpool()
            self.watched[path] = watch
            keys.update(dict.fromkeys(watch.keys(path)))
        for path in list(self.watched):
            if path not in self.held:
                del self.watched[path]
        return list(keys)

    def waits_elsewhere(self) -> dict[str, float]:
        """Routes that told another process to wait, by what `keys_elsewhere` has read, and until when."""
        return {name: until for watch in self.watched.values() for name, until in watch.waits.items()}

    def wait(self, route: str, until: float, now: float) -> None:
        """Told to this process, for the others to read."""
        self.waits = {name: end for name, end in self.waits.items() if end > now}
        self.waits[route] = until
        self.write(encode_record(["wait", route, until]))

    def named(self, place: int) -> Path:
        return self.folder / ("spool" if place == 0 else f"spool.{place}")

    @property
    def sharing(self) -> bool:
        """Whether another process writes the folder too."""
        return bool(self.held)

    def open(self) -> None:
        """From here on the folder is written to; what was torn or half renewed is dropped."""
        self.fresh.unlink(missing_ok=True)
        os.ftruncate(self.file, self.size)
        os.lseek(self.file, 0, os.SEEK_END)
        self.take_left()

    def take_left(self) -> None:
        """Files of ended processes, once what they owe is in this one's, go."""
        if not self.left:
            return
        self.renew()
        for path, file in self.left:
            path.unlink(missing_ok=True)
            os.close(file)
        self.left = []

    def adopt(self) -> list[StoredMessage]:
        """What processes that have ended since owe, now owed by this one."""
        found: list[StoredMessage] = []
        for path in list(self.held):
            file = open_locked(path)
            if file is None:
                continue
            self.held.remove(path)
            before = set(self.owed)
            self.take_file(path, file)
            found += [mail for name, mail in self.owed.items() if name not in before]
        self.take_left()
        if not self.held and self.path != self.named(0):  # the file of the dispatcher is this one's now
            os.rename(self.path, self.named(0))
            self.path = self.named(0)
        return found

    def replay(self, fields: list[Any], body: bytes) -> None:
        sort, name, *rest = fields
        name = name.encode()
        if sort == "mail":
            mail = decode_message(fields[1:], body)
            self.add(mail, encode_message(mail))
        elif sort == "wait":
            self.waits[name.decode()] = rest[0]
        elif name in self.owed:
            self.apply(sort, self.owed[name], rest)

    @staticmethod
    def room_for(mail: StoredMessage, record: bytes) -> int:
        """Besides the mail: its notice, and the record that it is over."""
        return len(record) + 8 * len(mail.name) + 256

    def add(self, mail: StoredMessage, record: bytes) -> None:
        mail.room = self.room_for(mail, record)
        self.room += mail.room
        self.owed[mail.name] = mail

    def apply(self, sort: str, mail: StoredMessage, rest: list[Any]) -> None:
        match sort:
            case "out":
                if mail.ran is None:
                    mail.ran = mail.out
                mail.attempts, mail.out = mail.attempts + 1, rest[0]
            case "back":
                mail.out = None
            case "notice":
                mail.notice = rest[0].encode()
            case "over":
                self.room -= mail.room
                del self.owed[mail.name]

    def take(self, mail: StoredMessage) -> bool:
        """Whether there was room for it."""
        data = encode_message(mail)
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
        """Its last attempt has not run."""
        self.tell("back", name)

    def notice(self, name: bytes, line: bytes) -> None:
        self.tell("notice", name, line.decode())

    def over(self, name: bytes) -> None:
        self.tell("over", name)

    def tell(self, sort: str, name: bytes, *rest: Any) -> None:
        if name in self.owed:
            try:
                self.write(encode_record([sort, name.decode(), *rest]))
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
            parts.append(encode_message(mail))
            if mail.notice:
                parts.append(encode_record(["notice", mail.name.decode(), mail.notice.decode()]))
        parts += [encode_record(["wait", route, until]) for route, until in self.waits.items()]
        data = b"".join(parts)
        file = os.open(self.fresh, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            with contextlib.suppress(OSError):  # before its name is the spool's
                fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
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
        self.file = -1

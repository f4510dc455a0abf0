"""The spool: messages that were accepted and are still owed, in files that outlive the process.

One file of records (`spool_records.py`), appended to. Before it is full it is written anew with only what is
still owed. What was written outlives a kill; no sync is needed.

Writes may fail for a while. What has to be in the file before somebody is told of it is written at once or
not at all (OSError). What holds in any case is queued, and written before all that follows.

Two processes of one dispatcher may share the folder while one hands over to the next. Each holds a lock on
the file that it writes (`spool`, else `spool.1`, ..., the first name that no other process holds) for as long
as it lives. A file whose lock is free belongs to a process that has ended: what it owes is taken over whole,
then the file goes. What the others have recorded is read from their files (`peer_spools.py`).
"""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections import deque
from collections.abc import Iterable, Iterator
from math import inf
from pathlib import Path
from typing import Any

from laureldock.clocks import read_clocks
from laureldock.core.messages import StoredMessage
from laureldock.core.peer_view import PeerView, RouteRecord, newest_records
from laureldock.file_locks import FILE_MODE, open_locked
from laureldock.stores.peer_spools import PeerSpools, list_spools
from laureldock.stores.record_file import RecordFile
from laureldock.stores.spool_records import (
    RECORD_HEADER,
    RecordReader,
    decode_message,
    decode_route,
    encode_accepted,
    encode_clocks,
    encode_message,
    encode_payload,
    encode_route,
)

ROUTE_KEPT = 60.0  # seconds; a route that came back longer ago is warm, whatever the settings say
BLOCK = 512  # bytes, in which the folder's limit is counted


class Spool:
    """A `Store` of the core in a folder. `disk` is the limit on the folder, in bytes.

    With `writes` this process is to write the folder, else it only reads what all its files owe. Times are
    seconds of the monotonic clock. OSError where the folder cannot be read or a file cannot be made.
    """

    def __init__(self, folder: Path, disk: float, writes: bool = True) -> None:
        self.folder = folder
        self.peer_paths: list[Path] = []  # files that other living processes write
        self.pending: dict[bytes, StoredMessage] = {}
        self.reserved_bytes = 0  # bytes reserved for what is owed
        # Of this process, or of one whose file it took: waits by route and rests by key, until when.
        self.requested_waits: dict[str, float] = {}
        self.cooldowns: dict[str, float] = {}
        self.routes: dict[str, RouteRecord] = {}
        self._inherited_routes: dict[str, RouteRecord] = {}  # of earlier lives and of ended processes
        self.taken_over_files: list[tuple[Path, int]] = []  # with their locked descriptors
        self._peers = PeerSpools(folder)
        self.torn_bytes = 0  # bytes at the end of the file that are no whole record
        self._queued: deque[bytes] = deque()  # payloads that a failed write has left out
        self._renewal_due = True  # nothing is added to the file as it is
        self._failing = False  # the last write failed
        self._file = RecordFile(-1)
        self.path = self.path_of(0)
        try:
            self._load(writes)
        except OSError:
            self.close()
            raise
        self._disk = disk
        self.share_disk(1 + len(self.peer_paths))

    def share_disk(self, processes: int) -> None:
        """Keep to this process's part of the folder's limit, of so many.

        Two files stand side by side while one is written anew: a third of the room for what is owed, two for
        the file that grows; one block of each is lost to the way of counting.
        """
        self.max_pending_bytes = int(self._disk / (3 * processes)) - 2 * BLOCK
        self.max_file_bytes = 2 * self.max_pending_bytes

    def _load(self, writes: bool) -> None:
        number, file = 0, -1
        while writes and (locked := open_locked(self.path_of(number))) is None:
            self.peer_paths.append(self.path_of(number))
            number += 1
        if writes:
            assert locked is not None
            file = locked
        self._file = RecordFile(file)
        self.path = self.path_of(number)
        data = self.path.read_bytes() if self.path.exists() else b""
        reader = self._replay_all(data)
        self._inherited_routes = dict(self.routes)
        self._file = RecordFile(file, reader.size, reader.checksum)
        self._renewal_due = not reader.current
        self.torn_bytes = len(data) - reader.size
        for path in self.unknown_files():
            if not writes:
                self._replay_all(path.read_bytes())
            elif not self._take_over(path):
                self.peer_paths.append(path)

    @property
    def file(self) -> int:
        """The descriptor of the file that this process writes; negative once it is closed."""
        return self._file.descriptor

    @property
    def size(self) -> int:
        """Bytes of whole records in the file."""
        return self._file.size

    @property
    def renewed_path(self) -> Path:
        """Where the file is written anew."""
        return self.path.with_name(self.path.name + ".new")

    @property
    def has_unwritten(self) -> bool:
        """Whether something is not in the files as it should be; `flush` tries again."""
        return bool(self._queued or self.taken_over_files)

    def unknown_files(self) -> list[Path]:
        """Files of other processes in the folder that this one does not know of yet. OSError."""
        known = {self.path, *self.peer_paths, *(path for path, _ in self.taken_over_files)}
        own = {*self._own_inodes()}
        files = list_spools(self.folder).items()
        return sorted(path for inode, path in files if path not in known and inode not in own)

    def _own_inodes(self) -> Iterator[int]:
        """Of the file that this process writes, and of those that it takes over."""
        for file in (self.file, *(file for _, file in self.taken_over_files)):
            if file >= 0:
                yield os.fstat(file).st_ino

    def _take_over(self, path: Path) -> bool:
        """What an ended process's file owes is owed by this one; the file goes once that is written here.

        False while its process lives. OSError: it cannot be read now.
        """
        file = open_locked(path)
        if file is None:
            return False
        try:
            data = path.read_bytes()
        except OSError:
            os.close(file)
            raise
        own, self.routes = self.routes, {}
        self._replay_all(data)
        self.routes = newest_records([own, self.routes])
        # What this process saw last itself is told to nobody again.
        self._inherited_routes |= {
            name: each for name, each in self.routes.items() if own.get(name) is not each
        }
        self.taken_over_files.append((path, file))
        self._renewal_due = True
        return True

    def read_peers(self) -> PeerView:
        """What all other processes have recorded up to now; new files are watched from now on.

        OSError: it cannot be told now, and nothing may be done that depends on it.
        """
        view = self._peers.read(self._own_inodes())
        if view.processes != len(self.peer_paths):
            self.peer_paths = [path for path in self.peer_paths if path.exists()]
            self.peer_paths += self.unknown_files()
        return view

    def record_requested_wait(self, route: str, until: float, now: float) -> None:
        """A route told this process to wait until then; others read it. OSError: it is queued."""
        self.requested_waits = {name: end for name, end in self.requested_waits.items() if end > now}
        self.requested_waits[route] = until
        self._queue(encode_payload(["wait", route, until]))

    def record_cooldown(self, key: str, until: float, now: float) -> None:
        """Messages of a key rest until then, here and in the next life. OSError: it is queued."""
        self.cooldowns = {name: end for name, end in self.cooldowns.items() if end > now}
        self.cooldowns[key] = until
        self._queue(encode_payload(["rest", key, until]))

    def record_route(self, route: str, record: RouteRecord) -> None:
        """A route failed, or came back cold; others read it. OSError: it is queued."""
        self.routes[route] = record
        self._queue(encode_route(route, record))

    def inherit_routes(self) -> dict[str, RouteRecord]:
        """What became of routes in earlier lives and in ended processes, each told once."""
        inherited, self._inherited_routes = self._inherited_routes, {}
        return {name: record for name, record in inherited.items() if not is_old(record)}

    def _queue(self, payload: bytes) -> None:
        self._queued.append(payload)
        self.flush()

    def path_of(self, number: int) -> Path:
        """The file of the process that found `number` others in the folder."""
        return self.folder / ("spool" if number == 0 else f"spool.{number}")

    @property
    def is_shared(self) -> bool:
        """Whether another process writes the folder too."""
        return bool(self.peer_paths)

    def open(self) -> None:
        """Begin to write the folder. What cannot be written now is made up for by the next write."""
        with contextlib.suppress(OSError):
            self.renewed_path.unlink(missing_ok=True)
        self._file.drop_torn_end()
        with contextlib.suppress(OSError):
            self.flush()

    def adopt(self) -> list[StoredMessage]:
        """What processes that have ended since owe, now owed by this one. What cannot be read waits."""
        before = set(self.pending)
        for path in list(self.peer_paths):
            with contextlib.suppress(OSError):
                if self._take_over(path):
                    self.peer_paths.remove(path)
        adopted = [message for name, message in self.pending.items() if name not in before]
        with contextlib.suppress(OSError):
            self.flush()
        return adopted

    def _replay_all(self, data: bytes) -> RecordReader:
        reader = RecordReader(read_clocks())
        for fields, body in reader.read(data):
            self._replay(fields, body, reader.shift)
        return reader

    def _replay(self, fields: list[Any], body: bytes, shift: float) -> None:
        """Apply a record that was read; `shift` is added to its times."""
        kind, name, *rest = fields
        if kind == "mail":
            message = decode_message(fields[1:], body, shift)
            self.add_pending(message, encode_message(message))
        elif kind == "wait":
            self.requested_waits[name] = max(rest[0] + shift, self.requested_waits.get(name, -inf))
        elif kind == "rest":
            self.cooldowns[name] = max(rest[0] + shift, self.cooldowns.get(name, -inf))
        elif kind == "route":
            self.routes[name] = decode_route(rest, shift)
        elif (message_of := self.pending.get(name.encode())) is not None:
            if kind in ("out", "accepted"):
                rest = [rest[0] + shift, *rest[1:]]
            self.apply_change(kind, message_of, rest)

    @staticmethod
    def reserved_for(message: StoredMessage, payload: bytes) -> int:
        """Bytes to reserve: besides the message its notice, and the record that it is over."""
        return RECORD_HEADER.size + len(payload) + 8 * len(message.name) + 256

    def add_pending(self, message: StoredMessage, payload: bytes) -> None:
        """Owe a message, whose payload is given."""
        if before := self.pending.get(message.name):
            self.reserved_bytes -= before.reserved_bytes
        message.reserved_bytes = self.reserved_for(message, payload)
        self.reserved_bytes += message.reserved_bytes
        self.pending[message.name] = message

    def apply_change(self, kind: str, message: StoredMessage, rest: list[Any]) -> None:
        """Apply a change of a message that is owed."""
        match kind:
            case "out":
                if message.first_may_have_run_at is None:
                    message.first_may_have_run_at = message.in_flight_since
                message.attempts, message.in_flight_since = message.attempts + 1, rest[0]
                message.route = rest[1] if len(rest) > 1 else ""  # an older release has none
            case "accepted":
                message.accepted_at = rest[0]
            case "sent_to":
                message.route = rest[0]
            case "back":
                message.in_flight_since = None
            case "end":
                message.first_may_have_run_at = (
                    message.in_flight_since
                    if message.first_may_have_run_at is None
                    else message.first_may_have_run_at
                )
                message.in_flight_since = None
            case "notice":
                message.notice = rest[0].encode()
            case "over":
                self.reserved_bytes -= message.reserved_bytes
                del self.pending[message.name]

    def accept(self, message: StoredMessage) -> bool:
        """Owe a message from now on; False where there is no room for it, or it cannot be written."""
        payload = encode_message(message)
        if self.reserved_bytes + self.reserved_for(message, payload) > self.max_pending_bytes:
            return False
        try:
            self._write(payload, *encode_accepted(message))
        except OSError:
            return False
        self.add_pending(message, payload)
        return True

    def record_attempt_start(self, name: bytes, at: float, route: str) -> None:
        """An attempt begins, over a route. OSError: it is not written, and the attempt may not begin."""
        self._change_now("out", name, at, route)

    def record_notice(self, name: bytes, line: bytes) -> None:
        """It ends by this notice, once that is taken. OSError: it is not written, and may not be sent."""
        self._change_now("notice", name, line.decode())

    def record_refusal(self, name: bytes) -> None:
        """It is owed no more. OSError: it is not written, and the message is owed still."""
        self._change_now("over", name)

    def record_not_run(self, name: bytes) -> None:
        """Its last attempt has not run. OSError: it is queued."""
        self._change("back", name)

    def record_attempt_end(self, name: bytes) -> None:
        """Its last attempt has ended, and may have run. OSError: it is queued."""
        self._change("end", name)

    def record_finished(self, name: bytes) -> None:
        """It is owed no more. OSError: it is queued."""
        self._change("over", name)

    def _change_now(self, kind: str, name: bytes, *rest: Any) -> None:
        """Record a change of a message, if it is owed, and apply it; or neither. OSError."""
        if (message := self.pending.get(name)) is not None:
            self._write(encode_payload([kind, name.decode(), *rest]))
            self.apply_change(kind, message, list(rest))

    def _change(self, kind: str, name: bytes, *rest: Any) -> None:
        """Apply a change of a message, if it is owed, and record it, sooner or later. OSError: later."""
        if (message := self.pending.get(name)) is not None:
            self.apply_change(kind, message, list(rest))
            self._queued.append(encode_payload([kind, name.decode(), *rest]))
            self.flush()

    def flush(self) -> None:
        """Write what is not in the files as it should be. OSError: some of it is not yet."""
        if self._renewal_due or self._size_with(self._queued) > self.max_file_bytes:
            self._renew()
        if self._failing and not self._queued:
            self._append(encode_clocks(read_clocks()))  # says nothing new, and shows whether writes succeed
        while self._queued:
            self._append(self._queued[0])
            self._queued.popleft()
        while self.taken_over_files:
            path, file = self.taken_over_files[0]
            path.unlink(missing_ok=True)
            os.close(file)
            self.taken_over_files.pop(0)

    def _write(self, *payloads: bytes) -> None:
        """Add records behind all that is queued, or none of them. OSError."""
        self.flush()
        if self._size_with(payloads) > self.max_file_bytes:
            self._renew()
        self._append(*payloads)

    def _append(self, *payloads: bytes) -> None:
        self._failing = True
        self._file.append_all(payloads)
        self._failing = False

    def _size_with(self, payloads: Iterable[bytes]) -> int:
        return self._file.size + sum(RECORD_HEADER.size + len(payload) for payload in payloads)

    def _renew(self) -> None:
        """Write the file anew with what is still owed, queued changes too. OSError: the old one stays."""
        descriptor = os.open(self.renewed_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        renewed = RecordFile(descriptor)
        try:
            with contextlib.suppress(OSError):  # before its name is the spool's
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            renewed.append_all(self._all_payloads())
            os.rename(self.renewed_path, self.path)
        except OSError:
            renewed.close()
            with contextlib.suppress(OSError):
                self.renewed_path.unlink(missing_ok=True)
            raise
        self._file.close()
        self._file = renewed
        self._queued.clear()
        self._renewal_due = False
        self._failing = False

    def _all_payloads(self) -> Iterator[bytes]:
        """Of a file that holds what is owed, and nothing else."""
        yield encode_clocks(read_clocks())
        for message in self.pending.values():
            yield encode_message(message)
            yield from encode_accepted(message)
            if message.in_flight_since is not None:
                yield encode_payload(["sent_to", message.name.decode(), message.route])
            if message.notice:
                yield encode_payload(["notice", message.name.decode(), message.notice.decode()])
        for route, until in self.requested_waits.items():
            yield encode_payload(["wait", route, until])
        for key, until in self.cooldowns.items():
            yield encode_payload(["rest", key, until])
        for route, record in self.routes.items():
            if not is_old(record):
                yield encode_route(route, record)

    def close(self) -> None:
        """Close the files, and with them release their locks."""
        self._peers.close()
        self._file.close()
        for _, file in self.taken_over_files:
            os.close(file)
        self.taken_over_files = []


def is_old(record: RouteRecord) -> bool:
    """Whether it says nothing any more: the route came back so long ago that it is warm."""
    return record.recovered_at is not None and record.recovered_at < read_clocks().monotonic - ROUTE_KEPT

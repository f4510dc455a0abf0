"""The spool: pending messages in files that outlive the process.

Records (`spool_records.py`) are appended to one file. Before it is full it is compacted: rewritten with
only what is still needed. Written data survives a kill of the process without a sync.

Writes may fail for a while. A record that has to be in the file before anybody is told about it is written
at once or not at all (OSError). A record of something that has happened in any case is queued, and written
before all that follow.

Two processes of one dispatcher may share the folder during a handover. Each holds a lock on the file that
it writes (`spool`, else `spool.1` and so on, the first name that no other process has locked) for as long
as it runs. A file that is not locked belongs to a process that has ended: all that is pending in it is
taken over, then it is removed. The records of running peer processes are read from their files
(`peer_spools.py`).

The folder has a limit on its size (`folder_limit.py`). A part of it is for the content of all files, that is
all that a compaction keeps of them; the rest is for the files as they grow until then. So there is always
room to compact any file, and to take over that of an ended process. A message that does not fit is refused.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any, NamedTuple

from laureldock.clocks import read_clocks
from laureldock.core.messages import StoredMessage
from laureldock.core.peer_view import PeerView, RouteRecord, SharedRecords
from laureldock.file_locks import FILE_MODE, open_locked
from laureldock.interface import QueueClass
from laureldock.stores.class_records import ClassTable
from laureldock.stores.finished_names import FinishedNames
from laureldock.stores.folder_limit import COMPACTED_SUFFIX, DISK_BLOCK_BYTES, FolderLimit, whole_blocks
from laureldock.stores.kept_records import DESTINATION_WAIT_RECORD, KeptRecords
from laureldock.stores.peer_spools import PeerSpools, list_spools
from laureldock.stores.record_file import RecordFile
from laureldock.stores.record_sizes import pending_message_bytes
from laureldock.stores.spool_content import SpoolContent
from laureldock.stores.spool_records import (
    RECORD_HEADER,
    encode_accepted,
    encode_clocks,
    encode_message,
    encode_payload,
    encode_route,
)

# Of the limit on the folder. No file grows into it, so that a process can start while the folder is full, and
# the sizes of files can be rounded up.
RESERVED_BYTES = 8 * DISK_BLOCK_BYTES
# Parts of the limit: for pending messages with their queue classes, and for all else that files keep, mostly
# names of finished messages. The rest has to hold both once more, as files that grow.
PENDING_FRACTION, OTHER_CONTENT_FRACTION = 1 / 3, 1 / 12
# If room is short, a file is compacted once it has grown by this fraction of its size after the last time.
LEAST_GROWTH = 1 / 16


class FolderContent(NamedTuple):
    """The files of the folder, at a version of it, in bytes."""

    version: int
    own_bytes: int  # of the file of this process, with what a failed write has left
    file_bytes: int  # of all others, also those that are being taken over
    content_bytes: int  # of those of peer processes, at most, once they are compacted


class Spool:
    """A `Store` of the core in a folder. `disk` is the limit on the size of the folder, in bytes.

    Without `writes`, it only reads the pending messages of all files. Times are seconds of the monotonic
    clock. Raises OSError if the folder cannot be read or a file cannot be created.
    """

    def __init__(self, folder: Path, disk: float, writes: bool = True) -> None:
        self.folder = folder
        self.peer_paths: list[Path] = []  # files of running peer processes
        self.content = SpoolContent()
        self._inherited = KeptRecords()  # of previous and ended processes, until they are asked for
        self.taken_over_files: list[tuple[Path, int]] = []  # with their locked descriptors
        self._peers = PeerSpools(folder)
        self.torn_bytes = 0  # at the end of the file, of an incomplete record
        self._queued: deque[bytes] = deque()  # payloads that are still to be written
        self._compaction_due = True  # before anything is appended
        self._failing = False  # whether the last write failed
        self._file = RecordFile(-1)
        self._compacted_bytes = 0  # size of the file after it was compacted
        self.path = self.path_of(0)
        self._limit = FolderLimit(folder, disk)
        self._folder_content = FolderContent(-1, 0, 0, 0)
        try:
            self._load(writes)
        except OSError:
            self.close()
            raise
        self._usable_bytes = usable_bytes(disk)
        self.max_content_bytes = int(self._usable_bytes * (PENDING_FRACTION + OTHER_CONTENT_FRACTION))
        self.share_disk(1 + len(self.peer_paths))

    def share_disk(self, processes: int) -> None:
        """Use this process's part of the limit on the folder, shared by so many processes."""
        self.max_pending_bytes = int(self._usable_bytes * PENDING_FRACTION) // processes
        self.max_own_content_bytes = self.max_content_bytes // processes
        self.max_file_bytes = (self._usable_bytes - self.max_content_bytes) // processes

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
        reader, classes, file_bytes = self.content.replay_file(self.path)
        self.content.classes.set_numbers(classes.by_number)
        self._inherited.add(self.content.kept.snapshot())
        self._file = RecordFile(file, reader.size, reader.checksum)
        self._compaction_due = not reader.accepts_appends
        self.torn_bytes = file_bytes - reader.size
        for path in self.unknown_files():
            if not writes:
                self.content.replay_file(path)
            elif not self._take_over(path):
                self.peer_paths.append(path)
        if writes and not self.peer_paths and self.content.kept.has_waits:
            # A restart, which ends waits by the platform's protocol; also for those who read the file next.
            self.content.kept.end_waits()
            self._inherited.end_waits()
            self._compaction_due = True

    @property
    def pending(self) -> Mapping[bytes, StoredMessage]:
        """Accepted messages without a final outcome, by name."""
        return self.content.pending

    @property
    def finished(self) -> FinishedNames:
        """Names of messages that finished a moment ago."""
        return self.content.finished

    @property
    def file(self) -> int:
        """The descriptor of the file that this process writes; negative once it is closed."""
        return self._file.descriptor

    @property
    def size(self) -> int:
        """Bytes of complete records in the file."""
        return self._file.size

    @property
    def compacted_path(self) -> Path:
        """Where the compacted file is written before it replaces the other."""
        return self.path.with_name(self.path.name + COMPACTED_SUFFIX)

    @property
    def has_unwritten(self) -> bool:
        """Whether something is still to be written or removed; `flush` tries again."""
        return bool(self._queued or self.taken_over_files)

    def unknown_files(self) -> list[Path]:
        """Files of other processes that this one does not know of yet. Raises OSError."""
        known = {self.path, *self.peer_paths, *(path for path, _ in self.taken_over_files)}
        own = {*self._own_inodes()}
        files = list_spools(self.folder).items()
        return sorted(path for inode, path in files if path not in known and inode not in own)

    def _own_inodes(self) -> Iterator[int]:
        """Inodes of the file that this process writes and of those that it is taking over."""
        for file in (self.file, *(file for _, file in self.taken_over_files)):
            if file >= 0:
                yield os.fstat(file).st_ino

    def _take_over(self, path: Path) -> bool:
        """Take over the pending messages of an ended process; its file is removed once they are written.

        False while that process runs. Raises OSError if the file cannot be read now.
        """
        file = open_locked(path)
        if file is None:
            return False
        try:
            data = path.read_bytes()
        except OSError:
            os.close(file)
            raise
        self._inherited.add(self.content.take_over(data))
        self.taken_over_files.append((path, file))
        self._compaction_due = True
        return True

    def read_peers(self) -> PeerView:
        """All that peer processes have recorded; notices new files of such processes.

        Raises OSError if it cannot be read now: nothing that depends on it may be done then.
        """
        view = self._peers.read(self._own_inodes())
        if view.processes != len(self.peer_paths):
            self.peer_paths = [path for path in self.peer_paths if path.exists()]
            self.peer_paths += self.unknown_files()
        return view

    def finished_reply(self, name: bytes) -> bool | None:
        """What a repeat of a finished message's request is told: accepted, or failed; None if unknown."""
        entry = self.content.finished.get(name)
        return entry.accepted if entry else None

    def finished_by_peer(self, name: bytes) -> bool:
        """Whether a running peer process has finished a message, by the latest read of its records."""
        return self._peers.has_finished(name)

    def record_requested_wait(self, route: str, until: float, now: float) -> None:
        """A receiver requested a wait; peer processes read this. OSError: the record is queued."""
        self.content.kept.set_wait(route, until, now)
        self._queue(encode_payload(["wait", route, until]))

    def record_destination_wait(self, destination: str, until: float, now: float) -> None:
        """A wait for all routes of a destination; peer processes read this. OSError: the record is queued."""
        self.content.kept.set_destination_wait(destination, until, now)
        self._queue(encode_payload([DESTINATION_WAIT_RECORD, destination, until]))

    def record_cooldown(self, key: str, until: float, now: float) -> None:
        """An ordering key cools down, here and in the next process. OSError: the record is queued."""
        self.content.kept.set_cooldown(key, until, now)
        self._queue(encode_payload(["rest", key, until]))

    def record_route(self, route: str, record: RouteRecord) -> None:
        """A route failed or recovered; peer processes read this. OSError: the record is queued."""
        self.content.kept.set_route(route, record)
        self._queue(encode_route(route, record))

    @property
    def cooldowns(self) -> Mapping[str, float]:
        """Until when ordering keys cool down, by the records of this process and of previous ones."""
        return self.content.kept.cooldowns

    @property
    def routes(self) -> Mapping[str, RouteRecord]:
        """What this process and previous ones saw of routes."""
        return self.content.kept.routes

    def inherit_records(self) -> SharedRecords:
        """Records of previous and ended processes; each is returned once."""
        inherited, self._inherited = self._inherited, KeptRecords()
        return inherited.snapshot()

    def _queue(self, payload: bytes) -> None:
        self._queued.append(payload)
        self.flush()

    def path_of(self, number: int) -> Path:
        """The file of a process that found the files of `number` others locked."""
        return self.folder / ("spool" if number == 0 else f"spool.{number}")

    @property
    def is_shared(self) -> bool:
        """Whether a peer process uses the folder too."""
        return bool(self.peer_paths)

    def open(self) -> None:
        """Begin to write. What cannot be written now is written by the next successful write."""
        with contextlib.suppress(OSError):
            self.compacted_path.unlink(missing_ok=True)
        with contextlib.suppress(OSError):
            self._limit.remove_abandoned()
        self._file.drop_torn_end()
        with contextlib.suppress(OSError):
            self.flush()

    def adopt(self) -> list[StoredMessage]:
        """Take over the pending messages of peer processes that have ended; unreadable files wait."""
        before = set(self.pending)
        for path in list(self.peer_paths):
            with contextlib.suppress(OSError):
                if self._take_over(path):
                    self.peer_paths.remove(path)
        adopted = [message for name, message in self.pending.items() if name not in before]
        with contextlib.suppress(OSError):
            self.flush()
        return adopted

    def _read_folder(self) -> FolderContent:
        """What there is in the folder, of which the lock is held. Raises OSError."""
        if self._folder_content.version != self._limit.version:
            sizes = self._limit.sizes()
            own = sizes.pop(self.path.name, 0)
            if sizes or self._peers.content_bytes:
                self._peers.refresh(self._own_inodes())
            self._folder_content = FolderContent(
                self._limit.version, own, sum(sizes.values()), self._peers.content_bytes
            )
        return self._folder_content

    def accept(self, message: StoredMessage) -> bool:
        """Add a pending message; false if there is no room for it, or it cannot be written."""
        payload = encode_message(message)
        try:
            with self._limit:
                needed = pending_message_bytes(message.name.decode(), len(payload))
                needed += self.content.classes.bytes_to_reserve(message)
                if not self._has_room_for_content(needed):
                    return False
                self._make_room(needed)
                if not self._leaves_room_to_compact(needed, needed):
                    return False
                # Not before there is room for it: a compaction leaves out classes that no message has.
                self._append(*self.content.classes.payloads_for(message), payload, *encode_accepted(message))
        except OSError:
            return False
        self.content.classes.written(message)
        self.content.add_pending(message, len(payload))
        self.content.finished.remove(message.name)
        return True

    def set_accepted_class(self, message: StoredMessage, queue_class: QueueClass) -> None:
        """Keep a queue class with a pending message that has none; written at the next write."""
        message.accepted_class = queue_class
        self.content.classes.add(message)
        self._compaction_due = True

    def record_attempt_start(self, name: bytes, at: float, route: str) -> None:
        """An attempt is about to start. OSError: it is not recorded, and may not start."""
        self._record_then_apply("out", name, at, route)

    def record_notice(self, name: bytes, notice: bytes) -> None:
        """A message ends undelivered by this notice. OSError: it is not recorded, and may not be sent."""
        self._record_then_apply("notice", name, notice.decode())

    def record_refusal(self, name: bytes, may_have_run: bool = False) -> None:
        """A message was refused. OSError: that is not recorded, and the message is still pending."""
        self._record_then_apply("over", name, *([False] if may_have_run else []))

    def record_not_run(self, name: bytes) -> None:
        """The last attempt of a message has not run. OSError: the record is queued."""
        self._apply_then_record("back", name)

    def record_attempt_end(self, name: bytes) -> None:
        """The last attempt of a message ended and may have run. OSError: the record is queued."""
        self._apply_then_record("end", name)

    def record_finished(self, name: bytes, accepted: bool | None = None) -> None:
        """A message is no longer pending. OSError: the record is queued.

        `accepted`: what its request is told if it comes again; None if it may then run as a new message.
        """
        self._apply_then_record("over", name, *([] if accepted is None else [accepted]))

    def _record_then_apply(self, kind: str, name: bytes, *rest: Any) -> None:
        """Record and apply a change of a message, if it is pending; on OSError neither."""
        if (message := self.pending.get(name)) is not None:
            self._write(encode_payload([kind, name.decode(), *rest]))
            self.content.apply_change(kind, message, list(rest))

    def _apply_then_record(self, kind: str, name: bytes, *rest: Any) -> None:
        """Apply a change of a message, if it is pending, and record it; later if it raises OSError."""
        if (message := self.pending.get(name)) is not None:
            self.content.apply_change(kind, message, list(rest))
            self._queued.append(encode_payload([kind, name.decode(), *rest]))
            self.flush()

    def flush(self) -> None:
        """Write all that is queued, and remove files that were taken over. OSError: some of it is left."""
        if not (self._compaction_due or self._failing or self._has_outgrown_share() or self.has_unwritten):
            return
        with self._limit:
            if self._compaction_due:
                self._compact()
            self._compact_if_needed(encoded_size(self._queued))
            if self._failing and not self._queued:
                self._append(encode_clocks(read_clocks()))  # changes nothing; shows whether writes succeed
            while self._queued:
                self._append(self._queued[0])
                self._queued.popleft()
            self._remove_taken_over_files()

    def _remove_taken_over_files(self) -> None:
        """Remove the files whose content is in the file of this process by now. Raises OSError."""
        while self.taken_over_files:
            path, file = self.taken_over_files[0]
            path.unlink(missing_ok=True)
            self._limit.files_changed()
            os.close(file)
            self.taken_over_files.pop(0)

    def _write(self, *payloads: bytes) -> None:
        """Append records after all that is queued, or none of them. Raises OSError."""
        with self._limit:
            self._make_room(encoded_size(payloads))
            self._append(*payloads)

    def _make_room(self, size: int) -> None:
        """Write all that is queued, and compact the file before so many bytes if needed. Raises OSError."""
        self.flush()
        self._compact_if_needed(size)

    def _compact_if_needed(self, size: int) -> None:
        """Compact the file before it grows by so many bytes, if that is due and possible. Raises OSError."""
        if self._needs_compaction(size):
            with contextlib.suppress(OSError):  # it may still have room to grow
                self._compact()

    def _needs_compaction(self, size: int) -> bool:
        """Whether to compact the file before it grows by so many bytes. Raises OSError."""
        if self._file.size - self._compacted_bytes <= max(
            DISK_BLOCK_BYTES, LEAST_GROWTH * self._compacted_bytes
        ):
            return False  # it would be as large again
        if self._has_outgrown_share(size):
            return True
        return not self._leaves_room_to_compact(size, 0)

    def _has_outgrown_share(self, size: int = 0) -> bool:
        """Whether the file is larger than its share, with so many bytes more.

        A peer process may have come when the content was larger than its share; then the file may grow by a
        quarter of that.
        """
        return self._file.size + size > max(self.max_file_bytes, self._compacted_bytes * 5 // 4)

    def _has_room_for_content(self, needed: int) -> bool:
        """Whether that much more content is within the limits of this process, and of all. Raises OSError."""
        if self.content.pending_bytes + needed > self.max_pending_bytes:
            return False
        if self.content.content_bytes + needed > self.max_own_content_bytes:
            self.content.finished.drop_expired()
        content = self.content.content_bytes + needed
        if content > self.max_own_content_bytes:
            return False
        return content + self._read_folder().content_bytes <= self.max_content_bytes

    def _leaves_room_to_compact(self, size: int, needed: int) -> bool:
        """Whether any file can be compacted once this one has grown by so many bytes. Raises OSError.

        `needed`: bytes that are added to the content.
        """
        content = self.content.content_bytes + needed + self._read_folder().content_bytes
        return self._free_bytes_with(size) >= content * (1 + LEAST_GROWTH)

    def _free_bytes_with(self, size: int) -> int:
        """What is left of the limit once the file has grown by so many bytes. Raises OSError."""
        folder = self._read_folder()
        grown = max(folder.own_bytes, whole_blocks(self._file.size + size))
        return self._limit.limit - folder.file_bytes - grown - RESERVED_BYTES

    def _append(self, *payloads: bytes) -> None:
        with self._limit:
            has_room = self._free_bytes_with(encoded_size(payloads)) >= 0
            self._failing = True
            if not has_room:
                raise OSError(errno.ENOSPC, "the limit on the folder leaves no room")
            self._file.append_all(payloads)
            self._failing = False

    def _compact(self) -> None:
        """Rewrite the file with only what is needed, queued changes included. OSError: the old file stays."""
        with self._limit:
            self._limit.remove_abandoned()
            self._rewrite()

    def _rewrite(self) -> None:
        """Write the compacted file and let it replace the other. Raises OSError."""
        classes = self.content.classes_in_use()
        descriptor = os.open(self.compacted_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        compacted = RecordFile(descriptor)
        try:
            with contextlib.suppress(OSError):  # locked before it gets the name of the spool
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            room = self._room_to_rewrite()
            compacted.append_all(self._payloads_within(room, classes))
            os.rename(self.compacted_path, self.path)
        except OSError:
            compacted.close()
            with contextlib.suppress(OSError):
                self.compacted_path.unlink(missing_ok=True)
            raise
        self._limit.files_changed()
        self._file.close()
        self._file, self.content.classes, self._compacted_bytes = compacted, classes, compacted.size
        self._queued.clear()
        self._compaction_due = False
        self._failing = False

    def _room_to_rewrite(self) -> int:
        """Bytes that the compacted file may have beside all files that there are. Raises OSError."""
        sizes = self._limit.sizes()
        sizes.pop(self.compacted_path.name, None)
        return (self._limit.limit - sum(sizes.values())) // DISK_BLOCK_BYTES * DISK_BLOCK_BYTES

    def _payloads_within(self, room: int, classes: ClassTable) -> Iterator[bytes]:
        """The payloads of a compacted file, which will have these classes and so many bytes at most.

        Names of finished messages are left out if the limit has become smaller, the oldest ones first. Raises
        OSError if there is no room for the rest.
        """
        for payload in self.content.needed_payloads(classes):
            room -= RECORD_HEADER.size + len(payload)
            if room < 0:
                raise OSError(errno.ENOSPC, "the limit on the folder leaves no room for a compaction")
            yield payload
        for payload in self.content.finished_payloads():
            room -= RECORD_HEADER.size + len(payload)
            if room < 0:
                return
            yield payload

    def close(self) -> None:
        """Close the files, which releases their locks."""
        self._peers.close()
        self._file.close()
        self._limit.close()
        for _, file in self.taken_over_files:
            os.close(file)
        self.taken_over_files = []


def usable_bytes(disk: float) -> int:
    """Bytes of a limit on the folder that files may take as they grow."""
    return max(0, int(disk) - RESERVED_BYTES)


def encoded_size(payloads: Iterable[bytes]) -> int:
    """Bytes of the records of these payloads."""
    return sum(RECORD_HEADER.size + len(payload) for payload in payloads)

"""Changes on disk: a snapshot of all entries, and a log of the changes after it.

Both are files in one folder. Each begins with a fixed header that includes a checksum, followed by frames:
the length, a checksum of the length, a checksum of the payload, and the payload. A new `snapshot` is written
to a temporary file, synced and renamed over the old one; then the log is replaced in the same way by one that
holds only the later records. A process killed in between leaves a log that begins before the snapshot;
records that the snapshot already includes are skipped on loading.

The controller syncs each record before the change counts as accepted (`durable`). A dispatcher does not: it
requests lost changes from the controller again.
"""

from __future__ import annotations

import contextlib
import errno
import os
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from io import FileIO
from pathlib import Path
from struct import Struct

import msgspec
from xxhash import xxh3_64_intdigest, xxh32_intdigest

from laureldock.file_locks import FILE_MODE, open_locked
from laureldock.replication.messages import NO_POSITION, Position

LOG_NAME, SNAPSHOT_NAME, LOCK_NAME = "changes.log", "snapshot", "lock"
NEW_SUFFIX = ".new"
LOG_MAGIC, SNAPSHOT_MAGIC = b"ldlog\0\0\1", b"ldsnap\0\1"
LOG_HEADER = Struct(">8sQQQQ")  # magic; epoch, version and digest before the first record; checksum
SNAPSHOT_HEADER = Struct(">8sQQQQQQ")  # magic, epoch, version, digest, entries, parts, checksum
FRAME_HEAD = Struct(">IIQ")  # length, checksum of the length, checksum of the payload
LENGTH = Struct(">I")
CHECKSUM = Struct(">Q")
# Bytes: a log is compacted when it is longer than this and longer than the snapshot.
MIN_COMPACTED_BYTES = 1 << 20


class CorruptedLogError(Exception):
    """The content of a file is not what was written: the file, the offset in bytes, and the reason."""

    def __init__(self, path: Path, offset: int, reason: str) -> None:
        super().__init__(f"{path}: byte {offset}: {reason}")
        self.path, self.offset, self.reason = path, offset, reason


class LogInUseError(OSError):
    """Another process has locked the folder."""


class Record(msgspec.Struct, array_like=True, frozen=True):
    """One accepted change as stored in the log: it leads from the version before `position` to `position`."""

    position: Position
    digest: int  # of all entries once the change is applied
    accepted_at: float  # seconds since 1970, by the controller's clock
    body: bytes  # `setup.changes.encode_change`


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


def encode_frame(payload: bytes) -> bytes:
    length = LENGTH.pack(len(payload))
    return FRAME_HEAD.pack(len(payload), xxh32_intdigest(length), xxh3_64_intdigest(payload)) + payload


def encode_record(record: Record) -> bytes:
    """The frame of one record in the log."""
    return encode_frame(_encoder.encode(record))


def encode_header(header: Struct, *fields: int | bytes) -> bytes:
    """Encode a file header and append its checksum."""
    data = header.pack(*fields, 0)[: -CHECKSUM.size]
    return data + CHECKSUM.pack(xxh3_64_intdigest(data))


def write_fully(file: FileIO, data: bytes, offset: int) -> None:
    """Write all of `data`. Raises OSError; the caller must then truncate a partial write."""
    remaining = memoryview(data)
    while remaining:
        written = os.pwrite(file.fileno(), remaining, offset)
        if written == 0:
            raise OSError(errno.ENOSPC, "no room left")
        remaining, offset = remaining[written:], offset + written


def sync_directory(folder: Path) -> None:
    """Make renames in the folder survive a power failure. Raises OSError."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class _FrameReader:
    """Reads the frames of a file in order. Raises CorruptedLogError."""

    def __init__(self, path: Path, file: FileIO, offset: int) -> None:
        self.path, self.file, self.offset = path, file, offset
        self.size = os.fstat(file.fileno()).st_size

    def corrupted(self, reason: str) -> CorruptedLogError:
        return CorruptedLogError(self.path, self.offset, reason)

    def next(self) -> bytes | None:
        """The payload of the next frame. None at the end of the file, or if the last frame is incomplete."""
        if self.offset + FRAME_HEAD.size > self.size:
            return None
        head = os.pread(self.file.fileno(), FRAME_HEAD.size, self.offset)
        if len(head) < FRAME_HEAD.size:
            raise self.corrupted("the file was truncated while it was read")
        length, length_checksum, checksum = FRAME_HEAD.unpack(head)
        if xxh32_intdigest(head[: LENGTH.size]) != length_checksum:
            raise self.corrupted("wrong checksum of the frame length")
        if self.offset + FRAME_HEAD.size + length > self.size:
            return None
        payload = os.pread(self.file.fileno(), length, self.offset + FRAME_HEAD.size)
        if len(payload) < length or xxh3_64_intdigest(payload) != checksum:
            raise self.corrupted("wrong checksum")
        self.offset += FRAME_HEAD.size + length
        return payload


def _read_header(path: Path, file: FileIO, header: Struct, magic: bytes) -> tuple[int, ...]:
    """The fields of a file header after the magic. Raises CorruptedLogError."""
    data = os.pread(file.fileno(), header.size, 0)
    if len(data) < header.size or data[: len(magic)] != magic:
        raise CorruptedLogError(path, 0, "unknown file format")
    *fields, checksum = header.unpack(data)
    if xxh3_64_intdigest(data[: -CHECKSUM.size]) != checksum:
        raise CorruptedLogError(path, 0, "wrong checksum of the header")
    return tuple(fields[1:])


class SnapshotReader:
    """Reads a snapshot part by part. A later compaction does not disturb it, since the file stays open."""

    def __init__(self, path: Path, file: FileIO) -> None:
        epoch, version, digest, entries, parts = _read_header(path, file, SNAPSHOT_HEADER, SNAPSHOT_MAGIC)
        self.position, self.digest = Position(epoch, version), digest
        self.entries, self.parts = entries, parts
        self.parts_read = 0
        self._frame_reader = _FrameReader(path, file, SNAPSHOT_HEADER.size)

    def next_part(self) -> bytes | None:
        """The encoded entries of the next part; None after the last. Raises CorruptedLogError."""
        if self.parts_read == self.parts:
            return None
        part = self._frame_reader.next()
        if part is None:
            raise self._frame_reader.corrupted("the snapshot is incomplete")
        self.parts_read += 1
        return part


class SnapshotWriter:
    """Writes a new snapshot part by part to a temporary file. Each method may raise OSError."""

    def __init__(self, path: Path, position: Position, digest: int, entries: int) -> None:
        self.position, self.digest, self.entries = position, digest, entries
        self.path = path.with_name(path.name + NEW_SUFFIX)
        self.parts = 0
        self.file = FileIO(os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, FILE_MODE), "r+")
        self.size = SNAPSHOT_HEADER.size

    def write(self, part: bytes) -> None:
        data = encode_frame(part)
        write_fully(self.file, data, self.size)
        self.size += len(data)
        self.parts += 1

    def finish(self, sync: bool) -> None:
        """Write the header after the last part. May run in a thread, since it only uses this file."""
        fields = (self.position.epoch, self.position.version, self.digest, self.entries, self.parts)
        write_fully(self.file, encode_header(SNAPSHOT_HEADER, SNAPSHOT_MAGIC, *fields), 0)
        if sync:
            os.fsync(self.file.fileno())

    def discard(self) -> None:
        self.file.close()
        self.path.unlink(missing_ok=True)


class _Segment:
    """An open log file and the offset of each version in it."""

    def __init__(self, path: Path, file: FileIO) -> None:
        self.path, self.file = path, file
        epoch, version, digest = _read_header(path, file, LOG_HEADER, LOG_MAGIC)
        self.base, self.base_digest = Position(epoch, version), digest
        self.size = LOG_HEADER.size
        self.versions = array("Q")
        self.offsets = array("Q")
        self.digests = array("Q")

    def scan(self) -> Iterator[Record]:
        """Yield each complete record; then `size` is the end of the last one. Raises CorruptedLogError."""
        reader = _FrameReader(self.path, self.file, self.size)
        while (payload := reader.next()) is not None:
            try:
                record = _decoder.decode(payload)
            except msgspec.DecodeError as error:
                raise CorruptedLogError(self.path, self.size, f"invalid record: {error}") from None
            yield record
            self.add(record.position.version, record.digest, reader.offset - self.size)

    @property
    def last_version(self) -> int:
        return self.versions[-1] if self.versions else self.base.version

    def add(self, version: int, digest: int, length: int) -> None:
        self.versions.append(version)
        self.digests.append(digest)
        self.offsets.append(self.size)
        self.size += length

    def digest_at(self, version: int) -> int | None:
        if version == self.base.version:
            return self.base_digest
        index = bisect_right(self.versions, version) - 1
        return self.digests[index] if index >= 0 and self.versions[index] == version else None

    def offset_after(self, version: int) -> int:
        """The offset of the first record after that version."""
        index = bisect_right(self.versions, version)
        return self.offsets[index] if index < len(self.offsets) else self.size

    def records_after(self, version: int, max_records: int) -> list[Record]:
        """Records after that version, at most `max_records`. Raises CorruptedLogError, OSError."""
        index = bisect_right(self.versions, version)
        if index == len(self.versions):
            return []
        reader = _FrameReader(self.path, self.file, self.offsets[index])
        found: list[Record] = []
        for _ in range(min(max_records, len(self.versions) - index)):
            payload = reader.next()
            if payload is None:
                raise reader.corrupted("a record is missing")
            found.append(_decoder.decode(payload))
        return found


class ChangeLog:
    """The snapshot and log of one folder. `load` must be called and consumed before any other method.

    `durable`: each record is synced before `append` returns, corrupted files are refused, and the folder is
    locked against other processes. Without `writes` nothing on disk is modified, not even a torn last record.
    """

    def __init__(self, folder: Path, durable: bool, writes: bool = True) -> None:
        """Raises OSError; LogInUseError if `durable` and another process has locked the folder."""
        self.folder, self.durable, self.writes = folder, durable, writes
        self.position, self.digest = NO_POSITION, 0
        self.torn_bytes = 0  # dropped after the last complete record of the log
        self.corrupted_bytes = 0  # dropped if not durable: a corrupted record and everything after it
        self._snapshot: FileIO | None = None
        self._segment: _Segment | None = None
        self._previous: _Segment | None = None  # the log before the last compaction, for slow subscribers
        self._lock: FileIO | None = None
        if writes:
            folder.mkdir(parents=True, exist_ok=True)
            if durable:
                self._lock = self._acquire_lock()
            for name in (LOG_NAME, SNAPSHOT_NAME):
                self._path(name + NEW_SUFFIX).unlink(missing_ok=True)

    def _path(self, name: str) -> Path:
        return self.folder / name

    def _acquire_lock(self) -> FileIO:
        descriptor = open_locked(self._path(LOCK_NAME), required=True)
        if descriptor is None:
            raise LogInUseError(errno.EAGAIN, "another process holds the folder", str(self.folder))
        return FileIO(descriptor, "r+")

    # Loading

    def load(self) -> Iterator[bytes | Record]:
        """Yield the encoded entries of the snapshot part by part, then the records after it.

        Raises CorruptedLogError if the snapshot is corrupted, or the log of a `durable` folder; otherwise the
        corrupted part of a log is dropped.
        """
        self._snapshot = self._open_file(SNAPSHOT_NAME)
        if self._snapshot is not None:
            reader = self._open_snapshot(self._snapshot)
            while (part := reader.next_part()) is not None:
                yield part
            self.position, self.digest = reader.position, reader.digest
        try:
            self._segment = self._open_log()
            if self._segment is not None:
                yield from self._replay(self._segment)
        except CorruptedLogError as error:
            if self.durable:
                raise
            self.corrupted_bytes = max(0, self._file_size(LOG_NAME) - error.offset)
        if self.writes:
            self._prepare_for_append()

    def _open_file(self, name: str) -> FileIO | None:
        try:
            return FileIO(self._path(name), "r+" if self.writes else "r")
        except FileNotFoundError:
            return None

    def _file_size(self, name: str) -> int:
        with contextlib.suppress(OSError):
            return self._path(name).stat().st_size
        return 0

    def _open_snapshot(self, file: FileIO) -> SnapshotReader:
        return SnapshotReader(self._path(SNAPSHOT_NAME), file)

    def _open_log(self) -> _Segment | None:
        """The log, if there is one; it must follow on the snapshot."""
        path, file = self._path(LOG_NAME), self._open_file(LOG_NAME)
        if file is None:
            if self._snapshot is not None and self.durable:
                raise CorruptedLogError(path, 0, "the log is missing although there is a snapshot")
            return None
        segment = _Segment(path, file)
        if segment.base.epoch not in (0, self.position.epoch) or segment.base.version > self.position.version:
            reason = f"the log follows {segment.base}, but the snapshot is of {self.position}"
            raise CorruptedLogError(path, 0, reason)
        return segment

    def _replay(self, segment: _Segment) -> Iterator[Record]:
        """Yield the records that the snapshot does not include. Raises CorruptedLogError."""
        snapshot, last = self.position, segment.base
        for record in segment.scan():
            position = record.position
            epoch = last.epoch or snapshot.epoch or position.epoch
            in_order = position.version > last.version
            if self.durable:
                in_order = position.version == last.version + 1
            if position.epoch != epoch or not in_order:
                raise CorruptedLogError(segment.path, segment.size, f"{position} behind {last}")
            last = position
            if position.version > snapshot.version:
                self.position, self.digest = position, record.digest
                yield record
        self.torn_bytes = self._file_size(LOG_NAME) - segment.size

    def _prepare_for_append(self) -> None:
        """Truncate torn or corrupted data, or start a new log if none reaches the snapshot's version."""
        if self._segment is None or self._segment.last_version < self.position.version:
            self._segment = self._new_segment(self.position, self.digest, b"")
        else:
            os.ftruncate(self._segment.file.fileno(), self._segment.size)

    # Appending

    def append(self, record: Record) -> None:
        """Write the record to disk. Raises OSError: the record is then not part of the log."""
        segment = self._writable_segment()
        follows = record.position.epoch == self.position.epoch or self.position == NO_POSITION
        if not follows or record.position.version <= self.position.version:
            raise ValueError(f"{record.position} does not follow {self.position}")
        data = encode_record(record)
        try:
            write_fully(segment.file, data, segment.size)
            if self.durable:
                os.fdatasync(segment.file.fileno())
        except OSError:
            # If this fails too, the partial record is overwritten by the next, or dropped as torn on load.
            with contextlib.suppress(OSError):
                os.ftruncate(segment.file.fileno(), segment.size)
            raise
        segment.add(record.position.version, record.digest, len(data))
        self.position, self.digest = record.position, record.digest

    def _writable_segment(self) -> _Segment:
        if self._segment is None or not self.writes:
            raise RuntimeError("the log is not open for writing")
        return self._segment

    @property
    def log_bytes(self) -> int:
        return self._segment.size - LOG_HEADER.size if self._segment else 0

    @property
    def snapshot_bytes(self) -> int:
        return os.fstat(self._snapshot.fileno()).st_size if self._snapshot else 0

    @property
    def snapshot_version(self) -> int:
        return self._open_snapshot(self._snapshot).position.version if self._snapshot else 0

    # Compacting

    @property
    def compaction_due(self) -> bool:
        """Whether the log is long enough to be replaced by a snapshot."""
        return self.log_bytes > max(MIN_COMPACTED_BYTES, self.snapshot_bytes)

    def compact(self, position: Position, digest: int, parts: Iterable[bytes], entries: int = 0) -> None:
        """Replace the files by a snapshot and an empty log. Raises OSError: the old files remain valid.

        Raises ValueError if a durable log would lose a record that the snapshot may not include.
        """
        if self.durable and self.position not in (NO_POSITION, position):
            raise ValueError(f"a snapshot of {position} would drop records up to {self.position}")
        writer = self.begin_compaction(position, digest, entries)
        try:
            for part in parts:
                writer.write(part)
            writer.finish(self.durable)
            if not self.durable:  # otherwise its records might be applied to this snapshot
                self._path(LOG_NAME).unlink(missing_ok=True)
        except OSError:
            writer.discard()
            raise
        self._install(writer)
        self.position, self.digest = position, digest
        self._segment = self._new_segment(position, digest, b"")
        self._previous = None

    def begin_compaction(self, position: Position, digest: int, entries: int = 0) -> SnapshotWriter:
        """Begin a snapshot that is written in parts while records are appended; see `finish_compaction`."""
        self._writable_segment()
        return SnapshotWriter(self._path(SNAPSHOT_NAME), position, digest, entries)

    def finish_compaction(self, writer: SnapshotWriter) -> None:
        """After `writer.finish`: install the snapshot, and start a new log after it. Raises OSError."""
        segment = self._writable_segment()
        if writer.position.epoch != self.position.epoch or writer.position > self.position:
            raise ValueError(f"a snapshot of {writer.position}, but the log ends at {self.position}")
        self._install(writer)
        start = segment.offset_after(writer.position.version)
        tail = os.pread(segment.file.fileno(), segment.size - start, start)
        self._segment = self._new_segment(writer.position, writer.digest, tail)
        self._previous = segment

    def _install(self, writer: SnapshotWriter) -> None:
        try:
            os.rename(writer.path, self._path(SNAPSHOT_NAME))
        except OSError:
            writer.discard()
            raise
        self._snapshot = writer.file
        if self.durable:
            sync_directory(self.folder)

    def _new_segment(self, base: Position, digest: int, tail: bytes) -> _Segment:
        """Replace the log by one that follows on `base` and contains the frames `tail`. Raises OSError."""
        path = self._path(LOG_NAME)
        new_path = path.with_name(path.name + NEW_SUFFIX)
        file = FileIO(os.open(new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, FILE_MODE), "r+")
        try:
            write_fully(
                file, encode_header(LOG_HEADER, LOG_MAGIC, base.epoch, base.version, digest) + tail, 0
            )
            if self.durable:
                os.fsync(file.fileno())
            os.rename(new_path, path)
            if self.durable:
                sync_directory(self.folder)
        except OSError:
            file.close()
            new_path.unlink(missing_ok=True)
            raise
        segment = _Segment(path, file)
        for _ in segment.scan():
            pass
        return segment

    # Reading

    @property
    def oldest_version(self) -> int:
        """The records of all later versions are available."""
        oldest = self._previous or self._segment
        return oldest.base.version if oldest else self.position.version

    def records_after(self, version: int, max_records: int = 1 << 62) -> list[Record] | None:
        """At most `max_records` in order; None if they were compacted. Raises OSError, CorruptedLogError."""
        if self._segment is None or version < self.oldest_version or version > self.position.version:
            return [] if self._segment is None and version == self.position.version else None
        if self._previous is not None and version < self._segment.base.version:
            found = self._previous.records_after(version, max_records)
            if found:
                return found
        return self._segment.records_after(version, max_records)

    def digest_at(self, version: int) -> int | None:
        """Digest of all entries at that version; None if it is not in the log."""
        for segment in (self._segment, self._previous):
            if segment is not None and (digest := segment.digest_at(version)) is not None:
                return digest
        return None

    def snapshot_file(self) -> SnapshotReader | None:
        """A reader of the current snapshot; None if there is none yet."""
        return self._open_snapshot(self._snapshot) if self._snapshot is not None else None

    def clear(self) -> None:
        """Start over without any entries, for a dispatcher whose folder is corrupted. Raises OSError."""
        if not self.writes:
            raise RuntimeError("the log is not open for writing")
        self._snapshot = self._segment = self._previous = None
        self._path(SNAPSHOT_NAME).unlink(missing_ok=True)
        self.position, self.digest = NO_POSITION, 0
        self._segment = self._new_segment(NO_POSITION, 0, b"")

    def close(self) -> None:
        """Release the lock; open snapshot readers stay valid."""
        if self._lock is not None:
            self._lock.close()
        self._lock = self._segment = self._previous = self._snapshot = None

"""Changes on disk: a snapshot of all entries, and a log of the changes after it.

Two files in a folder. Each begins with a fixed header under a checksum; frames follow, each with its length,
a checksum of that and one of what it holds. `snapshot` is written beside the old one and renamed when it is
whole and synced; then the log is replaced by one of the records behind it in the same way. A process that is
killed in between leaves a log that begins before the snapshot; what the snapshot holds already is skipped.

The controller syncs each record before it counts (`durable`). A dispatcher does not: what it loses it asks
for.
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
LOG_HEADER = Struct(">8sQQQQ")  # magic, epoch, version and digest that the log begins behind, checksum
SNAPSHOT_HEADER = Struct(">8sQQQQQQ")  # magic, epoch, version, digest, entries, parts, checksum
FRAME_HEAD = Struct(">IIQ")  # length, checksum of the length, checksum of what follows
LENGTH = Struct(">I")
CHECKSUM = Struct(">Q")
# Bytes: a log is compacted when it is longer than this, and than the snapshot.
MIN_COMPACTED_BYTES = 1 << 20


class SpoiltLogError(Exception):
    """A file that does not hold what was written: which one, where, and why."""

    def __init__(self, path: Path, offset: int, reason: str) -> None:
        super().__init__(f"{path}: byte {offset}: {reason}")
        self.path, self.offset, self.reason = path, offset, reason


class LogInUseError(OSError):
    """Another process holds the folder."""


class Record(msgspec.Struct, array_like=True, frozen=True):
    """One accepted change, as the log holds it: it leads from the version before `position` to it."""

    position: Position
    digest: int  # of all entries after it
    accepted_at: float  # seconds of the controller's wall clock since 1970
    body: bytes  # `setup.changes.encode_change`


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


def frame(payload: bytes) -> bytes:
    length = LENGTH.pack(len(payload))
    return FRAME_HEAD.pack(len(payload), xxh32_intdigest(length), xxh3_64_intdigest(payload)) + payload


def encode_record(record: Record) -> bytes:
    """The frame of one record, as the log holds it."""
    return frame(_encoder.encode(record))


def sealed(header: Struct, *fields: int | bytes) -> bytes:
    """A file's header, with its checksum."""
    data = header.pack(*fields, 0)[: -CHECKSUM.size]
    return data + CHECKSUM.pack(xxh3_64_intdigest(data))


def write_whole(file: FileIO, data: bytes, offset: int) -> None:
    """OSError; what was written of it then is to be cut off by the caller."""
    rest = memoryview(data)
    while rest:
        done = os.pwrite(file.fileno(), rest, offset)
        if done == 0:
            raise OSError(errno.ENOSPC, "no room left")
        rest, offset = rest[done:], offset + done


def sync_folder(folder: Path) -> None:
    """What was renamed in the folder outlives a loss of power. OSError."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class _Frames:
    """Reads frames of a file, one after the other. SpoiltLogError."""

    def __init__(self, path: Path, file: FileIO, offset: int) -> None:
        self.path, self.file, self.offset = path, file, offset
        self.size = os.fstat(file.fileno()).st_size

    def spoilt(self, reason: str) -> SpoiltLogError:
        return SpoiltLogError(self.path, self.offset, reason)

    def next(self) -> bytes | None:
        """What the next frame holds. None at the end, or where the last frame is not whole."""
        if self.offset + FRAME_HEAD.size > self.size:
            return None
        head = os.pread(self.file.fileno(), FRAME_HEAD.size, self.offset)
        if len(head) < FRAME_HEAD.size:
            raise self.spoilt("the file became shorter")
        length, length_checksum, checksum = FRAME_HEAD.unpack(head)
        if xxh32_intdigest(head[: LENGTH.size]) != length_checksum:
            raise self.spoilt("wrong checksum of a length")
        if self.offset + FRAME_HEAD.size + length > self.size:
            return None
        payload = os.pread(self.file.fileno(), length, self.offset + FRAME_HEAD.size)
        if len(payload) < length or xxh3_64_intdigest(payload) != checksum:
            raise self.spoilt("wrong checksum")
        self.offset += FRAME_HEAD.size + length
        return payload


def _read_header(path: Path, file: FileIO, header: Struct, magic: bytes) -> tuple[int, ...]:
    """Fields of a file's header, behind the magic. SpoiltLogError."""
    data = os.pread(file.fileno(), header.size, 0)
    if len(data) < header.size or data[: len(magic)] != magic:
        raise SpoiltLogError(path, 0, "not a file of this format")
    *fields, checksum = header.unpack(data)
    if xxh3_64_intdigest(data[: -CHECKSUM.size]) != checksum:
        raise SpoiltLogError(path, 0, "wrong checksum of the header")
    return tuple(fields[1:])


class SnapshotReader:
    """One reading of a snapshot, part by part. It goes on over a later compaction: the file stays open."""

    def __init__(self, path: Path, file: FileIO) -> None:
        epoch, version, digest, entries, parts = _read_header(path, file, SNAPSHOT_HEADER, SNAPSHOT_MAGIC)
        self.position, self.digest = Position(epoch, version), digest
        self.entries, self.parts = entries, parts
        self.parts_read = 0
        self._frames = _Frames(path, file, SNAPSHOT_HEADER.size)

    def next_part(self) -> bytes | None:
        """The encoded entries of the next part; None behind the last. SpoiltLogError."""
        if self.parts_read == self.parts:
            return None
        part = self._frames.next()
        if part is None:
            raise self._frames.spoilt("the snapshot is not whole")
        self.parts_read += 1
        return part


class SnapshotWriter:
    """A snapshot that is being written beside the present one, part by part. OSError from each call."""

    def __init__(self, path: Path, position: Position, digest: int, entries: int) -> None:
        self.position, self.digest, self.entries = position, digest, entries
        self.path = path.with_name(path.name + NEW_SUFFIX)
        self.parts = 0
        self.file = FileIO(os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, FILE_MODE), "r+")
        self.size = SNAPSHOT_HEADER.size

    def write(self, part: bytes) -> None:
        data = frame(part)
        write_whole(self.file, data, self.size)
        self.size += len(data)
        self.parts += 1

    def seal(self, sync: bool) -> None:
        """Behind the last part; may run in a thread, since it touches this file alone."""
        fields = (self.position.epoch, self.position.version, self.digest, self.entries, self.parts)
        write_whole(self.file, sealed(SNAPSHOT_HEADER, SNAPSHOT_MAGIC, *fields), 0)
        if sync:
            os.fsync(self.file.fileno())

    def discard(self) -> None:
        self.file.close()
        self.path.unlink(missing_ok=True)


class _Segment:
    """A log file, open, and where in it each version stands."""

    def __init__(self, path: Path, file: FileIO) -> None:
        self.path, self.file = path, file
        epoch, version, digest = _read_header(path, file, LOG_HEADER, LOG_MAGIC)
        self.base, self.base_digest = Position(epoch, version), digest
        self.size = LOG_HEADER.size
        self.versions = array("Q")
        self.offsets = array("Q")
        self.digests = array("Q")

    def scan(self) -> Iterator[Record]:
        """Each whole record; afterwards `size` is where the last one ends. SpoiltLogError."""
        frames = _Frames(self.path, self.file, self.size)
        while (payload := frames.next()) is not None:
            try:
                record = _decoder.decode(payload)
            except msgspec.DecodeError as fault:
                raise SpoiltLogError(self.path, self.size, f"not a record: {fault}") from None
            yield record
            self.add(record.position.version, record.digest, frames.offset - self.size)

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
        place = bisect_right(self.versions, version) - 1
        return self.digests[place] if place >= 0 and self.versions[place] == version else None

    def offset_after(self, version: int) -> int:
        """Where the first record behind that version begins."""
        place = bisect_right(self.versions, version)
        return self.offsets[place] if place < len(self.offsets) else self.size

    def records_after(self, version: int, max_records: int) -> list[Record]:
        """SpoiltLogError, OSError."""
        place = bisect_right(self.versions, version)
        if place == len(self.versions):
            return []
        frames = _Frames(self.path, self.file, self.offsets[place])
        found: list[Record] = []
        for _ in range(min(max_records, len(self.versions) - place)):
            payload = frames.next()
            if payload is None:
                raise frames.spoilt("a record is missing")
            found.append(_decoder.decode(payload))
        return found


class ChangeLog:
    """The snapshot and log of one folder. `load` is called once, and read to its end, before all else.

    `durable`: each record is synced before it counts, what is spoilt is refused, and one process alone
    holds the folder. `writes`: without it nothing on disk is touched, not even a torn end.
    """

    def __init__(self, folder: Path, durable: bool, writes: bool = True) -> None:
        """OSError; LogInUseError where `durable` and another process holds the folder."""
        self.folder, self.durable, self.writes = folder, durable, writes
        self.position, self.digest = NO_POSITION, 0
        self.torn_bytes = 0  # dropped behind the last whole record of the log
        self.spoilt_bytes = 0  # dropped where not durable: a spoilt record and all behind it
        self._snapshot: FileIO | None = None
        self._segment: _Segment | None = None
        self._previous: _Segment | None = None  # before the last compaction: for those who still follow it
        self._lock: FileIO | None = None
        if writes:
            folder.mkdir(parents=True, exist_ok=True)
            if durable:
                self._lock = self._locked()
            for name in (LOG_NAME, SNAPSHOT_NAME):
                self._path(name + NEW_SUFFIX).unlink(missing_ok=True)

    def _path(self, name: str) -> Path:
        return self.folder / name

    def _locked(self) -> FileIO:
        descriptor = open_locked(self._path(LOCK_NAME), required=True)
        if descriptor is None:
            raise LogInUseError(errno.EAGAIN, "another process holds the folder", str(self.folder))
        return FileIO(descriptor, "r+")

    # Loading

    def load(self) -> Iterator[bytes | Record]:
        """Encoded entries of the snapshot part by part, then the records behind it.

        SpoiltLogError: always for the snapshot; for the log where `durable`, else what is spoilt is dropped.
        """
        self._snapshot = self._opened(SNAPSHOT_NAME)
        if self._snapshot is not None:
            reader = self._reader(self._snapshot)
            while (part := reader.next_part()) is not None:
                yield part
            self.position, self.digest = reader.position, reader.digest
        try:
            self._segment = self._open_log()
            if self._segment is not None:
                yield from self._replay(self._segment)
        except SpoiltLogError as fault:
            if self.durable:
                raise
            self.spoilt_bytes = max(0, self._size_of(LOG_NAME) - fault.offset)
        if self.writes:
            self._prepare()

    def _opened(self, name: str) -> FileIO | None:
        try:
            return FileIO(self._path(name), "r+" if self.writes else "r")
        except FileNotFoundError:
            return None

    def _size_of(self, name: str) -> int:
        with contextlib.suppress(OSError):
            return self._path(name).stat().st_size
        return 0

    def _reader(self, file: FileIO) -> SnapshotReader:
        return SnapshotReader(self._path(SNAPSHOT_NAME), file)

    def _open_log(self) -> _Segment | None:
        """The log that follows the snapshot, if any."""
        path, file = self._path(LOG_NAME), self._opened(LOG_NAME)
        if file is None:
            if self._snapshot is not None and self.durable:
                raise SpoiltLogError(path, 0, "is missing, where a snapshot stands")
            return None
        segment = _Segment(path, file)
        if segment.base.epoch not in (0, self.position.epoch) or segment.base.version > self.position.version:
            reason = f"it follows {segment.base}, and the snapshot is of {self.position}"
            raise SpoiltLogError(path, 0, reason)
        return segment

    def _replay(self, segment: _Segment) -> Iterator[Record]:
        """The records that the snapshot does not hold. SpoiltLogError."""
        snapshot, last = self.position, segment.base
        for record in segment.scan():
            position = record.position
            epoch = last.epoch or snapshot.epoch or position.epoch
            in_order = position.version > last.version
            if self.durable:
                in_order = position.version == last.version + 1
            if position.epoch != epoch or not in_order:
                raise SpoiltLogError(segment.path, segment.size, f"{position} behind {last}")
            last = position
            if position.version > snapshot.version:
                self.position, self.digest = position, record.digest
                yield record
        self.torn_bytes = self._size_of(LOG_NAME) - segment.size

    def _prepare(self) -> None:
        """The log may be appended to: what is torn or spoilt is cut off, and it reaches the snapshot."""
        if self._segment is None or self._segment.last_version < self.position.version:
            self._segment = self._new_segment(self.position, self.digest, b"")
        else:
            os.ftruncate(self._segment.file.fileno(), self._segment.size)

    # Appending

    def append(self, record: Record) -> None:
        """The record is on disk before this returns. OSError: it does not count, and is not in the log."""
        segment = self._writable()
        follows = record.position.epoch == self.position.epoch or self.position == NO_POSITION
        if not follows or record.position.version <= self.position.version:
            raise ValueError(f"{record.position} does not follow {self.position}")
        data = encode_record(record)
        try:
            write_whole(segment.file, data, segment.size)
            if self.durable:
                os.fdatasync(segment.file.fileno())
        except OSError:
            # What stays where this fails too is overwritten by the next record, or dropped as torn.
            with contextlib.suppress(OSError):
                os.ftruncate(segment.file.fileno(), segment.size)
            raise
        segment.add(record.position.version, record.digest, len(data))
        self.position, self.digest = record.position, record.digest

    def _writable(self) -> _Segment:
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
        return self._reader(self._snapshot).position.version if self._snapshot else 0

    # Compacting

    @property
    def compaction_due(self) -> bool:
        """Whether the log has become so long that a snapshot is to take its place."""
        return self.log_bytes > max(MIN_COMPACTED_BYTES, self.snapshot_bytes)

    def compact(self, position: Position, digest: int, parts: Iterable[bytes], entries: int = 0) -> None:
        """Replace all by a snapshot and an empty log. OSError: the old ones hold.

        A durable log gives up no record that the snapshot may not hold: ValueError.
        """
        if self.durable and self.position not in (NO_POSITION, position):
            raise ValueError(f"a snapshot of {position} would drop records up to {self.position}")
        writer = self.begin_compaction(position, digest, entries)
        try:
            for part in parts:
                writer.write(part)
            writer.seal(self.durable)
            if not self.durable:  # lest its records be taken to follow this snapshot
                self._path(LOG_NAME).unlink(missing_ok=True)
        except OSError:
            writer.discard()
            raise
        self._install(writer)
        self.position, self.digest = position, digest
        self._segment = self._new_segment(position, digest, b"")
        self._previous = None

    def begin_compaction(self, position: Position, digest: int, entries: int = 0) -> SnapshotWriter:
        """For a snapshot that is written in slices while records are appended; see `finish_compaction`."""
        self._writable()
        return SnapshotWriter(self._path(SNAPSHOT_NAME), position, digest, entries)

    def finish_compaction(self, writer: SnapshotWriter) -> None:
        """Behind `writer.seal`: the snapshot is the present one, and the log begins behind it. OSError."""
        segment = self._writable()
        if writer.position.epoch != self.position.epoch or writer.position > self.position:
            raise ValueError(f"a snapshot of {writer.position}, where {self.position} is the newest")
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
            sync_folder(self.folder)

    def _new_segment(self, base: Position, digest: int, tail: bytes) -> _Segment:
        """A log that begins behind `base`, in place of the present one."""
        path = self._path(LOG_NAME)
        new_path = path.with_name(path.name + NEW_SUFFIX)
        file = FileIO(os.open(new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC, FILE_MODE), "r+")
        try:
            write_whole(file, sealed(LOG_HEADER, LOG_MAGIC, base.epoch, base.version, digest) + tail, 0)
            if self.durable:
                os.fsync(file.fileno())
            os.rename(new_path, path)
            if self.durable:
                sync_folder(self.folder)
        except OSError:
            file.close()
            new_path.unlink(missing_ok=True)
            raise
        segment = _Segment(path, file)
        for _ in segment.scan():
            pass
        return segment

    # Reading what is there

    @property
    def oldest_version(self) -> int:
        """Records of all later versions are at hand."""
        kept = self._previous or self._segment
        return kept.base.version if kept else self.position.version

    def records_after(self, version: int, max_records: int = 1 << 62) -> list[Record] | None:
        """In order, the first `max_records` at most. None: compacted away. OSError, SpoiltLogError."""
        if self._segment is None or version < self.oldest_version or version > self.position.version:
            return [] if self._segment is None and version == self.position.version else None
        if self._previous is not None and version < self._segment.base.version:
            found = self._previous.records_after(version, max_records)
            if found:
                return found
        return self._segment.records_after(version, max_records)

    def digest_at(self, version: int) -> int | None:
        """Of all entries at that version; None where it is compacted away or not there."""
        for segment in (self._segment, self._previous):
            if segment is not None and (digest := segment.digest_at(version)) is not None:
                return digest
        return None

    def snapshot_file(self) -> SnapshotReader | None:
        """The present snapshot, to be read part by part; None where there is none yet."""
        return self._reader(self._snapshot) if self._snapshot is not None else None

    def clear(self) -> None:
        """Begin anew with nothing: for a dispatcher whose folder is spoilt. OSError."""
        if not self.writes:
            raise RuntimeError("the log is not open for writing")
        self._snapshot = self._segment = self._previous = None
        self._path(SNAPSHOT_NAME).unlink(missing_ok=True)
        self.position, self.digest = NO_POSITION, 0
        self._segment = self._new_segment(NO_POSITION, 0, b"")

    def close(self) -> None:
        """Releases the folder; open snapshots may still be read."""
        if self._lock is not None:
            self._lock.close()
        self._lock = self._segment = self._previous = self._snapshot = None

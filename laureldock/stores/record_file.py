"""A file to which records are appended whole or not at all, although writes may fail or be short."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterable

from laureldock.file_writes import write_whole
from laureldock.stores.spool_records import encode_record

CHUNK_BYTES = 1 << 18  # of one write, unless its last record is longer


class RecordFile:
    """An open file of records. Bytes past `size` are left by a failed write, and will be overwritten."""

    def __init__(self, descriptor: int, size: int = 0, checksum: int = 0) -> None:
        self.descriptor = descriptor
        self.size = size
        self.checksum = checksum  # of the last record

    def append_all(self, payloads: Iterable[bytes]) -> None:
        """Append all records or none. Raises OSError, then none of them will ever be read.

        A compaction, of all that is pending, is written in chunks.
        """
        size, checksum, chunk = self.size, self.checksum, bytearray()
        for payload in payloads:
            record, checksum = encode_record(payload, checksum)
            chunk += record
            if len(chunk) >= CHUNK_BYTES:
                write_whole(self.descriptor, chunk, size)
                size, chunk = size + len(chunk), bytearray()
        write_whole(self.descriptor, chunk, size)
        self.size, self.checksum = size + len(chunk), checksum

    def drop_torn_end(self) -> None:
        """Truncate what a failed write has left, if the disk allows it; nothing depends on this."""
        with contextlib.suppress(OSError):
            os.ftruncate(self.descriptor, self.size)

    def close(self) -> None:
        """Close the file, which releases its lock."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
        self.descriptor = -1

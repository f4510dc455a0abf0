"""A file that records are added to, whole or not at all, on a disk whose writes may fail or end early."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterable

from laureldock.file_writes import write_whole
from laureldock.stores.spool_records import encode_record


class RecordFile:
    """An open file of records. Bytes behind `size` are of a write that failed, and are written over."""

    def __init__(self, descriptor: int, size: int = 0, checksum: int = 0) -> None:
        self.descriptor = descriptor
        self.size = size
        self.checksum = checksum  # of the last record

    def append_all(self, payloads: Iterable[bytes]) -> None:
        """Add records, all or none of them. OSError: they are not in the file, and never will be."""
        records = []
        checksum = self.checksum
        for payload in payloads:
            record, checksum = encode_record(payload, checksum)
            records.append(record)
        data = b"".join(records)
        write_whole(self.descriptor, data, self.size)
        self.size += len(data)
        self.checksum = checksum

    def drop_torn_end(self) -> None:
        """Cut off what a write that failed has left, where the disk allows it; nothing depends on it."""
        with contextlib.suppress(OSError):
            os.ftruncate(self.descriptor, self.size)

    def close(self) -> None:
        """Close the file, and with it release its lock."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
        self.descriptor = -1

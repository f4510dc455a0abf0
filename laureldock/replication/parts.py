"""Splits entries, or other items with a size, into groups of bounded size for messages and files. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

from laureldock.setup.changes import CatalogEntry, encode_entries

# Bytes of encoded entries, unless one entry is larger; sent in 4 s at the default pace.
SNAPSHOT_PART_BYTES = 16 << 10

Item = TypeVar("Item")


def encoded_size(entry: CatalogEntry) -> int:
    """Bytes of the entry in a group of its own, including the group's overhead."""
    return len(encode_entries([entry]))


def grouped(items: Iterable[Item], size_of: Callable[[Item], int], max_bytes: int) -> Iterator[list[Item]]:
    """Split in the given order; an item larger than `max_bytes` forms a group of its own."""
    group: list[Item] = []
    size = 0
    for item in items:
        length = size_of(item)
        if group and size + length > max_bytes:
            yield group
            group, size = [], 0
        group.append(item)
        size += length
    if group:
        yield group


def snapshot_parts(entries: Iterable[CatalogEntry]) -> Iterator[bytes]:
    """Encode entries in parts of about 16 KiB."""
    return map(encode_entries, grouped(entries, encoded_size, SNAPSHOT_PART_BYTES))

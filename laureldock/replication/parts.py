"""Entries, or whatever else has a size, in groups that are bounded, for messages and files. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

from laureldock.setup.changes import CatalogEntry, encode_entries

SNAPSHOT_PART_BYTES = 16 << 10  # of encoded entries, one large entry aside; what the pace lets through in 4 s

Item = TypeVar("Item")


def encoded_size(entry: CatalogEntry) -> int:
    """Bytes, with those of a group that holds nothing else."""
    return len(encode_entries([entry]))


def grouped(items: Iterable[Item], size_of: Callable[[Item], int], max_bytes: int) -> Iterator[list[Item]]:
    """In the order given; one item that is larger by itself is a group of its own."""
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
    """Entries encoded in parts of some 16 KiB."""
    return map(encode_entries, grouped(entries, encoded_size, SNAPSHOT_PART_BYTES))

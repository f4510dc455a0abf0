"""Entries in groups whose encoded size is bounded, for messages and files. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from laureldock.setup.changes import CatalogEntry, encode_entries


def grouped(entries: Iterable[CatalogEntry], max_bytes: int) -> Iterator[list[CatalogEntry]]:
    """In the order given; one entry that is longer by itself is a group of its own."""
    group: list[CatalogEntry] = []
    size = 0
    for entry in entries:
        length = len(encode_entries([entry]))
        if group and size + length > max_bytes:
            yield group
            group, size = [], 0
        group.append(entry)
        size += length
    if group:
        yield group

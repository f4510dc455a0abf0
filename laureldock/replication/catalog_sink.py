"""Applies a stream of changes to a catalog. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from laureldock.setup.catalog import Catalog
from laureldock.setup.changes import CatalogEntry, Change, EntryKey
from laureldock.setup.plan import Plan


class CatalogSink:
    """A `ConfigurationSink` (`replication.subscriber`) without a dispatcher."""

    def __init__(self, base: Plan) -> None:
        self.catalog = Catalog(base)

    @property
    def digest(self) -> int:
        """Digest of all entries in force."""
        return self.catalog.digest

    def holds(self, key: EntryKey) -> bool:
        return self.catalog.get(key) is not None

    def entries(self) -> Iterable[CatalogEntry]:
        return self.catalog.entries()

    def apply_change(self, change: Change) -> None:
        """Raises RefusedChangeError; then nothing was changed."""
        self.catalog.apply(change, missing_ok=True)

    def replace_entries(self, entries: Iterable[CatalogEntry]) -> None:
        """Raises RefusedChangeError; then nothing was changed."""
        self.catalog.replace(entries)

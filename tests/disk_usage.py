"""Adds up the files of a folder, as the platform counts them, at each call that changes them."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

BLOCK_BYTES = 512


def folder_bytes(folder: Path) -> int:
    """The size of all files of a folder, each in whole blocks."""
    return sum(-(-each.stat().st_size // BLOCK_BYTES) * BLOCK_BYTES for each in folder.iterdir())


class DiskUsage:
    """The most that the files of a folder had together, and what they were then.

    `before_rename` is called before each rename; it may raise, as if the process had been killed there.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.most, self.files = 0, ""
        self.before_rename: Callable[[], None] = lambda: None

    def look(self) -> None:
        total = folder_bytes(self.folder)
        if total > self.most:
            self.most = total
            self.files = ", ".join(f"{each.name} {each.stat().st_size}" for each in self.folder.iterdir())

    @contextmanager
    def watched(self) -> Iterator[None]:
        """Look before and after each write, truncation, creation and rename of this process."""
        with pytest.MonkeyPatch.context() as patch:
            for name in ("pwrite", "write", "ftruncate", "open", "rename", "replace"):
                patch.setattr(os, name, self._wrap(name, getattr(os, name)))
            yield

    def _wrap(self, name: str, original: Any) -> Any:
        def call(*arguments: Any, **options: Any) -> Any:
            if name == "rename":
                self.before_rename()
            try:
                return original(*arguments, **options)
            finally:
                self.look()

        return call

"""Reads the spool files of all peer processes of this dispatcher.

A process that takes over a file rewrites its own before it removes that file, and a file name may be
reused. So a read counts only if the folder lists the same files before and after it.
"""

from __future__ import annotations

import errno
import os
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from laureldock.core.peer_view import PeerView, newest_records
from laureldock.stores.folder_limit import COMPACTED_SUFFIX, SPOOL_PREFIX
from laureldock.stores.peer_spool import PeerSpool

READ_TRIES = 8  # reads while the list of files changes


def list_spools(folder: Path) -> dict[int, Path]:
    """The spool files in a folder, by inode; if a file has two names, the first. Raises OSError."""
    found: dict[int, Path] = {}
    with os.scandir(folder) as entries:
        for entry in sorted(entries, key=lambda each: each.name):
            if entry.name.startswith(SPOOL_PREFIX) and not entry.name.endswith(COMPACTED_SUFFIX):
                found.setdefault(entry.inode(), Path(entry.path))
    return found


class PeerSpools:
    """Reads the spool files of a folder except for those of this process."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._peers: dict[int, PeerSpool] = {}  # by inode
        self.view = PeerView()
        self._changed = False  # whether something was read that the view does not have

    def read(self, own: Iterable[int]) -> PeerView:
        """All that peer processes have recorded; `own` are inodes of this process's files.

        Raises OSError if it cannot be read now.
        """
        self.refresh(own)
        if self._changed:
            self._changed, self.view = False, self._combine()
        return self.view

    def refresh(self, own: Iterable[int]) -> None:
        """Read what was recorded since the last time, as for `read`. Raises OSError."""
        skipped = set(own)
        files = list_spools(self._folder)
        for _ in range(READ_TRIES):
            self._changed |= self._open(
                {inode: path for inode, path in files.items() if inode not in skipped}
            )
            for peer in self._peers.values():
                self._changed |= peer.read()
            listed, files = files, list_spools(self._folder)
            if listed.keys() == files.keys() and self._peers.keys() == files.keys() - skipped:
                return
        raise OSError(errno.EAGAIN, "spool files of peer processes keep changing")

    @property
    def content_bytes(self) -> int:
        """Bytes of the files of all peer processes at most, once they are rewritten; by the latest read."""
        return sum(peer.content_bytes for peer in self._peers.values())

    def _open(self, files: dict[int, Path]) -> bool:
        """Keep exactly these files open; true if that changed anything."""
        removed = [inode for inode in self._peers if inode not in files]
        for inode in removed:
            self._peers.pop(inode).close()
        added = False
        for inode, path in files.items():
            if inode not in self._peers and (peer := open_peer(path)) is not None:
                if peer.inode in self._peers:
                    peer.close()
                else:
                    self._peers[peer.inode] = peer
                    added = True
        return bool(removed) or added

    def _combine(self) -> PeerView:
        accepted: dict[bytes, float] = {}
        by_key: dict[str, dict[bytes, float]] = {}
        finished: set[bytes] = set()
        view = PeerView(
            processes=len(self._peers),
            calls_in_flight=sum(len(peer.routes_in_flight) for peer in self._peers.values()),
            calls_by_route=Counter(
                route for peer in self._peers.values() for route in peer.routes_in_flight.values()
            ),
            accepted_at=accepted,
            accepted_by_key=by_key,
            recently_finished=finished,
            requested_waits=latest_times(peer.kept.requested_waits for peer in self._peers.values()),
            cooldowns=latest_times(peer.kept.cooldowns for peer in self._peers.values()),
            destination_waits=latest_times(peer.kept.destination_waits for peer in self._peers.values()),
            routes=newest_records(peer.kept.routes for peer in self._peers.values()),
        )
        for peer in self._peers.values():
            accepted.update(peer.accepted_at)
            finished.update(peer.finished_at)
            for key, accepted_of_key in peer.accepted_by_key.items():
                by_key.setdefault(key, {}).update(accepted_of_key)
        return view

    def has_finished(self, name: bytes) -> bool:
        """Whether a peer process has recorded that a message finished, by the latest read."""
        return any(peer.finished.get(name) for peer in self._peers.values())

    def close(self) -> None:
        """Close the files."""
        for peer in self._peers.values():
            peer.close()
        self._peers = {}


def open_peer(path: Path) -> PeerSpool | None:
    """A file, opened for reading; None if it no longer exists. Raises OSError if it cannot be opened."""
    try:
        return PeerSpool(path)
    except FileNotFoundError:
        return None


def latest_times(sources: Iterable[dict[str, float]]) -> dict[str, float]:
    """The latest time of each name."""
    latest: dict[str, float] = {}
    for times in sources:
        for name, at in times.items():
            latest[name] = max(at, latest.get(name, at))
    return latest

"""The spool files of all other processes of this dispatcher, read as one.

A process that takes a file over writes its own anew before that file goes, and a file may take another's
name. So what is read counts only where the folder lists the same files before and after it.
"""

from __future__ import annotations

import errno
import os
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from laureldock.core.peer_view import PeerView, newest_records
from laureldock.stores.peer_spool import PeerSpool

READ_TRIES = 8  # while files come and go


def list_spools(folder: Path) -> dict[int, Path]:
    """The spool files in a folder, by inode; of two names of one file, the first. OSError."""
    found: dict[int, Path] = {}
    with os.scandir(folder) as entries:
        for entry in sorted(entries, key=lambda each: each.name):
            if entry.name.startswith("spool") and not entry.name.endswith(".new"):
                found.setdefault(entry.inode(), Path(entry.path))
    return found


class PeerSpools:
    """Reads the files of a folder but those that are `own`."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._peers: dict[int, PeerSpool] = {}  # by inode
        self.view = PeerView()

    def read(self, own: Iterable[int]) -> PeerView:
        """What the others have recorded up to now; `own` are inodes. OSError: that cannot be told now."""
        skipped = set(own)
        files = list_spools(self._folder)
        for _ in range(READ_TRIES):
            changed = self._open({inode: path for inode, path in files.items() if inode not in skipped})
            for peer in self._peers.values():
                changed |= peer.read()
            listed, files = files, list_spools(self._folder)
            if listed.keys() == files.keys() and self._peers.keys() == files.keys() - skipped:
                if changed or self.view.processes != len(self._peers):
                    self.view = self._combine()
                return self.view
        raise OSError(errno.EAGAIN, "files of other processes come and go")

    def _open(self, files: dict[int, Path]) -> bool:
        """Hold just these files open; whether that changed anything."""
        gone = [inode for inode in self._peers if inode not in files]
        for inode in gone:
            self._peers.pop(inode).close()
        added = False
        for inode, path in files.items():
            if inode not in self._peers and (peer := open_peer(path)) is not None:
                if peer.inode in self._peers:
                    peer.close()
                else:
                    self._peers[peer.inode] = peer
                    added = True
        return bool(gone) or added

    def _combine(self) -> PeerView:
        accepted: dict[bytes, float] = {}
        keys: dict[str, dict[bytes, float]] = {}
        ended: set[bytes] = set()
        view = PeerView(
            processes=len(self._peers),
            calls_in_flight=sum(len(peer.out) for peer in self._peers.values()),
            calls_by_route=Counter(route for peer in self._peers.values() for route in peer.out.values()),
            accepted_at=accepted,
            accepted_by_key=keys,
            recently_finished=ended,
            requested_waits=latest(peer.waits for peer in self._peers.values()),
            cooldowns=latest(peer.rests for peer in self._peers.values()),
            routes=newest_records(peer.routes for peer in self._peers.values()),
        )
        for peer in self._peers.values():
            accepted.update(peer.accepted)
            ended.update(peer.ended)
            for key, owed in peer.keys.items():
                keys.setdefault(key, {}).update(owed)
        return view

    def close(self) -> None:
        """Close the files."""
        for peer in self._peers.values():
            peer.close()
        self._peers = {}


def open_peer(path: Path) -> PeerSpool | None:
    """A file, opened to be read; None if it is gone. OSError: it cannot be opened."""
    try:
        return PeerSpool(path)
    except FileNotFoundError:
        return None


def latest(found: Iterable[dict[str, float]]) -> dict[str, float]:
    """Of times by name, the latest of each."""
    together: dict[str, float] = {}
    for times in found:
        for name, at in times.items():
            together[name] = max(at, together.get(name, at))
    return together

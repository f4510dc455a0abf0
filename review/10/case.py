"""The folder that lasts, while one destination hangs and the messages for it are large."""

from __future__ import annotations

import asyncio
import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig_2 import (
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    Call,
    Dispatcher,
    Endpoint,
    Entry,
    Platform,
    Record,
    play,
    queue_class,
    response,
    settings,
)

DISK_MB = 3  # as in the deployment page's example
RATE = 115.0  # messages a second; a dispatcher receives up to 120
LARGE_EACH = 10  # one message in so many goes to the destination that hangs
LARGE_BYTES = 30_000  # 64 KiB at most
SMALL_BYTES = 1200
HANG_FROM, HANG, AFTER = 15.0, 18.0, 3.0  # seconds
BLOCK = 512  # "every file counted in whole 512 bytes"
# A file is seen a moment after it was renamed: by then this much may have been appended to it.
APPENDED = 8192


def counted(size: int) -> int:
    return -(-size // BLOCK) * BLOCK


class FolderWatch(threading.Thread):
    """Sizes of the files of a folder, as the platform counts them.

    Beside what each look adds up to, it holds every file open that it has seen. So when a file takes the name
    of another one, the final size of the replaced file is known: until that rename both were in the folder.
    """

    def __init__(self, folder: Path, record: Record) -> None:
        super().__init__(daemon=True)
        self.folder, self.record, self.stopped = folder, record, False
        self.seen_most, self.seen_words, self.looks = 0, "", 0
        self.swap_most, self.swap_words, self.swaps = 0, "", 0
        self.open: dict[int, int] = {}  # descriptors by inode
        self.named: dict[str, int] = {}  # inodes by name

    def run(self) -> None:
        while not self.stopped:
            self.look()
            time.sleep(0)

    def look(self) -> None:
        sizes: dict[str, tuple[int, int]] = {}
        try:
            for entry in os.scandir(self.folder):
                if entry.inode() not in self.open:
                    file = os.open(entry.path, os.O_RDONLY)
                    self.open[os.fstat(file).st_ino] = file
                status = os.stat(entry.path)
                sizes[entry.name] = status.st_ino, status.st_size
        except FileNotFoundError:
            return
        self.looks += 1
        total = sum(counted(size) for _, size in sizes.values())
        if total > self.seen_most:
            self.seen_most = total
            self.seen_words = ", ".join(f"{name} {size}" for name, (_, size) in sizes.items())
        for name, (inode, size) in sizes.items():
            before = self.named.get(name, inode)
            if before != inode and before in self.open:
                self.swapped(name, os.fstat(self.open[before]).st_size, size)
        current = {inode for inode, _ in sizes.values()}
        self.named = {name: inode for name, (inode, _) in sizes.items()}
        for inode in [each for each in self.open if each not in current]:
            os.close(self.open.pop(inode))

    def swapped(self, name: str, old: int, new: int) -> None:
        """A file of `old` bytes was replaced by one of `new` bytes, less what was appended since."""
        total = counted(old) + counted(new - APPENDED)
        self.swaps += 1
        self.record.write(f"{name} of {old} bytes replaced by one of {new}")
        if total > self.swap_most:
            self.swap_most, self.swap_words = total, f"{name} {old} and its successor {new}"


async def case(record: Record, folder: Path, started: list[Dispatcher]) -> tuple[int, str]:
    limit = DISK_MB * 1_000_000
    classes = [queue_class("order-change", "dedup", 2.0, 20.0, 20.0)]
    hangs_until = [0.0, 0.0]

    async def handle_large(call: Call) -> bytes:
        now = time.monotonic()
        if hangs_until[0] <= now < hangs_until[1]:
            await asyncio.sleep(hangs_until[1] - now)
        await asyncio.sleep(0.3)
        return response(200)

    async def handle_small(call: Call) -> bytes:
        await asyncio.sleep(0.2)
        return response(200)

    large, small = Endpoint(record, "e1", handle_large), Endpoint(record, "e2", handle_small)
    await large.start()
    await small.start()
    entries = [Entry("e1", large.port, 1, "national"), Entry("e2", small.port, 2, "national")]
    platform = Platform(record, entries)
    await platform.start()
    chosen = settings(classes, ["national"], family_info={"call_slots": 64}, limits={"most_held": 900})
    dispatcher = Dispatcher(record, folder, "n0", chosen, platform, disk_mb=DISK_MB)
    started.append(dispatcher)
    await dispatcher.start()
    watch = FolderWatch(dispatcher.state, record)
    watch.start()
    began = time.monotonic()
    if TROUBLE:
        hangs_until[:] = began + HANG_FROM, began + HANG_FROM + HANG
    handed_in: list[asyncio.Task[str]] = []
    while (now := time.monotonic()) < began + HANG_FROM + HANG + AFTER:
        count = len(handed_in)
        if now < began + count / RATE:
            await asyncio.sleep(began + count / RATE - now)
        is_large = count % LARGE_EACH == 0
        body = os.urandom(LARGE_BYTES if is_large else SMALL_BYTES)
        fields = f"c=order-change,d=20000,dest={1 if is_large else 2},k={count:016x}"
        handed_in.append(asyncio.create_task(dispatcher.client.put("0" * 16, f"{count:016x}", fields, body)))
    answers = await asyncio.gather(*handed_in)
    watch.stopped = True
    watch.join()
    if answers.count("+OK") < 0.5 * len(answers):
        return NOT_RUN, "most messages were not taken on"
    if dispatcher.processes[0].returncode is not None:
        return BROKEN, "the process ended"
    record.write(f"most at one look of {watch.looks}: {watch.seen_most} ({watch.seen_words})")
    record.write(f"most at a rename of {watch.swaps}: {watch.swap_most} ({watch.swap_words})")
    most = max(watch.seen_most, watch.swap_most)
    words = (
        f"{most} of {limit} bytes; at one look {watch.seen_most} ({watch.seen_words});"
        f" at a rename {watch.swap_most} ({watch.swap_words}, {APPENDED} taken off)"
    )
    return (BROKEN if most > limit else HELD), words


play(case, Path(__file__).resolve().parent)

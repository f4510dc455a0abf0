"""Errors of system calls that pass by themselves, and how a start waits for that."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

# From the manual pages of open(2), write(2), socket(2) and accept(2): what a later try may not meet again.
TRANSIENT = frozenset(
    {
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EIO,
        errno.ENOSPC,
        errno.EDQUOT,
    }
)
RETRY_PAUSE = 0.1  # seconds


def is_transient(error: BaseException | None) -> bool:
    """Whether the same call may well succeed a moment later."""
    return isinstance(error, OSError) and error.errno in TRANSIENT


def wait_for(make: Callable[[], T], on_failure: Callable[[OSError], None]) -> T:
    """What `make` returns once it succeeds; `on_failure` hears of the first failure. OSError: it is lasting.

    Blocks the thread: for starts, before anything is served.
    """
    failed = False
    while True:
        try:
            return make()
        except OSError as error:
            if not is_transient(error):
                raise
            if not failed:
                on_failure(error)
            failed = True
        time.sleep(RETRY_PAUSE)

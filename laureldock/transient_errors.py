"""Errors of system calls that may pass by themselves, and retries of a start that meets them."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")

# By the manual pages of open(2), write(2), socket(2) and accept(2), a later try may succeed after these.
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
RETRY_INTERVAL = 0.1  # seconds


def is_transient(error: BaseException | None) -> bool:
    """Whether the same call may succeed a moment later."""
    return isinstance(error, OSError) and error.errno in TRANSIENT


def wait_for(make: Callable[[], T], on_failure: Callable[[OSError], None]) -> T:
    """Call `make` until it succeeds, and return its result; `on_failure` is called with the first error only.

    Raises OSError if the error is not transient. Blocks the thread: for use at the start, before anything is
    served.
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
        time.sleep(RETRY_INTERVAL)

"""Ports for processes of a rehearsal that have to be named before they are listened on."""

from __future__ import annotations

import contextlib
import errno
import random
import socket
from pathlib import Path

EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")  # ip(7)
DEFAULT_FIRST_EPHEMERAL = 32768
FIRST_PORT = 16384
TRIES = 100


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that was free a moment ago, and that the system gives to no outgoing connection.

    Raises OSError if none is found.
    """
    draw = random.SystemRandom()
    for _ in range(TRIES):
        port = draw.randrange(FIRST_PORT, first_ephemeral_port())
        with contextlib.suppress(OSError), socket.create_server((host, port)):
            return port
    raise OSError(errno.EADDRINUSE, "no free port was found")


def first_ephemeral_port() -> int:
    """The first port that the system gives to outgoing connections."""
    try:
        first = int(EPHEMERAL_RANGE.read_text().split()[0])
    except (OSError, ValueError, IndexError):
        first = DEFAULT_FIRST_EPHEMERAL
    return first if first > FIRST_PORT else DEFAULT_FIRST_EPHEMERAL

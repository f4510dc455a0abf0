"""`laureldock controller` that kills itself: crashing_controller.py logged|half VERSION controller FILE

logged: the change of that version is on disk, and nobody has been told. half: half of those who follow have
been told, the others never are.
"""

from __future__ import annotations

import os
import signal
import sys

from laureldock.cli import main
from laureldock.controller.server import Server
from laureldock.replication import messages
from laureldock.replication.change_log import ChangeLog, Record

TO_THE_NETWORK = 0.3  # seconds, until what was sent has left the process


def die() -> None:
    os.kill(os.getpid(), signal.SIGKILL)


def crash_when_logged(version: int) -> None:
    append = ChangeLog.append

    def append_and_die(log: ChangeLog, record: Record) -> None:
        append(log, record)
        if record.position.version == version:
            die()

    ChangeLog.append = append_and_die  # type: ignore[method-assign, assignment]


def crash_when_half_is_told(version: int) -> None:
    send, told = Server.send, set[int]()

    def send_to_half(server: Server, number: int, payload: bytes) -> None:
        message = messages.decode(payload)
        if isinstance(message, messages.ChangeMessage) and message.position.version == version:
            if 2 * len(told) >= len(server.dispatchers):
                return
            told.add(number)
            if 2 * len(told) >= len(server.dispatchers):
                server.reactor.callLater(TO_THE_NETWORK, die)
        send(server, number, payload)

    Server.send = send_to_half  # type: ignore[method-assign, assignment]


if __name__ == "__main__":
    point, at, *words = sys.argv[1:]
    {"logged": crash_when_logged, "half": crash_when_half_is_told}[point](int(at))
    main(words)

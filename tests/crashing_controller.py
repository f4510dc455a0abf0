"""`laureldock controller` that kills itself: crashing_controller.py logged|half VERSION controller FILE

logged: once the change of that version is on disk, before it is sent to any dispatcher. half: once it has
been sent to half of the dispatchers; the others do not get it.
"""

from __future__ import annotations

import os
import signal
import sys

from laureldock.cli import main
from laureldock.controller.server import Server
from laureldock.replication import messages
from laureldock.replication.change_log import ChangeLog, Record

SEND_TIME = 0.3  # seconds within which written data has left the process


def kill_process() -> None:
    os.kill(os.getpid(), signal.SIGKILL)


def crash_when_logged(version: int) -> None:
    append = ChangeLog.append

    def append_and_kill(log: ChangeLog, record: Record) -> None:
        append(log, record)
        if record.position.version == version:
            kill_process()

    ChangeLog.append = append_and_kill  # type: ignore[method-assign, assignment]


def crash_when_half_sent(version: int) -> None:
    send, sent_streams = Server.send, set[int]()

    def send_to_half(server: Server, number: int, payload: bytes) -> None:
        message = messages.decode(payload)
        if isinstance(message, messages.ChangeMessage) and message.position.version == version:
            if 2 * len(sent_streams) >= len(server.dispatchers):
                return
            sent_streams.add(number)
            if 2 * len(sent_streams) >= len(server.dispatchers):
                server.reactor.callLater(SEND_TIME, kill_process)
        send(server, number, payload)

    Server.send = send_to_half  # type: ignore[method-assign, assignment]


if __name__ == "__main__":
    point, version, *arguments = sys.argv[1:]
    {"logged": crash_when_logged, "half": crash_when_half_sent}[point](int(version))
    main(arguments)

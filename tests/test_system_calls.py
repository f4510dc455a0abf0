"""The delivery rules hold while system calls fail for a moment, in ways that Linux documents."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import socket
import sys
import time
from collections import Counter
from collections.abc import Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
import redis
from daemon import HEAD, Daemon, daemon
from socket_dispatcher import Connection, SocketDispatcher

from laureldock.core.messages import StoredMessage
from laureldock.fronts.resp import ClientConnection
from laureldock.rehearsal.ports import free_port
from laureldock.rehearsal.scripted_run import new_lines
from laureldock.rehearsal.soak.faulty_process import FaultPlan
from laureldock.rehearsal.soak.system_calls import FaultWindow, SystemCallFault
from laureldock.stores.spool import Spool

NAMES = {"n1": "north", "n2": "north"}
OK = b"+OK\r\n"


def run(scenario: Coroutine[Any, Any, None]) -> None:
    asyncio.run(scenario)


async def launch(dispatcher: Daemon, *windows: FaultWindow) -> None:
    """Start the dispatcher again, with system calls that fail."""
    await dispatcher.kill()
    plan = dispatcher.folder / "faults.json"
    FaultPlan(str(dispatcher.folder / "state"), 7, list(windows)).write(plan)
    module = "laureldock.rehearsal.soak.faulty_process"
    command = [sys.executable, "-m", module, str(plan), "serve", str(dispatcher.file)]
    log = (dispatcher.folder / "log").open("ab")
    dispatcher.process = await asyncio.create_subprocess_exec(*command, stdout=log, stderr=log)
    log.close()
    await dispatcher.wait_ready()


def test_a_process_started_while_the_disk_fails_serves_pending_and_new_messages(tmp_path: Path) -> None:
    """It once exited immediately, whether its folder was empty or had pending messages."""

    async def scenario(folder: Path, pending: list[str]) -> None:
        async with daemon(folder, NAMES) as dispatcher:
            await dispatcher.kill()
            for file in (folder / "state").glob("spool*"):
                file.unlink()
            for name in pending:
                spool = Spool(folder / "state", 1e6)
                spool.open()
                end = time.monotonic() + 20
                assert spool.accept(
                    StoredMessage(name.encode(), None, "news", "", b"", "north", end, b"hello")
                )
                spool.close()
            began = time.monotonic()
            await launch(dispatcher, FaultWindow(SystemCallFault.DISK_ERROR, began, began + 3.0))
            until = time.monotonic() + 8
            while True:
                try:
                    await dispatcher.submit("new")
                    break
                except redis.ResponseError as refused:
                    assert str(refused).startswith("BUSY")
                    assert time.monotonic() < until
                    await asyncio.sleep(0.1)
            await dispatcher.wait_for_counter("relayed", 1 + len(pending))
            assert Counter(call.message for call in dispatcher.record.calls) == Counter(["new", *pending])

    for number, pending in enumerate(([], ["old"])):
        folder = tmp_path / str(number)
        folder.mkdir()
        run(scenario(folder, pending))


@pytest.mark.parametrize("operators", [False, True])
def test_a_process_started_while_no_socket_can_be_created_listens_once_it_can(
    tmp_path: Path, operators: bool
) -> None:
    """With an operators' address it once exited immediately."""

    async def scenario() -> None:
        async with daemon(tmp_path, NAMES) as dispatcher:
            if operators:
                dispatcher.write_configuration(head=f'management = "127.0.0.1:{free_port()}"\n' + HEAD)
            now = time.monotonic()
            await launch(dispatcher, FaultWindow(SystemCallFault.SOCKET, now, now + 2.0))
            await dispatcher.submit("m1")
            await dispatcher.wait_for_counter("relayed", 1)

    run(scenario())


@pytest.mark.parametrize(
    ("fault", "share"),
    [
        (SystemCallFault.ACCEPT, 0.5),
        (SystemCallFault.SOCKET, 0.5),
        (SystemCallFault.CONNECT, 0.5),
        (SystemCallFault.SHORT, 1.0),
        (SystemCallFault.DISK_ERROR, 0.3),
        (SystemCallFault.DISK_SHORT, 0.5),
    ],
)
def test_accepted_messages_are_delivered_once_while_system_calls_fail(
    tmp_path: Path, fault: SystemCallFault, share: float
) -> None:
    async def scenario() -> None:
        async with daemon(tmp_path, NAMES) as dispatcher:
            now = time.monotonic()
            await launch(dispatcher, FaultWindow(fault, now + 1.2, now + 9.0, share))
            await asyncio.sleep(max(0.0, now + 1.2 - time.monotonic()))
            accepted = []
            for number in range(60):
                name = f"m{number:02}"
                try:
                    await dispatcher.submit(name, ("news", "charge")[number % 2])
                except redis.ResponseError as refused:
                    assert str(refused).startswith("BUSY")
                else:
                    accepted.append(name)
            assert len(accepted) > 20
            await dispatcher.wait_for_counter("held", 0)
            # If half of all connects fail, one message in 250 gets no connection in all its attempts: it was
            # never sent, and is handed back for that reason alone.
            lines, _ = new_lines(tmp_path / "state" / "undelivered.jsonl", 0)
            handed_back = [json.loads(line) for line in lines]
            exhausted = (await dispatcher.counters()).get("deferred_no_attempt_left", 0)
            assert len(handed_back) == exhausted <= (1 if fault is SystemCallFault.CONNECT else 0)
            assert all(each["outcome"] == "handed_back" for each in handed_back)
            ended = [call.message for call in dispatcher.record.calls] + [
                each["message"] for each in handed_back
            ]
            assert Counter(ended) == Counter(accepted)

    run(scenario())


@pytest.fixture
def dispatcher(tmp_path: Path) -> Iterator[SocketDispatcher]:
    dispatcher = SocketDispatcher(tmp_path)
    yield dispatcher.start_until_ready()
    dispatcher.close()


def test_clients_in_the_backlog_at_a_stop_get_replies_although_accept_fails(
    dispatcher: SocketDispatcher, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A failed accept once ended the last pass over the backlog, and the close reset the other clients."""
    host, _, port = dispatcher.listen_address.rpartition(":")
    stopped: list[None] = []
    accept, failures = socket.socket.accept, iter([errno.ECONNABORTED, errno.ENFILE])

    def failing(listening: socket.socket) -> Any:
        if number := next(failures, None):
            raise OSError(number, os.strerror(number))
        return accept(listening)

    dispatcher.skip_opening_period()
    dispatcher.assembly.stop().addCallback(stopped.append)
    dispatcher.step_for(0.55)
    peers = [Connection(socket.create_connection((host, int(port)))) for _ in range(6)]
    for number, peer in enumerate(peers):
        peer.send(dispatcher.put_request(f"m{number}"))
    monkeypatch.setattr(socket.socket, "accept", failing)
    dispatcher.front.stop_accepting()
    dispatcher.step_until(lambda: all(peer.receive() == OK or peer.ended_by for peer in peers), 2.0)
    assert [peer.received for peer in peers] == [OK] * 6
    for number in range(6):
        dispatcher.respond(f"m{number}")
    dispatcher.step_until(lambda: stopped)
    assert not [peer for peer in peers if peer.ended_by == "reset"]


def test_an_error_of_a_new_connection_does_not_close_the_listening_socket(
    dispatcher: SocketDispatcher, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The reactor closes a socket whose handler raises: here that would be the listening socket."""
    begin, failures = ClientConnection.connectionMade, iter([OSError(errno.EINVAL, "reset already")])

    def failing(client: ClientConnection) -> None:
        if failure := next(failures, None):
            raise failure
        begin(client)

    monkeypatch.setattr(ClientConnection, "connectionMade", failing)
    host, _, port = dispatcher.listen_address.rpartition(":")
    first = Connection(socket.create_connection((host, int(port))))
    dispatcher.step_until(lambda: first.receive() is not None and first.ended_by)
    assert dispatcher.connect_client()  # answers a PING

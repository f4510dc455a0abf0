"""A controller process: accepted changes are stored and distributed, refused ones are reported."""

from __future__ import annotations

import contextlib
import errno
import json
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest
from click.testing import CliRunner, Result
from controlled import BASE, Controller, Follower, Stream, controller, endpoint, puts, removal
from twisted.internet.testing import MemoryReactorClock

from laureldock.cli import main
from laureldock.controller import client
from laureldock.controller.service import MAX_WAITING_CHANGES, ControllerService
from laureldock.controller.state import AcceptedState
from laureldock.replication.change_log import LOG_NAME, ChangeLog, Record
from laureldock.replication.messages import (
    NO_POSITION,
    Accepted,
    InForce,
    Position,
    Rejected,
    Subscribe,
    VersionCount,
)
from laureldock.setup.changes import Change, DestinationEntry
from laureldock.setup.plan import Destination
from laureldock.setup.reading import load


def test_changes_reach_all_dispatchers_in_order_with_equal_digests(tmp_path: Path) -> None:
    with controller(tmp_path) as server:
        early = [Follower(server.port, f"d{number}") for number in range(3)]
        assert server.propose(puts("a1", "a2", "a3")) == 1
        assert server.propose(removal("a2")) == 2
        late = Follower(server.port, "late")
        assert server.propose(puts("b1", "a1", zone="z")) == 3
        for follower in (*early, late):
            follower.follow(3)
        assert server.propose(puts("a1", zone="z")) == 3  # no difference
        status = server.status()
        assert {each.digest for each in (*early, late)} == {status.digest}
        assert status.position == late.position and status.entries == 3 == len(late.entries)
        for follower in (*early, late):
            follower.send(InForce(follower.position, follower.digest))
        server.wait_until(lambda: server.status().versions == (VersionCount(3, 4),))
        assert server.status().slowest == ()


def test_a_restart_with_the_same_folder_continues_at_the_same_version(tmp_path: Path) -> None:
    with controller(tmp_path) as server:
        for number in range(5):
            server.propose(puts(f"a{number}"))
        before = server.status()
        follower = Follower(server.port, "d")
        follower.follow(5)
        assert server.terminate() == 0
        assert server.events("controller stopped")[0]["version"] == 5
        server.launch()
        after = server.status()
        assert (after.position, after.digest, after.entries) == (before.position, before.digest, 5)
        again = Stream(server.port)
        again.send(Subscribe("d", follower.position, follower.digest))
        assert server.propose(puts("b1")) == 6
        received = [again.receive(), again.receive()]
        message_types = {type(each).__name__ for each in received}
        assert message_types == {"Heartbeat", "ChangeMessage"}  # without a snapshot


def test_of_concurrent_changes_with_one_expected_version_one_is_accepted(tmp_path: Path) -> None:
    with controller(tmp_path) as server:
        assert server.propose(puts("a1"), expected_version=0) == 1
        response = client.propose(server.address, puts("a2"), expected_version=0)
        assert (
            isinstance(response, Rejected) and "version 1 is the newest, not 0" in response.faults[0].reason
        )
        responses: list[Accepted | Rejected] = []

        def propose_racing(number: int) -> None:
            responses.append(client.propose(server.address, puts(f"r{number}"), expected_version=1))

        threads = [threading.Thread(target=propose_racing, args=(number,)) for number in range(8)]
        for each in threads:
            each.start()
        for each in threads:
            each.join(8)
        assert len(responses) == 8 and sum(isinstance(each, Accepted) for each in responses) == 1
        assert server.status().position.version == 2


def test_a_change_is_refused_as_a_whole_with_all_its_faults(tmp_path: Path) -> None:
    with controller(tmp_path) as server:
        server.propose(puts("a1"))
        before = server.status()
        change = Change((endpoint("good", "south"),), removal(*(f"no{n}" for n in range(1500))).removals)
        response = client.propose(server.address, change)
        assert isinstance(response, Rejected) and response.count == 1500 and len(response.faults) == 1000
        assert response.faults[7].path == ("endpoint", "no7") and "no such entry" in response.faults[7].reason
        assert server.status().digest == before.digest
        assert server.propose(puts("a2")) == 2


def test_a_large_change_is_distributed_as_a_snapshot(tmp_path: Path) -> None:
    with controller(tmp_path) as server:
        follower = Follower(server.port, "d")
        assert server.propose(puts(*(f"a{number}" for number in range(4000)))) == 1
        follower.follow(1)
        assert follower.message_types.count("SnapshotBegin") == 2  # the empty one, and the filled one
        assert "ChangeMessage" not in follower.message_types and len(follower.entries) == 4000
        assert server.propose(puts("b1")) == 2
        follower.follow(2)
        assert follower.message_types[-1] == "ChangeMessage" and follower.digest == server.status().digest
        server.kill()
        server.launch()
        assert server.status().entries == 4001


def test_the_log_is_compacted_while_changes_are_accepted(tmp_path: Path) -> None:
    with controller(tmp_path) as server:
        follower = Follower(server.port, "d")
        follower.follow(0)
        version = 0
        while not server.events("snapshot written"):
            names = (f"a{number}" for number in range(400))
            version = server.propose(puts(*names, zone=f"z{version}"))
            assert version < 60
        log_bytes = (server.state / LOG_NAME).stat().st_size
        assert log_bytes < 200_000 and version >= 20  # of some 36,000 bytes each
        follower.follow(version)
        assert follower.message_types.count("SnapshotBegin") == 1
        server.kill()
        server.launch()
        assert server.status().position.version == version and server.status().digest == follower.digest


def test_a_controller_with_a_new_folder_removes_no_entries_before_its_first_change(
    tmp_path: Path,
) -> None:
    with controller(tmp_path) as server:
        before = Follower(server.port, "d", Position(5, 40))
        time.sleep(0.5)
        assert before.message_types == [] and server.propose(puts("a1")) == 1
        before.position = NO_POSITION
        before.follow(1)
        assert before.message_types == ["SnapshotBegin", "SnapshotPart"] and len(before.entries) == 1
        assert server.propose(puts("a2")) == 2
        before.follow(2)


# Crashes and disk errors


def test_a_kill_at_any_time_loses_no_accepted_or_distributed_change(tmp_path: Path) -> None:
    """The log has all accepted changes, and a dispatcher never has a version that a restart does not have."""
    rng, deadline = random.Random(7), time.monotonic() + 5.0
    server = Controller(tmp_path)
    accepted = kills = 0
    while kills < 8 and time.monotonic() < deadline:
        server.launch()
        received_versions: list[int] = []

        def follow(into: list[int] = received_versions) -> None:
            with contextlib.suppress(OSError, AssertionError):
                follower = Follower(server.port, "d")
                while (message := follower.receive()) is not None:
                    follower.process_message(message)
                    into.append(follower.position.version)

        def change(start: int = kills * 10000) -> None:
            nonlocal accepted
            with contextlib.suppress(client.UnreachableError):
                for number in range(start, start + 10000):
                    accepted = server.propose(puts(f"a{number}"))

        threads = [threading.Thread(target=follow), threading.Thread(target=change)]
        for each in threads:
            each.start()
        time.sleep(rng.uniform(0.05, 0.3))
        server.kill()
        for each in threads:
            each.join(5)
        log = ChangeLog(server.state, durable=True)
        records = [each for each in log.load() if isinstance(each, Record)]
        log.close()
        newest = records[-1].position.version if records else log.position.version
        assert max([accepted, *received_versions]) <= newest <= accepted + 1
        accepted = newest
        kills += 1
    assert kills >= 2 and accepted > kills


@pytest.fixture
def state(tmp_path: Path) -> AcceptedState:
    return reopen_state(tmp_path)


def reopen_state(folder: Path) -> AcceptedState:
    file = folder / "controller.toml"
    file.write_text(BASE.format(port=7, pace="1kB"))
    state = AcceptedState(load(str(file)).plan, folder / "state")
    for _ in state.load(new_epoch=9):
        pass
    return state


def accept(state: AcceptedState, change: Change) -> Record:
    prepared = state.prepare(change)
    assert prepared is not None
    return state.commit(*prepared, accepted_at=1.0)


def test_a_crash_after_the_write_and_before_the_reply_keeps_the_change(
    state: AcceptedState, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    class Killed(BaseException):
        pass

    def written_then_killed(record: Record) -> None:
        append(record)
        raise Killed

    append = state.log.append
    accept(state, puts("a1"))
    monkeypatch.setattr(state.log, "append", written_then_killed)
    with pytest.raises(Killed):
        accept(state, puts("a2"))
    state.log.close()
    again = reopen_state(tmp_path)
    assert again.position == Position(9, 2) and len(again.catalog) == 2
    assert again.digest == again.catalog.digest


@pytest.mark.parametrize("call", ["pwrite", "fdatasync"])
def test_a_disk_error_refuses_and_undoes_a_change(
    state: AcceptedState, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    def fail(*_: object) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    accept(state, puts("a1", "a2"))
    before = list(state.catalog.entries())
    with monkeypatch.context() as patch:
        patch.setattr(os, call, fail)
        prepared = state.prepare(Change(puts("a1", "b1", zone="z").puts, removal("a2").removals))
        assert prepared is not None
        with pytest.raises(OSError, match="No space"):
            state.commit(*prepared, accepted_at=1.0)
    assert list(state.catalog.entries()) == before and state.catalog.digest == state.digest
    assert accept(state, puts("b2")).position == Position(9, 2)
    state.log.close()
    again = reopen_state(tmp_path)
    assert again.position.version == 2 and {each.name for each in again.catalog.entries()} == {
        "a1",
        "a2",
        "b2",
    }


def test_waiting_changes_are_bounded(tmp_path: Path) -> None:
    file = tmp_path / "controller.toml"
    file.write_text(BASE.format(port=7, pace="1kB"))
    reactor = MemoryReactorClock()  # type: ignore[no-untyped-call]
    service = ControllerService(load(str(file)).plan, tmp_path / "state", reactor)
    service.start()
    responses: list[Accepted | Rejected] = []
    service._lock.acquire()  # simulates a long validation
    for number in range(MAX_WAITING_CHANGES + 5):
        service.propose(puts(f"a{number}"), -1).addCallback(responses.append)
    assert [response.faults[0].reason for response in responses if isinstance(response, Rejected)] == [
        "too many changes wait"
    ] * 5
    service._lock.release()
    accepted = sorted(response.position.version for response in responses if isinstance(response, Accepted))
    assert accepted == list(range(1, MAX_WAITING_CHANGES + 1))
    service.state.log.close()


def test_with_a_full_disk_a_change_is_refused_and_later_ones_are_accepted(tmp_path: Path) -> None:
    def limit_file_size() -> None:  # simulates a full disk
        resource.setrlimit(resource.RLIMIT_FSIZE, (6000, 6000))

    server = Controller(tmp_path)
    command = [sys.executable, "-m", "laureldock", "controller", str(server.file)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, preexec_fn=limit_file_size)
    assert process.stdout
    try:
        assert b"controller ready" in process.stdout.readline()
        assert server.propose(puts("a1")) == 1
        response = client.propose(server.address, puts(*(f"b{number}" for number in range(200))))
        assert isinstance(response, Rejected) and "log cannot be written" in response.faults[0].reason
        assert server.propose(puts("a2")) == 2
        assert server.status().entries == 2
    finally:
        process.kill()
        process.communicate()
    server.launch()
    assert server.status().position.version == 2
    server.kill()


def test_a_corrupted_or_locked_folder_is_refused_at_startup(tmp_path: Path) -> None:
    with controller(tmp_path) as server:
        for number in range(4):
            server.propose(puts(f"a{number}"))
        command = [sys.executable, "-m", "laureldock", "controller", str(server.file)]
        second = subprocess.run(command, capture_output=True, text=True, timeout=9)
        assert second.returncode == 1 and "another process holds the folder" in second.stderr
    path = server.state / LOG_NAME
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 1
    path.write_bytes(data)
    third = subprocess.run(command, capture_output=True, text=True, timeout=9)
    assert third.returncode == 1
    assert f"{path}: byte " in third.stderr and "wrong checksum" in third.stderr


def test_an_address_in_use_is_reported_at_startup(tmp_path: Path) -> None:
    server = Controller(tmp_path)
    with socket.socket() as occupied:
        occupied.bind(("127.0.0.1", server.port))
        occupied.listen()
        command = [sys.executable, "-m", "laureldock", "controller", str(server.file)]
        result = subprocess.run(command, capture_output=True, text=True, timeout=9)
    assert result.returncode == 1 and "cannot start: CannotListenError" in result.stderr


def test_accepted_entries_must_fit_the_file_at_the_next_start(tmp_path: Path) -> None:
    with controller(tmp_path) as server:
        shop = DestinationEntry("south", Destination(kind="shop"))
        server.propose(Change((endpoint("a1", "south"), shop)))
        assert server.terminate() == 0
    server.file.write_text(server.file.read_text().replace("[kind.shop]", ""))
    command = [sys.executable, "-m", "laureldock", "controller", str(server.file)]
    result = subprocess.run(command, capture_output=True, text=True, timeout=9)
    assert result.returncode == 2
    assert "does not fit this file any more" in result.stderr and "destination.south.kind" in result.stderr


def test_a_signal_logs_the_counters_and_shutdown_is_graceful_under_load(tmp_path: Path) -> None:
    with controller(tmp_path) as server:
        followers = [Follower(server.port, f"d{number}") for number in range(5)]
        server.propose(puts("a1"))
        assert server.process
        server.process.send_signal(signal.SIGUSR1)
        server.wait_until(lambda: bool(server.events("counters")))
        counters = server.events("counters")[0]
        assert counters["changes accepted"] == 1 and counters["dispatchers"] == 5
        server.propose(puts(*(f"b{number}" for number in range(3000))))  # a snapshot is being written
        assert server.terminate() == 0
        assert not (server.state / "snapshot.new").exists()
        assert all(each.is_closed(2.0) for each in followers)
        server.launch()
        assert server.status().position.version == 2


# Operators' commands


def run(*arguments: str) -> Result:
    return CliRunner().invoke(main, ["config", *arguments])


def test_apply_and_status_by_the_command_line(tmp_path: Path) -> None:
    changes = tmp_path / "changes.toml"
    with controller(tmp_path) as server:
        follower = Follower(server.port, "dock-7")
        endpoint = '[[endpoint]]\nname = "{}"\ndestination = "north"\naddress = "127.0.0.1:{}"\n'
        changes.write_text(endpoint.format("a", 9001) + endpoint.format("b", 9002))
        result = run("apply", str(changes), server.address)
        assert (result.exit_code, result.output) == (0, "version 1\n")
        changes.write_text('remove = ["endpoint.b"]\n[class.news]\ntime_out = "2s"\n')
        result = run("apply", str(changes), server.address, "--expect", "1", "--json")
        printed = json.loads(result.output)
        assert result.exit_code == 0 and printed["ok"] and printed["version"] == 2
        assert printed["digest"] == server.status().digest
        follower.follow(2)
        follower.send(InForce(follower.position, follower.digest))
        server.wait_until(lambda: server.status().versions == (VersionCount(2, 1),))
        printed = json.loads(run("status", server.address, "--json").output)
        assert printed["versions"] == {"2": 1} and printed["entries"] == 2 and printed["slowest"] == []
        follower.close()
        server.wait_until(lambda: server.status().slowest != ())
        lines = run("status", server.address).output.splitlines()
        assert lines[0].startswith("version 2, accepted ") and "2 entries, digest " in lines[0]
        assert lines[1:3] == ["1 dispatchers", "  1 with version 2 in force"]
        assert lines[4].startswith("  dock-7: version 2, behind for 0.0 s, not connected, last heard ")


def test_refusals_are_reported_with_file_line_and_reason(tmp_path: Path) -> None:
    changes = tmp_path / "changes.toml"
    with controller(tmp_path) as server:
        server.propose(puts("a1"))
        changes.write_text(
            '[[terms]]\nclass = "news"\nroute = "gone"\ntime_out = "2s"\n[customer.x]\nquota = 1.0\n'
        )
        result = run("apply", str(changes), server.address)
        assert result.exit_code == 2
        first, count = result.stderr.splitlines()
        assert first.startswith(f"{changes}:3: terms.class=news,route=gone.route: unknown ")
        assert count == "1 faults"
        printed = json.loads(run("apply", str(changes), server.address, "--json").output)
        assert not printed["ok"] and printed["faults"][0]["line"] == 3
        changes.write_text('remove = ["endpoint.a1"]\n')
        result = run("apply", str(changes), server.address, "--expect", "0")
        assert result.exit_code == 2 and "version 1 is the newest, not 0" in result.stderr
        changes.write_text("nonsense = 1\n")
        result = run("apply", str(changes), server.address)
        assert result.exit_code == 2 and "nonsense: unknown setting" in result.stderr
        assert server.status().position.version == 1


def test_a_change_with_a_thousand_faults_reports_each_with_its_line(tmp_path: Path) -> None:
    changes = tmp_path / "changes.toml"
    keys = [f"endpoint.no{number}" for number in range(1000)]
    changes.write_text("remove = [\n" + "".join(f'  "{key}",\n' for key in keys) + "]\n")
    with controller(tmp_path) as server:
        result = run("apply", str(changes), server.address)
        assert result.exit_code == 2
        lines = result.stderr.splitlines()
        assert len(lines) == 1001 and lines[-1] == "1000 faults"
        for index, line in enumerate(lines[:1000]):
            assert line == f"{changes}:{index + 2}: {keys[index]}: cannot be removed: there is no such entry"
        changes.write_text("remove = [\n" + "".join(f'  "{key}x",\n  "{key}",\n' for key in keys) + "]\n")
        lines = run("apply", str(changes), server.address).stderr.splitlines()
        assert lines[1000:] == ["and 1000 more", "2000 faults"]


def test_without_a_response_the_exit_code_is_one(tmp_path: Path) -> None:
    changes = tmp_path / "changes.toml"
    changes.write_text('remove = ["endpoint.a"]\n')
    with socket.socket() as occupied:  # bound but not listening
        occupied.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{occupied.getsockname()[1]}"
        for arguments in (("apply", str(changes), address), ("status", address)):
            result = run(*arguments)
            assert result.exit_code == 1 and "no answer from" in result.stderr


def test_a_file_without_the_controller_table_is_refused(tmp_path: Path) -> None:
    file = tmp_path / "laureldock.toml"
    text = BASE.format(port=7, pace="1kB").partition("[class.news]")[2]
    file.write_text('[source]\nkind = "controller"\ncontrollers = ["127.0.0.1:7"]\n[class.news]' + text)
    result = CliRunner().invoke(main, ["controller", str(file)])
    assert result.exit_code == 2 and "controller: is missing" in result.stderr

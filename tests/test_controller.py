"""A controller as a process: what it accepts outlives it and is carried, what it refuses is told."""

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


def test_changes_are_carried_in_order_to_all_and_digests_are_equal(tmp_path: Path) -> None:
    with controller(tmp_path) as found:
        early = [Follower(found.port, f"d{number}") for number in range(3)]
        assert found.propose(puts("a1", "a2", "a3")) == 1
        assert found.propose(removal("a2")) == 2
        late = Follower(found.port, "late")
        assert found.propose(puts("b1", "a1", zone="z")) == 3
        for follower in (*early, late):
            follower.follow(3)
        assert found.propose(puts("a1", zone="z")) == 3  # as it is already
        status = found.status()
        assert {each.digest for each in (*early, late)} == {status.digest}
        assert status.position == late.position and status.entries == 3 == len(late.entries)
        for follower in (*early, late):
            follower.send(InForce(follower.position, follower.digest))
        found.until(lambda: found.status().versions == (VersionCount(3, 4),))
        assert found.status().slowest == ()


def test_a_restart_with_the_same_folder_goes_on_where_it_was(tmp_path: Path) -> None:
    with controller(tmp_path) as found:
        for number in range(5):
            found.propose(puts(f"a{number}"))
        before = found.status()
        follower = Follower(found.port, "d")
        follower.follow(5)
        assert found.end() == 0
        assert found.events("controller stopped")[0]["version"] == 5
        found.launch()
        after = found.status()
        assert (after.position, after.digest, after.entries) == (before.position, before.digest, 5)
        again = Stream(found.port)
        again.send(Subscribe("d", follower.position, follower.digest))
        assert found.propose(puts("b1")) == 6
        told = [again.receive(), again.receive()]
        kinds = {type(each).__name__ for each in told}
        assert kinds == {"Heartbeat", "ChangeMessage"}  # and no snapshot


def test_one_command_at_a_time_and_a_race_is_refused(tmp_path: Path) -> None:
    with controller(tmp_path) as found:
        assert found.propose(puts("a1"), expected_version=0) == 1
        answer = client.propose(found.address, puts("a2"), expected_version=0)
        assert isinstance(answer, Rejected) and "version 1 is the newest, not 0" in answer.faults[0].reason
        answers: list[Accepted | Rejected] = []

        def racer(number: int) -> None:
            answers.append(client.propose(found.address, puts(f"r{number}"), expected_version=1))

        racers = [threading.Thread(target=racer, args=(number,)) for number in range(8)]
        for each in racers:
            each.start()
        for each in racers:
            each.join(8)
        assert len(answers) == 8 and sum(isinstance(each, Accepted) for each in answers) == 1
        assert found.status().position.version == 2


def test_a_change_is_refused_as_a_whole_with_all_its_faults(tmp_path: Path) -> None:
    with controller(tmp_path) as found:
        found.propose(puts("a1"))
        before = found.status()
        change = Change((endpoint("good", "south"),), removal(*(f"no{n}" for n in range(1500))).removals)
        answer = client.propose(found.address, change)
        assert isinstance(answer, Rejected) and answer.count == 1500 and len(answer.faults) == 1000
        assert answer.faults[7].path == ("endpoint", "no7") and "no such entry" in answer.faults[7].reason
        assert found.status().digest == before.digest
        assert found.propose(puts("a2")) == 2


def test_a_large_fill_and_a_large_change_come_as_snapshots(tmp_path: Path) -> None:
    with controller(tmp_path) as found:
        follower = Follower(found.port, "d")
        assert found.propose(puts(*(f"a{number}" for number in range(4000)))) == 1
        follower.follow(1)
        assert follower.kinds.count("SnapshotBegin") == 2  # the empty one, and that
        assert "ChangeMessage" not in follower.kinds and len(follower.entries) == 4000
        assert found.propose(puts("b1")) == 2
        follower.follow(2)
        assert follower.kinds[-1] == "ChangeMessage" and follower.digest == found.status().digest
        found.kill()
        found.launch()
        assert found.status().entries == 4001


def test_the_log_is_compacted_while_changes_go_on(tmp_path: Path) -> None:
    with controller(tmp_path) as found:
        follower = Follower(found.port, "d")
        follower.follow(0)
        version = 0
        while not found.events("snapshot written"):
            names = (f"a{number}" for number in range(400))
            version = found.propose(puts(*names, zone=f"z{version}"))
            assert version < 60
        log_bytes = (found.state / LOG_NAME).stat().st_size
        assert log_bytes < 200_000 and version >= 20  # of some 36,000 bytes each
        follower.follow(version)
        assert follower.kinds.count("SnapshotBegin") == 1
        found.kill()
        found.launch()
        assert found.status().position.version == version and found.status().digest == follower.digest


def test_a_controller_with_a_new_folder_takes_nobodys_entries_away_before_it_is_filled(
    tmp_path: Path,
) -> None:
    with controller(tmp_path) as found:
        before = Follower(found.port, "d", Position(5, 40))
        time.sleep(0.5)
        assert before.kinds == [] and found.propose(puts("a1")) == 1
        before.position = NO_POSITION
        before.follow(1)
        assert before.kinds == ["SnapshotBegin", "SnapshotPart"] and len(before.entries) == 1
        assert found.propose(puts("a2")) == 2
        before.follow(2)


# Nothing accepted is lost


def test_killed_at_any_moment_nothing_accepted_or_told_is_lost(tmp_path: Path) -> None:
    """The log says what was accepted; a dispatcher never holds a version that a restart does not know."""
    chance, end = random.Random(7), time.monotonic() + 5.0
    found = Controller(tmp_path)
    accepted = kills = 0
    while kills < 8 and time.monotonic() < end:
        found.launch()
        told: list[int] = []

        def follow(into: list[int] = told) -> None:
            with contextlib.suppress(OSError, AssertionError):
                follower = Follower(found.port, "d")
                while (message := follower.receive()) is not None:
                    follower.take(message)
                    into.append(follower.position.version)

        def change(start: int = kills * 10000) -> None:
            nonlocal accepted
            with contextlib.suppress(client.UnreachableError):
                for number in range(start, start + 10000):
                    accepted = found.propose(puts(f"a{number}"))

        threads = [threading.Thread(target=follow), threading.Thread(target=change)]
        for each in threads:
            each.start()
        time.sleep(chance.uniform(0.05, 0.3))
        found.kill()
        for each in threads:
            each.join(5)
        log = ChangeLog(found.state, durable=True)
        records = [each for each in log.load() if isinstance(each, Record)]
        log.close()
        newest = records[-1].position.version if records else log.position.version
        assert max([accepted, *told]) <= newest <= accepted + 1
        accepted = newest
        kills += 1
    assert kills >= 2 and accepted > kills


@pytest.fixture
def state(tmp_path: Path) -> AcceptedState:
    return reopened(tmp_path)


def reopened(folder: Path) -> AcceptedState:
    file = folder / "controller.toml"
    file.write_text(BASE.format(port=7, pace="1kB"))
    found = AcceptedState(load(str(file)).plan, folder / "state")
    for _ in found.load(new_epoch=9):
        pass
    return found


def accept(state: AcceptedState, change: Change) -> Record:
    prepared = state.prepare(change)
    assert prepared is not None
    return state.commit(*prepared, accepted_at=1.0)


def test_ended_between_the_disk_and_the_word_a_change_is_accepted(
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
    again = reopened(tmp_path)
    assert again.position == Position(9, 2) and len(again.catalog) == 2
    assert again.digest == again.catalog.digest


@pytest.mark.parametrize("call", ["pwrite", "fdatasync"])
def test_where_the_disk_takes_nothing_a_change_is_refused_and_undone(
    state: AcceptedState, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    def full(*_: object) -> int:
        raise OSError(errno.ENOSPC, "No space left on device")

    accept(state, puts("a1", "a2"))
    before = list(state.catalog.entries())
    with monkeypatch.context() as patch:
        patch.setattr(os, call, full)
        prepared = state.prepare(Change(puts("a1", "b1", zone="z").puts, removal("a2").removals))
        assert prepared is not None
        with pytest.raises(OSError, match="No space"):
            state.commit(*prepared, accepted_at=1.0)
    assert list(state.catalog.entries()) == before and state.catalog.digest == state.digest
    assert accept(state, puts("b2")).position == Position(9, 2)
    state.log.close()
    again = reopened(tmp_path)
    assert again.position.version == 2 and {each.name for each in again.catalog.entries()} == {
        "a1",
        "a2",
        "b2",
    }


def test_changes_that_wait_for_another_are_bounded(tmp_path: Path) -> None:
    file = tmp_path / "controller.toml"
    file.write_text(BASE.format(port=7, pace="1kB"))
    reactor = MemoryReactorClock()  # type: ignore[no-untyped-call]
    service = ControllerService(load(str(file)).plan, tmp_path / "state", reactor)
    service.start()
    answers: list[Accepted | Rejected] = []
    service._lock.acquire()  # as a long check holds it
    for number in range(MAX_WAITING_CHANGES + 5):
        service.propose(puts(f"a{number}"), -1).addCallback(answers.append)
    assert [answer.faults[0].reason for answer in answers if isinstance(answer, Rejected)] == [
        "too many changes wait"
    ] * 5
    service._lock.release()
    accepted = sorted(answer.position.version for answer in answers if isinstance(answer, Accepted))
    assert accepted == list(range(1, MAX_WAITING_CHANGES + 1))
    service.state.log.close()


def test_a_process_whose_disk_is_full_refuses_and_goes_on(tmp_path: Path) -> None:
    def little_room() -> None:  # no file may become longer
        resource.setrlimit(resource.RLIMIT_FSIZE, (6000, 6000))

    found = Controller(tmp_path)
    command = [sys.executable, "-m", "laureldock", "controller", str(found.file)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, preexec_fn=little_room)
    assert process.stdout
    try:
        assert b"controller ready" in process.stdout.readline()
        assert found.propose(puts("a1")) == 1
        answer = client.propose(found.address, puts(*(f"b{number}" for number in range(200))))
        assert isinstance(answer, Rejected) and "log cannot be written" in answer.faults[0].reason
        assert found.propose(puts("a2")) == 2
        assert found.status().entries == 2
    finally:
        process.kill()
        process.communicate()
    found.launch()
    assert found.status().position.version == 2
    found.kill()


def test_a_folder_that_is_spoilt_or_in_use_is_refused_at_the_start(tmp_path: Path) -> None:
    with controller(tmp_path) as found:
        for number in range(4):
            found.propose(puts(f"a{number}"))
        command = [sys.executable, "-m", "laureldock", "controller", str(found.file)]
        second = subprocess.run(command, capture_output=True, text=True, timeout=9)
        assert second.returncode == 1 and "another process holds the folder" in second.stderr
    path = found.state / LOG_NAME
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 1
    path.write_bytes(data)
    third = subprocess.run(command, capture_output=True, text=True, timeout=9)
    assert third.returncode == 1
    assert f"{path}: byte " in third.stderr and "wrong checksum" in third.stderr


def test_an_address_that_is_taken_is_told_at_the_start(tmp_path: Path) -> None:
    found = Controller(tmp_path)
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", found.port))
        taken.listen()
        command = [sys.executable, "-m", "laureldock", "controller", str(found.file)]
        ended = subprocess.run(command, capture_output=True, text=True, timeout=9)
    assert ended.returncode == 1 and "cannot start: CannotListenError" in ended.stderr


def test_what_was_accepted_must_fit_the_file_of_the_next_start(tmp_path: Path) -> None:
    with controller(tmp_path) as found:
        shop = DestinationEntry("south", Destination(kind="shop"))
        found.propose(Change((endpoint("a1", "south"), shop)))
        assert found.end() == 0
    found.file.write_text(found.file.read_text().replace("[kind.shop]", ""))
    command = [sys.executable, "-m", "laureldock", "controller", str(found.file)]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=9)
    assert ended.returncode == 2
    assert "does not fit this file any more" in ended.stderr and "destination.south.kind" in ended.stderr


def test_counters_are_logged_at_a_signal_and_it_ends_in_order_under_load(tmp_path: Path) -> None:
    with controller(tmp_path) as found:
        followers = [Follower(found.port, f"d{number}") for number in range(5)]
        found.propose(puts("a1"))
        assert found.process
        found.process.send_signal(signal.SIGUSR1)
        found.until(lambda: bool(found.events("counters")))
        counters = found.events("counters")[0]
        assert counters["changes accepted"] == 1 and counters["dispatchers"] == 5
        found.propose(puts(*(f"b{number}" for number in range(3000))))  # a snapshot is being written
        assert found.end() == 0
        assert not (found.state / "snapshot.new").exists()
        assert all(each.is_closed(2.0) for each in followers)
        found.launch()
        assert found.status().position.version == 2


# Operators' commands


def run(*words: str) -> Result:
    return CliRunner().invoke(main, ["config", *words])


def test_apply_and_status_by_the_command_line(tmp_path: Path) -> None:
    changes = tmp_path / "changes.toml"
    with controller(tmp_path) as found:
        follower = Follower(found.port, "dock-7")
        endpoint = '[[endpoint]]\nname = "{}"\ndestination = "north"\naddress = "127.0.0.1:{}"\n'
        changes.write_text(endpoint.format("a", 9001) + endpoint.format("b", 9002))
        result = run("apply", str(changes), found.address)
        assert (result.exit_code, result.output) == (0, "version 1\n")
        changes.write_text('remove = ["endpoint.b"]\n[class.news]\ntime_out = "2s"\n')
        result = run("apply", str(changes), found.address, "--expect", "1", "--json")
        told = json.loads(result.output)
        assert result.exit_code == 0 and told["ok"] and told["version"] == 2
        assert told["digest"] == found.status().digest
        follower.follow(2)
        follower.send(InForce(follower.position, follower.digest))
        found.until(lambda: found.status().versions == (VersionCount(2, 1),))
        told = json.loads(run("status", found.address, "--json").output)
        assert told["versions"] == {"2": 1} and told["entries"] == 2 and told["slowest"] == []
        follower.close()
        found.until(lambda: found.status().slowest != ())
        lines = run("status", found.address).output.splitlines()
        assert lines[0].startswith("version 2, accepted ") and "2 entries, digest " in lines[0]
        assert lines[1:3] == ["1 dispatchers", "  1 with version 2 in force"]
        assert lines[4].startswith("  dock-7: version 2, behind for 0.0 s, not connected, last heard ")


def test_what_is_refused_is_told_with_file_line_and_reason(tmp_path: Path) -> None:
    changes = tmp_path / "changes.toml"
    with controller(tmp_path) as found:
        found.propose(puts("a1"))
        changes.write_text(
            '[[terms]]\nclass = "news"\nroute = "gone"\ntime_out = "2s"\n[customer.x]\nquota = 1.0\n'
        )
        result = run("apply", str(changes), found.address)
        assert result.exit_code == 2
        first, count = result.stderr.splitlines()
        assert first.startswith(f"{changes}:3: terms.class=news,route=gone.route: unknown ")
        assert count == "1 faults"
        told = json.loads(run("apply", str(changes), found.address, "--json").output)
        assert not told["ok"] and told["faults"][0]["line"] == 3
        changes.write_text('remove = ["endpoint.a1"]\n')
        result = run("apply", str(changes), found.address, "--expect", "0")
        assert result.exit_code == 2 and "version 1 is the newest, not 0" in result.stderr
        changes.write_text("nonsense = 1\n")
        result = run("apply", str(changes), found.address)
        assert result.exit_code == 2 and "nonsense: unknown setting" in result.stderr
        assert found.status().position.version == 1


def test_a_change_with_a_thousand_faults_has_each_told_with_its_line(tmp_path: Path) -> None:
    changes = tmp_path / "changes.toml"
    keys = [f"endpoint.no{number}" for number in range(1000)]
    changes.write_text("remove = [\n" + "".join(f'  "{key}",\n' for key in keys) + "]\n")
    with controller(tmp_path) as found:
        result = run("apply", str(changes), found.address)
        assert result.exit_code == 2
        lines = result.stderr.splitlines()
        assert len(lines) == 1001 and lines[-1] == "1000 faults"
        for place, line in enumerate(lines[:1000]):
            assert line == f"{changes}:{place + 2}: {keys[place]}: cannot be removed: there is no such entry"
        changes.write_text("remove = [\n" + "".join(f'  "{key}x",\n  "{key}",\n' for key in keys) + "]\n")
        lines = run("apply", str(changes), found.address).stderr.splitlines()
        assert lines[1000:] == ["and 1000 more", "2000 faults"]


def test_where_no_controller_answers_the_exit_code_is_one(tmp_path: Path) -> None:
    changes = tmp_path / "changes.toml"
    changes.write_text('remove = ["endpoint.a"]\n')
    with socket.socket() as taken:  # bound, and nothing listens there
        taken.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        for words in (("apply", str(changes), address), ("status", address)):
            result = run(*words)
            assert result.exit_code == 1 and "no answer from" in result.stderr


def test_a_file_without_the_table_is_no_controllers(tmp_path: Path) -> None:
    file = tmp_path / "laureldock.toml"
    text = BASE.format(port=7, pace="1kB").partition("[class.news]")[2]
    file.write_text('[source]\nkind = "controller"\ncontrollers = ["127.0.0.1:7"]\n[class.news]' + text)
    result = CliRunner().invoke(main, ["controller", str(file)])
    assert result.exit_code == 2 and "controller: is missing" in result.stderr

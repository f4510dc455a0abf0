"""What is malformed, endless or too much costs its sender alone: others are served meanwhile."""

from __future__ import annotations

import contextlib
import random
import resource
import signal
import socket
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from controlled import Controller, Follower, Stream, controller, puts, removal

from laureldock.controller import client
from laureldock.controller.server import MAX_COMMANDS, MAX_PROPOSAL_BYTES
from laureldock.replication import messages
from laureldock.replication.messages import (
    MAX_BODY_BYTES,
    MAX_FRAME_BYTES,
    NO_POSITION,
    Accepted,
    FaultReport,
    Heartbeat,
    InForce,
    Message,
    Position,
    Propose,
    Refused,
    Rejected,
    StatusRequest,
    Subscribe,
)
from laureldock.setup.changes import Change, encode_change


def framed(payload: bytes) -> bytes:
    return len(payload).to_bytes(4, "big") + payload


def of(message: Message) -> bytes:
    return framed(messages.encode(message))


SUBSCRIBE = of(Subscribe("bad", NO_POSITION, 0))
BODY = encode_change(puts("x1"))
SPOILT = {
    "not a message": framed(b"GET / HTTP/1.1\r\n\r\n"),
    "an empty frame": framed(b""),
    "a later protocol version": framed(b"lc\x02" + messages.encode(StatusRequest())[3:]),
    "an unknown message": framed(messages.encode(StatusRequest())[:3] + b"\x91\x63"),
    "a message with a wrong field": framed(messages.encode(StatusRequest())[:3] + b"\x93\x01\x05\x05"),
    "nested without end": framed(messages.encode(StatusRequest())[:3] + b"\x91" * 100_000),
    "a frame that is too long": (MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
    "a frame of four gigabytes": b"\xff\xff\xff\xff" + b"x" * 1000,
    "a name that cannot be": of(Subscribe("a b", NO_POSITION, 0)),
    "a heartbeat before it said who it is": of(Heartbeat(NO_POSITION)),
    "an answer": of(Accepted(NO_POSITION, 0)),
    "a dispatcher that proposes": SUBSCRIBE + of(Propose(BODY, True)),
    "a dispatcher's frame that is too long": SUBSCRIBE + (1 << 17).to_bytes(4, "big"),
    "a version that was never accepted": SUBSCRIBE + of(InForce(Position(0, 0), 0)) * 3 + of(StatusRequest()),
    "a second name": SUBSCRIBE + of(Subscribe("other", NO_POSITION, 0)),
    "a dispatcher that sends without end": SUBSCRIBE + of(Heartbeat(NO_POSITION)) * 40_000,
    "two questions": of(Propose(BODY, False)) + of(StatusRequest()),
}


@pytest.fixture
def found(tmp_path: Path) -> Iterator[Controller]:
    with controller(tmp_path) as started:
        yield started


def test_spoilt_frames_cost_their_sender_alone(found: Controller) -> None:
    good = Follower(found.port, "good")
    for place, (name, data) in enumerate(SPOILT.items(), 1):
        bad = Stream(found.port)
        with contextlib.suppress(ConnectionError):  # closed while it wrote
            bad.write(data)
        assert bad.is_closed(3.0), name
        bad.close()
        assert found.propose(puts(f"a{place}")) == place, name
        good.follow(place)
    assert found.status().entries == len(SPOILT)
    assert found.events("stream dropped") and not found.events("fault")


def test_bytes_by_chance_cost_their_sender_alone(found: Controller) -> None:
    chance, good = random.Random(3), Follower(found.port, "good")
    samples = [SUBSCRIBE, of(Propose(BODY, True)), of(StatusRequest()), of(InForce(NO_POSITION, 0))]
    for _ in range(150):
        data = bytearray(b"".join(chance.choices(samples, k=3)))
        for _ in range(chance.randrange(1, 6)):
            data[chance.randrange(len(data))] = chance.randrange(256)
        stream = Stream(found.port)
        stream.write(bytes(data[: chance.randrange(1, len(data) + 1)]))
        stream.close()
    version = found.propose(puts("good"))
    good.follow(version)
    assert not found.events("fault")


def test_streams_that_never_end_are_ended(found: Controller) -> None:
    """Each kind of silence has its bound; a change of which the end is missing is not accepted."""
    good = Follower(found.port, "good")
    silent, half, open_change, subscribed = (Stream(found.port) for _ in range(4))
    half.write(of(StatusRequest())[:-1])
    open_change.send(Propose(BODY, False))
    subscribed.send(Subscribe("mute", NO_POSITION, 0))
    dripping = Stream(found.port)
    dripping.write(SUBSCRIBE + (1000).to_bytes(4, "big"))
    began = time.monotonic()
    while time.monotonic() < began + 7.0:
        good.follow(found.propose(puts(f"a{int(time.monotonic() * 100)}")))
        try:
            dripping.write(b"x")
        except OSError:
            break
        time.sleep(0.2)
    for stream in (silent, half, open_change, subscribed, dripping):
        assert stream.is_closed(1.0)
    status = found.status()
    assert status.position == good.position and status.digest == good.digest
    assert [each.dispatcher for each in status.slowest if not each.connected] == ["bad", "mute"]


def test_a_change_that_is_too_long_is_refused_and_leaves_nothing(found: Controller) -> None:
    good = Follower(found.port, "good")
    parts = MAX_PROPOSAL_BYTES // MAX_BODY_BYTES + 1
    body = encode_change(removal("n" * (MAX_BODY_BYTES - 100)))
    answer = client.request(found.address, (Propose(body, False) for _ in range(parts)))
    assert isinstance(answer, Rejected) and "longer than" in answer.faults[0].reason
    large = encode_change(puts("a1", zone="z" * 70_000))
    answer = client.request(found.address, iter([Propose(large, True)]))
    assert isinstance(answer, Rejected) and "endpoint.a1 is longer than" in answer.faults[0].reason
    answer = client.request(found.address, iter([Propose(b"\xc1", True)]))
    assert isinstance(answer, Rejected) and answer.count == 1
    good.follow(found.propose(puts("a2")))
    assert good.position.version == 1


def test_changes_that_are_proposed_and_left_are_bounded(found: Controller) -> None:
    """Commands that do not wait for their answer hold room until their changes are decided."""
    good = Follower(found.port, "good")
    large = threading.Thread(target=found.propose, args=(puts(*(f"a{number}" for number in range(20_000))),))
    large.start()
    time.sleep(0.5)

    def beat() -> None:  # what is silent for six seconds is closed, and a busy machine takes as long
        good.send(Heartbeat(good.position))

    for number in range(300):
        stream = Stream(found.port)
        stream.send(Propose(encode_change(puts(f"b{number}")), True))
        stream.close()
        beat()
    end = time.monotonic() + 20.0
    while large.is_alive() and time.monotonic() < end:
        large.join(0.5)
        beat()

    def decided() -> bool:
        beat()
        return comes_through(found)

    def level() -> bool:
        """Those that are still decided upon come after one another."""
        good.follow(found.status().position.version)
        return found.status().digest == good.digest

    found.until(decided)
    found.until(level)
    assert found.process
    found.process.send_signal(signal.SIGUSR1)
    found.until(lambda: bool(found.events("counters")))
    counters = found.events("counters")[0]
    assert 1 <= counters["changes accepted"] <= 301 and counters["dispatchers"] == 1
    assert not found.events("fault")


def test_faults_with_long_names_fit_the_answer(found: Controller) -> None:
    change = removal(*("n" * 5000 + str(number) for number in range(900)))
    answer = client.propose(found.address, change)
    assert isinstance(answer, Rejected) and answer.count == 900 and len(answer.faults) > 50


def test_ten_thousand_connections_cost_their_senders_alone(found: Controller) -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = 10_000
    room = soft if soft != resource.RLIM_INFINITY else 1 << 20
    if room < wanted + 500:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, wanted + 500), hard))
        room = min(hard, wanted + 500)
    held: list[socket.socket] = []
    good, command = Follower(found.port, "good"), Stream(found.port)
    command.send(Propose(BODY, False))
    good.follow(0)
    end = time.monotonic() + 6.5
    try:
        while len(held) < min(wanted, room - 500) and time.monotonic() < end:
            for _ in range(500):
                with contextlib.suppress(ConnectionError):  # reset before the connect was seen to be done
                    held.append(socket.create_connection(("127.0.0.1", found.port), 5))
            good.send(Heartbeat(good.position))
            command.send(Propose(encode_change(Change()), False))
        print(f"{len(held)} connections")
        assert len(held) >= 2000
        with pytest.raises(client.UnreachableError):  # no room for one more
            found.status()
        command.send(Propose(encode_change(Change()), True))
        answer = command.receive()
        assert isinstance(answer, Accepted) and answer.position.version == 1
        good.follow(1)
    finally:
        for each in held:
            each.close()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    found.until(lambda: comes_through(found), 4.0)
    dropped = found.events("stream dropped")[-1]
    assert dropped["so_far"] >= len(held) // 2


def comes_through(found: Controller) -> bool:
    try:
        found.status()
    except client.UnreachableError:
        return False
    return True


def test_too_many_commands_and_dispatchers_are_refused(found: Controller) -> None:
    followers = [Follower(found.port, f"d{number}") for number in range(20)]  # [controller] subscribers
    for each in followers:
        each.follow(0)
    more = Stream(found.port)
    more.send(Subscribe("more", NO_POSITION, 0))
    assert more.is_closed(2.0)
    commands = [Stream(found.port) for _ in range(MAX_COMMANDS)]
    for command in commands:
        command.send(Propose(BODY, False))
    time.sleep(0.3)
    with pytest.raises(client.UnreachableError):
        found.status()
    for command in commands:
        command.close()
    found.until(lambda: comes_through(found))
    version = found.propose(puts("a1"))
    for each in followers:
        each.follow(version)


def test_a_dispatcher_that_reads_nothing_is_closed_and_holds_nobody_up(found: Controller) -> None:
    deaf = socket.socket()
    deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    deaf.connect(("127.0.0.1", found.port))
    deaf.sendall(of(Subscribe("deaf", NO_POSITION, 0)))
    good, began, version = Follower(found.port, "good"), time.monotonic(), 0
    while time.monotonic() < began + 1.5:
        version = found.propose(puts(*(f"a{number}" for number in range(400)), zone=str(version)))
        good.follow(version)
        deaf.sendall(of(Heartbeat(NO_POSITION)))
    assert version > 5
    assert found.process
    found.process.send_signal(signal.SIGUSR1)
    found.until(lambda: bool(found.events("counters")))
    assert found.events("counters")[0]["streams paused"] > 0
    status = {each.dispatcher: each for each in found.status().slowest}
    assert status["deaf"].connected
    found.until(lambda: not {each.dispatcher: each for each in found.status().slowest}["deaf"].connected)
    deaf.close()
    assert found.propose(puts("b1")) == version + 1


def test_what_a_dispatcher_refuses_is_told_by_name(found: Controller) -> None:
    good, other = Follower(found.port, "good"), Follower(found.port, "other")
    version = found.propose(puts("a1"))
    for each in (good, other):
        each.follow(version)
    good.send(InForce(good.position, good.digest))
    fault = FaultReport(("endpoint", "a1"), "of an unknown class")
    other.send(Refused(other.position, (fault,)))
    found.until(lambda: found.status().slowest != () and found.status().slowest[0].refused_version == 1)
    slowest = found.status().slowest
    assert [each.dispatcher for each in slowest] == ["other"]
    assert slowest[0].refused_reason == "of an unknown class" and slowest[0].behind_seconds > 0
    assert found.events("change refused by a dispatcher")[0]["dispatcher"] == "other"


def test_an_empty_change_is_none(found: Controller) -> None:
    assert found.propose(Change()) == 0

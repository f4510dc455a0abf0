"""Malformed, endless or excessive input closes only its own connection; others are served meanwhile."""

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


def with_length(payload: bytes) -> bytes:
    return len(payload).to_bytes(4, "big") + payload


def framed_message(message: Message) -> bytes:
    return with_length(messages.encode(message))


SUBSCRIBE = framed_message(Subscribe("bad", NO_POSITION, 0))
BODY = encode_change(puts("x1"))
INVALID_FRAMES = {
    "not a message": with_length(b"GET / HTTP/1.1\r\n\r\n"),
    "an empty frame": with_length(b""),
    "a later protocol version": with_length(b"lc\x02" + messages.encode(StatusRequest())[3:]),
    "an unknown message": with_length(messages.encode(StatusRequest())[:3] + b"\x91\x63"),
    "a message with a wrong field": with_length(messages.encode(StatusRequest())[:3] + b"\x93\x01\x05\x05"),
    "nested too deeply": with_length(messages.encode(StatusRequest())[:3] + b"\x91" * 100_000),
    "a frame that is too long": (MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
    "a frame of four gigabytes": b"\xff\xff\xff\xff" + b"x" * 1000,
    "an invalid name": framed_message(Subscribe("a b", NO_POSITION, 0)),
    "a heartbeat before a subscription": framed_message(Heartbeat(NO_POSITION)),
    "a response": framed_message(Accepted(NO_POSITION, 0)),
    "a dispatcher that proposes": SUBSCRIBE + framed_message(Propose(BODY, True)),
    "a dispatcher's frame that is too long": SUBSCRIBE + (1 << 17).to_bytes(4, "big"),
    "a version that was never accepted": SUBSCRIBE
    + framed_message(InForce(Position(0, 0), 0)) * 3
    + framed_message(StatusRequest()),
    "a second name": SUBSCRIBE + framed_message(Subscribe("other", NO_POSITION, 0)),
    "a dispatcher that exceeds its rate": SUBSCRIBE + framed_message(Heartbeat(NO_POSITION)) * 40_000,
    "two requests": framed_message(Propose(BODY, False)) + framed_message(StatusRequest()),
}


@pytest.fixture
def server(tmp_path: Path) -> Iterator[Controller]:
    with controller(tmp_path) as started:
        yield started


def test_invalid_frames_close_only_their_connection(server: Controller) -> None:
    good = Follower(server.port, "good")
    for index, (name, data) in enumerate(INVALID_FRAMES.items(), 1):
        bad = Stream(server.port)
        with contextlib.suppress(ConnectionError):  # closed during the write
            bad.write(data)
        assert bad.is_closed(3.0), name
        bad.close()
        assert server.propose(puts(f"a{index}")) == index, name
        good.follow(index)
    assert server.status().entries == len(INVALID_FRAMES)
    assert server.events("stream dropped") and not server.events("fault")


def test_random_bytes_affect_only_their_connection(server: Controller) -> None:
    rng, good = random.Random(3), Follower(server.port, "good")
    samples = [
        SUBSCRIBE,
        framed_message(Propose(BODY, True)),
        framed_message(StatusRequest()),
        framed_message(InForce(NO_POSITION, 0)),
    ]
    for _ in range(150):
        data = bytearray(b"".join(rng.choices(samples, k=3)))
        for _ in range(rng.randrange(1, 6)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        stream = Stream(server.port)
        stream.write(bytes(data[: rng.randrange(1, len(data) + 1)]))
        stream.close()
    version = server.propose(puts("good"))
    good.follow(version)
    assert not server.events("fault")


def test_streams_that_never_complete_a_message_time_out(server: Controller) -> None:
    """Each kind of silence has a timeout; a change without its last part is not accepted."""
    good = Follower(server.port, "good")
    silent, half, open_change, subscribed = (Stream(server.port) for _ in range(4))
    half.write(framed_message(StatusRequest())[:-1])
    open_change.send(Propose(BODY, False))
    subscribed.send(Subscribe("mute", NO_POSITION, 0))
    dripping = Stream(server.port)
    dripping.write(SUBSCRIBE + (1000).to_bytes(4, "big"))
    started_at = time.monotonic()
    while time.monotonic() < started_at + 7.0:
        good.follow(server.propose(puts(f"a{int(time.monotonic() * 100)}")))
        try:
            dripping.write(b"x")
        except OSError:
            break
        time.sleep(0.2)
    for stream in (silent, half, open_change, subscribed, dripping):
        assert stream.is_closed(1.0)
    status = server.status()
    assert status.position == good.position and status.digest == good.digest
    assert [each.dispatcher for each in status.slowest if not each.connected] == ["bad", "mute"]


def test_a_change_that_is_too_long_is_refused_and_has_no_effect(server: Controller) -> None:
    good = Follower(server.port, "good")
    parts = MAX_PROPOSAL_BYTES // MAX_BODY_BYTES + 1
    body = encode_change(removal("n" * (MAX_BODY_BYTES - 100)))
    response = client.request(server.address, (Propose(body, False) for _ in range(parts)))
    assert isinstance(response, Rejected) and "longer than" in response.faults[0].reason
    large = encode_change(puts("a1", zone="z" * 70_000))
    response = client.request(server.address, iter([Propose(large, True)]))
    assert isinstance(response, Rejected) and "endpoint.a1 is longer than" in response.faults[0].reason
    response = client.request(server.address, iter([Propose(b"\xc1", True)]))
    assert isinstance(response, Rejected) and response.count == 1
    good.follow(server.propose(puts("a2")))
    assert good.position.version == 1


def test_changes_of_disconnected_commands_are_bounded(server: Controller) -> None:
    """Commands that disconnect early keep their bytes reserved until their changes are decided."""
    good = Follower(server.port, "good")
    large = threading.Thread(target=server.propose, args=(puts(*(f"a{number}" for number in range(20_000))),))
    large.start()
    time.sleep(0.5)

    def send_heartbeat() -> None:  # six seconds of silence close a stream; a busy machine may take longer
        good.send(Heartbeat(good.position))

    for number in range(300):
        stream = Stream(server.port)
        stream.send(Propose(encode_change(puts(f"b{number}")), True))
        stream.close()
        send_heartbeat()
    deadline = time.monotonic() + 20.0
    while large.is_alive() and time.monotonic() < deadline:
        large.join(0.5)
        send_heartbeat()

    def decided() -> bool:
        send_heartbeat()
        return status_available(server)

    def in_sync() -> bool:
        """Changes that are still being decided arrive one after the other."""
        good.follow(server.status().position.version)
        return server.status().digest == good.digest

    server.wait_until(decided)
    server.wait_until(in_sync)
    assert server.process
    server.process.send_signal(signal.SIGUSR1)
    server.wait_until(lambda: bool(server.events("counters")))
    counters = server.events("counters")[0]
    assert 1 <= counters["changes accepted"] <= 301 and counters["dispatchers"] == 1
    assert not server.events("fault")


def test_faults_with_long_names_fit_the_response(server: Controller) -> None:
    change = removal(*("n" * 5000 + str(number) for number in range(900)))
    response = client.propose(server.address, change)
    assert isinstance(response, Rejected) and response.count == 900 and len(response.faults) > 50


def test_ten_thousand_connections_do_not_affect_others(server: Controller) -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = 10_000
    descriptors = soft if soft != resource.RLIM_INFINITY else 1 << 20
    if descriptors < wanted + 500:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, wanted + 500), hard))
        descriptors = min(hard, wanted + 500)
    connections: list[socket.socket] = []
    good, command = Follower(server.port, "good"), Stream(server.port)
    command.send(Propose(BODY, False))
    good.follow(0)
    deadline = time.monotonic() + 6.5
    try:
        while len(connections) < min(wanted, descriptors - 500) and time.monotonic() < deadline:
            for _ in range(500):
                with contextlib.suppress(ConnectionError):  # reset before the connect has returned
                    connections.append(socket.create_connection(("127.0.0.1", server.port), 5))
            good.send(Heartbeat(good.position))
            command.send(Propose(encode_change(Change()), False))
        print(f"{len(connections)} connections")
        assert len(connections) >= 2000
        with pytest.raises(client.UnreachableError):  # the limit of connections is reached
            server.status()
        command.send(Propose(encode_change(Change()), True))
        response = command.receive()
        assert isinstance(response, Accepted) and response.position.version == 1
        good.follow(1)
    finally:
        for each in connections:
            each.close()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    server.wait_until(lambda: status_available(server), 4.0)
    dropped = server.events("stream dropped")[-1]
    assert dropped["so_far"] >= len(connections) // 2


def status_available(server: Controller) -> bool:
    try:
        server.status()
    except client.UnreachableError:
        return False
    return True


def test_too_many_commands_and_dispatchers_are_refused(server: Controller) -> None:
    followers = [Follower(server.port, f"d{number}") for number in range(20)]  # [controller] subscribers
    for each in followers:
        each.follow(0)
    extra = Stream(server.port)
    extra.send(Subscribe("more", NO_POSITION, 0))
    assert extra.is_closed(2.0)
    commands = [Stream(server.port) for _ in range(MAX_COMMANDS)]
    for command in commands:
        command.send(Propose(BODY, False))
    time.sleep(0.3)
    with pytest.raises(client.UnreachableError):
        server.status()
    for command in commands:
        command.close()
    server.wait_until(lambda: status_available(server))
    version = server.propose(puts("a1"))
    for each in followers:
        each.follow(version)


def test_a_dispatcher_that_does_not_read_is_closed_and_delays_no_other(server: Controller) -> None:
    non_reading = socket.socket()
    non_reading.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    non_reading.connect(("127.0.0.1", server.port))
    non_reading.sendall(framed_message(Subscribe("deaf", NO_POSITION, 0)))
    good, started_at, version = Follower(server.port, "good"), time.monotonic(), 0
    while time.monotonic() < started_at + 1.5:
        version = server.propose(puts(*(f"a{number}" for number in range(400)), zone=str(version)))
        good.follow(version)
        non_reading.sendall(framed_message(Heartbeat(NO_POSITION)))
    assert version > 5
    assert server.process
    server.process.send_signal(signal.SIGUSR1)
    server.wait_until(lambda: bool(server.events("counters")))
    assert server.events("counters")[0]["streams paused"] > 0
    status = {each.dispatcher: each for each in server.status().slowest}
    assert status["deaf"].connected
    server.wait_until(
        lambda: not {each.dispatcher: each for each in server.status().slowest}["deaf"].connected
    )
    non_reading.close()
    assert server.propose(puts("b1")) == version + 1


def test_a_refusal_is_reported_with_the_dispatchers_name(server: Controller) -> None:
    good, other = Follower(server.port, "good"), Follower(server.port, "other")
    version = server.propose(puts("a1"))
    for each in (good, other):
        each.follow(version)
    good.send(InForce(good.position, good.digest))
    fault = FaultReport(("endpoint", "a1"), "of an unknown class")
    other.send(Refused(other.position, (fault,)))
    server.wait_until(
        lambda: server.status().slowest != () and server.status().slowest[0].refused_version == 1
    )
    slowest = server.status().slowest
    assert [each.dispatcher for each in slowest] == ["other"]
    assert slowest[0].refused_reason == "of an unknown class" and slowest[0].behind_seconds > 0
    assert server.events("change refused by a dispatcher")[0]["dispatcher"] == "other"


def test_an_empty_change_has_no_effect(server: Controller) -> None:
    assert server.propose(Change()) == 0

"""Traces of a whole in-memory dispatcher, compared with those in `traces/`."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import pytest
from drivers import InMemoryDispatcher
from msgspec.structs import replace

from laureldock.core.messages import StoredMessage
from laureldock.setup.platform import plan_from_platform
from laureldock.setup.units import Address
from laureldock.stores.record_file import RecordFile
from laureldock.stores.spool import Spool

MakeDispatcher = Callable[..., InMemoryDispatcher]


class FakePort:
    """A listening port that records when it stops and starts accepting."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def stopReading(self) -> None:  # noqa: N802
        self.calls.append("stop")

    def startReading(self) -> None:  # noqa: N802
        self.calls.append("start")


@pytest.fixture
def make_dispatcher(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> MakeDispatcher:
    return lambda **changes: InMemoryDispatcher(tmp_path, monkeypatch, **changes)


def test_messages_are_accepted_sent_and_finished(make_dispatcher: MakeDispatcher) -> None:
    dispatcher = make_dispatcher()
    client = dispatcher.connect_client()
    dispatcher.send(client, dispatcher.command("PING"))
    dispatcher.put(client, "m1")
    dispatcher.respond("1", "200 OK")
    dispatcher.rest()
    dispatcher.put(client, "m2")  # on the kept connection
    dispatcher.respond("1", "429 Too Many", "X-RateLimit-Wait-Ms: 400", "X-Load-Report: x0=0.4,x1=25")
    dispatcher.advance(0.6)
    dispatcher.respond("1", "200 OK", "Connection: close")
    assert not dispatcher.core.store.pending
    assert dispatcher.matches_trace("net-served")


def test_each_way_a_connection_ends(make_dispatcher: MakeDispatcher) -> None:
    """Broken before the last byte was written, the call has not run, and once-only is sent again; after that
    it may have run."""
    dispatcher = make_dispatcher(routes="12")
    client = dispatcher.connect_client()
    dispatcher.refusing = {"1", "2"}
    dispatcher.put(client, "m1", "charge")
    dispatcher.refusing = set()
    dispatcher.advance(2.0)
    dispatcher.respond("12", "503 Full")
    dispatcher.advance(2.0)
    dispatcher.break_connection("12")
    dispatcher.advance(0.2)
    assert dispatcher.matches_trace("net-ends")


def test_a_call_not_written_completely_has_not_run(make_dispatcher: MakeDispatcher) -> None:
    dispatcher = make_dispatcher()
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1")
    dispatcher.respond("1", "200 OK")
    dispatcher.rest()
    dispatcher.connections[-1].blocked = True
    dispatcher.put(client, "m2", "charge")
    dispatcher.break_connection("1")
    assert dispatcher.core.store.pending[b"m2"].in_flight_since is None
    dispatcher.advance(2.0)
    dispatcher.respond("1", "200 OK")
    assert dispatcher.matches_trace("net-unwritten")


def test_a_kept_connection_whose_close_is_unread_is_not_used(make_dispatcher: MakeDispatcher) -> None:
    """A once-only message written to it could not be told from one that ran."""
    dispatcher = make_dispatcher()
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1")
    dispatcher.respond("1", "200 OK")
    dispatcher.connections[-1].unread_bytes = b""
    dispatcher.put(client, "m2", "charge")
    assert dispatcher.core.counters["connections opened"] == 2
    assert dispatcher.matches_trace("net-stale")


def test_a_kept_connection_with_an_unread_response_is_not_used(make_dispatcher: MakeDispatcher) -> None:
    """A duplicate of one message's response once passed for the response of the next."""
    dispatcher = make_dispatcher()
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1")
    dispatcher.respond("1", "200 OK")
    dispatcher.connections[-1].unread_bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    dispatcher.put(client, "m2", "charge")
    assert dispatcher.core.counters["connections opened"] == 2


def test_once_only_avoids_connections_idle_as_long_as_those_that_broke(
    make_dispatcher: MakeDispatcher,
) -> None:
    """Receivers closed idle connections, unnoticed: each such break bounced a once-only message and opened
    the circuit of its route."""
    dispatcher = make_dispatcher()
    client = dispatcher.connect_client()
    for number in range(12):
        dispatcher.put(client, f"m{number}")
        dispatcher.respond("1", "200 OK")
        dispatcher.advance(0.4)
        if number % 3 == 2:
            dispatcher.put(client, f"cut{number}")
            dispatcher.break_connection("1")
            dispatcher.respond("1", "200 OK")  # at once: the break does not count against the route
            dispatcher.advance(0.4)
    opened_before = dispatcher.core.counters["connections opened"]
    dispatcher.put(client, "m12")
    dispatcher.respond("1", "200 OK")
    assert dispatcher.core.counters["connections opened"] == opened_before
    dispatcher.advance(0.4)
    dispatcher.put(client, "c1", "charge")
    dispatcher.respond("1", "200 OK")
    dispatcher.rest()
    dispatcher.put(client, "c2", "charge")  # hardly idle
    dispatcher.respond("1", "200 OK")
    assert dispatcher.core.counters["connections opened"] == opened_before + 1


def test_a_message_finished_by_a_notice_is_not_withdrawn(make_dispatcher: MakeDispatcher) -> None:
    """Otherwise the response to its notice finds no message, and its ordering key is never passed on to the
    next."""
    dispatcher = make_dispatcher()
    client = dispatcher.connect_client()
    client.blocked, dispatcher.refusing, dispatcher.accepts_notices = True, {"1"}, False
    dispatcher.put(client, "m1", "order", key="k", lifetime=300)
    dispatcher.advance(0.3)
    dispatcher.disconnect(client)
    dispatcher.refusing, dispatcher.accepts_notices = set(), True
    dispatcher.put(dispatcher.connect_client("other"), "m2", "order", key="k")
    dispatcher.advance(1.0)
    assert dispatcher.matches_trace("net-turn-given-on")


def test_a_connection_established_after_a_requested_wait_or_drain_carries_nothing(
    make_dispatcher: MakeDispatcher,
) -> None:
    dispatcher = make_dispatcher()
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1")
    dispatcher.respond("1", "200 OK")
    dispatcher.rest()
    dispatcher.not_connecting = {"1"}
    dispatcher.put(client, "m2")
    dispatcher.put(client, "m3")
    dispatcher.respond("1", "429 Too Many", "X-RateLimit-Wait-Ms: 300")
    dispatcher.not_connecting = set()
    dispatcher.advance(0.5)
    for _ in range(2):
        dispatcher.respond("1", "200 OK", "Connection: close")
    dispatcher.not_connecting = {"1"}
    dispatcher.put(client, "m4")
    dispatcher.update_list("1", "Terminating", 2)
    dispatcher.not_connecting = set()
    dispatcher.advance(0.2)
    assert dispatcher.matches_trace("net-held-back")


def test_a_connection_established_when_a_tag_is_forgotten_carries_nothing(
    make_dispatcher: MakeDispatcher,
) -> None:
    """The second attempt was decided while the receiver remembered the tag, but its call would have come
    after that."""
    dispatcher = make_dispatcher()
    dispatcher.put(dispatcher.connect_client(), "m1", "stamp")
    dispatcher.advance(0.3)
    dispatcher.not_connecting = {"1"}
    dispatcher.break_connection("1")
    dispatcher.advance(0.75)
    dispatcher.not_connecting = set()
    dispatcher.advance(0.2)
    assert dispatcher.matches_trace("net-forgotten")


def test_a_notice_is_kept_until_it_has_a_response_and_its_key_waits(make_dispatcher: MakeDispatcher) -> None:
    dispatcher = make_dispatcher()
    client = dispatcher.connect_client()
    dispatcher.refusing, dispatcher.accepts_notices = {"1"}, False
    dispatcher.put(client, "m1", "order", key="k", lifetime=400)
    dispatcher.put(client, "m2", "order", key="k")
    dispatcher.advance(0.4)
    dispatcher.refusing = set()
    dispatcher.advance(0.4)  # without a response the notice is sent again, and the key's next message waits
    dispatcher.accepts_notices = True
    dispatcher.advance(1.5)
    dispatcher.respond("1", "200 OK")
    assert not dispatcher.core.store.pending
    assert dispatcher.matches_trace("net-notices")


def test_a_deferral_in_the_turn_that_accepts_a_message_is_the_reply(make_dispatcher: MakeDispatcher) -> None:
    dispatcher = make_dispatcher()
    dispatcher.put(dispatcher.connect_client(), "m1", lifetime=20)
    assert not dispatcher.core.store.pending
    assert dispatcher.matches_trace("net-busy")


def test_a_client_gone_before_its_reply_withdraws_its_message(make_dispatcher: MakeDispatcher) -> None:
    """After a stall, the close is read before the turn, so that nothing is sent."""
    dispatcher = make_dispatcher()
    client = dispatcher.connect_client()
    client.protocol.dataReceived(dispatcher.command("MSG.PUT", "0", "m1", "c=news,d=9000,dest=7", "hello"))
    dispatcher.disconnect(client)
    dispatcher.process_events()
    stuck = dispatcher.connect_client()
    stuck.blocked = True
    dispatcher.put(stuck, "m2")
    dispatcher.disconnect(stuck)
    dispatcher.process_events()
    assert list(dispatcher.core.store.pending) == [b"m2"]  # its client may send it again in a moment
    dispatcher.advance(0.45)
    assert not dispatcher.core.store.pending
    assert dispatcher.matches_trace("net-withdrawn")


def test_a_restart_finds_all_that_the_previous_process_accepted(make_dispatcher: MakeDispatcher) -> None:
    dispatcher = make_dispatcher()
    client = dispatcher.connect_client()
    for name, queue_class in (("m1", "order"), ("m2", "order"), ("m3", "charge"), ("m4", "news")):
        dispatcher.put(client, name, queue_class, key="k" if queue_class == "order" else "0")
        dispatcher.advance(0.05)
    dispatcher.respond("1", "200 OK")
    dispatcher.advance(0.05)
    with (dispatcher.folder / "spool").open("ab") as file:
        file.write(b"\0\0\0\x40torn")
    dispatcher.record("killed")
    dispatcher.now += 1.0
    dispatcher.reactor.advance(1.0)
    dispatcher.start()
    for _ in range(2):
        dispatcher.advance(0.1)
        dispatcher.respond("1", "200 OK")
    assert not dispatcher.core.store.pending
    assert dispatcher.matches_trace("net-restart")


def test_clients_are_accepted_while_notices_are_pending_and_their_keys_wait(
    make_dispatcher: MakeDispatcher,
) -> None:
    """No client was once accepted for as long as the notices of the previous process had no response."""
    dispatcher = make_dispatcher()
    dispatcher.accepts_notices, dispatcher.refusing = False, {"1"}
    dispatcher.put(dispatcher.connect_client(), "m1", "order", key="k", lifetime=300)
    dispatcher.advance(0.4)
    dispatcher.record("killed")
    dispatcher.reactor.tcpServers.clear()
    dispatcher.refusing = set()
    dispatcher.start()
    assert dispatcher.reactor.tcpServers
    client = dispatcher.connect_client()
    dispatcher.put(client, "m2", "order", key="k")
    dispatcher.put(client, "m3", "order", key="other")
    dispatcher.advance(0.4)
    dispatcher.accepts_notices = True
    dispatcher.advance(1.1)
    dispatcher.respond("1", "200 OK")
    dispatcher.rest()
    dispatcher.respond("1", "200 OK")
    assert not dispatcher.core.store.pending and not dispatcher.core.policy.key_order.queues
    assert dispatcher.matches_trace("net-owed-notices")


def test_malformed_requests_get_one_error_and_a_close_unknown_ones_an_error(
    make_dispatcher: MakeDispatcher,
) -> None:
    dispatcher = make_dispatcher()
    put = dispatcher.command("MSG.PUT", "0", "m1", "c=news,d=9000,dest=7", "hello")
    bad = [
        b"*9999999999\r\n", b"*2\r\n:5\r\n", b"*1\r\n$-1\r\n", b"*1\r\n$70000\r\n", b"*1\r\n$1\r\nabc",
        b"x" * 2000, b"SNEEZE\r\n", b"\xff\xfe\r\n" * 3, put.replace(b"m1", b"\r\n"),
        put.replace(b"news", b"nope"), put.replace(b"dest=7", b"dest=x"),
    ]  # fmt: skip
    for data in [*bad, put.replace(b"dest=7", b"dest=8"), put * 40]:
        dispatcher.send(dispatcher.connect_client(), data)
    dispatcher.send(dispatcher.connect_client("good"), put)
    assert dispatcher.matches_trace("net-malformed")


def test_clients_without_a_complete_request_get_an_error_and_are_closed_in_time(
    make_dispatcher: MakeDispatcher,
) -> None:
    """They once held half of the sockets for good, and no other client was accepted."""
    dispatcher = make_dispatcher()
    silent, half, kept_client = (
        dispatcher.connect_client("silent"),
        dispatcher.connect_client("half"),
        dispatcher.connect_client("kept"),
    )
    dispatcher.send(half, b"*5\r\n$7\r\nMSG")
    dispatcher.put(kept_client, "m1")
    never_closing = dispatcher.connect_client("deaf")
    never_closing.ignores_close = True
    dispatcher.send(never_closing, b"*1\r\n$60000000\r\n")
    for _ in range(4):
        dispatcher.advance(0.6)
        dispatcher.send(never_closing, b"x" * 5000)
    assert (
        silent not in dispatcher.connections
        and half not in dispatcher.connections
        and kept_client in dispatcher.connections
        and never_closing in dispatcher.connections
    )
    dispatcher.send(kept_client, b"*1\r\n")
    dispatcher.advance(3.0)
    assert never_closing not in dispatcher.connections and kept_client not in dispatcher.connections
    assert dispatcher.matches_trace("net-half")


def test_answered_clients_are_closed_before_others_find_no_connection(
    make_dispatcher: MakeDispatcher,
) -> None:
    """They were once closed after two seconds only, and clients limited in their connections had none for
    requests."""
    dispatcher = make_dispatcher()
    silent = [dispatcher.connect_client("silent") for _ in range(5)]
    answered = [dispatcher.connect_client(f"c{number}") for number in range(20)]
    for number, client in enumerate(answered):
        dispatcher.put(client, f"m{number}")
    answered[0].unread_bytes = b"*"  # the next request is on its way
    dispatcher.advance(0.3)
    remaining = [client for client in answered if client in dispatcher.connections]
    assert remaining == [answered[0], *answered[11:]]  # a sixth of the sockets
    assert all(client in dispatcher.connections for client in silent)


def test_clients_beyond_half_of_the_sockets_wait_to_be_accepted(make_dispatcher: MakeDispatcher) -> None:
    """They were once accepted and closed, which loses a message whose request is already written."""
    dispatcher = make_dispatcher()
    clients = [dispatcher.connect_client(f"c{number}") for number in range(31)]
    fake = dispatcher.front.port = FakePort()  # type: ignore[assignment]
    clients.append(dispatcher.connect_client("c31"))  # of 64 sockets
    assert fake.calls == ["stop"]
    dispatcher.disconnect(clients.pop())
    assert fake.calls == ["stop", "start"]


def test_idle_connections_to_receivers_are_closed_for_clients(make_dispatcher: MakeDispatcher) -> None:
    dispatcher = make_dispatcher()
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1")
    dispatcher.respond("1", "200 OK")
    dispatcher.rest()
    dispatcher.put(client, "m2")
    dispatcher.put(client, "m3")
    dispatcher.respond("1", "200 OK")
    dispatcher.respond("1", "200 OK")
    dispatcher.assembly.room.max_sockets = 5
    dispatcher.connect_client("second")
    dispatcher.process_events()
    assert len([connection for connection in dispatcher.connections if connection.name == "1"]) == 2
    dispatcher.connect_client("third")  # the third and fourth of five sockets
    dispatcher.process_events()
    assert len([connection for connection in dispatcher.connections if connection.name == "1"]) == 1


def test_closing_an_idle_connection_looks_at_idle_connections_alone(make_dispatcher: MakeDispatcher) -> None:
    """All routes were once iterated over for each connection when no socket was free: 5.8 ms a message at
    32,000 routes."""
    dispatcher = make_dispatcher(routes="123456789")
    client = dispatcher.connect_client()
    for number in range(3):
        dispatcher.put(client, f"m{number}")
        waiting = next(line for line in reversed(dispatcher.lines) if "POST" in line)
        dispatcher.respond(waiting.split("-> ")[1].partition(":")[0], "200 OK")
        dispatcher.rest()
    receivers = dispatcher.assembly.carrier
    idle_connections = [(since, line) for pool in receivers.pools.values() for since, line in pool.idle]
    oldest = [line for _, line in sorted(idle_connections, key=lambda each: each[0])]
    assert list(receivers.all_idle) == oldest and len(oldest) > 1
    dispatcher.assembly.room.max_sockets = (
        dispatcher.assembly.room.clients + dispatcher.assembly.room.receivers
    )
    receivers.pools = None  # type: ignore[assignment]  # iterating over them fails
    receivers.make_room()
    assert list(receivers.all_idle) == oldest[1:] and oldest[0].closed


def test_pipelined_requests_are_answered_in_order(make_dispatcher: MakeDispatcher) -> None:
    dispatcher = make_dispatcher()
    data = dispatcher.command("PING") + dispatcher.command(
        "MSG.PUT", "0", "m1", "c=news,d=9000,dest=7", "x\r\ny"
    )
    client = dispatcher.connect_client()
    for place in range(len(data)):
        dispatcher.send(client, data[place : place + 1])
    dispatcher.send(client, data.replace(b"m1", b"m2") + data.replace(b"m1", b"m3") + b"ping\r\n")
    assert dispatcher.matches_trace("net-pipelined")


def test_malformed_responses_end_their_attempt_alone(make_dispatcher: MakeDispatcher) -> None:
    dispatcher = make_dispatcher(routes="12345678")
    client = dispatcher.connect_client()
    texts = [
        b"SMTP ready\r\n", b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 70,
        b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n", b"\0" * 9000,
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut",
        b"HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\ncut",
        b"HTTP/1.1 429 Too Many\r\nX-RateLimit-Wait-Ms 400\r\n",
        b"HTTP/1.1 410 Gone\r\nContent-Length: 3000000000\r\n\r\n",
        b"HTTP/1.1 200 OK\nContent-Length: 0\n\n", b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nnot more",
    ]  # fmt: skip
    for number, text in enumerate(texts):
        dispatcher.put(client, f"m{number}", "charge")
        connection = dispatcher.waiting_connection("12345678")
        connection.awaits_response = False
        dispatcher.record(f"{connection.name}: {text[:60]!r}")
        dispatcher.send(connection, text)
        if text.endswith(b"cut"):
            dispatcher.disconnect(connection)
            dispatcher.process_events()
        dispatcher.advance(0.2)
    ends = {name: count for name, count in sorted(dispatcher.core.counters.items()) if "ended" in name}
    dispatcher.record(str(ends))
    dispatcher.advance(1.5)  # the rest of the last response is not waited for any longer
    assert dispatcher.matches_trace("net-bad-answers")


def test_unexpected_bytes_end_a_kept_connection(make_dispatcher: MakeDispatcher) -> None:
    """Noise without an end of line was once read as the start of the next response."""
    dispatcher = make_dispatcher()
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1")
    dispatcher.respond("1", "200 OK")
    dispatcher.send(dispatcher.connections[-1], b"noise")
    dispatcher.put(client, "m2", "charge")
    dispatcher.respond("1", "200 OK")
    assert dispatcher.core.counters["relayed"] == 2 and dispatcher.core.counters["connections opened"] == 2


def test_the_list_and_the_notices_move_to_a_reloaded_address(make_dispatcher: MakeDispatcher) -> None:
    """SIGHUP once ended the process."""
    dispatcher = make_dispatcher()
    dispatcher.refusing, dispatcher.accepts_notices = {"1"}, False
    dispatcher.put(dispatcher.connect_client(), "m1", lifetime=300)
    dispatcher.advance(0.4)
    old = dispatcher.waiting_connection("list")

    dispatcher.assembly.report_refused_configuration(["nothing there"])
    assert old in dispatcher.connections
    dispatcher.record("moved")
    plan, new_address = dispatcher.plan, Address("127.0.0.8:9")
    source, outlet = replace(plan.source, address=new_address), replace(plan.outlet, address=new_address)
    dispatcher.assembly.apply_platform_settings(replace(plan, source=source, outlet=outlet))
    dispatcher.process_events()
    assert old not in dispatcher.connections and old.disconnected
    dispatcher.accepts_notices = True
    dispatcher.respond("new list", "200 OK", body=json.dumps(dispatcher.endpoint_list("2", seq=1)))
    dispatcher.advance(0.1)
    assert list(dispatcher.core.registry.routes) == ["r2"] and not dispatcher.core.store.pending
    assert dispatcher.matches_trace("net-moved")


def test_a_malformed_list_update_counts_as_failed_and_the_full_list_is_requested(
    make_dispatcher: MakeDispatcher,
) -> None:
    dispatcher = make_dispatcher()
    dispatcher.answers_list = False
    dispatcher.advance(0.1)
    dispatcher.respond(
        "list", "200 OK", body='{"seq":2,"whole":false,"hosts":[{"host":"r2","dial":"nowhere"}]}'
    )
    dispatcher.advance(0.35)
    dispatcher.respond("list", "500 Sorry")
    dispatcher.advance(0.4)
    dispatcher.advance(1.2)  # no response: requested anew, each time on a new connection
    dispatcher.respond("list", "200 OK", body='{"seq":1,"whole":true,"hosts":[]}')
    # The response to a watch, without any delay.
    dispatcher.respond("list", "200 OK", body='{"seq":1,"whole":false,"hosts":[]}')
    dispatcher.advance(0.4)
    dispatcher.update_list("12", "Ready", 3)
    assert len(dispatcher.core.registry.routes) == 2
    assert dispatcher.matches_trace("net-list")


@pytest.mark.parametrize(
    ("field", "value"),
    [("block", [7]), ("block", 1e999), ("share", 1e999), ("share", "much"), ("health", "Fine"), ("dial", 5)],
)
def test_a_malformed_entry_leaves_the_list_unchanged(
    make_dispatcher: MakeDispatcher, field: str, value: object
) -> None:
    """An exception after the parsing of the list once ended its watch for good."""
    dispatcher = make_dispatcher()
    dispatcher.answers_list = False
    endpoint_list = dispatcher.endpoint_list("12", seq=2)
    endpoint_list["hosts"][1][field] = value
    dispatcher.respond("list", "200 OK", body=json.dumps(endpoint_list))
    assert list(dispatcher.core.registry.routes) == ["r1"]
    dispatcher.advance(0.35)
    dispatcher.respond("list", "200 OK", body=json.dumps(dispatcher.endpoint_list("12", seq=2)))
    assert list(dispatcher.core.registry.routes) == ["r1", "r2"]


def test_responses_that_arrived_together_are_read_before_the_turn(make_dispatcher: MakeDispatcher) -> None:
    """After a stall of two seconds, the turn for one response once took the others, still unread, for
    timeouts."""
    dispatcher = make_dispatcher(routes="12")
    client = dispatcher.connect_client()
    for number in range(6):
        dispatcher.put(client, f"m{number}")
        if number < 3:
            dispatcher.respond("12", "200 OK")
            dispatcher.rest()
    dispatcher.record("stalled for three seconds")
    dispatcher.now += 3.0
    waiting = [
        connection
        for connection in dispatcher.connections
        if connection.name in "12" and connection.awaits_response
    ]
    dispatcher.reactor.rightNow += 3.0
    for connection in waiting:
        connection.awaits_response = False
        connection.protocol.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    dispatcher.process_events()
    assert len(waiting) == 3
    assert dispatcher.core.counters["relayed"] == 6
    assert dispatcher.matches_trace("net-stall")


def test_a_planned_stop_accepts_new_messages_and_defers_those_that_wait(
    make_dispatcher: MakeDispatcher,
) -> None:
    dispatcher = make_dispatcher()
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1")
    dispatcher.put(client, "m2")
    dispatcher.record("told to stop")
    stopped: list[float] = []
    dispatcher.assembly.stop().addCallback(lambda _: stopped.append(round(dispatcher.now - 100, 2)))
    dispatcher.advance(0.3)
    dispatcher.put(client, "m3")
    dispatcher.advance(2.0)
    dispatcher.respond("1", "200 OK")
    dispatcher.advance(0.1)
    assert stopped and stopped[0] < 3.7
    assert dispatcher.matches_trace("net-stop")


def test_a_stop_defers_messages_that_wait_for_a_route_with_an_open_circuit(
    make_dispatcher: MakeDispatcher,
) -> None:
    """The process once ended as soon as no call was in flight, and waiting messages remained until its next
    start."""
    dispatcher = make_dispatcher()
    dispatcher.refusing = {"1"}
    client = dispatcher.connect_client()
    for number in range(3):
        dispatcher.put(client, f"m{number}")
        dispatcher.advance(0.7)
    dispatcher.assembly.stop()
    dispatcher.advance(2.0)
    assert not dispatcher.core.store.pending
    assert dispatcher.matches_trace("net-stop-waiting")


def test_a_stop_with_silent_receivers_ends_in_time_and_keeps_messages_in_flight(
    make_dispatcher: MakeDispatcher,
) -> None:
    dispatcher = make_dispatcher()
    dispatcher.put(dispatcher.connect_client(), "m1", "charge")
    stopped: list[float] = []
    dispatcher.assembly.stop().addCallback(lambda _: stopped.append(dispatcher.now - 100))
    dispatcher.advance(3.6)
    assert stopped and dispatcher.core.store.pending[b"m1"].in_flight_since


def test_the_spool_stays_within_its_disk_limit_and_refuses_messages(tmp_path: Path) -> None:
    disk = 60_000
    spool = Spool(tmp_path, disk)
    spool.open()
    most_bytes, refused = 0, 0
    for number in range(400):
        name = b"m%d" % number
        accepted = spool.accept(StoredMessage(name, "k", "news", "x", b"", 7, 1e9, bytes(3000)))
        refused += not accepted
        for _ in range(3 if accepted else 0):
            spool.record_attempt_start(name, 1e9, "r1")
            spool.record_not_run(name)
        if number >= 5:
            spool.record_finished(b"m%d" % (number - 5))
        most_bytes = max(most_bytes, sum(-(-file.stat().st_size // 512) * 512 for file in tmp_path.iterdir()))
    assert 0 < refused < 400 and most_bytes <= disk
    remaining = {
        name: (message.attempts, message.first_may_have_run_at, message.in_flight_since, len(message.body))
        for name, message in spool.pending.items()
    }
    spool.close()
    again = Spool(tmp_path, disk)
    assert (
        remaining
        == {
            n: (o.attempts, o.first_may_have_run_at, o.in_flight_since, len(o.body))
            for n, o in again.pending.items()
        }
        and remaining
    )


def test_a_full_spool_refuses_messages(make_dispatcher: MakeDispatcher) -> None:
    dispatcher = make_dispatcher(disk=3900)
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1")
    assert isinstance(dispatcher.core.store, Spool) and dispatcher.core.store.content.reserved_bytes == 0
    assert dispatcher.matches_trace("net-full")


def test_while_the_spool_cannot_be_written_new_messages_are_refused_and_held_ones_wait(
    make_dispatcher: MakeDispatcher, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nothing is sent without a record in the spool. A held message once went back to its client after a few
    attempts that never began."""

    def full(*_: object) -> None:
        raise OSError("no space left")

    dispatcher = make_dispatcher()
    client = dispatcher.connect_client()
    dispatcher.not_connecting = {"1"}
    dispatcher.put(client, "m1", "charge")
    with monkeypatch.context() as broken:
        broken.setattr(RecordFile, "append_all", full)
        dispatcher.put(client, "m2")
        dispatcher.not_connecting = set()
        dispatcher.advance(3.0)
        dispatcher.record("the spool can be written again")
    assert list(dispatcher.core.store.pending) == [b"m1"]
    dispatcher.advance(0.1)
    dispatcher.respond("1", "200 OK")
    assert not dispatcher.core.store.pending
    dispatcher.rest()
    dispatcher.put(client, "m3")
    assert dispatcher.matches_trace("net-disk")


def test_reloaded_settings_add_and_remove_classes_and_pending_messages_keep_theirs(
    make_dispatcher: MakeDispatcher, tmp_path: Path
) -> None:
    """A reload of the platform's settings by SIGHUP once changed the list's address alone: a new class was
    unknown."""
    dispatcher = make_dispatcher()
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1", "charge")
    config = tmp_path / "config.json"
    environment = {
        "LB_CONFIG": str(config),
        "LB_STATE": str(dispatcher.folder),
        "LB_DISCOVERY": "127.0.0.9:9",
    }
    document = json.loads(config.read_text())
    document["discovery"] = "127.0.0.9:10"  # moved: the file takes precedence over the environment
    classes = [entry for entry in document["settings"]["classes"] if entry["name"] != "charge"]
    classes.append({**classes[0], "name": "fresh"})
    document["settings"] = {**document["settings"], "classes": classes}
    document["settings"]["limits"] = {**document["settings"]["limits"], "max_attempts": 2}
    config.write_text(json.dumps(document))
    dispatcher.record("retold")
    dispatcher.assembly.apply_platform_settings(plan_from_platform(environment, reload=True)[0])
    dispatcher.put(client, "m2", "fresh")
    dispatcher.put(client, "m3", "charge")
    dispatcher.respond("1", "500 Internal Server Error")
    dispatcher.advance(0.1)
    dispatcher.respond("1", "200 OK")
    dispatcher.advance(0.1)
    figures = dispatcher.core.operator_metrics()
    assert figures["requests"]["charge"]["failed"] == 2 and figures["requests"]["fresh"]["served"] == 1
    assert figures["reloads_ok"] == 1
    assert dispatcher.core.registry.settings.max_attempts == 2
    assert dispatcher.assembly.plan.source.address == "127.0.0.9:10"
    assert dispatcher.matches_trace("net-retold")

    for name, text in {
        "empty": "",
        "cut short": json.dumps(document)[:-9],
        "no key": json.dumps({**document, "settings": {**document["settings"], "limits": {}}}),
        "deadline": json.dumps(document).replace('"deadline_ns": 9000000000.0', '"deadline_ns": 0', 1),
        "attempts": json.dumps(document).replace('"max_attempts": 2', '"max_attempts": "2"'),
    }.items():
        config.write_text(text)
        with pytest.raises(ValueError):
            plan_from_platform(environment, reload=True)
            pytest.fail(name)

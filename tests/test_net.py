"""Short traces of the whole dispatcher, compared with those in `traces/`; none of its peers is real."""

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

Port = Callable[..., InMemoryDispatcher]


class Accepting:
    """A listening port that notes whether it accepts."""

    def __init__(self) -> None:
        self.calls: list[str] = []

    def stopReading(self) -> None:  # noqa: N802
        self.calls.append("stop")

    def startReading(self) -> None:  # noqa: N802
        self.calls.append("start")


@pytest.fixture
def port(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Port:
    return lambda **changes: InMemoryDispatcher(tmp_path, monkeypatch, **changes)


def test_a_mail_is_taken_on_sent_and_over(port: Port) -> None:
    dispatcher = port()
    client = dispatcher.connect_client()
    dispatcher.send(client, dispatcher.command("PING"))
    dispatcher.put(client, "m1")
    dispatcher.respond("1", "200 OK")
    dispatcher.put(client, "m2")  # on the kept connection
    dispatcher.respond("1", "429 Too Many", "X-RateLimit-Wait-Ms: 400", "X-Load-Report: x0=0.4,x1=25")
    dispatcher.advance(0.6)
    dispatcher.respond("1", "200 OK", "Connection: close")
    assert not dispatcher.core.store.owed
    assert dispatcher.matches_trace("net-served")


def test_every_end_of_a_connection(port: Port) -> None:
    """Broken before the last byte: it has not run, and once-only goes again; after that it may have."""
    dispatcher = port(routes="12")
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


def test_what_was_not_written_whole_has_not_run(port: Port) -> None:
    dispatcher = port()
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1")
    dispatcher.respond("1", "200 OK")
    dispatcher.connections[-1].blocked = True
    dispatcher.put(client, "m2", "charge")
    dispatcher.break_connection("1")
    assert dispatcher.core.store.owed[b"m2"].out is None
    dispatcher.advance(2.0)
    dispatcher.respond("1", "200 OK")
    assert dispatcher.matches_trace("net-unwritten")


def test_a_kept_connection_whose_close_has_come_is_not_used(port: Port) -> None:
    """A once-only mail written to it could not be told from one that ran."""
    dispatcher = port()
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1")
    dispatcher.respond("1", "200 OK")
    dispatcher.connections[-1].unread_bytes = b""
    dispatcher.put(client, "m2", "charge")
    assert dispatcher.core.counters["connections opened"] == 2
    assert dispatcher.matches_trace("net-stale")


def test_a_kept_connection_with_a_second_copy_unread_is_not_used(port: Port) -> None:
    """The copy of one mail's answer once passed for that of the next."""
    dispatcher = port()
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1")
    dispatcher.respond("1", "200 OK")
    dispatcher.connections[-1].unread_bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    dispatcher.put(client, "m2", "charge")
    assert dispatcher.core.counters["connections opened"] == 2


def test_what_may_not_go_twice_keeps_off_connections_like_those_that_broke_at_rest(port: Port) -> None:
    """Receivers closed what rested, unseen: each such break bounced a once-only mail and shut its route."""
    dispatcher = port()
    client = dispatcher.connect_client()
    for number in range(12):
        dispatcher.put(client, f"m{number}")
        dispatcher.respond("1", "200 OK")
        dispatcher.advance(0.4)
        if number % 3 == 2:
            dispatcher.put(client, f"cut{number}")
            dispatcher.break_connection("1")
            dispatcher.respond("1", "200 OK")  # at once: the break said nothing of the route
            dispatcher.advance(0.4)
    opened = dispatcher.core.counters["connections opened"]
    dispatcher.put(client, "m12")
    dispatcher.respond("1", "200 OK")
    assert dispatcher.core.counters["connections opened"] == opened
    dispatcher.advance(0.4)
    dispatcher.put(client, "c1", "charge")
    dispatcher.respond("1", "200 OK")
    dispatcher.put(client, "c2", "charge")  # no rest to speak of
    dispatcher.respond("1", "200 OK")
    assert dispatcher.core.counters["connections opened"] == opened + 1


def test_a_mail_ended_by_notice_is_not_withdrawn(port: Port) -> None:
    """Its key's turn was never given on: the answer of its notice found no mail."""
    dispatcher = port()
    client = dispatcher.connect_client()
    client.blocked, dispatcher.refusing, dispatcher.accepts_notices = True, {"1"}, False
    dispatcher.put(client, "m1", "order", key="k", lifetime=300)
    dispatcher.advance(0.3)
    dispatcher.disconnect(client)
    dispatcher.refusing, dispatcher.accepts_notices = set(), True
    dispatcher.put(dispatcher.connect_client("other"), "m2", "order", key="k")
    dispatcher.advance(1.0)
    assert dispatcher.matches_trace("net-turn-given-on")


def test_a_connection_up_after_a_wait_or_drain_was_told_carries_nothing(port: Port) -> None:
    dispatcher = port()
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1")
    dispatcher.respond("1", "200 OK")
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


def test_a_connection_up_when_a_tag_is_forgotten_carries_nothing(port: Port) -> None:
    """The decision to go again was taken within the tag's memory, the call would have come after it."""
    dispatcher = port()
    dispatcher.put(dispatcher.connect_client(), "m1", "stamp")
    dispatcher.advance(0.3)
    dispatcher.not_connecting = {"1"}
    dispatcher.break_connection("1")
    dispatcher.advance(0.75)
    dispatcher.not_connecting = set()
    dispatcher.advance(0.2)
    assert dispatcher.matches_trace("net-forgotten")


def test_a_notice_is_kept_until_it_is_answered_and_its_key_waits(port: Port) -> None:
    dispatcher = port()
    client = dispatcher.connect_client()
    dispatcher.refusing, dispatcher.accepts_notices = {"1"}, False
    dispatcher.put(client, "m1", "order", key="k", lifetime=400)
    dispatcher.put(client, "m2", "order", key="k")
    dispatcher.advance(0.4)
    dispatcher.refusing = set()
    dispatcher.advance(0.4)  # the notice has no answer: it is sent again, and the key's next mail waits
    dispatcher.accepts_notices = True
    dispatcher.advance(1.5)
    dispatcher.respond("1", "200 OK")
    assert not dispatcher.core.store.owed
    assert dispatcher.matches_trace("net-notices")


def test_a_deferral_in_the_turn_that_took_a_mail_is_the_answer(port: Port) -> None:
    dispatcher = port()
    dispatcher.put(dispatcher.connect_client(), "m1", lifetime=20)
    assert not dispatcher.core.store.owed
    assert dispatcher.matches_trace("net-busy")


def test_a_client_gone_before_its_answer_withdraws_its_mail(port: Port) -> None:
    """After a stall the close is read before the turn, so that nothing is sent."""
    dispatcher = port()
    client = dispatcher.connect_client()
    client.protocol.dataReceived(dispatcher.command("MSG.PUT", "0", "m1", "c=news,d=9000,dest=7", "hello"))
    dispatcher.disconnect(client)
    dispatcher.process_events()
    stuck = dispatcher.connect_client()
    stuck.blocked = True
    dispatcher.put(stuck, "m2")
    dispatcher.disconnect(stuck)
    dispatcher.process_events()
    assert list(dispatcher.core.store.owed) == [b"m2"]  # its client may come again in a moment
    dispatcher.advance(0.45)
    assert not dispatcher.core.store.owed
    assert dispatcher.matches_trace("net-withdrawn")


def test_a_new_life_owes_what_the_last_one_took_on(port: Port) -> None:
    dispatcher = port()
    client = dispatcher.connect_client()
    for name, sort in (("m1", "order"), ("m2", "order"), ("m3", "charge"), ("m4", "news")):
        dispatcher.put(client, name, sort, key="k" if sort == "order" else "0")
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
    assert not dispatcher.core.store.owed
    assert dispatcher.matches_trace("net-restart")


def test_clients_come_while_notices_are_owed_and_a_key_waits_for_its_notice(port: Port) -> None:
    """The door once stayed shut for as long as nobody answered the notices of the life before."""
    dispatcher = port()
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
    dispatcher.respond("1", "200 OK")
    assert not dispatcher.core.store.owed and not dispatcher.core.control.key_queues
    assert dispatcher.matches_trace("net-owed-notices")


def test_what_cannot_be_read_gets_one_error_and_the_close_and_what_is_unknown_an_error(port: Port) -> None:
    dispatcher = port()
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


def test_clients_that_ask_nothing_whole_are_told_and_closed_in_time(port: Port) -> None:
    """They once held half of the sockets for good, and no other client was accepted."""
    dispatcher = port()
    silent, half, kept = (
        dispatcher.connect_client("silent"),
        dispatcher.connect_client("half"),
        dispatcher.connect_client("kept"),
    )
    dispatcher.send(half, b"*5\r\n$7\r\nMSG")
    dispatcher.put(kept, "m1")
    deaf = dispatcher.connect_client("deaf")
    deaf.ignores_close = True
    dispatcher.send(deaf, b"*1\r\n$60000000\r\n")
    for _ in range(4):
        dispatcher.advance(0.6)
        dispatcher.send(deaf, b"x" * 5000)
    assert (
        silent not in dispatcher.connections
        and half not in dispatcher.connections
        and kept in dispatcher.connections
        and deaf in dispatcher.connections
    )
    dispatcher.send(kept, b"*1\r\n")
    dispatcher.advance(3.0)
    assert deaf not in dispatcher.connections and kept not in dispatcher.connections
    assert dispatcher.matches_trace("net-half")


def test_answered_clients_give_way_before_others_find_no_connection(port: Port) -> None:
    """They were closed after two seconds; clients that may hold no more had none to ask on."""
    dispatcher = port()
    silent = [dispatcher.connect_client("silent") for _ in range(5)]
    answered = [dispatcher.connect_client(f"c{number}") for number in range(20)]
    for number, client in enumerate(answered):
        dispatcher.put(client, f"m{number}")
    answered[0].unread_bytes = b"*"  # the next request is on its way
    dispatcher.advance(0.3)
    left = [client for client in answered if client in dispatcher.connections]
    assert left == [answered[0], *answered[11:]]  # a sixth of the sockets
    assert all(client in dispatcher.connections for client in silent)


def test_clients_over_half_of_the_sockets_wait_unaccepted(port: Port) -> None:
    """They were once accepted and closed, which loses a mail whose request is already written."""
    dispatcher = port()
    clients = [dispatcher.connect_client(f"c{number}") for number in range(31)]
    fake = dispatcher.front.port = Accepting()  # type: ignore[assignment]
    clients.append(dispatcher.connect_client("c31"))  # of 64 sockets
    assert fake.calls == ["stop"]
    dispatcher.disconnect(clients.pop())
    assert fake.calls == ["stop", "start"]


def test_idle_connections_give_way_to_clients(port: Port) -> None:
    dispatcher = port()
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1")
    dispatcher.respond("1", "200 OK")
    dispatcher.put(client, "m2")
    dispatcher.put(client, "m3")
    dispatcher.respond("1", "200 OK")
    dispatcher.respond("1", "200 OK")
    dispatcher.assembly.room.most = 5
    dispatcher.connect_client("second")
    dispatcher.process_events()
    assert len([connection for connection in dispatcher.connections if connection.name == "1"]) == 2
    dispatcher.connect_client("third")  # the third and fourth of five
    dispatcher.process_events()
    assert len([connection for connection in dispatcher.connections if connection.name == "1"]) == 1


def test_room_is_made_by_a_look_at_idle_connections_alone(port: Port) -> None:
    """All routes were walked for each connection once there was no room: 5.8 ms a mail at 32,000 routes."""
    dispatcher = port(routes="123456789")
    client = dispatcher.connect_client()
    for number in range(3):
        dispatcher.put(client, f"m{number}")
        asked = next(line for line in reversed(dispatcher.lines) if "POST" in line)
        dispatcher.respond(asked.split("-> ")[1].partition(":")[0], "200 OK")
        dispatcher.reactor.advance(0.01)
    receivers = dispatcher.assembly.receivers
    rested = [(since, line) for pool in receivers.pools.values() for since, line in pool.idle]
    oldest = [line for _, line in sorted(rested, key=lambda each: each[0])]
    assert list(receivers.resting) == oldest and len(oldest) > 1
    dispatcher.assembly.room.most = dispatcher.assembly.room.clients + dispatcher.assembly.room.receivers
    receivers.pools = None  # type: ignore[assignment]  # whoever walks them fails
    receivers.spare()
    assert list(receivers.resting) == oldest[1:] and oldest[0].closed


def test_pipelined_requests_are_answered_in_turn(port: Port) -> None:
    dispatcher = port()
    data = dispatcher.command("PING") + dispatcher.command(
        "MSG.PUT", "0", "m1", "c=news,d=9000,dest=7", "x\r\ny"
    )
    client = dispatcher.connect_client()
    for place in range(len(data)):
        dispatcher.send(client, data[place : place + 1])
    dispatcher.send(client, data.replace(b"m1", b"m2") + data.replace(b"m1", b"m3") + b"ping\r\n")
    assert dispatcher.matches_trace("net-pipelined")


def test_bad_answers_end_the_connect_alone(port: Port) -> None:
    dispatcher = port(routes="12345678")
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
    dispatcher.advance(1.5)  # what is left of the last answer is not waited for longer
    assert dispatcher.matches_trace("net-bad-answers")


def test_what_comes_unasked_ends_a_kept_connection(port: Port) -> None:
    """Noise without an end of line once stood before the next answer."""
    dispatcher = port()
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1")
    dispatcher.respond("1", "200 OK")
    dispatcher.send(dispatcher.connections[-1], b"noise")
    dispatcher.put(client, "m2", "charge")
    dispatcher.respond("1", "200 OK")
    assert dispatcher.core.counters["relayed"] == 2 and dispatcher.core.counters["connections opened"] == 2


def test_told_of_another_address_the_list_and_the_notices_move_there(port: Port) -> None:
    """SIGHUP once ended the process."""
    dispatcher = port()
    dispatcher.refusing, dispatcher.accepts_notices = {"1"}, False
    dispatcher.put(dispatcher.connect_client(), "m1", lifetime=300)
    dispatcher.advance(0.4)
    old = dispatcher.waiting_connection("list")

    dispatcher.assembly.unread(["nothing there"])
    assert old in dispatcher.connections
    dispatcher.record("moved")
    plan, there = dispatcher.plan, Address("127.0.0.8:9")
    source, outlet = replace(plan.source, address=there), replace(plan.outlet, address=there)
    dispatcher.assembly.retold(replace(plan, source=source, outlet=outlet))
    dispatcher.process_events()
    assert old not in dispatcher.connections and old.disconnected
    dispatcher.accepts_notices = True
    dispatcher.respond("new list", "200 OK", body=json.dumps(dispatcher.endpoint_list("2", seq=1)))
    dispatcher.advance(0.1)
    assert list(dispatcher.core.book.routes) == ["r2"] and not dispatcher.core.store.owed
    assert dispatcher.matches_trace("net-moved")


def test_bad_news_of_the_list_counts_as_failed_and_the_whole_is_asked_for(port: Port) -> None:
    dispatcher = port()
    dispatcher.answers_list = False
    dispatcher.advance(0.1)
    dispatcher.respond(
        "list", "200 OK", body='{"seq":2,"whole":false,"hosts":[{"host":"r2","dial":"nowhere"}]}'
    )
    dispatcher.advance(0.35)
    dispatcher.respond("list", "500 Sorry")
    dispatcher.advance(0.4)
    dispatcher.advance(1.2)  # silent: asked anew, each time on a new connection
    dispatcher.respond("list", "200 OK", body='{"seq":1,"whole":true,"hosts":[]}')
    dispatcher.respond("list", "200 OK", body='{"seq":1,"whole":false,"hosts":[]}')  # not held back at all
    dispatcher.advance(0.4)
    dispatcher.update_list("12", "Ready", 3)
    assert len(dispatcher.core.book.routes) == 2
    assert dispatcher.matches_trace("net-list")


@pytest.mark.parametrize(
    ("field", "value"),
    [("block", [7]), ("block", 1e999), ("share", 1e999), ("share", "much"), ("health", "Fine"), ("dial", 5)],
)
def test_an_entry_that_cannot_be_read_leaves_the_list_as_it_was(
    port: Port, field: str, value: object
) -> None:
    """An error past the reading of the list once ended its watch for good."""
    dispatcher = port()
    dispatcher.answers_list = False
    news = dispatcher.endpoint_list("12", seq=2)
    news["hosts"][1][field] = value
    dispatcher.respond("list", "200 OK", body=json.dumps(news))
    assert list(dispatcher.core.book.routes) == ["r1"]
    dispatcher.advance(0.35)
    dispatcher.respond("list", "200 OK", body=json.dumps(dispatcher.endpoint_list("12", seq=2)))
    assert list(dispatcher.core.book.routes) == ["r1", "r2"]


def test_answers_that_came_in_together_are_read_before_the_turn(port: Port) -> None:
    """After a stall of two seconds one answer's turn once held the others, unread, for silent."""
    dispatcher = port(routes="12")
    client = dispatcher.connect_client()
    for number in range(6):
        dispatcher.put(client, f"m{number}")
        if number < 3:
            dispatcher.respond("12", "200 OK")
    dispatcher.record("stalled for three seconds")
    dispatcher.now += 3.0
    asked = [
        connection
        for connection in dispatcher.connections
        if connection.name in "12" and connection.awaits_response
    ]
    dispatcher.reactor.rightNow += 3.0
    for connection in asked:
        connection.awaits_response = False
        connection.protocol.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    dispatcher.process_events()
    assert len(asked) == 3
    assert dispatcher.core.counters["relayed"] == 6
    assert dispatcher.matches_trace("net-stall")


def test_a_planned_stop_serves_what_comes_and_hands_back_what_waits(port: Port) -> None:
    dispatcher = port()
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


def test_a_stop_hands_back_what_waits_for_a_route_at_nought(port: Port) -> None:
    """The process once ended as soon as no call was out, and what waited had to wait for its next start."""
    dispatcher = port()
    dispatcher.refusing = {"1"}
    client = dispatcher.connect_client()
    for number in range(3):
        dispatcher.put(client, f"m{number}")
        dispatcher.advance(0.7)
    dispatcher.assembly.stop()
    dispatcher.advance(2.0)
    assert not dispatcher.core.store.owed
    assert dispatcher.matches_trace("net-stop-waiting")


def test_a_stop_with_silent_receivers_ends_in_time_and_keeps_what_is_out(port: Port) -> None:
    dispatcher = port()
    dispatcher.put(dispatcher.connect_client(), "m1", "charge")
    stopped: list[float] = []
    dispatcher.assembly.stop().addCallback(lambda _: stopped.append(dispatcher.now - 100))
    dispatcher.advance(3.6)
    assert stopped and dispatcher.core.store.owed[b"m1"].out


def test_the_spool_stays_within_its_disk_and_says_so(tmp_path: Path) -> None:
    disk = 60_000
    spool = Spool(tmp_path, disk)
    spool.open()
    most, refused = 0, 0
    for number in range(400):
        name = b"m%d" % number
        taken = spool.take(StoredMessage(name, "k", "news", "x", b"", 7, 1e9, bytes(3000)))
        refused += not taken
        for _ in range(3 if taken else 0):
            spool.out(name, 1e9, "r1")
            spool.back(name)
        if number >= 5:
            spool.over(b"m%d" % (number - 5))
        most = max(most, sum(-(-file.stat().st_size // 512) * 512 for file in tmp_path.iterdir()))
    assert 0 < refused < 400 and most <= disk
    left = {name: (owed.attempts, owed.ran, owed.out, len(owed.body)) for name, owed in spool.owed.items()}
    spool.close()
    again = Spool(tmp_path, disk)
    assert left == {n: (o.attempts, o.ran, o.out, len(o.body)) for n, o in again.owed.items()} and left


def test_a_full_spool_turns_mails_away(port: Port) -> None:
    dispatcher = port(disk=3900)
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1")
    assert isinstance(dispatcher.core.store, Spool) and dispatcher.core.store.room == 0
    assert dispatcher.matches_trace("net-full")


def test_while_the_spool_cannot_be_written_new_mails_go_to_others_and_held_ones_wait(
    port: Port, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nothing is sent that the spool does not know of. A mail that was held once went back to its client
    after a few tries that never began."""

    def full(*_: object) -> None:
        raise OSError("no space left")

    dispatcher = port()
    client = dispatcher.connect_client()
    dispatcher.not_connecting = {"1"}
    dispatcher.put(client, "m1", "charge")
    with monkeypatch.context() as broken:
        broken.setattr(RecordFile, "append_all", full)
        dispatcher.put(client, "m2")
        dispatcher.not_connecting = set()
        dispatcher.advance(3.0)
        dispatcher.record("the spool can be written again")
    assert list(dispatcher.core.store.owed) == [b"m1"]
    dispatcher.advance(0.1)
    dispatcher.respond("1", "200 OK")
    assert not dispatcher.core.store.owed
    dispatcher.put(client, "m3")
    assert dispatcher.matches_trace("net-disk")


def test_settings_told_anew_add_and_drop_classes_and_open_mails_keep_theirs(
    port: Port, tmp_path: Path
) -> None:
    """At SIGHUP the platform's settings once gave only the list's address: a new class was unknown."""
    dispatcher = port()
    client = dispatcher.connect_client()
    dispatcher.put(client, "m1", "charge")
    config = tmp_path / "config.json"
    environ = {"LB_CONFIG": str(config), "LB_STATE": str(dispatcher.folder), "LB_DISCOVERY": "127.0.0.9:9"}
    told = json.loads(config.read_text())
    told["discovery"] = "127.0.0.9:10"  # moved: the file wins over what the environment told at the start
    classes = [entry for entry in told["settings"]["classes"] if entry["name"] != "charge"]
    classes.append({**classes[0], "name": "fresh"})
    told["settings"] = {**told["settings"], "classes": classes}
    told["settings"]["limits"] = {**told["settings"]["limits"], "max_attempts": 2}
    config.write_text(json.dumps(told))
    dispatcher.record("retold")
    dispatcher.assembly.retold(plan_from_platform(environ, reload=True)[0])
    dispatcher.put(client, "m2", "fresh")
    dispatcher.put(client, "m3", "charge")
    dispatcher.respond("1", "500 Internal Server Error")
    dispatcher.advance(0.1)
    dispatcher.respond("1", "200 OK")
    dispatcher.advance(0.1)
    figures = dispatcher.core.operators_figures()
    assert figures["requests"]["charge"]["failed"] == 2 and figures["requests"]["fresh"]["served"] == 1
    assert figures["reloads_ok"] == 1
    assert dispatcher.core.book.settings.max_attempts == 2
    assert dispatcher.assembly.plan.source.address == "127.0.0.9:10"
    assert dispatcher.matches_trace("net-retold")

    for fault, text in {
        "empty": "",
        "cut short": json.dumps(told)[:-9],
        "no key": json.dumps({**told, "settings": {**told["settings"], "limits": {}}}),
        "deadline": json.dumps(told).replace('"deadline_ns": 9000000000.0', '"deadline_ns": 0', 1),
        "attempts": json.dumps(told).replace('"max_attempts": 2', '"max_attempts": "2"'),
    }.items():
        config.write_text(text)
        with pytest.raises(ValueError):
            plan_from_platform(environ, reload=True)
            pytest.fail(fault)

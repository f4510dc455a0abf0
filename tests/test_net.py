"""Short traces of the whole dispatcher, compared with those in `traces/`; none of its peers is real."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path

import pytest
from dock import Quay
from msgspec.structs import replace

from laureldock.core.messages import StoredMessage
from laureldock.setup.platform import plan_from_platform
from laureldock.setup.units import Address
from laureldock.stores.record_file import RecordFile
from laureldock.stores.spool import Spool

Port = Callable[..., Quay]


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
    return lambda **changes: Quay(tmp_path, monkeypatch, **changes)


def test_a_mail_is_taken_on_sent_and_over(port: Port) -> None:
    quay = port()
    client = quay.client()
    quay.send(client, quay.command("PING"))
    quay.put(client, "m1")
    quay.answer("1", "200 OK")
    quay.put(client, "m2")  # on the kept connection
    quay.answer("1", "429 Too Many", "X-RateLimit-Wait-Ms: 400", "X-Load-Report: x0=0.4,x1=25")
    quay.after(0.6)
    quay.answer("1", "200 OK", "Connection: close")
    assert not quay.dispatcher.store.pending
    assert quay.same_as("net-served")


def test_every_end_of_a_connection(port: Port) -> None:
    """Broken before the last byte: it has not run, and once-only goes again; after that it may have."""
    quay = port(routes="12")
    client = quay.client()
    quay.down = {"1", "2"}
    quay.put(client, "m1", "charge")
    quay.down = set()
    quay.after(2.0)
    quay.answer("12", "503 Full")
    quay.after(2.0)
    quay.cut("12")
    quay.after(0.2)
    assert quay.same_as("net-ends")


def test_what_was_not_written_whole_has_not_run(port: Port) -> None:
    quay = port()
    client = quay.client()
    quay.put(client, "m1")
    quay.answer("1", "200 OK")
    quay.pipes[-1].stuck = True
    quay.put(client, "m2", "charge")
    quay.cut("1")
    assert quay.dispatcher.store.pending[b"m2"].in_flight_since is None
    quay.after(2.0)
    quay.answer("1", "200 OK")
    assert quay.same_as("net-unwritten")


def test_a_kept_connection_whose_close_has_come_is_not_used(port: Port) -> None:
    """A once-only mail written to it could not be told from one that ran."""
    quay = port()
    client = quay.client()
    quay.put(client, "m1")
    quay.answer("1", "200 OK")
    quay.pipes[-1].unread = b""
    quay.put(client, "m2", "charge")
    assert quay.dispatcher.counters["connections opened"] == 2
    assert quay.same_as("net-stale")


def test_a_kept_connection_with_a_second_copy_unread_is_not_used(port: Port) -> None:
    """The copy of one mail's answer once passed for that of the next."""
    quay = port()
    client = quay.client()
    quay.put(client, "m1")
    quay.answer("1", "200 OK")
    quay.pipes[-1].unread = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    quay.put(client, "m2", "charge")
    assert quay.dispatcher.counters["connections opened"] == 2


def test_what_may_not_go_twice_keeps_off_connections_like_those_that_broke_at_rest(port: Port) -> None:
    """Receivers closed what rested, unseen: each such break bounced a once-only mail and shut its route."""
    quay = port()
    client = quay.client()
    for number in range(12):
        quay.put(client, f"m{number}")
        quay.answer("1", "200 OK")
        quay.after(0.4)
        if number % 3 == 2:
            quay.put(client, f"cut{number}")
            quay.cut("1")
            quay.answer("1", "200 OK")  # at once: the break said nothing of the route
            quay.after(0.4)
    opened = quay.dispatcher.counters["connections opened"]
    quay.put(client, "m12")
    quay.answer("1", "200 OK")
    assert quay.dispatcher.counters["connections opened"] == opened
    quay.after(0.4)
    quay.put(client, "c1", "charge")
    quay.answer("1", "200 OK")
    quay.put(client, "c2", "charge")  # no rest to speak of
    quay.answer("1", "200 OK")
    assert quay.dispatcher.counters["connections opened"] == opened + 1


def test_a_mail_ended_by_notice_is_not_withdrawn(port: Port) -> None:
    """Its key's turn was never given on: the answer of its notice found no mail."""
    quay = port()
    client = quay.client()
    client.stuck, quay.down, quay.takes_notices = True, {"1"}, False
    quay.put(client, "m1", "order", key="k", left=300)
    quay.after(0.3)
    quay.lose(client)
    quay.down, quay.takes_notices = set(), True
    quay.put(quay.client("other"), "m2", "order", key="k")
    quay.after(1.0)
    assert quay.same_as("net-turn-given-on")


def test_a_connection_up_after_a_wait_or_drain_was_told_carries_nothing(port: Port) -> None:
    quay = port()
    client = quay.client()
    quay.put(client, "m1")
    quay.answer("1", "200 OK")
    quay.late = {"1"}
    quay.put(client, "m2")
    quay.put(client, "m3")
    quay.answer("1", "429 Too Many", "X-RateLimit-Wait-Ms: 300")
    quay.late = set()
    quay.after(0.5)
    for _ in range(2):
        quay.answer("1", "200 OK", "Connection: close")
    quay.late = {"1"}
    quay.put(client, "m4")
    quay.news("1", "Terminating", 2)
    quay.late = set()
    quay.after(0.2)
    assert quay.same_as("net-held-back")


def test_a_connection_up_when_a_tag_is_forgotten_carries_nothing(port: Port) -> None:
    """The decision to go again was taken within the tag's memory, the call would have come after it."""
    quay = port()
    quay.put(quay.client(), "m1", "stamp")
    quay.after(0.3)
    quay.late = {"1"}
    quay.cut("1")
    quay.after(0.75)
    quay.late = set()
    quay.after(0.2)
    assert quay.same_as("net-forgotten")


def test_a_notice_is_kept_until_it_is_answered_and_its_key_waits(port: Port) -> None:
    quay = port()
    client = quay.client()
    quay.down, quay.takes_notices = {"1"}, False
    quay.put(client, "m1", "order", key="k", left=400)
    quay.put(client, "m2", "order", key="k")
    quay.after(0.4)
    quay.down = set()
    quay.after(0.4)  # the notice has no answer: it is sent again, and the key's next mail waits
    quay.takes_notices = True
    quay.after(1.5)
    quay.answer("1", "200 OK")
    assert not quay.dispatcher.store.pending
    assert quay.same_as("net-notices")


def test_a_deferral_in_the_turn_that_took_a_mail_is_the_answer(port: Port) -> None:
    quay = port()
    quay.put(quay.client(), "m1", left=20)
    assert not quay.dispatcher.store.pending
    assert quay.same_as("net-busy")


def test_a_client_gone_before_its_answer_withdraws_its_mail(port: Port) -> None:
    """After a stall the close is read before the turn, so that nothing is sent."""
    quay = port()
    client = quay.client()
    client.protocol.dataReceived(quay.command("MSG.PUT", "0", "m1", "c=news,d=9000,dest=7", "hello"))
    quay.lose(client)
    quay.flow()
    stuck = quay.client()
    stuck.stuck = True
    quay.put(stuck, "m2")
    quay.lose(stuck)
    quay.flow()
    assert list(quay.dispatcher.store.pending) == [b"m2"]  # its client may come again in a moment
    quay.after(0.45)
    assert not quay.dispatcher.store.pending
    assert quay.same_as("net-withdrawn")


def test_a_new_life_owes_what_the_last_one_took_on(port: Port) -> None:
    quay = port()
    client = quay.client()
    for name, sort in (("m1", "order"), ("m2", "order"), ("m3", "charge"), ("m4", "news")):
        quay.put(client, name, sort, key="k" if sort == "order" else "0")
        quay.after(0.05)
    quay.answer("1", "200 OK")
    quay.after(0.05)
    with (quay.state / "spool").open("ab") as file:
        file.write(b"\0\0\0\x40torn")
    quay.say("killed")
    quay.now += 1.0
    quay.reactor.advance(1.0)
    quay.start()
    for _ in range(2):
        quay.after(0.1)
        quay.answer("1", "200 OK")
    assert not quay.dispatcher.store.pending
    assert quay.same_as("net-restart")


def test_clients_come_while_notices_are_owed_and_a_key_waits_for_its_notice(port: Port) -> None:
    """The door once stayed shut for as long as nobody answered the notices of the life before."""
    quay = port()
    quay.takes_notices, quay.down = False, {"1"}
    quay.put(quay.client(), "m1", "order", key="k", left=300)
    quay.after(0.4)
    quay.say("killed")
    quay.reactor.tcpServers.clear()
    quay.down = set()
    quay.start()
    assert quay.reactor.tcpServers
    client = quay.client()
    quay.put(client, "m2", "order", key="k")
    quay.put(client, "m3", "order", key="other")
    quay.after(0.4)
    quay.takes_notices = True
    quay.after(1.1)
    quay.answer("1", "200 OK")
    quay.answer("1", "200 OK")
    assert not quay.dispatcher.store.pending and not quay.dispatcher.policy.key_queues
    assert quay.same_as("net-owed-notices")


def test_what_cannot_be_read_gets_one_error_and_the_close_and_what_is_unknown_an_error(port: Port) -> None:
    quay = port()
    put = quay.command("MSG.PUT", "0", "m1", "c=news,d=9000,dest=7", "hello")
    bad = [
        b"*9999999999\r\n", b"*2\r\n:5\r\n", b"*1\r\n$-1\r\n", b"*1\r\n$70000\r\n", b"*1\r\n$1\r\nabc",
        b"x" * 2000, b"SNEEZE\r\n", b"\xff\xfe\r\n" * 3, put.replace(b"m1", b"\r\n"),
        put.replace(b"news", b"nope"), put.replace(b"dest=7", b"dest=x"),
    ]  # fmt: skip
    for data in [*bad, put.replace(b"dest=7", b"dest=8"), put * 40]:
        quay.send(quay.client(), data)
    quay.send(quay.client("good"), put)
    assert quay.same_as("net-malformed")


def test_clients_that_ask_nothing_whole_are_told_and_closed_in_time(port: Port) -> None:
    """They once held half of the sockets for good, and no other client was accepted."""
    quay = port()
    silent, half, kept = quay.client("silent"), quay.client("half"), quay.client("kept")
    quay.send(half, b"*5\r\n$7\r\nMSG")
    quay.put(kept, "m1")
    deaf = quay.client("deaf")
    deaf.deaf = True
    quay.send(deaf, b"*1\r\n$60000000\r\n")
    for _ in range(4):
        quay.after(0.6)
        quay.send(deaf, b"x" * 5000)
    assert silent not in quay.pipes and half not in quay.pipes and kept in quay.pipes and deaf in quay.pipes
    quay.send(kept, b"*1\r\n")
    quay.after(3.0)
    assert deaf not in quay.pipes and kept not in quay.pipes
    assert quay.same_as("net-half")


def test_answered_clients_give_way_before_others_find_no_connection(port: Port) -> None:
    """They were closed after two seconds; clients that may hold no more had none to ask on."""
    quay = port()
    silent = [quay.client("silent") for _ in range(5)]
    answered = [quay.client(f"c{number}") for number in range(20)]
    for number, client in enumerate(answered):
        quay.put(client, f"m{number}")
    answered[0].unread = b"*"  # the next request is on its way
    quay.after(0.3)
    left = [client for client in answered if client in quay.pipes]
    assert left == [answered[0], *answered[11:]]  # a sixth of the sockets
    assert all(client in quay.pipes for client in silent)


def test_clients_over_half_of_the_sockets_wait_unaccepted(port: Port) -> None:
    """They were once accepted and closed, which loses a mail whose request is already written."""
    quay = port()
    clients = [quay.client(f"c{number}") for number in range(31)]
    fake = quay.front.port = Accepting()  # type: ignore[assignment]
    clients.append(quay.client("c31"))  # of 64 sockets
    assert fake.calls == ["stop"]
    quay.lose(clients.pop())
    assert fake.calls == ["stop", "start"]


def test_idle_connections_give_way_to_clients(port: Port) -> None:
    quay = port()
    client = quay.client()
    quay.put(client, "m1")
    quay.answer("1", "200 OK")
    quay.put(client, "m2")
    quay.put(client, "m3")
    quay.answer("1", "200 OK")
    quay.answer("1", "200 OK")
    quay.assembly.room.max_sockets = 5
    quay.client("second")
    quay.flow()
    assert len([pipe for pipe in quay.pipes if pipe.name == "1"]) == 2
    quay.client("third")  # the third and fourth of five
    quay.flow()
    assert len([pipe for pipe in quay.pipes if pipe.name == "1"]) == 1


def test_room_is_made_by_a_look_at_idle_connections_alone(port: Port) -> None:
    """All routes were walked for each connection once there was no room: 5.8 ms a mail at 32,000 routes."""
    quay = port(routes="123456789")
    client = quay.client()
    for number in range(3):
        quay.put(client, f"m{number}")
        asked = next(line for line in reversed(quay.lines) if "POST" in line)
        quay.answer(asked.split("-> ")[1].partition(":")[0], "200 OK")
        quay.reactor.advance(0.01)
    receivers = quay.assembly.carrier
    rested = [(since, line) for pool in receivers.pools.values() for since, line in pool.idle]
    oldest = [line for _, line in sorted(rested, key=lambda each: each[0])]
    assert list(receivers.all_idle) == oldest and len(oldest) > 1
    quay.assembly.room.max_sockets = quay.assembly.room.clients + quay.assembly.room.receivers
    receivers.pools = None  # type: ignore[assignment]  # whoever walks them fails
    receivers.make_room()
    assert list(receivers.all_idle) == oldest[1:] and oldest[0].closed


def test_pipelined_requests_are_answered_in_turn(port: Port) -> None:
    quay = port()
    data = quay.command("PING") + quay.command("MSG.PUT", "0", "m1", "c=news,d=9000,dest=7", "x\r\ny")
    client = quay.client()
    for place in range(len(data)):
        quay.send(client, data[place : place + 1])
    quay.send(client, data.replace(b"m1", b"m2") + data.replace(b"m1", b"m3") + b"ping\r\n")
    assert quay.same_as("net-pipelined")


def test_bad_answers_end_the_connect_alone(port: Port) -> None:
    quay = port(routes="12345678")
    client = quay.client()
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
        quay.put(client, f"m{number}", "charge")
        pipe = quay.pipe("12345678")
        pipe.asked = False
        quay.say(f"{pipe.name}: {text[:60]!r}")
        quay.send(pipe, text)
        if text.endswith(b"cut"):
            quay.lose(pipe)
            quay.flow()
        quay.after(0.2)
    ends = {name: count for name, count in sorted(quay.dispatcher.counters.items()) if "ended" in name}
    quay.say(str(ends))
    quay.after(1.5)  # what is left of the last answer is not waited for longer
    assert quay.same_as("net-bad-answers")


def test_what_comes_unasked_ends_a_kept_connection(port: Port) -> None:
    """Noise without an end of line once stood before the next answer."""
    quay = port()
    client = quay.client()
    quay.put(client, "m1")
    quay.answer("1", "200 OK")
    quay.send(quay.pipes[-1], b"noise")
    quay.put(client, "m2", "charge")
    quay.answer("1", "200 OK")
    assert quay.dispatcher.counters["relayed"] == 2 and quay.dispatcher.counters["connections opened"] == 2


def test_told_of_another_address_the_list_and_the_notices_move_there(port: Port) -> None:
    """SIGHUP once ended the process."""
    quay = port()
    quay.down, quay.takes_notices = {"1"}, False
    quay.put(quay.client(), "m1", left=300)
    quay.after(0.4)
    old = quay.pipe("list")

    quay.assembly.report_refused_configuration(["nothing there"])
    assert old in quay.pipes
    quay.say("moved")
    plan, there = quay.plan, Address("127.0.0.8:9")
    source, outlet = replace(plan.source, address=there), replace(plan.outlet, address=there)
    quay.assembly.apply_platform_settings(replace(plan, source=source, outlet=outlet))
    quay.flow()
    assert old not in quay.pipes and old.disconnected
    quay.takes_notices = True
    quay.answer("new list", "200 OK", body=json.dumps(quay.hosts("2", seq=1)))
    quay.after(0.1)
    assert list(quay.dispatcher.registry.routes) == ["r2"] and not quay.dispatcher.store.pending
    assert quay.same_as("net-moved")


def test_bad_news_of_the_list_counts_as_failed_and_the_whole_is_asked_for(port: Port) -> None:
    quay = port()
    quay.lists = False
    quay.after(0.1)
    quay.answer("list", "200 OK", body='{"seq":2,"whole":false,"hosts":[{"host":"r2","dial":"nowhere"}]}')
    quay.after(0.35)
    quay.answer("list", "500 Sorry")
    quay.after(0.4)
    quay.after(1.2)  # silent: asked anew, each time on a new connection
    quay.answer("list", "200 OK", body='{"seq":1,"whole":true,"hosts":[]}')
    quay.answer("list", "200 OK", body='{"seq":1,"whole":false,"hosts":[]}')  # not held back at all
    quay.after(0.4)
    quay.news("12", "Ready", 3)
    assert len(quay.dispatcher.registry.routes) == 2
    assert quay.same_as("net-list")


@pytest.mark.parametrize(
    ("field", "value"),
    [("block", [7]), ("block", 1e999), ("share", 1e999), ("share", "much"), ("health", "Fine"), ("dial", 5)],
)
def test_an_entry_that_cannot_be_read_leaves_the_list_as_it_was(
    port: Port, field: str, value: object
) -> None:
    """An error past the reading of the list once ended its watch for good."""
    quay = port()
    quay.lists = False
    news = quay.hosts("12", seq=2)
    news["hosts"][1][field] = value
    quay.answer("list", "200 OK", body=json.dumps(news))
    assert list(quay.dispatcher.registry.routes) == ["r1"]
    quay.after(0.35)
    quay.answer("list", "200 OK", body=json.dumps(quay.hosts("12", seq=2)))
    assert list(quay.dispatcher.registry.routes) == ["r1", "r2"]


def test_answers_that_came_in_together_are_read_before_the_turn(port: Port) -> None:
    """After a stall of two seconds one answer's turn once held the others, unread, for silent."""
    quay = port(routes="12")
    client = quay.client()
    for number in range(6):
        quay.put(client, f"m{number}")
        if number < 3:
            quay.answer("12", "200 OK")
    quay.say("stalled for three seconds")
    quay.now += 3.0
    asked = [pipe for pipe in quay.pipes if pipe.name in "12" and pipe.asked]
    quay.reactor.rightNow += 3.0
    for pipe in asked:
        pipe.asked = False
        pipe.protocol.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    quay.flow()
    assert len(asked) == 3
    assert quay.dispatcher.counters["relayed"] == 6
    assert quay.same_as("net-stall")


def test_a_planned_stop_serves_what_comes_and_hands_back_what_waits(port: Port) -> None:
    quay = port()
    client = quay.client()
    quay.put(client, "m1")
    quay.put(client, "m2")
    quay.say("told to stop")
    stopped: list[float] = []
    quay.assembly.stop().addCallback(lambda _: stopped.append(round(quay.now - 100, 2)))
    quay.after(0.3)
    quay.put(client, "m3")
    quay.after(2.0)
    quay.answer("1", "200 OK")
    quay.after(0.1)
    assert stopped and stopped[0] < 3.7
    assert quay.same_as("net-stop")


def test_a_stop_hands_back_what_waits_for_a_route_at_nought(port: Port) -> None:
    """The process once ended as soon as no call was out, and what waited had to wait for its next start."""
    quay = port()
    quay.down = {"1"}
    client = quay.client()
    for number in range(3):
        quay.put(client, f"m{number}")
        quay.after(0.7)
    quay.assembly.stop()
    quay.after(2.0)
    assert not quay.dispatcher.store.pending
    assert quay.same_as("net-stop-waiting")


def test_a_stop_with_silent_receivers_ends_in_time_and_keeps_what_is_out(port: Port) -> None:
    quay = port()
    quay.put(quay.client(), "m1", "charge")
    stopped: list[float] = []
    quay.assembly.stop().addCallback(lambda _: stopped.append(quay.now - 100))
    quay.after(3.6)
    assert stopped and quay.dispatcher.store.pending[b"m1"].in_flight_since


def test_the_spool_stays_within_its_disk_and_says_so(tmp_path: Path) -> None:
    disk = 60_000
    spool = Spool(tmp_path, disk)
    spool.open()
    most, refused = 0, 0
    for number in range(400):
        name = b"m%d" % number
        taken = spool.accept(StoredMessage(name, "k", "news", "x", b"", 7, 1e9, bytes(3000)))
        refused += not taken
        for _ in range(3 if taken else 0):
            spool.record_attempt_start(name, 1e9, "r1")
            spool.record_not_run(name)
        if number >= 5:
            spool.record_finished(b"m%d" % (number - 5))
        most = max(most, sum(-(-file.stat().st_size // 512) * 512 for file in tmp_path.iterdir()))
    assert 0 < refused < 400 and most <= disk
    left = {
        name: (owed.attempts, owed.first_may_have_run_at, owed.in_flight_since, len(owed.body))
        for name, owed in spool.pending.items()
    }
    spool.close()
    again = Spool(tmp_path, disk)
    assert (
        left
        == {
            n: (o.attempts, o.first_may_have_run_at, o.in_flight_since, len(o.body))
            for n, o in again.pending.items()
        }
        and left
    )


def test_a_full_spool_turns_mails_away(port: Port) -> None:
    quay = port(disk=3900)
    client = quay.client()
    quay.put(client, "m1")
    assert isinstance(quay.dispatcher.store, Spool) and quay.dispatcher.store.reserved_bytes == 0
    assert quay.same_as("net-full")


def test_while_the_spool_cannot_be_written_new_mails_go_to_others_and_held_ones_wait(
    port: Port, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Nothing is sent that the spool does not know of. A mail that was held once went back to its client
    after a few tries that never began."""

    def full(*_: object) -> None:
        raise OSError("no space left")

    quay = port()
    client = quay.client()
    quay.late = {"1"}
    quay.put(client, "m1", "charge")
    with monkeypatch.context() as broken:
        broken.setattr(RecordFile, "append_all", full)
        quay.put(client, "m2")
        quay.late = set()
        quay.after(3.0)
        quay.say("the spool can be written again")
    assert list(quay.dispatcher.store.pending) == [b"m1"]
    quay.after(0.1)
    quay.answer("1", "200 OK")
    assert not quay.dispatcher.store.pending
    quay.put(client, "m3")
    assert quay.same_as("net-disk")


def test_settings_told_anew_add_and_drop_classes_and_open_mails_keep_theirs(
    port: Port, tmp_path: Path
) -> None:
    """At SIGHUP the platform's settings once gave only the list's address: a new class was unknown."""
    quay = port()
    client = quay.client()
    quay.put(client, "m1", "charge")
    config = tmp_path / "config.json"
    environ = {"LB_CONFIG": str(config), "LB_STATE": str(quay.state), "LB_DISCOVERY": "127.0.0.9:9"}
    told = json.loads(config.read_text())
    told["discovery"] = "127.0.0.9:10"  # moved: the file wins over what the environment told at the start
    classes = [entry for entry in told["settings"]["classes"] if entry["name"] != "charge"]
    classes.append({**classes[0], "name": "fresh"})
    told["settings"] = {**told["settings"], "classes": classes}
    told["settings"]["limits"] = {**told["settings"]["limits"], "max_attempts": 2}
    config.write_text(json.dumps(told))
    quay.say("retold")
    quay.assembly.apply_platform_settings(plan_from_platform(environ, reload=True)[0])
    quay.put(client, "m2", "fresh")
    quay.put(client, "m3", "charge")
    quay.answer("1", "500 Internal Server Error")
    quay.after(0.1)
    quay.answer("1", "200 OK")
    quay.after(0.1)
    figures = quay.dispatcher.operator_metrics()
    assert figures["requests"]["charge"]["failed"] == 2 and figures["requests"]["fresh"]["served"] == 1
    assert figures["reloads_ok"] == 1
    assert quay.dispatcher.registry.settings.max_attempts == 2
    assert quay.assembly.plan.source.address == "127.0.0.9:10"
    assert quay.same_as("net-retold")

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

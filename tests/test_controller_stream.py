"""The stream to a controller by a reactor in memory: frames, bad input, defects, what waits its turn."""

from __future__ import annotations

from itertools import pairwise
from pathlib import Path
from typing import Any

from replication_rig import MemoryController, MemorySink, customer, put, remove
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from laureldock.delivery_settings import ListedEndpoint
from laureldock.replication import messages
from laureldock.replication.configuration_store import ConfigurationStore, KeptConfiguration
from laureldock.replication.messages import NO_POSITION, InForce, Message, Refused, Subscribe
from laureldock.replication.subscriber import SubscriberEvent
from laureldock.setup.catalog import RefusedChangeError
from laureldock.setup.changes import Change
from laureldock.setup.faults import Fault
from laureldock.sources.controlled import MAX_WAITING_FRAMES, Controlled, ControllerStream


class Transport(StringTransport):
    aborted = False

    def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802
        """As of TCP."""

    def abortConnection(self) -> None:  # noqa: N802
        self.aborted = True


def memory_reactor() -> Any:
    return MemoryReactorClock()  # type: ignore[no-untyped-call]


def transport() -> Any:
    return Transport()  # type: ignore[no-untyped-call]


class RefusingSink(MemorySink):
    """As a catalog refuses, and where told with a defect in the middle."""

    defect = False

    def apply_change(self, change: Change) -> None:
        if self.defect:
            self.by_key.update((entry.key, entry) for entry in change.puts)
            raise ZeroDivisionError
        try:
            super().apply_change(change)
        except ValueError as fault:
            raise RefusedChangeError([Fault(("customer", "x", "quota"), str(fault), "less")]) from None


class Rig:
    def __init__(self, folder: Path | None = None, **settings: Any) -> None:
        self.reactor = memory_reactor()
        self.protocol: Any = None
        self.controller = MemoryController()
        self.sink = RefusingSink()
        self.happened: list[SubscriberEvent] = []
        self.store = ConfigurationStore(folder, wall=lambda: 1e6 + self.reactor.seconds()) if folder else None
        self.stream = ControllerStream(
            self.reactor, ("c:1", "d:2"), "d1", 1, self.sink, self.store, self.happened.append
        )
        self.read = 0  # bytes of what it sent

    def connect(self) -> Any:
        """The next connect is answered."""
        count = len(self.reactor.tcpClients)
        self.after(5.0)
        assert len(self.reactor.tcpClients) > count
        return self.accept()

    def accept(self) -> Any:
        self.protocol = self.reactor.tcpClients[-1][2].buildProtocol(None)
        self.transport, self.read = transport(), 0
        self.protocol.makeConnection(self.transport)
        return self.transport

    def after(self, seconds: float) -> None:
        """In small steps, until a connect is asked for."""
        count = len(self.reactor.tcpClients)
        for _ in range(round(seconds / 0.05)):
            self.reactor.advance(0.05)
            if len(self.reactor.tcpClients) > count:
                return

    def tell(self, *told: Message) -> None:
        frames = (messages.encode(message) for message in told)
        self.protocol.dataReceived(b"".join(len(frame).to_bytes(4, "big") + frame for frame in frames))

    def turns(self, count: int = 300) -> None:
        for _ in range(count):
            self.reactor.advance(0)

    def sent(self) -> list[Message]:
        """Since it was last asked."""
        data = self.transport.value()[self.read :]
        found = []
        while data:
            length = int.from_bytes(data[:4], "big")
            found.append(messages.decode(data[4 : 4 + length]))
            data, self.read = data[4 + length :], self.read + 4 + length
        return found


def following(folder: Path | None = None) -> Rig:
    rig = Rig(folder)
    for number in range(5):
        rig.controller.accept(put(customer(f"c{number}", 1.0)))
    if rig.store:
        assert rig.store.acquire()
        rig.store.load()
    rig.stream.start()
    rig.connect()
    assert rig.sent() == [Subscribe("d1", NO_POSITION, 0)]
    rig.tell(*rig.controller.snapshot())
    rig.turns()
    assert rig.sent() == [InForce(rig.controller.position, rig.controller.state.digest)]
    return rig


def test_a_snapshot_and_changes_go_to_the_sink_and_the_disk(tmp_path: Path) -> None:
    rig = following(tmp_path)
    rig.tell(rig.controller.accept(put(customer("c1", 5.0))), rig.controller.accept(remove("c2")))
    rig.turns()
    assert rig.sink.by_key == rig.controller.state.by_key
    told = rig.sent()
    assert [each.position.version for each in told if isinstance(each, InForce)] == [6, 7]
    rig.tell(rig.controller.heartbeat())
    rig.stream.stop()
    assert rig.store
    rig.store.close()
    kept = ConfigurationStore(tmp_path, wall=lambda: 1e6 + rig.reactor.seconds() + 9.0).load()
    assert kept.position == rig.controller.position and kept.age is not None and 8.9 < kept.age < 9.1


def test_a_frame_that_is_no_message_ends_the_stream_and_another_controller_is_called() -> None:
    for bad in (b"\0\0\0\3abc", b"\0\0\0\5lc\x02\x93\x01", b"\0\0\0\0", b"\xff\0\0\0"):
        rig = following()
        rig.protocol.dataReceived(bad)
        rig.turns()
        assert rig.transport.aborted and "malformed message" in [each.event for each in rig.happened]
        before = rig.reactor.tcpClients[-1][:2]
        rig.connect()
        assert rig.sent() == [Subscribe("d1", rig.controller.position, rig.controller.state.digest)]
        assert {before, rig.reactor.tcpClients[-1][:2]} == {("c", 1), ("d", 2)}


def test_what_a_lost_stream_still_holds_is_not_read() -> None:
    rig = following()
    old = rig.protocol
    rig.tell(*(rig.controller.accept(put(customer("c1", float(number)))) for number in range(9)))
    old.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]
    rig.turns()
    version = rig.stream.subscriber.position.version
    assert version < 14
    old.dataReceived(b"\0\0\0\3abc")
    rig.turns()
    assert not [each for each in rig.happened if each.event == "malformed message"]
    rig.connect()
    asked = rig.sent()[0]
    assert isinstance(asked, Subscribe) and asked.position.version == version


def test_many_frames_at_once_are_applied_one_a_turn_and_the_stream_waits() -> None:
    rig = following()
    burst = [rig.controller.accept(put(customer("c1", float(number)))) for number in range(200)]
    rig.tell(*burst)
    assert rig.transport.producerState == "paused" and MAX_WAITING_FRAMES < 200
    seen: list[int] = []

    def something_else() -> None:
        seen.append(rig.stream.subscriber.position.version)
        if seen[-1] < 205:
            rig.reactor.callLater(0, something_else)

    something_else()
    rig.turns()
    assert len(seen) >= 199 and all(later - earlier <= 1 for earlier, later in pairwise(seen))
    assert rig.stream.subscriber.position.version == 205 and rig.transport.producerState == "producing"
    assert rig.sink.by_key == rig.controller.state.by_key


def test_a_refusal_is_told_with_its_place() -> None:
    rig = following()
    rig.sink.barred = lambda entry: entry.name == "bad"
    rig.tell(rig.controller.accept(put(customer("bad", 1.0))))
    rig.turns()
    told = rig.sent()[0]
    assert isinstance(told, Refused) and told.position.version == 6
    fault = told.faults[0]
    assert (fault.path, fault.allowed) == (("customer", "x", "quota"), "less") and "barred" in fault.reason


def test_a_defect_ends_one_change_and_a_snapshot_makes_up_for_it() -> None:
    rig = following()
    rig.sink.defect = True
    rig.tell(rig.controller.accept(put(customer("c1", 5.0), customer("c9", 1.0))))
    rig.turns()
    told = rig.sent()[0]
    assert isinstance(told, Refused) and "ZeroDivisionError" in told.faults[0].reason
    rig.sink.defect = False
    for _ in range(4):
        rig.after(2.0)
        rig.tell(rig.controller.heartbeat())
    assert Subscribe("d1", NO_POSITION, 0) in rig.sent()
    rig.tell(*rig.controller.snapshot())
    rig.turns()
    assert rig.sink.by_key == rig.controller.state.by_key


def test_a_connect_that_fails_or_comes_up_too_late_is_made_again() -> None:
    rig = Rig()
    rig.stream.start()
    rig.after(1.0)
    host, _, factory, *_ = rig.reactor.tcpClients[-1]
    connector = rig.reactor.connectors[-1]
    factory.clientConnectionFailed(connector, Failure(ConnectionRefusedError()))  # type: ignore[no-untyped-call]
    rig.after(1.0)
    assert len(rig.reactor.tcpClients) == 2 and rig.reactor.tcpClients[-1][0] != host
    rig.after(3.05)  # nobody answers
    assert rig.reactor.connectors[-1].stoppedConnecting
    late = rig.reactor.tcpClients[-1][2].buildProtocol(None)
    link = transport()
    late.makeConnection(link)
    assert link.aborted
    rig.connect()
    assert isinstance(rig.sent()[0], Subscribe)
    factory.clientConnectionFailed(connector, Failure(ConnectionRefusedError()))  # type: ignore[no-untyped-call]
    assert rig.stream.subscriber.connected


def test_after_the_stop_nothing_is_due() -> None:
    rig = following()
    rig.stream.stop()
    assert rig.transport.aborted
    rig.protocol.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]
    rig.turns()
    assert rig.reactor.getDelayedCalls() == []


class Core:
    """What a source asks of the core."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.running = rig, True
        self.told: list[tuple[int, bool]] = []

    def now(self) -> float:
        return float(self.rig.reactor.seconds())

    def call_later(self, after: float, call: Any, *args: Any) -> Any:
        return self.rig.reactor.callLater(after, call, *args)

    def guard(self, call: Any, *args: Any) -> Any:
        return call(*args)

    def list_updated(self, hosts: list[tuple[ListedEndpoint, str]], whole: bool) -> None:
        self.told.append((len(hosts), whole))


def controlled(rig: Rig) -> tuple[Controlled, Core]:
    core: Any = Core(rig)
    assert rig.store
    source = Controlled(core, rig.stream, rig.store)
    source.start()
    return source, core


def test_a_dispatcher_with_nothing_kept_is_settled_by_the_first_snapshot(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    source, core = controlled(rig)
    assert not source.settled and "configuration_age_s" not in source.figures()
    rig.connect()
    assert not source.settled and core.told == []
    rig.tell(*rig.controller.snapshot(), rig.controller.heartbeat())
    rig.turns()
    assert not source.settled and core.told == []  # of a controller that nothing was proposed to yet
    assert source.figures() == {
        "configuration_version": 0, "configuration_epoch": 7, "configuration_refused": 0,
        "configuration_age_s": 0.0,
    }  # fmt: skip
    rig.tell(rig.controller.accept(put(customer("first", 1.0))), rig.controller.heartbeat())
    rig.turns()
    assert source.settled and core.told == [(0, False)]
    assert source.figures()["configuration_version"] == 1
    source.close()


def test_a_dispatcher_goes_on_with_what_it_kept(tmp_path: Path) -> None:
    old = following(tmp_path)
    old.tell(old.controller.heartbeat())
    old.turns()
    old.stream.stop()
    assert old.store
    old.store.close()
    rig = Rig(tmp_path)
    source, core = controlled(rig)
    assert source.settled and core.told and rig.sink.by_key == old.sink.by_key
    rig.after(30.0)
    figures = source.figures()
    assert figures["configuration_version"] == 5 and figures["configuration_age_s"] >= 0
    source.close()


def test_a_kept_configuration_that_the_own_file_no_longer_allows_is_not_half_taken(tmp_path: Path) -> None:
    old = following(tmp_path)
    old.stream.stop()
    assert old.store
    old.store.close()
    rig = Rig(tmp_path)

    def refuse(entries: object) -> None:
        raise RefusedChangeError([Fault(("customer", "c1"), "not allowed here")])

    rig.sink.replace_entries = refuse  # type: ignore[method-assign]
    source, core = controlled(rig)
    assert not source.settled and core.told == []
    assert [each.event for each in rig.happened] == ["refused from disk"]
    rig.connect()
    assert rig.sent() == [Subscribe("d1", NO_POSITION, 0)]
    source.close()


def test_a_defect_in_taking_what_was_kept_keeps_no_dispatcher_from_starting(tmp_path: Path) -> None:
    old = following(tmp_path)
    old.stream.stop()
    assert old.store
    old.store.close()
    rig = Rig(tmp_path)
    replace = rig.sink.replace_entries

    def fail(entries: object) -> None:
        raise ZeroDivisionError

    rig.sink.replace_entries = fail  # type: ignore[method-assign]
    source, _ = controlled(rig)
    assert not source.settled
    rig.sink.replace_entries = replace  # type: ignore[method-assign]
    rig.connect()
    assert rig.sent() == [Subscribe("d1", NO_POSITION, 0)]
    rig.tell(*old.controller.snapshot())
    rig.turns()
    assert source.settled and rig.sink.by_key == old.sink.by_key
    source.close()


def test_a_process_beside_another_serves_what_is_kept_and_follows_once_it_is_alone(tmp_path: Path) -> None:
    old = following(tmp_path)
    rig = Rig(tmp_path)
    source, _ = controlled(rig)
    assert source.settled and rig.sink.by_key == old.sink.by_key
    old.tell(old.controller.accept(put(customer("c1", 77.0))))
    old.turns()
    rig.after(5.0)
    assert rig.reactor.tcpClients == []  # one of them follows
    before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    old.stream.stop()
    assert old.store
    old.store.close()
    rig.connect()
    assert rig.sink.by_key == old.sink.by_key
    asked = rig.sent()[0]
    assert isinstance(asked, Subscribe) and asked.position.version == 6
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == before
    source.close()


def test_a_folder_that_cannot_be_written_keeps_no_dispatcher_from_following(tmp_path: Path) -> None:
    (tmp_path / "taken").write_text("a file")
    rig = Rig(tmp_path / "taken")
    source, _ = controlled(rig)
    rig.connect()
    rig.controller.accept(put(customer("c1", 1.0)))
    rig.tell(*rig.controller.snapshot())
    rig.turns()
    assert source.settled and rig.sink.by_key == rig.controller.state.by_key
    assert not [each for each in rig.sent() if isinstance(each, InForce)]
    assert {each.event for each in rig.happened} == {"not kept", "spoilt on disk", "controller reached"}
    source.close()


def test_nothing_kept_is_no_position() -> None:
    assert KeptConfiguration().position == NO_POSITION

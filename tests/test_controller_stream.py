"""The connection to a controller on a memory reactor: frames, invalid input, errors, queued frames."""

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
from laureldock.replication.configuration_store import ConfigurationStore, StoredConfiguration
from laureldock.replication.messages import NO_POSITION, InForce, Message, Refused, Subscribe
from laureldock.replication.subscriber import SubscriberEvent
from laureldock.setup.catalog import RefusedChangeError
from laureldock.setup.changes import Change
from laureldock.setup.faults import Fault
from laureldock.sources.controlled import MAX_QUEUED_FRAMES, ControllerSource, ControllerStream


class Transport(StringTransport):
    aborted = False

    def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802
        """Does nothing; a TCP transport has this method."""

    def abortConnection(self) -> None:  # noqa: N802
        self.aborted = True


def memory_reactor() -> Any:
    return MemoryReactorClock()  # type: ignore[no-untyped-call]


def transport() -> Any:
    return Transport()  # type: ignore[no-untyped-call]


class RefusingSink(MemorySink):
    """Refuses changes like a catalog; with `defect` it raises an error after applying half of a change."""

    defect = False

    def apply_change(self, change: Change) -> None:
        if self.defect:
            self.by_key.update((entry.key, entry) for entry in change.puts)
            raise ZeroDivisionError
        try:
            super().apply_change(change)
        except ValueError as error:
            raise RefusedChangeError([Fault(("customer", "x", "quota"), str(error), "less")]) from None


class Rig:
    def __init__(self, folder: Path | None = None, **settings: Any) -> None:
        self.reactor = memory_reactor()
        self.protocol: Any = None
        self.controller = MemoryController()
        self.sink = RefusingSink()
        self.events: list[SubscriberEvent] = []
        self.store = (
            ConfigurationStore(folder, wall_clock=lambda: 1e6 + self.reactor.seconds()) if folder else None
        )
        self.stream = ControllerStream(
            self.reactor, ("c:1", "d:2"), "d1", 1, self.sink, self.store, self.events.append
        )
        self.read = 0  # bytes of its output that were returned by `sent`

    def connect(self) -> Any:
        """Wait for the next connection attempt and accept it."""
        count = len(self.reactor.tcpClients)
        self.advance(5.0)
        assert len(self.reactor.tcpClients) > count
        return self.accept()

    def accept(self) -> Any:
        self.protocol = self.reactor.tcpClients[-1][2].buildProtocol(None)
        self.transport, self.read = transport(), 0
        self.protocol.makeConnection(self.transport)
        return self.transport

    def advance(self, seconds: float) -> None:
        """Advance the clock in small steps until a connection attempt is made."""
        count = len(self.reactor.tcpClients)
        for _ in range(round(seconds / 0.05)):
            self.reactor.advance(0.05)
            if len(self.reactor.tcpClients) > count:
                return

    def deliver(self, *to_deliver: Message) -> None:
        frames = (messages.encode(message) for message in to_deliver)
        self.protocol.dataReceived(b"".join(len(frame).to_bytes(4, "big") + frame for frame in frames))

    def run_reactor(self, count: int = 300) -> None:
        for _ in range(count):
            self.reactor.advance(0)

    def sent(self) -> list[Message]:
        """The messages sent since the last call."""
        data = self.transport.value()[self.read :]
        found = []
        while data:
            length = int.from_bytes(data[:4], "big")
            found.append(messages.decode(data[4 : 4 + length]))
            data, self.read = data[4 + length :], self.read + 4 + length
        return found


def synchronized_rig(folder: Path | None = None) -> Rig:
    rig = Rig(folder)
    for number in range(5):
        rig.controller.accept(put(customer(f"c{number}", 1.0)))
    if rig.store:
        assert rig.store.acquire()
        rig.store.load()
    rig.stream.start()
    rig.connect()
    assert rig.sent() == [Subscribe("d1", NO_POSITION, 0)]
    rig.deliver(*rig.controller.snapshot())
    rig.run_reactor()
    assert rig.sent() == [InForce(rig.controller.position, rig.controller.state.digest)]
    return rig


def test_a_snapshot_and_changes_are_applied_and_stored(tmp_path: Path) -> None:
    rig = synchronized_rig(tmp_path)
    rig.deliver(rig.controller.accept(put(customer("c1", 5.0))), rig.controller.accept(remove("c2")))
    rig.run_reactor()
    assert rig.sink.by_key == rig.controller.state.by_key
    sent_messages = rig.sent()
    assert [each.position.version for each in sent_messages if isinstance(each, InForce)] == [6, 7]
    rig.deliver(rig.controller.heartbeat())
    rig.stream.stop()
    assert rig.store
    rig.store.close()
    stored = ConfigurationStore(tmp_path, wall_clock=lambda: 1e6 + rig.reactor.seconds() + 9.0).load()
    assert stored.position == rig.controller.position and stored.age is not None and 8.9 < stored.age < 9.1


def test_a_malformed_frame_closes_the_connection_and_the_next_controller_is_tried() -> None:
    for bad in (b"\0\0\0\3abc", b"\0\0\0\5lc\x02\x93\x01", b"\0\0\0\0", b"\xff\0\0\0"):
        rig = synchronized_rig()
        rig.protocol.dataReceived(bad)
        rig.run_reactor()
        assert rig.transport.aborted and "malformed message" in [each.event for each in rig.events]
        before = rig.reactor.tcpClients[-1][:2]
        rig.connect()
        assert rig.sent() == [Subscribe("d1", rig.controller.position, rig.controller.state.digest)]
        assert {before, rig.reactor.tcpClients[-1][:2]} == {("c", 1), ("d", 2)}


def test_queued_frames_of_a_lost_connection_are_discarded() -> None:
    rig = synchronized_rig()
    old = rig.protocol
    rig.deliver(*(rig.controller.accept(put(customer("c1", float(number)))) for number in range(9)))
    old.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]
    rig.run_reactor()
    version = rig.stream.subscriber.position.version
    assert version < 14
    old.dataReceived(b"\0\0\0\3abc")
    rig.run_reactor()
    assert not [each for each in rig.events if each.event == "malformed message"]
    rig.connect()
    subscription = rig.sent()[0]
    assert isinstance(subscription, Subscribe) and subscription.position.version == version


def test_many_frames_are_applied_one_per_reactor_iteration_and_reading_is_paused() -> None:
    rig = synchronized_rig()
    burst = [rig.controller.accept(put(customer("c1", float(number)))) for number in range(200)]
    rig.deliver(*burst)
    assert rig.transport.producerState == "paused" and MAX_QUEUED_FRAMES < 200
    seen: list[int] = []

    def other_work() -> None:
        seen.append(rig.stream.subscriber.position.version)
        if seen[-1] < 205:
            rig.reactor.callLater(0, other_work)

    other_work()
    rig.run_reactor()
    assert len(seen) >= 199 and all(later - earlier <= 1 for earlier, later in pairwise(seen))
    assert rig.stream.subscriber.position.version == 205 and rig.transport.producerState == "producing"
    assert rig.sink.by_key == rig.controller.state.by_key


def test_a_refusal_is_reported_with_its_path() -> None:
    rig = synchronized_rig()
    rig.sink.refuses = lambda entry: entry.name == "bad"
    rig.deliver(rig.controller.accept(put(customer("bad", 1.0))))
    rig.run_reactor()
    refusal = rig.sent()[0]
    assert isinstance(refusal, Refused) and refusal.position.version == 6
    fault = refusal.faults[0]
    assert (fault.path, fault.allowed) == (("customer", "x", "quota"), "less") and "denied" in fault.reason


def test_an_internal_error_fails_one_change_and_a_snapshot_repairs_it() -> None:
    rig = synchronized_rig()
    rig.sink.defect = True
    rig.deliver(rig.controller.accept(put(customer("c1", 5.0), customer("c9", 1.0))))
    rig.run_reactor()
    refusal = rig.sent()[0]
    assert isinstance(refusal, Refused) and "ZeroDivisionError" in refusal.faults[0].reason
    rig.sink.defect = False
    for _ in range(4):
        rig.advance(2.0)
        rig.deliver(rig.controller.heartbeat())
    assert Subscribe("d1", NO_POSITION, 0) in rig.sent()
    rig.deliver(*rig.controller.snapshot())
    rig.run_reactor()
    assert rig.sink.by_key == rig.controller.state.by_key


def test_a_connection_that_fails_or_is_established_too_late_is_retried() -> None:
    rig = Rig()
    rig.stream.start()
    rig.advance(1.0)
    host, _, factory, *_ = rig.reactor.tcpClients[-1]
    connector = rig.reactor.connectors[-1]
    factory.clientConnectionFailed(connector, Failure(ConnectionRefusedError()))  # type: ignore[no-untyped-call]
    rig.advance(1.0)
    assert len(rig.reactor.tcpClients) == 2 and rig.reactor.tcpClients[-1][0] != host
    rig.advance(3.05)  # the connection attempt times out
    assert rig.reactor.connectors[-1].stoppedConnecting
    late = rig.reactor.tcpClients[-1][2].buildProtocol(None)
    late_transport = transport()
    late.makeConnection(late_transport)
    assert late_transport.aborted
    rig.connect()
    assert isinstance(rig.sent()[0], Subscribe)
    factory.clientConnectionFailed(connector, Failure(ConnectionRefusedError()))  # type: ignore[no-untyped-call]
    assert rig.stream.subscriber.connected


def test_no_calls_are_pending_after_stop() -> None:
    rig = synchronized_rig()
    rig.stream.stop()
    assert rig.transport.aborted
    rig.protocol.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]
    rig.run_reactor()
    assert rig.reactor.getDelayedCalls() == []


class Core:
    """A stub of the core as sources use it."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.running = rig, True
        self.updates: list[tuple[int, bool]] = []

    def now(self) -> float:
        return float(self.rig.reactor.seconds())

    def call_later(self, delay: float, call: Any, *args: Any) -> Any:
        return self.rig.reactor.callLater(delay, call, *args)

    def guard(self, call: Any, *args: Any) -> Any:
        return call(*args)

    def list_updated(self, hosts: list[tuple[ListedEndpoint, str]], whole: bool) -> None:
        self.updates.append((len(hosts), whole))


def started_source(rig: Rig) -> tuple[ControllerSource, Core]:
    core: Any = Core(rig)
    assert rig.store
    source = ControllerSource(core, rig.stream, rig.store)
    source.start()
    return source, core


def test_without_a_stored_configuration_the_first_change_settles_the_source(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    source, core = started_source(rig)
    assert not source.settled and "configuration_age_s" not in source.figures()
    rig.connect()
    assert not source.settled and core.updates == []
    rig.deliver(*rig.controller.snapshot(), rig.controller.heartbeat())
    rig.run_reactor()
    assert not source.settled and core.updates == []  # the controller has accepted no change yet
    assert source.figures() == {
        "configuration_version": 0, "configuration_epoch": 7, "configuration_refused": 0,
        "configuration_age_s": 0.0,
    }  # fmt: skip
    rig.deliver(rig.controller.accept(put(customer("first", 1.0))), rig.controller.heartbeat())
    rig.run_reactor()
    assert source.settled and core.updates == [(0, False)]
    assert source.figures()["configuration_version"] == 1
    source.close()


def test_the_stored_configuration_is_used_after_a_restart(tmp_path: Path) -> None:
    old = synchronized_rig(tmp_path)
    old.deliver(old.controller.heartbeat())
    old.run_reactor()
    old.stream.stop()
    assert old.store
    old.store.close()
    rig = Rig(tmp_path)
    source, core = started_source(rig)
    assert source.settled and core.updates and rig.sink.by_key == old.sink.by_key
    rig.advance(30.0)
    figures = source.figures()
    assert figures["configuration_version"] == 5 and figures["configuration_age_s"] >= 0
    source.close()


def test_a_stored_configuration_refused_by_the_dispatchers_file_is_not_partially_applied(
    tmp_path: Path,
) -> None:
    old = synchronized_rig(tmp_path)
    old.stream.stop()
    assert old.store
    old.store.close()
    rig = Rig(tmp_path)

    def refuse(entries: object) -> None:
        raise RefusedChangeError([Fault(("customer", "c1"), "not allowed here")])

    rig.sink.replace_entries = refuse  # type: ignore[method-assign]
    source, core = started_source(rig)
    assert not source.settled and core.updates == []
    assert [each.event for each in rig.events] == ["refused from disk"]
    rig.connect()
    assert rig.sent() == [Subscribe("d1", NO_POSITION, 0)]
    source.close()


def test_an_error_applying_the_stored_configuration_does_not_prevent_the_start(tmp_path: Path) -> None:
    old = synchronized_rig(tmp_path)
    old.stream.stop()
    assert old.store
    old.store.close()
    rig = Rig(tmp_path)
    replace = rig.sink.replace_entries

    def fail(entries: object) -> None:
        raise ZeroDivisionError

    rig.sink.replace_entries = fail  # type: ignore[method-assign]
    source, _ = started_source(rig)
    assert not source.settled
    rig.sink.replace_entries = replace  # type: ignore[method-assign]
    rig.connect()
    assert rig.sent() == [Subscribe("d1", NO_POSITION, 0)]
    rig.deliver(*old.controller.snapshot())
    rig.run_reactor()
    assert source.settled and rig.sink.by_key == old.sink.by_key
    source.close()


def test_during_a_handover_the_second_process_subscribes_once_the_first_has_ended(tmp_path: Path) -> None:
    old = synchronized_rig(tmp_path)
    rig = Rig(tmp_path)
    source, _ = started_source(rig)
    assert source.settled and rig.sink.by_key == old.sink.by_key
    old.deliver(old.controller.accept(put(customer("c1", 77.0))))
    old.run_reactor()
    rig.advance(5.0)
    assert rig.reactor.tcpClients == []  # only the other process subscribes
    before = {path.name: path.read_bytes() for path in tmp_path.iterdir()}
    old.stream.stop()
    assert old.store
    old.store.close()
    rig.connect()
    assert rig.sink.by_key == old.sink.by_key
    subscription = rig.sent()[0]
    assert isinstance(subscription, Subscribe) and subscription.position.version == 6
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == before
    source.close()


def test_an_unwritable_folder_does_not_prevent_the_subscription(tmp_path: Path) -> None:
    (tmp_path / "occupied").write_text("a file")
    rig = Rig(tmp_path / "occupied")
    source, _ = started_source(rig)
    rig.connect()
    rig.controller.accept(put(customer("c1", 1.0)))
    rig.deliver(*rig.controller.snapshot())
    rig.run_reactor()
    assert source.settled and rig.sink.by_key == rig.controller.state.by_key
    assert not [each for each in rig.sent() if isinstance(each, InForce)]
    assert {each.event for each in rig.events} == {"not kept", "spoilt on disk", "controller reached"}
    source.close()


def test_an_empty_stored_configuration_has_no_position() -> None:
    assert StoredConfiguration().position == NO_POSITION

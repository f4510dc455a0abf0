"""Messages keep the queue class that they were accepted under, whichever process holds them.

Each test changes the settings of a class, or drops it, before another process takes the messages over.
"""

from __future__ import annotations

import copy
import json
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from drivers import PLATFORM_SETTINGS
from socket_dispatcher import Connection, SocketDispatcher

from laureldock.delivery_settings import class_values
from laureldock.interface import QueueClass, RepeatSafety
from laureldock.setup.platform import plan_from_platform

OK = b"+OK\r\n"
SERVED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
SECOND = 1e9  # nanoseconds
SHUT = b"HTTP/1.1 429 Shut\r\nX-RateLimit-Wait-Ms: 2500\r\nContent-Length: 0\r\n\r\n"

Settings = dict[str, Any]
Takeover = Callable[[SocketDispatcher, Settings], SocketDispatcher]


def settings_with(name: str, **changes: Any) -> Settings:
    """The platform's settings with other settings of one class; a change to None drops it from the class."""
    settings = copy.deepcopy(PLATFORM_SETTINGS)
    changed = next(each for each in settings["classes"] if each["name"] == name)
    changed.update(changes)
    return settings


def settings_without(name: str) -> Settings:
    """The platform's settings without a class."""
    settings = copy.deepcopy(PLATFORM_SETTINGS)
    settings["classes"] = [each for each in settings["classes"] if each["name"] != name]
    return settings


def reload(dispatcher: SocketDispatcher, settings: Settings) -> None:
    """Apply settings as SIGHUP does."""
    document = json.loads(dispatcher.config_file.read_text())
    dispatcher.config_file.write_text(json.dumps({**document, "settings": settings}))
    environ = {"LB_CONFIG": str(dispatcher.config_file), "LB_STATE": str(dispatcher.folder)}
    plan, _ = plan_from_platform(environ, reload=True)
    dispatcher.assembly.apply_platform_settings(plan)


def kill(dispatcher: SocketDispatcher, settings: Settings) -> SocketDispatcher:
    """SIGKILL, then a start with the changed file, which came with no SIGHUP."""
    dispatcher.kill()
    dispatcher.settings = settings
    return dispatcher.start_until_ready()


def kill_after_reload(dispatcher: SocketDispatcher, settings: Settings) -> SocketDispatcher:
    """The same with SIGHUP before."""
    reload(dispatcher, settings)
    return kill(dispatcher, settings)


def kill_twice(dispatcher: SocketDispatcher, settings: Settings) -> SocketDispatcher:
    """The first restart still has the old settings."""
    return kill(kill(dispatcher, dispatcher.settings), settings)


def stop(dispatcher: SocketDispatcher, settings: Settings) -> SocketDispatcher:
    """SIGTERM, with calls out to the end of the process."""
    reload(dispatcher, settings)
    stopped: list[bool] = []
    dispatcher.core.stop(lambda: stopped.append(True))
    dispatcher.step_until(lambda: stopped)
    return kill(dispatcher, settings)


def stop_on_passed_socket(dispatcher: SocketDispatcher, settings: Settings) -> SocketDispatcher:
    """The same where the next process has the listening socket, so that what waits is left to it."""
    dispatcher.core.shares_listening_socket = True
    return stop(dispatcher, settings)


def hand_over(dispatcher: SocketDispatcher, settings: Settings) -> SocketDispatcher:
    """A process with the changed file starts beside the other one, which then ends."""
    successor = copy.copy(dispatcher)
    successor.settings = settings
    successor.config_file = dispatcher.folder / "config-2.json"
    successor.start_until_ready()
    assert not successor.core.store.pending and successor.core.store.is_shared
    dispatcher.kill()
    successor.step_until(lambda: not successor.core.store.is_shared)
    return successor


def hand_over_and_back(dispatcher: SocketDispatcher, settings: Settings) -> SocketDispatcher:
    """The same, and once more."""
    return hand_over(hand_over(dispatcher, settings), settings)


TAKEOVERS: list[Takeover] = [
    kill,
    kill_after_reload,
    kill_twice,
    stop_on_passed_socket,
    hand_over,
    hand_over_and_back,
]


@pytest.fixture(params=TAKEOVERS, ids=lambda takeover: takeover.__name__)
def takeover(request: pytest.FixtureRequest) -> Takeover:
    chosen: Takeover = request.param
    return chosen


@pytest.fixture
def dispatcher(tmp_path: Path) -> Iterator[SocketDispatcher]:
    dispatcher = SocketDispatcher(tmp_path)
    dispatcher.start_until_ready()
    dispatcher.skip_opening_period()
    yield dispatcher
    dispatcher.platform.close()
    dispatcher.receiver.close()


def accept(dispatcher: SocketDispatcher, *requests: bytes) -> None:
    """Submit messages, each of which has to be accepted."""
    for request in requests:
        client = dispatcher.connect_client()
        client.send(request)
        dispatcher.step_until(lambda client=client: client.receive() == OK)  # type: ignore[misc]
        client.close()


def respond_for(dispatcher: SocketDispatcher, seconds: float) -> list[str]:
    """Serve each call that comes; returns the names of the messages in the order of their calls."""
    end = time.monotonic() + seconds
    served: list[str] = []
    answered: dict[Connection, int] = {}
    while time.monotonic() < end:
        dispatcher.step(0.002)
        for connection in dispatcher.receiver.connections:
            if connection.socket.fileno() < 0 or connection.ended_by:
                continue
            parts = connection.receive().split(b"X-Call-Id: ")[1:]
            for part in parts[answered.get(connection, 0) :]:
                if part.endswith(b"\r\n\r\nhello") or b"\r\n\r\nhello" in part:
                    served.append(part.split(b"\r\n")[0].decode())
                    answered[connection] = answered.get(connection, 0) + 1
                    connection.send(SERVED)
    return served


def forget_connections(dispatcher: SocketDispatcher) -> None:
    """The calls of the process that ended stay without a response."""
    for connection in dispatcher.receiver.connections:
        connection.close()
    dispatcher.receiver.connections.clear()


def outcomes(dispatcher: SocketDispatcher) -> dict[str, str]:
    """The outcome of each message that has a notice."""
    return {each["message"]: each["outcome"] for each in map(json.loads, dispatcher.platform.notices)}


def held_class(dispatcher: SocketDispatcher, name: bytes) -> QueueClass:
    """The queue class by which a process handles a message."""
    return dispatcher.core.messages_by_name[name].message.queue_class


@pytest.mark.parametrize("takeover", [*TAKEOVERS, stop], ids=lambda takeover: takeover.__name__)
def test_a_call_that_may_have_run_is_not_repeated_once_its_class_may_be(
    dispatcher: SocketDispatcher, takeover: Takeover
) -> None:
    """Payments ran twice: the next process took them for redeliverable, as their class was by then."""
    accept(dispatcher, dispatcher.put_request("a", "charge"))
    dispatcher.wait_for_call("a")
    successor = takeover(dispatcher, settings_with("charge", effect="retryable"))
    forget_connections(successor)
    successor.step_until(lambda: outcomes(successor) == {"a": "given_up"})
    assert respond_for(successor, 0.3) == []
    accept(successor, successor.put_request("b", "charge"))
    assert held_class(successor, b"b").repeat_safety is RepeatSafety.REDELIVERABLE
    successor.kill()


def test_a_tagged_message_is_not_repeated_after_the_memory_it_was_accepted_with(
    dispatcher: SocketDispatcher, takeover: Takeover
) -> None:
    """A longer memory in the settings let it be sent again after its receivers had forgotten its tag."""
    accept(dispatcher, dispatcher.put_request("a", "stamp"))  # remembered for one second
    dispatcher.wait_for_call("a")
    time.sleep(1.0)
    successor = takeover(dispatcher, settings_with("stamp", window_ns=9 * SECOND))
    forget_connections(successor)
    successor.step_until(lambda: outcomes(successor) == {"a": "handed_back"})
    assert respond_for(successor, 0.3) == []
    successor.kill()


def test_a_message_that_is_recognized_in_one_zone_is_not_repeated_elsewhere(
    dispatcher: SocketDispatcher, takeover: Takeover
) -> None:
    """Nobody knows the zone of the first call after a restart, so that it may not be sent again."""
    dispatcher.kill()
    dispatcher.settings = settings_with("order", dedup_scope="zone")
    dispatcher.start_until_ready()
    dispatcher.skip_opening_period()
    accept(dispatcher, dispatcher.put_request("a", "order", key="k"))
    dispatcher.wait_for_call("a")
    successor = takeover(dispatcher, settings_with("order", dedup_scope="all"))
    forget_connections(successor)
    successor.step_until(lambda: outcomes(successor) == {"a": "given_up"})
    assert respond_for(successor, 0.3) == []
    successor.kill()


def test_the_order_of_a_key_outlives_the_order_of_its_class(
    dispatcher: SocketDispatcher, takeover: Takeover
) -> None:
    """A message was sent while the one before it was out, since its class kept no order by then."""
    accept(dispatcher, *(dispatcher.put_request(name, "order", key="k") for name in "abc"))
    dispatcher.wait_for_call("a")
    successor = takeover(dispatcher, settings_with("order", in_order=False))
    forget_connections(successor)
    successor.wait_for_call("a")
    successor.step_for(0.5)
    assert successor.received_calls() == ["a"]
    assert respond_for(successor, 1.5) == ["a", "b", "c"]
    successor.kill()


def test_untried_messages_of_a_dropped_class_are_delivered(
    dispatcher: SocketDispatcher, takeover: Takeover
) -> None:
    """They were all given up at the start of the next process, with no call."""
    names = ["a", "b", "c", "d"]
    accept(dispatcher, *(dispatcher.put_request(name, "charge") for name in names))
    dispatcher.step_until(dispatcher.received_calls)
    first = dispatcher.received_calls()[0]
    dispatcher.respond(first, SHUT)
    dispatcher.step_for(0.05)
    out = {
        each.name.decode()
        for each in dispatcher.core.store.pending.values()
        if each.in_flight_since is not None
    }
    untried = set(names) - out
    assert untried
    successor = takeover(dispatcher, settings_without("charge"))
    forget_connections(successor)
    served = respond_for(successor, 3.0)
    assert sorted(served) == sorted(untried) and set(outcomes(successor)) == out
    successor.kill()


def test_all_that_a_class_says_is_kept(dispatcher: SocketDispatcher, takeover: Takeover) -> None:
    """Lifetime, delay, importance and how it fades were those of the settings of the next process, too."""
    dispatcher.receiver.listener.close()  # nothing is delivered
    accept(dispatcher, dispatcher.put_request("a", "stamp"), dispatcher.put_request("b", "news"))
    accepted = held_class(dispatcher, b"a")
    changed = settings_with(
        "stamp", points=7, aim_ns=3 * SECOND, deadline_ns=20 * SECOND, window_ns=2 * SECOND, late_share=0.25
    )
    changed["family_info"] = {**changed["family_info"], "fades": "halving"}
    successor = takeover(dispatcher, changed)
    kept = held_class(successor, b"a")
    assert class_values(kept) == class_values(accepted)
    assert successor.core.messages_by_name[b"a"].message.policy_state.terms.importance == 1.0
    accept(successor, successor.put_request("c", "stamp"))
    new = held_class(successor, b"c")
    differing = [
        name for name in QueueClass.__dataclass_fields__ if getattr(kept, name) != getattr(new, name)
    ]
    assert differing == [
        "importance", "target_delay", "lifetime", "late_share", "halves_importance_when_late",
        "tag_memory_time",
    ]  # fmt: skip
    successor.kill()


def test_three_versions_of_one_class_are_told_apart(dispatcher: SocketDispatcher) -> None:
    """Each message has the one that held when it was accepted, after a restart as before it."""
    dispatcher.receiver.listener.close()
    expected = {}
    for number, points in enumerate((2, 3, 2, 4)):
        reload(dispatcher, settings_with("news", points=points))
        name = f"m{number}"
        accept(dispatcher, dispatcher.put_request(name, "news"))
        expected[name.encode()] = float(points)
    for _ in range(2):
        found = {name: held_class(dispatcher, name).importance for name in expected}
        assert found == expected
        assert dispatcher.core.store.path.read_bytes().count(b'["class",') == 3  # type: ignore[attr-defined]
        dispatcher = kill(dispatcher, PLATFORM_SETTINGS)
    dispatcher.kill()


def test_the_number_of_attempts_is_the_dispatchers(dispatcher: SocketDispatcher) -> None:
    """`limits.max_attempts` is no setting of a class: a change holds for accepted messages, too."""
    dispatcher.receiver.listener.close()
    accept(dispatcher, dispatcher.put_request("a", "news"))
    successor = kill(
        dispatcher, {**PLATFORM_SETTINGS, "limits": {**PLATFORM_SETTINGS["limits"], "max_attempts": 2}}
    )
    assert successor.core.policy.max_attempts == 2
    assert successor.core.messages_by_name[b"a"].message.policy_state.terms.max_attempts == 2
    successor.kill()

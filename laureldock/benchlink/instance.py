"""One simulated instance: names and ids of the wire on one side, objects of the decisions on the other."""

from __future__ import annotations

import base64
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from laureldock import interface
from laureldock.delivery_policy import DeliveryPolicy
from laureldock.delivery_settings import DeliveryRegistry, ListedEndpoint
from laureldock.setup.platform import NS, Fields, plan_from_profile

RESULTS = {
    "ok": interface.AttemptResult.SERVED,
    "error": interface.AttemptResult.ERROR,
    "full": interface.AttemptResult.REFUSED,
    "timeout": interface.AttemptResult.TIMEOUT,
    "connect_failed": interface.AttemptResult.NO_CONNECTION,
    "reset": interface.AttemptResult.RESET,
    "cancelled": interface.AttemptResult.CANCELLED,
    "moot": interface.AttemptResult.MOOT,
}
LISTED_STATES = {
    "up": interface.ListedState.UP,
    "draining": interface.ListedState.DRAINING,
    "removed": interface.ListedState.REMOVED,
}


def seconds(value: Any) -> float:
    """Nanoseconds of the wire in seconds; 0 for none."""
    return float(value or 0) / NS


@dataclass(eq=False, slots=True)
class HeldMessage:
    """A message as the wire knows it: its id, and its attempts by number."""

    op_id: str
    message: interface.Message
    attempts: list[interface.Attempt] = field(default_factory=list)
    in_flight: set[int] = field(default_factory=set)  # numbers of attempts without an outcome
    pending: bool = True  # it has no final outcome yet


class Instance:
    """A dispatcher of the simulator. Its handlers carry the names of the wire's events."""

    def __init__(self, number: int, seed: int, profile: Fields, now: float) -> None:
        self.number = number
        self.registry = DeliveryRegistry(plan_from_profile(seed, profile, False))
        self.by_id: dict[str, HeldMessage] = {}
        self.by_message: dict[interface.Message, HeldMessage] = {}
        self.maybe_done: list[HeldMessage] = []
        self.fault: str | None = None
        self.handlers: dict[str, Callable[[float, Fields], None]] = {
            "arrival": self.arrival,
            "attempt_end": self.attempt_end,
            "check_result": self.check_result,
            "client_gone": self.client_gone,
            "heard": self.heard,
            "tick_due": self.tick_due,
            "under_way": self.under_way,
        }
        self.policy: DeliveryPolicy | None = None
        self.guard(lambda: setattr(self, "policy", DeliveryPolicy(self.registry.settings, now)))

    def guard(self, call: Callable[[], Any]) -> Any:
        """Make a call of the decisions; its exception becomes the panic action of the wire."""
        if self.fault is None:
            try:
                return call()
            except Exception as fault:
                place = traceback.extract_tb(fault.__traceback__)[-1]
                self.fault = f"{type(fault).__name__}: {fault} ({place.name}, line {place.lineno})"
        return None

    def call_policy(self, name: str, *args: Any) -> None:
        """Call a method of `DeliveryPolicy` by name: the policy is missing where its start failed."""
        self.guard(lambda: getattr(self.policy, name)(*args))

    def view(self, now: float, form: str, records: list[Fields]) -> None:
        """Take in the endpoint list. ValueError: unknown form."""
        if form == "unavailable":
            self.call_policy("list_failed", now)
            return
        if form not in ("update", "replace", "restored"):
            raise ValueError(f"unknown form {form!r}")
        full = form != "update"
        entries = [self.entry(record) for record in records]
        replaced = self.registry.remove_replaced(entries)
        self.call_policy("list_updated", now, [*replaced, *self.registry.update_list(entries, full)], full)

    def entry(self, record: Fields) -> ListedEndpoint:
        return ListedEndpoint(
            name=record["endpoint"],
            destination=record["owner_no"],
            zone=str(record.get("dc")),
            kind=record["generation_hw"],
            listed_rate=float(record.get("weight") or 0),
            listed_state=LISTED_STATES[record["health"]],
        )

    def arrival(self, now: float, fields: Fields) -> None:
        message = interface.Message(
            queue_class=self.registry.classes[fields["band"]],
            destination=self.registry.destination(fields["addressee_no"]),
            time_left=seconds(fields["expires_in_ns"]),
            customer=self.registry.customers.get(fields.get("realm") or ""),
            key=fields.get("resource"),
        )
        self.by_id[fields["op_id"]] = self.by_message[message] = HeldMessage(fields["op_id"], message)
        self.call_policy("message_accepted", now, message)

    def outcome(self, fields: Fields) -> interface.Outcome:
        result = RESULTS[fields["ending"]]
        wait = (fields.get("hold_ms") or 0) / 1000 if result is interface.AttemptResult.REFUSED else 0.0
        report = dict(zip(self.registry.report_fields, fields.get("stats") or [], strict=False))
        duration, finished = seconds(fields["latency_ns"]), bool(fields.get("closed"))
        return interface.Outcome(result, duration, finished, wait, report.get("x1"), report.get("x0", 1.0))

    def attempt_end(self, now: float, fields: Fields) -> None:
        held = self.by_id.get(fields["op_id"])
        if held is None or fields["shot"] not in held.in_flight:
            return
        outcome = self.outcome(fields)
        held.in_flight.discard(fields["shot"])
        self.call_policy("attempt_ended", now, held.attempts[fields["shot"]], outcome)
        held.pending = held.pending and not outcome.finished
        self.maybe_done.append(held)

    def check_result(self, now: float, fields: Fields) -> None:
        route = self.registry.routes.get(fields["endpoint"])
        if route is not None:
            self.call_policy("probe_ended", now, route, self.outcome(fields))

    def client_gone(self, now: float, fields: Fields) -> None:
        held = self.by_id.get(fields["op_id"])
        if held is not None:
            self.call_policy("message_withdrawn", now, held.message)
            self.finish(held.message)

    def heard(self, now: float, fields: Fields) -> None:
        self.call_policy(
            "note_received", now, fields["sender"], base64.b64decode(fields["blob"] or "", validate=True)
        )

    def tick_due(self, now: float, fields: Fields) -> None:
        self.call_policy("timer_expired", now, fields["ref"])

    def under_way(self, now: float, fields: Fields) -> None:
        """Ignore progress of a streamed response: no queue class here has any, and the attempt still ends."""
        del now, fields["op_id"]

    def finish(self, message: interface.Message) -> str:
        """Note that a message has its final outcome or was withdrawn; return its id."""
        held = self.by_message[message]
        held.pending = False
        self.maybe_done.append(held)
        return held.op_id

    def forget(self) -> None:
        """Drop messages that are finished and have no attempt in flight."""
        for held in self.maybe_done:
            if not held.pending and not held.in_flight:
                self.by_id.pop(held.op_id, None)
                self.by_message.pop(held.message, None)
        self.maybe_done.clear()

    def reply(self, now: float) -> list[Fields]:
        """Take one turn: its effects as actions of the wire, or a panic where a call failed."""
        effects = self.guard(lambda: self.policy.turn(now) if self.policy else [])
        if self.fault is not None:
            return [{"panic": {"dispatcher_id": self.number, "note_text": self.fault}}]
        # Each instance is one process here: there is no peer process to tell about routes.
        on_wire = (
            effect
            for effect in effects
            if not isinstance(effect, interface.RouteFailed | interface.RouteRecovered)
        )
        lines = [self.action(effect) for effect in on_wire]
        self.forget()
        return lines

    def action(self, effect: interface.Effect) -> Fields:
        name, fields = self.encode(effect)
        return {name: {"dispatcher_id": self.number, **fields}}

    def encode(self, effect: interface.Effect) -> tuple[str, Fields]:
        """Name and fields of the action for an effect. TypeError: the wire has none for it."""
        match effect:
            case interface.Attempt(message=message, route=route, timeout=timeout):
                held = self.by_message[message]
                held.in_flight.add(len(held.attempts))
                held.attempts.append(effect)
                return "dispatch", {
                    "op_id": held.op_id,
                    "endpoint": route.name,
                    "try_for_ns": round(timeout * NS),
                }
            case interface.Cancel(attempt=attempt):
                held = self.by_message[attempt.message]
                return "cancel", {"op_id": held.op_id, "shot": held.attempts.index(attempt)}
            case interface.Defer(message=message, retry_after=retry_after):
                return "deny", {"op_id": self.finish(message), "retry_after_ns": round(retry_after * NS)}
            case interface.Bounce(message=message):
                return "report_failure", {"op_id": self.finish(message)}
            case interface.Probe(route=route):
                return "poll", {"endpoint": route.name}
            case interface.CloseIdleConnections(route=route):
                return "close_idle", {"endpoint": route.name}
            case interface.PeerNote(peer=peer, data=data):
                return "memo_to", {"target": peer, "blob": base64.b64encode(data).decode()}
            case interface.FetchList(watch=watch):
                return ("observe", {"active": True}) if watch else ("reload", {})
            case interface.StartTimer(delay=delay, name=name):
                return "remind", {"offset_ns": max(0, round(delay * NS)), "ref": name}
            case interface.LogLine(text=text):
                return "trace", {"note_text": text}
            case interface.RouteFailed() | interface.RouteRecovered():
                raise TypeError(f"the wire has no action for {effect!r}")

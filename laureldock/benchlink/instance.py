"""One instance: the wire's names and ids on one side, the decisions' objects on the other."""

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

ENDINGS = {
    "ok": interface.AttemptResult.SERVED,
    "error": interface.AttemptResult.ERROR,
    "full": interface.AttemptResult.REFUSED,
    "timeout": interface.AttemptResult.TIMEOUT,
    "connect_failed": interface.AttemptResult.NO_CONNECTION,
    "reset": interface.AttemptResult.RESET,
    "cancelled": interface.AttemptResult.CANCELLED,
    "moot": interface.AttemptResult.MOOT,
}
LISTED = {
    "up": interface.ListedState.UP,
    "draining": interface.ListedState.DRAINING,
    "removed": interface.ListedState.REMOVED,
}


def seconds(value: Any) -> float:
    return float(value or 0) / NS


@dataclass(eq=False, slots=True)
class Held:
    """A mail at the door: its id, its attempts by number, which of them are out, if an answer is owed."""

    op_id: str
    mail: interface.Message
    attempts: list[interface.Attempt] = field(default_factory=list)
    out: set[int] = field(default_factory=set)
    owed: bool = True


class Instance:
    def __init__(self, number: int, seed: int, profile: Fields, now: float) -> None:
        self.number = number
        self.book = DeliveryRegistry(plan_from_profile(seed, profile, False))
        self.by_id: dict[str, Held] = {}
        self.by_mail: dict[interface.Message, Held] = {}
        self.leaving: list[Held] = []
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
        self.control: DeliveryPolicy | None = None
        self.guard(lambda: setattr(self, "control", DeliveryPolicy(self.book.settings, now)))

    def guard(self, call: Callable[[], Any]) -> Any:
        """Run a call of the decisions; its exception becomes the wire's fault action."""
        if self.fault is None:
            try:
                return call()
            except Exception as fault:
                place = traceback.extract_tb(fault.__traceback__)[-1]
                self.fault = f"{type(fault).__name__}: {fault} ({place.name}, line {place.lineno})"
        return None

    def tell(self, name: str, *args: Any) -> None:
        self.guard(lambda: getattr(self.control, name)(*args))

    def view(self, now: float, form: str, records: list[Fields]) -> None:
        if form == "unavailable":
            self.tell("list_failed", now)
            return
        if form not in ("update", "replace", "restored"):
            raise ValueError(f"unknown form {form!r}")
        whole = form != "update"
        self.tell(
            "list_updated",
            now,
            self.book.update_list([self.entry(record) for record in records], whole),
            whole,
        )

    def entry(self, record: Fields) -> ListedEndpoint:
        return ListedEndpoint(
            name=record["endpoint"],
            destination=record["owner_no"],
            zone=str(record.get("dc")),
            kind=record["generation_hw"],
            listed_rate=float(record.get("weight") or 0),
            listed_state=LISTED[record["health"]],
        )

    def arrival(self, now: float, fields: Fields) -> None:
        mail = interface.Message(
            queue_class=self.book.classes[fields["band"]],
            destination=self.book.destination(fields["addressee_no"]),
            time_left=seconds(fields["expires_in_ns"]),
            customer=self.book.customers.get(fields.get("realm") or ""),
            key=fields.get("resource"),
        )
        self.by_id[fields["op_id"]] = self.by_mail[mail] = Held(fields["op_id"], mail)
        self.tell("message_accepted", now, mail)

    def outcome(self, fields: Fields) -> interface.Outcome:
        ending = ENDINGS[fields["ending"]]
        wait = (fields.get("hold_ms") or 0) / 1000 if ending is interface.AttemptResult.REFUSED else 0.0
        told = dict(zip(self.book.report_fields, fields.get("stats") or [], strict=False))
        took, finished = seconds(fields["latency_ns"]), bool(fields.get("closed"))
        return interface.Outcome(ending, took, finished, wait, told.get("x1"), told.get("x0", 1.0))

    def attempt_end(self, now: float, fields: Fields) -> None:
        held = self.by_id.get(fields["op_id"])
        if held is None or fields["shot"] not in held.out:
            return
        outcome = self.outcome(fields)
        held.out.discard(fields["shot"])
        self.tell("attempt_ended", now, held.attempts[fields["shot"]], outcome)
        held.owed = held.owed and not outcome.finished
        self.leaving.append(held)

    def check_result(self, now: float, fields: Fields) -> None:
        route = self.book.routes.get(fields["endpoint"])
        if route is not None:
            self.tell("probe_ended", now, route, self.outcome(fields))

    def client_gone(self, now: float, fields: Fields) -> None:
        held = self.by_id.get(fields["op_id"])
        if held is not None:
            self.tell("message_withdrawn", now, held.mail)
            self.answered(held.mail)

    def heard(self, now: float, fields: Fields) -> None:
        self.tell(
            "note_received", now, fields["sender"], base64.b64decode(fields["blob"] or "", validate=True)
        )

    def tick_due(self, now: float, fields: Fields) -> None:
        self.tell("timer_expired", now, fields["ref"])

    def under_way(self, now: float, fields: Fields) -> None:
        """The wire's streamed answers: no queue class here has them, and the attempt's end still comes."""
        del now, fields["op_id"]

    def answered(self, mail: interface.Message) -> str:
        """No answer is owed any more: given, or not wanted."""
        held = self.by_mail[mail]
        held.owed = False
        self.leaving.append(held)
        return held.op_id

    def forget(self) -> None:
        """Free the mails that are answered and have no attempt out."""
        for held in self.leaving:
            if not held.owed and not held.out:
                self.by_id.pop(held.op_id, None)
                self.by_mail.pop(held.mail, None)
        self.leaving.clear()

    def reply(self, now: float) -> list[Fields]:
        effects = self.guard(lambda: self.control.turn(now) if self.control else [])
        if self.fault is not None:
            return [{"panic": {"dispatcher_id": self.number, "note_text": self.fault}}]
        # Each instance is one process here: there is no other one to be told of routes.
        told = (
            effect
            for effect in effects
            if not isinstance(effect, interface.RouteFailed | interface.RouteRecovered)
        )
        lines = [self.action(effect) for effect in told]
        self.forget()
        return lines

    def action(self, effect: interface.Effect) -> Fields:
        name, fields = self.encode(effect)
        return {name: {"dispatcher_id": self.number, **fields}}

    def encode(self, effect: interface.Effect) -> tuple[str, Fields]:
        match effect:
            case interface.Attempt(message=mail, route=route, timeout=time_out):
                held = self.by_mail[mail]
                held.out.add(len(held.attempts))
                held.attempts.append(effect)
                return "dispatch", {
                    "op_id": held.op_id,
                    "endpoint": route.name,
                    "try_for_ns": round(time_out * NS),
                }
            case interface.Cancel(attempt=attempt):
                held = self.by_mail[attempt.message]
                return "cancel", {"op_id": held.op_id, "shot": held.attempts.index(attempt)}
            case interface.Defer(message=mail, retry_after=retry_after):
                return "deny", {"op_id": self.answered(mail), "retry_after_ns": round(retry_after * NS)}
            case interface.Bounce(message=mail):
                return "report_failure", {"op_id": self.answered(mail)}
            case interface.Probe(route=route):
                return "poll", {"endpoint": route.name}
            case interface.CloseIdleConnections(route=route):
                return "close_idle", {"endpoint": route.name}
            case interface.PeerNote(peer=peer, data=data):
                return "memo_to", {"target": peer, "blob": base64.b64encode(data).decode()}
            case interface.FetchList(watch=watch):
                return ("observe", {"active": True}) if watch else ("reload", {})
            case interface.StartTimer(delay=after, name=name):
                return "remind", {"offset_ns": max(0, round(after * NS)), "ref": name}
            case interface.LogLine(text=text):
                return "trace", {"note_text": text}
            case interface.RouteFailed() | interface.RouteRecovered():
                raise TypeError(f"not an action of the wire: {effect!r}")

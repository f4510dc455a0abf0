"""One instance: the wire's names and ids on one side, the decisions' objects on the other."""

from __future__ import annotations

import base64
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from laureldock import interface as face
from laureldock.control import Control
from laureldock.setup.platform import NS, Fields, plan_from_profile
from laureldock.tariff import Book, Entry

ENDINGS = {
    "ok": face.Ending.SERVED,
    "error": face.Ending.ERROR,
    "full": face.Ending.FULL,
    "timeout": face.Ending.TIME_OUT,
    "connect_failed": face.Ending.NO_CONNECTION,
    "reset": face.Ending.RESET,
    "cancelled": face.Ending.CANCELLED,
    "moot": face.Ending.MOOT,
}
LISTED = {"up": face.Listed.UP, "draining": face.Listed.DRAINING, "removed": face.Listed.REMOVED}


def seconds(value: Any) -> float:
    return float(value or 0) / NS


@dataclass(eq=False, slots=True)
class Held:
    """A mail at the door: its id, its attempts by number, which of them are out, if an answer is owed."""

    op_id: str
    mail: face.Mail
    attempts: list[face.Attempt] = field(default_factory=list)
    out: set[int] = field(default_factory=set)
    owed: bool = True


class Instance:
    def __init__(self, number: int, seed: int, profile: Fields, now: float) -> None:
        self.number = number
        self.book = Book(plan_from_profile(seed, profile, False))
        self.by_id: dict[str, Held] = {}
        self.by_mail: dict[face.Mail, Held] = {}
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
        self.control: Control | None = None
        self.guard(lambda: setattr(self, "control", Control(self.book.tariff, now)))

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
        self.tell("news", now, self.book.listed([self.entry(record) for record in records], whole), whole)

    def entry(self, record: Fields) -> Entry:
        return Entry(
            name=record["endpoint"],
            destination=record["owner_no"],
            zone=str(record.get("dc")),
            kind=record["generation_hw"],
            rate=float(record.get("weight") or 0),
            listed=LISTED[record["health"]],
        )

    def arrival(self, now: float, fields: Fields) -> None:
        mail = face.Mail(
            queue_class=self.book.classes[fields["band"]],
            destination=self.book.destination(fields["addressee_no"]),
            left=seconds(fields["expires_in_ns"]),
            customer=self.book.customers.get(fields.get("realm") or ""),
            key=fields.get("resource"),
        )
        self.by_id[fields["op_id"]] = self.by_mail[mail] = Held(fields["op_id"], mail)
        self.tell("taken", now, mail)

    def outcome(self, fields: Fields) -> face.Outcome:
        ending = ENDINGS[fields["ending"]]
        wait = (fields.get("hold_ms") or 0) / 1000 if ending is face.Ending.FULL else 0.0
        told = dict(zip(self.book.reports, fields.get("stats") or [], strict=False))
        took, finished = seconds(fields["latency_ns"]), bool(fields.get("closed"))
        return face.Outcome(ending, took, finished, wait, told.get("x1"), told.get("x0", 1.0))

    def attempt_end(self, now: float, fields: Fields) -> None:
        held = self.by_id.get(fields["op_id"])
        if held is None or fields["shot"] not in held.out:
            return
        outcome = self.outcome(fields)
        held.out.discard(fields["shot"])
        self.tell("ended", now, held.attempts[fields["shot"]], outcome)
        held.owed = held.owed and not outcome.finished
        self.leaving.append(held)

    def check_result(self, now: float, fields: Fields) -> None:
        route = self.book.routes.get(fields["endpoint"])
        if route is not None:
            self.tell("probed", now, route, self.outcome(fields))

    def client_gone(self, now: float, fields: Fields) -> None:
        held = self.by_id.get(fields["op_id"])
        if held is not None:
            self.tell("withdrawn", now, held.mail)
            self.answered(held.mail)

    def heard(self, now: float, fields: Fields) -> None:
        self.tell("heard", now, fields["sender"], base64.b64decode(fields["blob"] or "", validate=True))

    def tick_due(self, now: float, fields: Fields) -> None:
        self.tell("timer", now, fields["ref"])

    def under_way(self, now: float, fields: Fields) -> None:
        """The wire's streamed answers: no queue class here has them, and the attempt's end still comes."""
        del now, fields["op_id"]

    def answered(self, mail: face.Mail) -> str:
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
        told = (effect for effect in effects if not isinstance(effect, face.RouteFailed | face.RouteReturned))
        lines = [self.action(effect) for effect in told]
        self.forget()
        return lines

    def action(self, effect: face.Effect) -> Fields:
        name, fields = self.encode(effect)
        return {name: {"dispatcher_id": self.number, **fields}}

    def encode(self, effect: face.Effect) -> tuple[str, Fields]:
        match effect:
            case face.Attempt(mail=mail, route=route, time_out=time_out):
                held = self.by_mail[mail]
                held.out.add(len(held.attempts))
                held.attempts.append(effect)
                return "dispatch", {
                    "op_id": held.op_id,
                    "endpoint": route.name,
                    "try_for_ns": round(time_out * NS),
                }
            case face.Cancel(attempt=attempt):
                held = self.by_mail[attempt.mail]
                return "cancel", {"op_id": held.op_id, "shot": held.attempts.index(attempt)}
            case face.Defer(mail=mail, retry_after=retry_after):
                return "deny", {"op_id": self.answered(mail), "retry_after_ns": round(retry_after * NS)}
            case face.Bounce(mail=mail):
                return "report_failure", {"op_id": self.answered(mail)}
            case face.Probe(route=route):
                return "poll", {"endpoint": route.name}
            case face.HangUp(route=route):
                return "close_idle", {"endpoint": route.name}
            case face.Note(peer=peer, data=data):
                return "memo_to", {"target": peer, "blob": base64.b64encode(data).decode()}
            case face.AskList(watch=watch):
                return ("observe", {"active": True}) if watch else ("reload", {})
            case face.Timer(after=after, name=name):
                return "remind", {"offset_ns": max(0, round(after * NS)), "ref": name}
            case face.Log(text=text):
                return "trace", {"note_text": text}
            case face.RouteFailed() | face.RouteReturned():
                raise TypeError(f"not an action of the wire: {effect!r}")

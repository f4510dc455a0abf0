"""What the core keeps of a mail: what is owed to it, and who waits for its answer."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from laureldock import interface as face


@dataclass(eq=False, slots=True)
class Owed:
    """A mail as the store knows it. Times are of the wall clock, which goes on between two lives."""

    name: bytes
    key: str | None
    queue_class: str
    customer: str
    tag: bytes
    destination: Any  # a number or a name, as the list has it
    end: float
    body: bytes
    attempts: int = 0
    ran: float | None = None  # when the first attempt that may have run was sent
    out: float | None = None  # when the last one was sent, unless it is known not to have run
    notice: bytes = b""  # its end, not answered yet
    room: int = 0  # bytes set apart for it


class Word(Enum):
    """What a front tells about a mail that was handed in."""

    TAKEN = "taken on"
    BUSY = "come again"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Answer:
    word: Word
    retry_after: float = 0.0  # seconds; nought says nothing


TAKEN = Answer(Word.TAKEN)


class Waiter(Protocol):
    """Who handed a mail in and waits for its answer."""

    def told(self, answer: Answer) -> None: ...


@dataclass(eq=False, slots=True)
class Letter:
    """A mail at the door."""

    name: bytes
    tag: bytes
    body: bytes
    mail: face.Mail
    end: float  # of its lifetime, by the clock of the process
    waiter: Waiter | None = None  # has not been told yet that it is taken on
    refusal: Answer | None = None
    noted: face.Attempt | None = None  # the last attempt that the store says is out
    attempts: int = 0  # in this life of the dispatcher


def notice_of(name: bytes, handed_back: bool, retry_after: float) -> bytes:
    """The notice by which a mail that was taken on ends undelivered: a line of JSON."""
    fields: dict[str, object] = {"message": name.decode("ascii"), "outcome": "given_up"}
    if handed_back:
        fields["outcome"] = "handed_back"
        if wait := round(retry_after * 1000):
            fields["retry_in_ms"] = wait
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"

"""Faults of a configuration: each has a path, a reason, and the allowed values."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

Path = tuple[str | int, ...]


def dotted(path: Path) -> str:
    """The path as text: `class.payment.time_out`, `endpoint[3].address`."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else part
    return text


@dataclass(frozen=True, slots=True)
class Fault:
    path: Path
    reason: str
    allowed: str = ""
    also: Path | None = None  # the other setting, if two contradict each other


@dataclass(frozen=True, slots=True)
class LocatedFault:
    """A fault with its file and lines, as printed."""

    file: str
    line: int
    fault: Fault
    also_line: int = 0

    def __str__(self) -> str:
        fault = self.fault
        at = f"{self.file}:{self.line}" if self.line else self.file
        where = f"{at}: {dotted(fault.path)}: " if fault.path else f"{at}: "
        text = where + fault.reason
        if fault.also:
            line = f", line {self.also_line}" if self.also_line else ""
            text += f" ({dotted(fault.also)}{line})"
        return text + (f"; allowed: {fault.allowed}" if fault.allowed else "")

    def fields(self) -> dict[str, object]:
        fault = self.fault
        found = {"file": self.file, "line": self.line, "place": dotted(fault.path), "reason": fault.reason}
        found |= {"allowed": fault.allowed} if fault.allowed else {}
        return found | ({"also": dotted(fault.also), "also_line": self.also_line} if fault.also else {})


class RefusedError(ValueError):
    """A configuration that was refused, with all its faults; the message has the first three."""

    def __init__(self, faults: Sequence[LocatedFault]) -> None:
        super().__init__("; ".join(str(fault) for fault in faults[:3]))
        self.faults = list(faults)

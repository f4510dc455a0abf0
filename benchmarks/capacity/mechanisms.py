"""Mechanisms that meet a need of the full deployment size, or would."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent


@dataclass(frozen=True, slots=True)
class Mechanism:
    """`module` implements the mechanism, or will; empty if none is planned."""

    name: str
    module: str = ""

    @property
    def exists(self) -> bool:
        return module_exists(self.module)


def module_exists(module: str) -> bool:
    """Whether the project has that file."""
    return bool(module) and (ROOT / module).exists()


VERSIONED_CHANGES = Mechanism("configuration as versioned changes", "laureldock/sources/controlled.py")
PLACEMENT = Mechanism("destinations placed on some of the dispatchers")
DISK_BACKLOG = Mechanism("a backlog that lives on disk")
SHARED_OUTAGES = Mechanism("outages, learned once and shared")
VIEWS_BY_REGION = Mechanism("views by region")
QUORUM = Mechanism("followers and a quorum among the control machines")
MESSAGE_COPIES = Mechanism("copies of pending messages on other machines")
CONNECTIONS_BY_AGE = Mechanism("kept connections in the order of their age, not by a look at every route")
MECHANISMS = [
    VERSIONED_CHANGES,
    PLACEMENT,
    DISK_BACKLOG,
    SHARED_OUTAGES,
    VIEWS_BY_REGION,
    QUORUM,
    MESSAGE_COPIES,
    CONNECTIONS_BY_AGE,
]

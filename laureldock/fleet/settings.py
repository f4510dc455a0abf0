"""Settings of a membership view, and its status in the fleet."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ViewStatus(Enum):
    """Whether the local member participates in the fleet; the values are shown to operators."""

    ACTIVE = "here"
    STEPPED_DOWN = "stepped down"
    LEFT = "gone"


@dataclass(frozen=True, slots=True)
class ViewSettings:
    """Identity of the local member and parameters of its view; fixed for the lifetime of a process.

    `address` is where other members reach this one, as host:port. `generation` is greater than that of any
    earlier start of this name, as far as is known, and `boot_id` is a random number of this start. `period`
    and `forget_after` are seconds. `max_members` bounds how many members are known at once.
    """

    fleet: str
    name: str
    site: str
    address: str
    generation: int
    boot_id: int
    seeds: tuple[str, ...] = ()
    period: float = 1.0
    random_seed: int = 0
    max_members: int = 4096
    forget_after: float = 86400.0

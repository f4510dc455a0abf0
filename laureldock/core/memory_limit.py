"""The limit on memory of a plan, and whether the program can start and serve with it."""

from __future__ import annotations

from math import ceil, inf

from laureldock.delivery_memory import MemoryBudget, required_bytes
from laureldock.setup.plan import Plan

HANDOVER_PROCESSES = 2
START_VARIATION_BYTES = 1_000_000  # by which the resident size of one start differs from that of the next


class RefusedMemoryError(Exception):
    """The limit on memory is less than what the program needs to start and serve. Amounts in bytes.

    The limit that it names also holds for a start that needs a little more than this one.
    """

    def __init__(self, limit: float, required: float, endpoints: int) -> None:
        named = ceil((required + START_VARIATION_BYTES) / 1e6)
        super().__init__(
            f"a limit of {limit / 1e6:g} MB on memory is too small: to start and serve with {endpoints}"
            f" endpoints this program needs {named} MB"
        )


def expected_processes(plan: Plan, running: int = 1) -> int:
    """For how many processes memory has to suffice: on a passed socket the next one runs beside this."""
    return max(running, HANDOVER_PROCESSES) if plan.passed >= 0 else running


def memory_limit(plan: Plan) -> float:
    """The limit on memory in bytes, infinite if there is none."""
    return inf if plan.limits.memory is None else float(plan.limits.memory)


def listed_count(plan: Plan) -> int:
    """The number of endpoints that are known at the start."""
    known = plan.source.known or {}
    return len(plan.endpoints) or len(known.get("hosts") or ())


def memory_budget(plan: Plan, resident: int) -> MemoryBudget:
    """The budget of a process that has `resident` bytes. RefusedMemoryError if it cannot serve with it."""
    limit = memory_limit(plan)
    required = required_bytes(resident, listed_count(plan))
    if limit < required:
        raise RefusedMemoryError(limit, required, listed_count(plan))
    return MemoryBudget(limit, resident, expected_processes(plan))

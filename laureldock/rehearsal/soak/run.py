"""A soak: many dispatchers at once, each with its own seed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from pathlib import Path

from laureldock.rehearsal.soak.dispatcher_soak import SoakedDispatcher
from laureldock.rehearsal.soak.soak_result import Findings

START_GAP = 0.1  # seconds between two starts, lest all begin in one instant


async def soak(
    folder: Path,
    seeds: Iterable[int],
    length: float,
    rate: float,
    say: Callable[[Findings], None],
    passed: bool = False,
    platform: bool = False,
) -> list[Findings]:
    """Soak one dispatcher for each seed, all at once; `say` hears of each once all are through.

    `length` in seconds, `rate` in messages a second; `passed`: on a passed socket, with hand-overs;
    `platform`: with the list and the notices of a platform.
    """

    async def one(place: int, seed: int) -> SoakedDispatcher:
        await asyncio.sleep(place * START_GAP)
        own = folder / f"seed-{seed}"
        own.mkdir(parents=True)
        name = f"dock-{seed}"
        dispatcher = SoakedDispatcher(own, name, seed, length, rate, passed, platform)
        await dispatcher.play()
        return dispatcher

    found = []
    for dispatcher in await asyncio.gather(*(one(place, seed) for place, seed in enumerate(seeds))):
        found.append(dispatcher.judge())
        say(found[-1])
    return found

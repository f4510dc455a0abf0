"""A soak of many dispatchers at once, each with its own seed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from pathlib import Path

from laureldock.rehearsal.response_repeats import ResponseRepeats
from laureldock.rehearsal.soak.dispatcher_soak import DispatcherSoak
from laureldock.rehearsal.soak.soak_result import SoakResult

START_INTERVAL = 0.1  # seconds between two starts, so that not all begin at the same moment


async def soak(
    folder: Path,
    seeds: Iterable[int],
    length: float,
    rate: float,
    report_result: Callable[[SoakResult], None],
    passed: bool = False,
    platform: bool = False,
    repeats: ResponseRepeats | None = None,
    crowds: bool = False,
) -> list[SoakResult]:
    """Soak one dispatcher per seed, all at once; `report_result` gets each result after all have ended.

    `length` is in seconds, `rate` in messages per second; `passed`: with a passed listening socket, and
    handovers; `platform`: with a platform's endpoint list and notices; `repeats`: servers send responses
    again, and connections to receivers have no faults; `crowds`: with crowds of slow clients.
    """

    async def soak_one(index: int, seed: int) -> DispatcherSoak:
        await asyncio.sleep(index * START_INTERVAL)
        dispatcher_folder = folder / f"seed-{seed}"
        dispatcher_folder.mkdir(parents=True)
        name = f"dock-{seed}"
        dispatcher = DispatcherSoak(
            dispatcher_folder, name, seed, length, rate, passed, platform, repeats, crowds
        )
        await dispatcher.play()
        return dispatcher

    results = []
    for dispatcher in await asyncio.gather(*(soak_one(index, seed) for index, seed in enumerate(seeds))):
        results.append(dispatcher.evaluate())
        report_result(results[-1])
    return results

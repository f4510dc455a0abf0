"""A crowd of slow clients in a process of its own, so that it does not delay the stubs of a soak."""

from __future__ import annotations

import asyncio
import sys

import click

from laureldock.rehearsal.soak.clients import Address
from laureldock.rehearsal.soak.slow_clients import SOAK_CROWD, Crowd, CrowdForm, ScheduledCrowd


async def run_crowd_process(address: Address, crowd: ScheduledCrowd) -> None:
    """Run a crowd until its time is over, or until this is cancelled."""
    command = [sys.executable, "-m", __name__, address[0], str(address[1]), str(crowd.until - crowd.since)]
    process = await asyncio.create_subprocess_exec(*command, *(form.name for form in crowd.forms))
    try:
        await process.wait()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@click.command()
@click.argument("host")
@click.argument("port", type=int)
@click.argument("seconds", type=float)
@click.argument("forms", nargs=-1, type=click.Choice([form.name for form in CrowdForm]))
def main(host: str, port: int, seconds: float, forms: tuple[str, ...]) -> None:
    """Run a crowd of clients in these forms at HOST and PORT for so many seconds."""
    crowd = Crowd((host, port), [CrowdForm[name] for name in forms], SOAK_CROWD)
    asyncio.run(crowd.run(seconds))


if __name__ == "__main__":
    main()

"""The controller of a scale run, in a process of its own, and the changes that are proposed to it."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from laureldock.rehearsal.scale.configuration_part import BASE_CLASSES
from laureldock.rehearsal.scale.process_usage import cpu_seconds, resident_bytes
from laureldock.rehearsal.scale.real import RealSample
from laureldock.rehearsal.scale.topology import CONTROLLER_PORT, Topology
from laureldock.replication import messages
from laureldock.replication.messages import Accepted, Propose
from laureldock.setup import plan
from laureldock.setup.changes import Change, EndpointEntry, encode_change
from laureldock.setup.units import Address

CONTROLLER_FILE = """\
name = "controller"
[controller]
listen = "{address}"
state = "state"
"""
START_TIMEOUT = 30.0
REPLY_TIMEOUT = 30.0
ENTRIES = 100  # endpoints in the configuration before the phases begin
LENGTH_BYTES = 4


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    version: int
    proposed_at: float  # Unix time just before it was sent to the controller


def endpoint(number: int, rate: int) -> EndpointEntry:
    name = f"endpoint{number:04}"
    address = Address(f"10.{number // 65536}.{number // 256 % 256}.{number % 256}:8080")
    value = plan.Endpoint(
        name=name, destination=f"destination{number % 20}", address=address, rate=float(rate)
    )
    return EndpointEntry(name, value)


class ControllerProcess:
    def __init__(self, topology: Topology, folder: Path) -> None:
        self.host, self.folder = topology.controller_location.host, folder / "controller"
        self.process: asyncio.subprocess.Process | None = None
        self.proposals = 0
        self.version = 0  # the newest accepted one

    @property
    def address(self) -> str:
        return f"{self.host}:{CONTROLLER_PORT}"

    async def start(self) -> None:
        """Start the process and propose the initial entries. Raises OSError, TimeoutError or RuntimeError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "controller.toml"
        path.write_text(CONTROLLER_FILE.format(address=self.address) + BASE_CLASSES)
        with (self.folder / "log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "laureldock", "controller", str(path), stdout=log, stderr=log
            )
        await self._wait_until_listening()
        await self._propose(Change(tuple(endpoint(number, 1) for number in range(ENTRIES))))

    async def _wait_until_listening(self) -> None:
        until = time.monotonic() + START_TIMEOUT
        while time.monotonic() < until:
            if self.process is None or self.process.returncode is not None:
                raise RuntimeError(f"the controller exited; see {self.folder / 'log'}")
            try:
                _, writer = await asyncio.open_connection(self.host, CONTROLLER_PORT)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            writer.close()
            return
        raise TimeoutError(f"the controller did not listen in time; see {self.folder / 'log'}")

    async def propose_next(self) -> AcceptedChange:
        """Propose a new rate for one endpoint.

        Raises OSError or TimeoutError, and RuntimeError if the change is refused.
        """
        self.proposals += 1
        entry = endpoint(self.proposals % ENTRIES, 1 + self.proposals)
        return await self._propose(Change((entry,)))

    async def _propose(self, change: Change) -> AcceptedChange:
        proposed_at = time.time()
        frame = messages.encode(Propose(encode_change(change), last=True))
        async with asyncio.timeout(REPLY_TIMEOUT):
            reader, writer = await asyncio.open_connection(self.host, CONTROLLER_PORT)
            try:
                writer.write(len(frame).to_bytes(LENGTH_BYTES, "big") + frame)
                length = int.from_bytes(await reader.readexactly(LENGTH_BYTES), "big")
                reply = messages.decode(await reader.readexactly(length))
            finally:
                writer.close()
        if not isinstance(reply, Accepted):
            raise RuntimeError(f"the controller did not accept a change: {reply}")
        self.version = reply.position.version
        return AcceptedChange(reply.position.version, proposed_at)

    def sample(self) -> RealSample:
        """Resource usage of the process. Raises OSError if it has ended."""
        assert self.process
        return RealSample("controller", cpu_seconds(self.process.pid), resident_bytes(self.process.pid))

    async def stop(self) -> None:
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

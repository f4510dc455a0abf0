"""Plays a script with real processes of the program on loopback, and checks the six rules over the fleet.

Member k listens at 127.b.0.k, is reached by others at 127.b.1.k, where its relay listens, and reaches
receivers by 127.b.2.k. The reports of members about one another count as evidence on the views only.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import time
from collections.abc import Callable
from datetime import datetime
from pathlib import Path
from typing import Any

from laureldock.rehearsal.fleet.configuration import (
    FLEET_PORT,
    LIFETIME,
    dispatcher_table,
    endpoint_table,
    fleet_table,
)
from laureldock.rehearsal.fleet.member_process import MemberProcess
from laureldock.rehearsal.fleet.message_load import MessageLoad
from laureldock.rehearsal.fleet.relay import Relay, RelayNetwork
from laureldock.rehearsal.fleet.script import Pair, Script, Step, directed_pairs
from laureldock.rehearsal.fleet.verdict import ObservedEvent, Verdict, judge
from laureldock.rehearsal.rule_checks import RunRecord, check_rules
from laureldock.rehearsal.stub_receivers import StubReceiver

EVENT_PREFIX = "fleet: "  # of the log events of a view
OBSERVATION_INTERVAL = 0.05  # seconds
JOIN_TIMEOUT = 100.0  # periods
FINISH_MARGIN = 4.0  # seconds after the lifetime of the last messages


class ProcessFleet:
    """Member processes, the relays in front of them, and stub receivers, for one run of a script."""

    def __init__(
        self,
        script: Script,
        seed: int,
        folder: Path,
        period: float = 0.2,
        rate: float = 10.0,
        with_view: bool = True,
        report_progress: Callable[[str], None] = lambda text: None,
        address_octet: int = 0,
    ) -> None:
        """Create the members and receivers without starting them.

        `period` is that of the views, in seconds; `rate` is messages per second in total; `with_view` states
        whether members have a `[fleet]`. `address_octet` is the second octet of all addresses, so that
        several fleets can run at once; by default it is derived from the process id.
        """
        self.script, self.seed, self.folder, self.period = script, seed, folder, period
        self.with_view, self.report_progress = with_view, report_progress
        self.address_octet = address_octet or 16 + os.getpid() % 200
        self.network = RelayNetwork(seed)
        self.record = RunRecord()
        self.receivers = {
            name: StubReceiver(name, destination, self.record, seed + number)
            for number, (name, destination) in enumerate(
                {"bank-1": "bank", "bank-2": "bank", "bakery-1": "bakery"}.items()
            )
        }
        self.members = {
            name: self.add_member(name, name, number)
            for number, name in enumerate(script.member_names(), start=1)
        }
        self.message_load = MessageLoad(self.record, self.members, seed, rate)
        self.relays: list[Relay] = []
        self.started_at = 0.0
        self.actions: list[tuple[float, str]] = []
        self.events: list[ObservedEvent] = []
        self.max_lag = 0.0  # seconds; maximum scheduling delay of this process
        self.tasks: list[asyncio.Task[None]] = []

    def add_member(self, key: str, name: str, number: int) -> MemberProcess:
        """Create a member with its own addresses, without starting it."""
        host, relay_host, receiver_host = (f"127.{self.address_octet}.{part}.{number}" for part in range(3))
        self.network.names_by_host[host] = key
        site = self.script.site_of(name)
        return MemberProcess(key, name, site, host, relay_host, receiver_host, self.folder / key)

    def configure(self, member: MemberProcess, seeds: list[str] | None = None) -> None:
        """Write a member's configuration; `seeds` are member names, by default those of the script."""
        text = dispatcher_table(member.name, self.seed, member.host)
        if self.with_view:
            relays = [self.members[name].relay_host for name in seeds or self.script.seeds]
            text += fleet_table(member.host, member.relay_host, relays, member.site, self.period)
        for name, receiver in self.receivers.items():
            text += endpoint_table(name, receiver, member.receiver_host)
        member.folder.mkdir(parents=True, exist_ok=True)
        (member.folder / "laureldock.toml").write_text(text)

    async def prepare(self, member: MemberProcess) -> None:
        """Open the relays around a member, and write its configuration."""
        network = self.network
        relays: list[tuple[Relay, bool]] = []
        if self.with_view:
            to_member = Relay(network, member.key, (member.relay_host, FLEET_PORT), (member.host, FLEET_PORT))
            relays.append((to_member, True))
        for name, receiver in self.receivers.items():
            listen_address, target_address = (
                (member.receiver_host, receiver.port),
                ("127.0.0.1", receiver.port),
            )
            relays.append((Relay(network, name, listen_address, target_address, member.key), False))
        for relay, datagrams in relays:
            await relay.open(datagrams)
            self.relays.append(relay)
        self.configure(member)

    # The run

    async def play(self) -> Verdict:
        """Play the script, then end all processes. Raises RuntimeError or TimeoutError if a start fails."""
        try:
            return await self.run()
        finally:
            await self.shut_down()

    async def start_members(self) -> None:
        """Start all members behind their relays, and wait until they are ready."""
        for receiver in self.receivers.values():
            await receiver.start(time.time())
        for member in self.members.values():
            await self.prepare(member)
            await member.launch()
        for member in self.members.values():
            await member.wait_ready()
        self.started_at = time.monotonic()

    async def run(self) -> Verdict:
        """Run the script from the start of all members to their planned stop, and check the run."""
        script = self.script
        self.report_progress(
            f"{script.name}: {script.members} members, seed {self.seed}, period {self.period:g} s"
        )
        await self.start_members()
        join_periods = await self.settle(JOIN_TIMEOUT) if self.with_view else 0.0
        self.started_at = time.monotonic()
        bytes_before, load = self.network.bytes_passed, asyncio.create_task(self.message_load.run())
        self.tasks.append(asyncio.create_task(self.observe()))
        for at, step, who, to in script.timeline(self.seed):
            await self.sleep_until(at)
            await self.perform(step, who, to)
        await self.sleep_until(script.end_time())
        settled_periods = await self.settled_after_faults(join_periods)
        periods_played = self.elapsed()
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        verdict = Verdict(script.name, self.seed, settled_periods, [], self.actions)
        bytes_passed = self.network.bytes_passed - bytes_before
        verdict.bytes_per_member_period = bytes_passed / max(1.0, periods_played) / script.members
        await self.finish()
        verdict.events = sorted(self.events, key=lambda event: event.at)
        # Starting processes compete for the processor for as long as the scheduling delay: responses may be
        # unread or in transit meanwhile.
        self.record.unread_time += 3 * self.max_lag
        rule_results = check_rules(self.record)
        verdict.rules = [(each.rule, each.cases, len(each.violations)) for each in rule_results]
        verdict.violations = [case for each in rule_results for case in each.violations]
        return judge(script, verdict, periods_played)

    async def finish(self) -> None:
        """Wait until no message is pending, stop all members by SIGTERM, and read their logs and notices."""
        until = time.monotonic() + LIFETIME + FINISH_MARGIN
        while time.monotonic() < until and self.message_load.pending_messages():
            await asyncio.sleep(0.1)
        for member in self.members.values():
            if member.stopped and member.process:
                member.resume(member.process)
        await asyncio.gather(*(member.kill(signal.SIGTERM) for member in self.members.values()))
        for member in self.members.values():
            self.read_log(member)
            self.message_load.read_notices(member)
        self.message_load.excuse_lost_messages()

    async def shut_down(self) -> None:
        """End all processes, relays and receivers."""
        for task in self.tasks:
            task.cancel()
        await self.message_load.close()
        await asyncio.gather(*(member.kill(signal.SIGKILL) for member in self.members.values()))
        for relay in self.relays:
            await relay.close()
        for receiver in self.receivers.values():
            await receiver.stop()

    def elapsed(self) -> float:
        """Return the periods since all members were up."""
        return (time.monotonic() - self.started_at) / self.period

    async def sleep_until(self, periods: float) -> None:
        """Sleep until `periods` periods after all members were up."""
        await asyncio.sleep(max(0.0, self.started_at + periods * self.period - time.monotonic()))

    # Agreement of views

    async def settled_after_faults(self, join_periods: float) -> float:
        """Return the periods from the last fault to equal views; without faults, the periods of joining."""
        if not self.script.step:
            return join_periods
        return await self.settle(6 * self.script.within) if self.with_view else 0.0

    async def settle(self, timeout: float) -> float:
        """Wait until all views agree and still do one period later.

        Returns the periods until they agreed; infinity if not within `timeout` periods.
        """
        started_at = time.monotonic()
        while (elapsed_periods := (time.monotonic() - started_at) / self.period) < timeout:
            if await self.views_agree():
                await asyncio.sleep(self.period)
                if await self.views_agree():
                    return elapsed_periods
            await asyncio.sleep(self.period / 10)
        return float("inf")

    async def views_agree(self) -> bool:
        """Return whether all running members have equal views, with exactly the active members present."""
        running = [member for member in self.members.values() if member.is_running and not member.stopped]
        views = await asyncio.gather(*(member.query("/_fleet") for member in running))
        active = [view for view in views if view and view["standing"] == "here"]
        if len(views) - len(active) > sum(member.duplicate for member in self.members.values()):
            return False
        names = {view["name"] for view in active}
        present = (
            {each["name"] for each in view["members"] if each["state"] in ("alive", "suspect")}
            for view in active
        )
        return len({view["digest"] for view in active}) == 1 and all(each == names for each in present)

    # Faults

    async def perform(self, step: Step, who: list[str], to: list[str]) -> None:
        """Carry out one step of the script."""
        self.actions.append((self.elapsed(), f"{step.do} {' '.join(who)} {' '.join(to)}".rstrip()))
        self.report_progress(f"  {self.elapsed():6.1f} {self.actions[-1][1]}")
        members = [self.members[name] for name in who]
        match step.do:
            case "kill":
                await self.kill(members, step.folder)
            case "term":
                self.tasks += [asyncio.create_task(member.kill(signal.SIGTERM)) for member in members]
            case "start":
                await self.restart(members, step)
            case "stop":
                for member in members:
                    if member.process and member.is_running:
                        member.stop()
                        self.schedule(step.lasts, member.resume, member.process)
            case "twin":
                for name in who:
                    await self.start_duplicate(name)
            case "cut" | "spoil" | "receivers":
                others = list(self.receivers) if step.do == "receivers" else to
                link_pairs = directed_pairs(step, who, others)
                self.set_link_faults(step, link_pairs, 1)
                self.schedule(step.lasts, self.set_link_faults, step, link_pairs, -1)

    async def kill(self, members: list[MemberProcess], remove_state: bool) -> None:
        """Kill members by SIGKILL; with `remove_state` their state is removed too."""
        await asyncio.gather(*(member.kill(signal.SIGKILL) for member in members))
        for member in members:
            self.message_load.read_notices(member)
            self.message_load.record_kill(member)
            if remove_state:
                shutil.rmtree(member.folder / "state", ignore_errors=True)
                member.notices_read = 0

    async def restart(self, members: list[MemberProcess], step: Step) -> None:
        """Start members again, once their previous processes have exited."""
        for member in members:
            if member.process:
                await member.process.wait()
            self.configure(member, step.seeds)
            await member.launch(step.clock)
        for member in members:
            await member.wait_ready()

    async def start_duplicate(self, name: str) -> None:
        """Start a second process of a member's name, at its own addresses."""
        duplicate = self.add_member(f"{name}~", name, len(self.members) + 1)
        duplicate.duplicate = True
        self.members[duplicate.key] = duplicate
        await self.prepare(duplicate)
        await duplicate.launch()
        await duplicate.wait_ready()

    def schedule(self, periods: float, action: Callable[..., None], *arguments: Any) -> None:
        """Call `action` with `arguments` after `periods` periods."""
        asyncio.get_running_loop().call_later(periods * self.period, action, *arguments)

    def set_link_faults(self, step: Step, link_pairs: list[Pair], sign: int) -> None:
        """Begin (sign 1) or end (sign -1) the faults of a step on links."""
        for pair in link_pairs:
            link = self.network.link(*pair)
            if step.do == "spoil":
                factor = max(0, sign)
                link.loss, link.duplicated = factor * step.loss, factor * step.doubled
                link.delay, link.rate = factor * step.delay, factor * step.rate
            else:
                link.cuts += sign

    # Observation

    async def observe(self) -> None:
        """Read notices as they are written, and measure the scheduling delay of this process.

        The relays and stub receivers run in this process, so its delay affects all responses.
        """
        while True:
            for member in self.members.values():
                self.message_load.read_notices(member)
            started_at = time.monotonic()
            await asyncio.sleep(OBSERVATION_INTERVAL)
            self.max_lag = max(self.max_lag, time.monotonic() - started_at - OBSERVATION_INTERVAL)

    def read_log(self, member: MemberProcess) -> None:
        """Collect the events of a member's view since all members were up."""
        start = time.time() - (time.monotonic() - self.started_at)
        for line in member.log_path.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError, KeyError):
                fields = json.loads(line)
                name = fields["event"].removeprefix(EVENT_PREFIX)
                if name == fields["event"]:
                    continue
                at = (datetime.fromisoformat(fields["timestamp"]).timestamp() - start) / self.period
                if at >= 0:
                    self.events.append(ObservedEvent(at, member.key, name, str(fields.get("member", ""))))


def play(
    script: Script,
    seed: int,
    folder: Path,
    report_progress: Callable[[str], None] = lambda text: None,
    **options: Any,
) -> Verdict:
    """Play a script to its end; `options` are those of `ProcessFleet`."""
    return asyncio.run(ProcessFleet(script, seed, folder, report_progress=report_progress, **options).play())

"""Membership view with real processes on loopback: idle cost, effect on delivery, convergence after faults.

python -m benchmarks.fleet_processes idle [--sizes 5,12,40]
python -m benchmarks.fleet_processes beside [--pairs 5] [--seconds 4]
python -m benchmarks.fleet_processes scripts [--sizes 5,12,40] [--names crash,halves] [--seed 1]
python -m benchmarks.fleet_processes loss [--minutes 10]
"""

from __future__ import annotations

import asyncio
import socket
import statistics
import tempfile
import threading
import time
from pathlib import Path

import click

from benchmarks.throughput import BODY, StubReceivers, command, cpu_seconds, peak_memory
from laureldock.rehearsal.fleet.configuration import FRONT_PORT
from laureldock.rehearsal.fleet.member_process import MemberProcess
from laureldock.rehearsal.fleet.processes import ProcessFleet
from laureldock.rehearsal.fleet.script import Script, Step, load_script, shipped_scripts


@click.group()
def main() -> None:
    """Results are ratios within one run, or times in periods of the view."""


def sizes_of(text: str) -> list[int]:
    return [int(each) for each in text.split(",")]


def pid_of(member: MemberProcess) -> int:
    assert member.process
    return member.process.pid


@main.command()
@click.option("--sizes", default="5,12,40", show_default=True)
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--period", default=1.0, show_default=True)
def idle(sizes: str, seconds: float, period: float) -> None:
    """CPU time and memory of a member that has nothing to deliver, with and without the view."""

    async def measure(size: int, view: bool, folder: str) -> tuple[float, float, float]:
        fleet = ProcessFleet(
            Script(name="idle", members=size),
            1,
            Path(folder),
            period=period,
            with_view=view,
            address_octet=90,
        )
        try:
            await fleet.start_members()
            joined = await fleet.settle(100.0) if view else 0.0
            await asyncio.sleep(3 * period)
            before = {name: cpu_seconds(pid_of(member)) for name, member in fleet.members.items()}
            await asyncio.sleep(seconds)
            used = [cpu_seconds(pid_of(member)) - before[name] for name, member in fleet.members.items()]
            return (
                statistics.mean(used) / seconds,
                statistics.mean(map(peak_memory, map(pid_of, fleet.members.values()))),
                joined,
            )
        finally:
            await fleet.shut_down()

    print("members  with: CPU ms per second, MB, periods to join  without: ms, MB")
    for size in sizes_of(sizes):
        rows = []
        for view in (True, False):
            with tempfile.TemporaryDirectory() as folder:
                rows.append(asyncio.run(measure(size, view, folder)))
        (used, held_mb, joined), (bare_used, bare_mb, _) = rows
        print(
            f"{size:7}  {used * 1000:.2f}  {held_mb:.1f}  {joined:.1f}"
            f"   {bare_used * 1000:.2f}  {bare_mb:.1f}",
            flush=True,
        )


def closed_loop(
    host: str, receivers: StubReceivers, seconds: float, clients: int
) -> tuple[float, list[float]]:
    """Messages per second, and the latency of each `+OK` in seconds."""
    deadline, latencies, counts = time.monotonic() + seconds, [], [0] * clients
    served = receivers.served

    def client(number: int) -> None:
        with socket.create_connection((host, FRONT_PORT)) as connection:
            while (sent_at := time.monotonic()) < deadline:
                if sum(counts) - (receivers.served - served) > 4 * clients:
                    time.sleep(0.0005)
                    continue
                name = b"c%d-%d-%d" % (number, counts[number], time.monotonic_ns())
                connection.sendall(command(b"MSG.PUT", b"0", name, b"c=notice,d=8000,dest=north", BODY))
                if connection.recv(64)[:1] == b"+":
                    counts[number] += 1
                    latencies.append(time.monotonic() - sent_at)

    started_at = time.monotonic()
    threads = [threading.Thread(target=client, args=(number,)) for number in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(counts) / (time.monotonic() - started_at), latencies


@main.command()
@click.option("--pairs", default=5, show_default=True)
@click.option("--seconds", default=4.0, show_default=True)
@click.option("--clients", default=4, show_default=True)
@click.option("--members", default=5, show_default=True)
def beside(pairs: int, seconds: float, clients: int, members: int) -> None:
    """Messages per second and p99 latency of +OK, alternately with and without the view."""

    async def run(folder: str) -> None:
        fleets = {}
        receivers = StubReceivers(4)
        for view in (True, False):
            size = members if view else 1
            fleet = ProcessFleet(
                Script(name="beside", members=size),
                1,
                Path(folder) / str(view),
                period=1.0,
                with_view=view,
                address_octet=91 + view,
            )
            fleet.receivers = {}
            fleets[view] = fleet
            for member in fleet.members.values():
                await fleet.prepare(member)
                endpoints = "".join(
                    f'[[endpoint]]\nname = "r{port}"\ndestination = "north"\naddress = "127.0.0.1:{port}"\n'
                    for port in receivers.ports
                )
                path = member.folder / "laureldock.toml"
                path.write_text(path.read_text() + endpoints)
                await member.launch()
            for member in fleet.members.values():
                await member.wait_ready()
        try:
            await fleets[True].settle(100.0)
            rate_ratios: list[float] = []
            p99_ratios: list[float] = []
            for pair in range(pairs + 1):
                found = {}
                for view in (True, False) if pair % 2 else (False, True):
                    host = fleets[view].members["d1"].host
                    rate, latencies = await asyncio.to_thread(closed_loop, host, receivers, seconds, clients)
                    found[view] = rate, statistics.quantiles(latencies, n=100)[98]
                if pair:  # the first pair is warm-up
                    rate_ratios.append(found[True][0] / found[False][0])
                    p99_ratios.append(found[True][1] / found[False][1])
                    print(f"with {found[True][0]:.0f} messages/s, without {found[False][0]:.0f}", flush=True)
            for name, ratios in (("messages per second", rate_ratios), ("p99 of +OK", p99_ratios)):
                middle, lowest, highest = statistics.median(ratios), min(ratios), max(ratios)
                print(
                    f"{name}, ratio of with to without the view: {middle:.3f} ({lowest:.3f} to {highest:.3f})"
                )
        finally:
            for fleet in fleets.values():
                await fleet.shut_down()

    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(run(folder))


@main.command()
@click.option("--sizes", default="5,12,40", show_default=True)
@click.option("--names", default=",".join(shipped_scripts()))
@click.option("--seed", default=1, show_default=True)
@click.option("--period", default=0.2, show_default=True)
def scripts(sizes: str, names: str, seed: int, period: float) -> None:
    """Run each script at each size; prints the periods from the last fault until all views were equal."""
    for size in sizes_of(sizes):
        for name in names.split(","):
            script = load_script(name)
            script.members = max(size, script.members)
            with tempfile.TemporaryDirectory() as folder:
                verdict = asyncio.run(ProcessFleet(script, seed, Path(folder), period=period).play())
            outcome = "held" if verdict.passed else f"BROKEN {verdict.broken}"
            messages = next((cases for rule, cases, _ in verdict.rules), 0)
            cost = (
                f"{len(verdict.events):5} events, {verdict.bytes_per_member_period:5.0f} bytes,"
                f" {messages} messages"
            )
            print(
                f"{script.members:4} {name:10} {verdict.settled_periods:5.1f} periods, {cost}: {outcome}",
                flush=True,
            )


@main.command()
@click.option("--minutes", default=10.0, show_default=True)
@click.option("--members", default=12, show_default=True)
@click.option("--share", default=0.2, show_default=True)
@click.option("--period", default=0.2, show_default=True)
def loss(minutes: float, members: int, share: float, period: float) -> None:
    """Drop a fraction of all datagrams for some time; counts live members that are marked as failed."""
    length = minutes * 60 / period
    step = Step(at=1, do="spoil", who=["all"], to=["all"], loss=share, lasts=length)
    script = Script(name="loss", members=members, spared=True, step=[step])
    with tempfile.TemporaryDirectory() as folder:
        verdict = asyncio.run(
            ProcessFleet(script, 1, Path(folder), period=period, rate=5.0, address_octet=94).play()
        )
    failed = sum(event.name == "failed" for event in verdict.events)
    suspected = sum(event.name == "suspected" for event in verdict.events)
    print(
        f"{members} members, {share:.0%} lost for {minutes:g} minutes: {failed} failed, {suspected} suspected"
    )
    print("held" if verdict.passed else verdict.broken)


if __name__ == "__main__":
    main()

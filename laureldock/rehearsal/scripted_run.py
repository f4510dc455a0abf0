"""Plays a script of faults: a dispatcher process, stub receivers, and clients over RESP2."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import statistics
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from importlib.resources import files
from pathlib import Path
from typing import Any

import redis.asyncio as redis
import tomlkit
from redis.asyncio.retry import Retry
from redis.backoff import NoBackoff

from laureldock.rehearsal.ports import free_port
from laureldock.rehearsal.rule_checks import (
    ABANDONED,
    ACCEPTED,
    BUSY,
    FAILED,
    ReceiverPeriod,
    RuleResult,
    RunRecord,
    SubmittedMessage,
    check_rules,
)
from laureldock.rehearsal.stub_receivers import FaultPeriod, StubReceiver

# Repeat safety of each queue class of the example configuration.
QUEUE_CLASSES = {"notice": "redeliverable", "order": "tagged", "payment": "once-only"}
LIFETIME = 8.0  # seconds, of the example's queue classes
READY_TIMEOUT = 10.0  # seconds


@dataclass(frozen=True, slots=True)
class Script:
    """Load and faults of a run; times are seconds from the start of the load."""

    length: float = 24.0
    rate: float = 30.0  # messages per second
    seed: int = 1
    faults: tuple[tuple[str, FaultPeriod], ...] = (
        ("bank-1", FaultPeriod("refuse", 3.0, 6.0)),
        ("bakery-1", FaultPeriod("silent", 7.0, 10.0)),
        ("bank-2", FaultPeriod("down", 11.0, 14.0)),
        ("school-1", FaultPeriod("error", 15.0, 17.0)),
    )
    drain: tuple[str, float] | None = ("bakery-2", 18.0)
    kill: float | None = None  # when the dispatcher is killed by SIGKILL and started again


# Destination of each stub receiver.
RECEIVERS = {
    "bank-1": "bank",
    "bank-2": "bank",
    "bakery-1": "bakery",
    "bakery-2": "bakery",
    "school-1": "school",
}


@dataclass(slots=True)
class RunResult:
    """Records and rule checks of a run, with the dispatcher's counters and exit code."""

    record: RunRecord
    rule_results: list[RuleResult]
    counters: dict[str, Any] = field(default_factory=dict)
    exit_code: int | None = None

    @property
    def passed(self) -> bool:
        """Whether every rule had cases, and none was violated."""
        return all(result.cases and not result.violations for result in self.rule_results)


class ScriptedRun:
    """One run of a script in a folder; `report_progress` gets a line per second."""

    def __init__(self, folder: Path, script: Script, report_progress: Callable[[str], None]) -> None:
        self.folder, self.script, self.report_progress = folder, script, report_progress
        self.record = RunRecord()
        self.receivers = {
            name: StubReceiver(
                name, destination, self.record, script.seed + number,
                faults=[fault for faulty, fault in script.faults if faulty == name],
            )
            for number, (name, destination) in enumerate(RECEIVERS.items())
        }  # fmt: skip
        self.file, self.notices_path = folder / "laureldock.toml", folder / "state" / "undelivered.jsonl"
        self.port = 0
        self.process: asyncio.subprocess.Process | None = None
        self.client: redis.Redis | None = None
        self.started_at = 0.0
        self.notices_read = 0  # bytes of the file of notices
        self.key_locks: dict[str, asyncio.Lock] = {}

    def configure(self, without: str = "") -> None:
        """Write the example configuration with the addresses of the stub receivers."""
        ports = [(each, each.port) for each in self.receivers.values() if each.name != without]
        write_example(self.file, f"127.0.0.1:{self.port}", ports)

    async def launch(self) -> None:
        """Start the dispatcher, and wait until it replies. Raises TimeoutError."""
        log = (self.folder / "dispatcher.log").open("ab")
        command = [sys.executable, "-m", "laureldock", "serve", str(self.file)]
        self.process = await asyncio.create_subprocess_exec(*command, stdout=log, stderr=log)
        log.close()
        until = time.time() + READY_TIMEOUT
        while time.time() < until:
            with contextlib.suppress(OSError, redis.RedisError):
                if await self.connect().ping():
                    return
            await asyncio.sleep(0.05)
        raise TimeoutError(
            f"the dispatcher was not ready in {READY_TIMEOUT:g} s; see {self.folder / 'dispatcher.log'}"
        )

    def connect(self) -> redis.Redis:
        """Return the client of the dispatcher."""
        if self.client is None:
            no_retry = Retry(NoBackoff(), 0)  # a request is not sent again by the client itself
            self.client = redis.Redis(port=self.port, protocol=2, retry=no_retry, socket_timeout=5)
        return self.client

    async def play(self) -> RunResult:
        """Play the script, and check the rules. Raises TimeoutError if the dispatcher does not start."""
        script, self.port = self.script, free_port()
        for receiver in self.receivers.values():
            await receiver.start(time.time())
        self.configure()
        await self.launch()
        self.started_at = time.time()
        for receiver in self.receivers.values():
            receiver.started_at = self.started_at
        tasks = [asyncio.create_task(receiver.run()) for receiver in self.receivers.values()]
        tasks += [asyncio.create_task(self.watch_notices()), asyncio.create_task(self.print_progress())]
        if script.drain:
            tasks.append(asyncio.create_task(self.drain_receiver(*script.drain)))
        if script.kill is not None:
            tasks.append(asyncio.create_task(self.kill_and_restart(script.kill)))
        try:
            await self.submit_all()
            await self.settle()
            counters = await self.counters()
        finally:
            code = await self.shut_down(tasks)
        self.read_notices()
        return RunResult(self.record, check_rules(self.record), counters, code)

    async def submit_all(self) -> None:
        """Submit all messages open-loop: each at its time, whatever became of earlier ones."""
        rng, at, number, submissions = random.Random(self.script.seed), 0.0, 0, []
        while at < self.script.length:
            queue_class = rng.choices(list(QUEUE_CLASSES), [5, 3, 2])[0]
            destination = rng.choice(sorted(set(RECEIVERS.values())))
            key = f"k{rng.randrange(12)}" if queue_class == "order" else ""
            await asyncio.sleep(max(0.0, self.started_at + at - time.time()))
            submissions.append(asyncio.create_task(self.submit(number, queue_class, destination, key)))
            number += 1
            at += rng.expovariate(self.script.rate)
        await asyncio.gather(*submissions)

    async def submit(self, number: int, queue_class: str, destination: str, key: str) -> None:
        """Submit one message. Those of a key follow each other, each after the reply to the previous one."""
        lock = self.key_locks.setdefault(key, asyncio.Lock()) if key else contextlib.nullcontext()
        async with lock:
            now, name = time.time(), f"m{number:05d}"
            message = SubmittedMessage(
                name, queue_class, QUEUE_CLASSES[queue_class], key, destination, now, now + LIFETIME, number
            )
            self.record.messages[name] = message
            fields = f"c={queue_class},d={round(LIFETIME * 1000)},dest={destination},k=t{name}"
            try:
                await self.connect().execute_command(  # type: ignore[no-untyped-call]
                    "MSG.PUT", key or "0", name, fields, b"a mail"
                )
                message.reply = ACCEPTED
            except redis.ResponseError as error:
                message.reply = BUSY if str(error).startswith("BUSY") else FAILED
            except (redis.ConnectionError, redis.TimeoutError, OSError):
                message.reply = ABANDONED
            message.replied_at = time.time()

    async def watch_notices(self) -> None:
        """Read notices as they are written."""
        while True:
            self.read_notices()
            await asyncio.sleep(0.02)

    def read_notices(self) -> None:
        """Record the new complete lines of the outlet's file."""
        lines, self.notices_read = new_lines(self.notices_path, self.notices_read)
        for line in lines:
            notice = json.loads(line)
            message = self.record.messages.get(notice["message"])
            if message is None:
                self.record.unknown_notices.append(notice["message"])
            elif not (message.notices and message.notices[-1][1] == notice["outcome"] and self.script.kill):
                message.notices.append((time.time(), notice["outcome"]))

    async def print_progress(self) -> None:
        """Report once per second the replies, deliveries, notices and current faults."""
        while True:
            replies = Counter(message.reply or "no-reply" for message in self.record.messages.values())
            delivered = sum(call.status == 200 for call in self.record.calls)
            faults = [
                f"{each.name} {fault.kind}"
                for each in self.receivers.values()
                if (fault := each.current_fault())
            ]
            counts = " ".join(f"{reply} {count}" for reply, count in sorted(replies.items()))
            undelivered = sum(bool(message.notices) for message in self.record.messages.values())
            self.report_progress(
                f"{time.time() - self.started_at:5.1f}s  {counts}  delivered {delivered}"
                f"  ended by notice {undelivered}  " + ", ".join(faults)
            )
            await asyncio.sleep(1.0)

    async def drain_receiver(self, name: str, at: float) -> None:
        """Remove a receiver from the configuration; the drain counts from when the dispatcher has read it."""
        await asyncio.sleep(max(0.0, self.started_at + at - time.time()))
        self.configure(without=name)
        before = int((await self.counters()).get("configurations_read", 0))
        if self.process:
            self.process.send_signal(signal.SIGHUP)
        while int((await self.counters()).get("configurations_read", 0)) == before:
            await asyncio.sleep(0.02)
        self.record.drains.append(ReceiverPeriod(name, time.time()))

    async def kill_and_restart(self, at: float) -> None:
        """Kill the dispatcher by SIGKILL, and start it again."""
        await asyncio.sleep(max(0.0, self.started_at + at - time.time()))
        if self.process:
            self.process.kill()
            await self.process.wait()
        await self.launch()

    async def counters(self) -> dict[str, Any]:
        """Return what the dispatcher replies to INFO."""
        info: dict[str, Any] = await self.connect().info()
        return info

    async def settle(self) -> None:
        """Wait until no message is pending, or all have passed their lifetime."""
        until = time.time() + LIFETIME + 1.0
        while time.time() < until:
            with contextlib.suppress(redis.RedisError, OSError):
                if not (await self.counters()).get("held"):
                    break
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.2)

    async def shut_down(self, tasks: list[asyncio.Task[None]]) -> int | None:
        """Stop all, and return the exit code of the dispatcher."""
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        code = None
        if self.process:
            with contextlib.suppress(ProcessLookupError):
                self.process.terminate()
            code = await self.process.wait()
        if self.client:
            await self.client.aclose()
        for receiver in self.receivers.values():
            await receiver.stop()
        return code


def write_example(file: Path, listen: str, ports: Iterable[tuple[StubReceiver, int]], **more: str) -> None:
    """Write the example configuration with these receivers, each at a port, and `more` as top-level keys.

    Raises OSError.
    """
    document = tomlkit.parse(files("laureldock.setup").joinpath("example.toml").read_text())
    document.update(more)
    document["front"][0]["listen"] = listen
    endpoints = tomlkit.aot()
    for receiver, port in ports:
        endpoint = tomlkit.table()
        endpoint.update(name=receiver.name, destination=receiver.destination, rate=receiver.rate)
        endpoint["address"] = f"127.0.0.1:{port}"
        endpoints.append(endpoint)
    document["endpoint"] = endpoints
    new_file = file.with_suffix(".new")
    new_file.write_text(tomlkit.dumps(document))
    new_file.rename(file)


def new_lines(path: Path, offset: int) -> tuple[list[bytes], int]:
    """Return the complete lines of a file after `offset`, and the offset behind them.

    A file that does not exist has no lines.
    """
    try:
        with path.open("rb") as file:
            file.seek(offset)
            lines, newline, _ = file.read().rpartition(b"\n")
    except FileNotFoundError:
        return [], offset
    return lines.splitlines(), offset + len(lines) + len(newline)


def quantile(values: list[float], fraction: float) -> float:
    """Return a quantile; of one value that value, and of none zero."""
    return statistics.quantiles(values, n=100)[round(fraction * 100) - 1] if len(values) > 1 else sum(values)


def format_table(result: RunResult) -> list[str]:
    """Format the outcomes of messages by queue class, the calls by receiver, and the rule checks."""
    record, calls = result.record, result.record.calls_by_message()
    head = f"{'':14}{'submitted':>10}{'delivered':>10}{'refused':>9}{'failed':>8}{'p50 s':>8}{'p99 s':>8}"
    lines = ["", head]
    for name in QUEUE_CLASSES:
        class_messages = [message for message in record.messages.values() if message.queue_class == name]
        delivered_at = {
            message.name: min(call.ended_at for call in calls[message.name] if call.status == 200)
            for message in class_messages
            if any(call.status == 200 for call in calls.get(message.name, []))
        }
        refused = sum(
            message.reply == BUSY or any(outcome == "handed_back" for _, outcome in message.notices)
            for message in class_messages
        )
        failed = sum(
            message.reply == FAILED or any(outcome == "given_up" for _, outcome in message.notices)
            for message in class_messages
        )
        delays = [
            delivered_at[message.name] - message.submitted_at
            for message in class_messages
            if message.name in delivered_at
        ]
        lines.append(
            f"{name:14}{len(class_messages):10}{len(delivered_at):10}{refused:9}{failed:8}"
            f"{quantile(delays, 0.5):8.2f}{quantile(delays, 0.99):8.2f}"
        )
    lines += ["", f"{'receiver':14}{'calls':>10}{'200':>10}{'429':>9}{'500':>8}{'unanswered':>11}"]
    for name in RECEIVERS:
        statuses = Counter(call.status for call in record.calls if call.receiver == name)
        lines.append(
            f"{name:14}{sum(statuses.values()):10}{statuses[200]:10}{statuses[429]:9}{statuses[500]:8}{statuses[0]:11}"
        )
    lines += ["", "rules, checked by the records of stub receivers and clients:"]
    for rule_result in result.rule_results:
        verdict = "held" if not rule_result.violations else f"BROKEN {len(rule_result.violations)} times"
        text = f"{verdict} in {rule_result.cases} cases" if rule_result.cases else "not tried"
        lines.append(f"  {rule_result.rule:36} {text}")
        lines += [f"      {each}" for each in rule_result.violations[:5]]
    return lines


def play(folder: Path, script: Script, report_progress: Callable[[str], None]) -> RunResult:
    """Play a script in `folder`, which is created. Raises TimeoutError if the dispatcher does not start."""
    os.makedirs(folder, exist_ok=True)
    return asyncio.run(ScriptedRun(folder, script, report_progress).play())

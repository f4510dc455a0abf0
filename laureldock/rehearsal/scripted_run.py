"""Plays a rehearsal: a dispatcher as a process, stand-ins that fail by a script, and clients over RESP2."""

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

from laureldock.rehearsal.rule_checks import BUSY, FAILED, GONE, TAKEN, Account, Handed, Told, Verdict, judge
from laureldock.rehearsal.stub_receivers import Fault, Receiver

CLASSES = {"notice": "redeliverable", "order": "tagged", "payment": "once-only"}
LIFETIME = 8.0  # of the example's classes
READY = 10.0


@dataclass(frozen=True, slots=True)
class Script:
    """What happens when, in seconds from the start of the load."""

    length: float = 24.0
    rate: float = 30.0  # mails a second
    seed: int = 1
    faults: tuple[tuple[str, Fault], ...] = (
        ("bank-1", Fault("refuse", 3.0, 6.0)),
        ("bakery-1", Fault("silent", 7.0, 10.0)),
        ("bank-2", Fault("down", 11.0, 14.0)),
        ("school-1", Fault("error", 15.0, 17.0)),
    )
    drain: tuple[str, float] | None = ("bakery-2", 18.0)
    kill: float | None = None  # when the dispatcher is killed outright and started again


RECEIVERS = {
    "bank-1": "bank",
    "bank-2": "bank",
    "bakery-1": "bakery",
    "bakery-2": "bakery",
    "school-1": "school",
}


@dataclass(slots=True)
class Outcome:
    account: Account
    verdicts: list[Verdict]
    counters: dict[str, Any] = field(default_factory=dict)
    exit_code: int | None = None

    @property
    def held(self) -> bool:
        """A rule that was never tried is not said to hold."""
        return all(verdict.counted and not verdict.broken for verdict in self.verdicts)


class Rehearsal:
    def __init__(self, folder: Path, script: Script, say: Callable[[str], None]) -> None:
        self.folder, self.script, self.say = folder, script, say
        self.account = Account()
        self.receivers = {
            name: Receiver(
                name, owner, self.account, script.seed + place,
                faults=[fault for struck, fault in script.faults if struck == name],
            )
            for place, (name, owner) in enumerate(RECEIVERS.items())
        }  # fmt: skip
        self.file, self.lines = folder / "laureldock.toml", folder / "state" / "undelivered.jsonl"
        self.port = 0
        self.process: asyncio.subprocess.Process | None = None
        self.client: redis.Redis | None = None
        self.began = 0.0
        self.read = 0
        self.keys: dict[str, asyncio.Lock] = {}

    def configure(self, without: str = "") -> None:
        """The example configuration, with the addresses of the stand-ins."""
        ports = [(each, each.port) for each in self.receivers.values() if each.name != without]
        write_example(self.file, f"127.0.0.1:{self.port}", ports)

    async def launch(self) -> None:
        log = (self.folder / "dispatcher.log").open("ab")
        command = [sys.executable, "-m", "laureldock", "serve", str(self.file)]
        self.process = await asyncio.create_subprocess_exec(*command, stdout=log, stderr=log)
        log.close()
        until = time.time() + READY
        while time.time() < until:
            with contextlib.suppress(OSError, redis.RedisError):
                if await self.wire().ping():
                    return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"no dispatcher within {READY:g} s; see {self.folder / 'dispatcher.log'}")

    def wire(self) -> redis.Redis:
        if self.client is None:
            never = Retry(NoBackoff(), 0)  # what went is not sent again by itself
            self.client = redis.Redis(port=self.port, protocol=2, retry=never, socket_timeout=5)
        return self.client

    async def play(self) -> Outcome:
        script, self.port = self.script, free_port()
        for receiver in self.receivers.values():
            await receiver.start(time.time())
        self.configure()
        await self.launch()
        self.began = time.time()
        for receiver in self.receivers.values():
            receiver.began = self.began
        tasks = [asyncio.create_task(receiver.run()) for receiver in self.receivers.values()]
        tasks += [asyncio.create_task(self.watch()), asyncio.create_task(self.progress())]
        if script.drain:
            tasks.append(asyncio.create_task(self.drained(*script.drain)))
        if script.kill is not None:
            tasks.append(asyncio.create_task(self.killed(script.kill)))
        try:
            await self.load()
            await self.settle()
            counters = await self.counters()
        finally:
            code = await self.end(tasks)
        self.notices()
        return Outcome(self.account, judge(self.account), counters, code)

    async def load(self) -> None:
        """Open-loop: each mail is handed in when its time has come, whatever became of those before."""
        chance, at, place, out = random.Random(self.script.seed), 0.0, 0, []
        while at < self.script.length:
            queue_class = chance.choices(list(CLASSES), [5, 3, 2])[0]
            destination = chance.choice(sorted(set(RECEIVERS.values())))
            key = f"k{chance.randrange(12)}" if queue_class == "order" else ""
            await asyncio.sleep(max(0.0, self.began + at - time.time()))
            out.append(asyncio.create_task(self.hand_in(place, queue_class, destination, key)))
            place += 1
            at += chance.expovariate(self.script.rate)
        await asyncio.gather(*out)

    async def hand_in(self, place: int, queue_class: str, destination: str, key: str) -> None:
        """A key's mails go in one after another, each once the one before has its answer."""
        lock = self.keys.setdefault(key, asyncio.Lock()) if key else contextlib.nullcontext()
        async with lock:
            now, name = time.time(), f"m{place:05d}"
            mail = Handed(
                name, queue_class, CLASSES[queue_class], key, destination, now, now + LIFETIME, place
            )
            self.account.handed[name] = mail
            fields = f"c={queue_class},d={round(LIFETIME * 1000)},dest={destination},k=t{name}"
            try:
                await self.wire().execute_command(  # type: ignore[no-untyped-call]
                    "MSG.PUT", key or "0", name, fields, b"a mail"
                )
                mail.word = TAKEN
            except redis.ResponseError as fault:
                mail.word = BUSY if str(fault).startswith("BUSY") else FAILED
            except (redis.ConnectionError, redis.TimeoutError, OSError):
                mail.word = GONE
            mail.answered = time.time()

    async def watch(self) -> None:
        while True:
            self.notices()
            await asyncio.sleep(0.02)

    def notices(self) -> None:
        """New whole lines of the outlet's file."""
        lines, self.read = new_lines(self.lines, self.read)
        for line in lines:
            told = json.loads(line)
            mail = self.account.handed.get(told["message"])
            if mail is None:
                self.account.strays.append(told["message"])
            elif not (mail.notices and mail.notices[-1][1] == told["outcome"] and self.script.kill):
                mail.notices.append((time.time(), told["outcome"]))

    async def progress(self) -> None:
        while True:
            words = Counter(mail.word or "open" for mail in self.account.handed.values())
            served = sum(call.status == 200 for call in self.account.calls)
            faults = [
                f"{each.name} {fault.sort}" for each in self.receivers.values() if (fault := each.fault())
            ]
            seen = " ".join(f"{word} {count}" for word, count in sorted(words.items()))
            ends = sum(bool(mail.notices) for mail in self.account.handed.values())
            self.say(
                f"{time.time() - self.began:5.1f}s  {seen}  delivered {served}  ended by notice {ends}  "
                + ", ".join(faults)
            )
            await asyncio.sleep(1.0)

    async def drained(self, name: str, at: float) -> None:
        """The list without a receiver, told by SIGHUP; the grace runs once the dispatcher has read it."""
        await asyncio.sleep(max(0.0, self.began + at - time.time()))
        self.configure(without=name)
        before = int((await self.counters()).get("configurations_read", 0))
        if self.process:
            self.process.send_signal(signal.SIGHUP)
        while int((await self.counters()).get("configurations_read", 0)) == before:
            await asyncio.sleep(0.02)
        self.account.drains.append(Told(name, time.time()))

    async def killed(self, at: float) -> None:
        await asyncio.sleep(max(0.0, self.began + at - time.time()))
        if self.process:
            self.process.kill()
            await self.process.wait()
        await self.launch()

    async def counters(self) -> dict[str, Any]:
        info: dict[str, Any] = await self.wire().info()
        return info

    async def settle(self) -> None:
        """Until all that was taken on has its end, or should have."""
        until = time.time() + LIFETIME + 1.0
        while time.time() < until:
            with contextlib.suppress(redis.RedisError, OSError):
                if not (await self.counters()).get("held"):
                    break
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.2)

    async def end(self, tasks: list[asyncio.Task[None]]) -> int | None:
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


def write_example(file: Path, listen: str, ports: Iterable[tuple[Receiver, int]], **more: str) -> None:
    """Write the example with these receivers, each at a port, and `more` at its top. OSError."""
    told = tomlkit.parse(files("laureldock.setup").joinpath("example.toml").read_text())
    told.update(more)
    told["front"][0]["listen"] = listen
    listed = tomlkit.aot()
    for receiver, port in ports:
        entry = tomlkit.table()
        entry.update(name=receiver.name, destination=receiver.destination, rate=receiver.rate)
        entry["address"] = f"127.0.0.1:{port}"
        listed.append(entry)
    told["endpoint"] = listed
    fresh = file.with_suffix(".new")
    fresh.write_text(tomlkit.dumps(told))
    fresh.rename(file)


def new_lines(path: Path, read: int) -> tuple[list[bytes], int]:
    """Whole lines of a file not read yet, and how far it is read now; none where there is no file."""
    try:
        with path.open("rb") as file:
            file.seek(read)
            whole, newline, _ = file.read().rpartition(b"\n")
    except FileNotFoundError:
        return [], read
    return whole.splitlines(), read + len(whole) + len(newline)


def free_port(host: str = "127.0.0.1") -> int:
    import socket

    with socket.create_server((host, 0)) as free:
        port: int = free.getsockname()[1]
    return port


def quantile(values: list[float], part: float) -> float:
    return statistics.quantiles(values, n=100)[round(part * 100) - 1] if len(values) > 1 else sum(values)


def table(outcome: Outcome) -> list[str]:
    """What became of the mails, by class and by receiver, and what was found of the rules."""
    account, calls = outcome.account, outcome.account.by_mail()
    head = f"{'':14}{'handed in':>10}{'delivered':>10}{'refused':>9}{'failed':>8}{'p50 s':>8}{'p99 s':>8}"
    lines = ["", head]
    for name in CLASSES:
        mails = [mail for mail in account.handed.values() if mail.queue_class == name]
        served = {
            mail.name: min(call.ended for call in calls[mail.name] if call.status == 200)
            for mail in mails
            if any(call.status == 200 for call in calls.get(mail.name, []))
        }
        refused = sum(
            mail.word == BUSY or any(word == "handed_back" for _, word in mail.notices) for mail in mails
        )
        failed = sum(
            mail.word == FAILED or any(word == "given_up" for _, word in mail.notices) for mail in mails
        )
        delays = [served[mail.name] - mail.at for mail in mails if mail.name in served]
        lines.append(
            f"{name:14}{len(mails):10}{len(served):10}{refused:9}{failed:8}"
            f"{quantile(delays, 0.5):8.2f}{quantile(delays, 0.99):8.2f}"
        )
    lines += ["", f"{'receiver':14}{'calls':>10}{'200':>10}{'429':>9}{'500':>8}{'no answer':>11}"]
    for name in RECEIVERS:
        own = Counter(call.status for call in account.calls if call.receiver == name)
        lines.append(f"{name:14}{sum(own.values()):10}{own[200]:10}{own[429]:9}{own[500]:8}{own[0]:11}")
    lines += ["", "rules, by the account of the stand-ins and clients:"]
    for verdict in outcome.verdicts:
        word = "held" if not verdict.broken else f"BROKEN {len(verdict.broken)} times"
        text = f"{word} in {verdict.counted} cases" if verdict.counted else "not tried"
        lines.append(f"  {verdict.rule:36} {text}")
        lines += [f"      {each}" for each in verdict.broken[:5]]
    return lines


def play(folder: Path, script: Script, say: Callable[[str], None]) -> Outcome:
    os.makedirs(folder, exist_ok=True)
    return asyncio.run(Rehearsal(folder, script, say).play())

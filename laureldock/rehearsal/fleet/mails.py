"""Mails of a rehearsed fleet: handed in at a steady rate, and accounted for until their ends.

Only what clients and stand-in receivers saw counts.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
import zlib
from collections.abc import Coroutine, Mapping
from typing import Any

import redis.asyncio as redis
from redis.asyncio.retry import Retry
from redis.backoff import NoBackoff

from laureldock.rehearsal.account import BUSY, FAILED, GONE, TAKEN, Account, Handed
from laureldock.rehearsal.fleet.configuration import FRONT_PORT, LIFETIME
from laureldock.rehearsal.fleet.member_process import MemberProcess
from laureldock.rehearsal.play import CLASSES, new_lines

CLIENT_TIMEOUT = 5  # seconds
KEYS = 6  # of mails whose order counts
UNREAD_ANSWERS = 0.5  # seconds before a kill: answers of that time may never have been read


class MailLoad:
    """Hands mails in to the members of a fleet, `rate` a second over all, and keeps the account of them."""

    def __init__(
        self, account: Account, members: Mapping[str, MemberProcess], seed: int, rate: float
    ) -> None:
        self.account, self.members, self.rate = account, members, rate
        self.random = random.Random(seed)
        self.takers: dict[str, str] = {}  # which member accepted a mail
        self.lost: set[str] = set()  # mails that a killed member held
        self.clients: dict[str, redis.Redis] = {}
        self.key_locks: dict[str, asyncio.Lock] = {}

    async def run(self) -> None:
        """Open-loop, each mail to a running member, as a plain load balancer does; until cancelled."""
        place, tasks = 0, set()
        at = time.monotonic()
        while self.rate:
            at += self.random.expovariate(self.rate)
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            if running := self.running_members():
                task = asyncio.create_task(self.hand_in_one(running, place))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                place += 1

    async def close(self) -> None:
        """Close the connections to all members."""
        for client in self.clients.values():
            await client.aclose()

    def running_members(self) -> list[MemberProcess]:
        """Members that a load balancer would choose from."""
        members = self.members.values()
        return [each for each in members if each.is_running and not each.stopped and not each.duplicate]

    def hand_in_one(self, running: list[MemberProcess], place: int) -> Coroutine[Any, Any, None]:
        """Draw one mail, and hand it in."""
        queue_class = self.random.choices(list(CLASSES), [6, 2, 2])[0]
        key = f"k{self.random.randrange(KEYS)}" if queue_class == "order" else ""
        # A key's mails come to one member while it runs: their order is that member's.
        by_key = zlib.crc32(key.encode()) % len(running)
        member = running[by_key] if key else self.random.choice(running)
        destination = "bank" if queue_class == "payment" else self.random.choice(["bank", "bakery"])
        return self.hand_in(member, place, queue_class, destination, key)

    async def hand_in(
        self, member: MemberProcess, place: int, queue_class: str, destination: str, key: str
    ) -> None:
        """Hand one mail in, and note the answer."""
        now, name = time.time(), f"m{place:05d}"
        # Its order is that of the member that accepts it; another one knows nothing of it.
        order = f"{key}@{member.key}" if key else ""
        mail = Handed(name, queue_class, CLASSES[queue_class], order, destination, now, now + LIFETIME, place)
        self.account.handed[name] = mail
        self.takers[name] = member.key
        fields = f"c={queue_class},d={round(LIFETIME * 1000)},dest={destination},k=t{name}"
        client = self.client_of(member)
        lock = self.key_locks.setdefault(order, asyncio.Lock()) if order else contextlib.nullcontext()
        try:
            # A key's mails go in one after another, each once the one before has its answer.
            async with lock:
                mail.at = time.time()
                mail.end = mail.at + LIFETIME
                answer = await client.execute_command("MSG.PUT", key or "0", name, fields, b"hello")  # type: ignore[no-untyped-call]
            mail.word = TAKEN if answer in (b"OK", "OK") else FAILED
        except redis.ResponseError as error:
            mail.word = BUSY if str(error).startswith("BUSY") else FAILED
        except (OSError, redis.RedisError, asyncio.CancelledError):
            mail.word = GONE
        mail.answered = time.time()

    def client_of(self, member: MemberProcess) -> redis.Redis:
        """The connection to a member; it is opened with the first command."""
        client = self.clients.get(member.key)
        if client is None:
            client = self.clients[member.key] = redis.Redis(
                host=member.host, port=FRONT_PORT, protocol=2, retry=Retry(NoBackoff(), 0),
                socket_timeout=CLIENT_TIMEOUT,
            )  # fmt: skip
        return client

    def note_killed(self, member: MemberProcess) -> None:
        """What a member held when it was killed is no longer owed by it."""
        served = {call.mail for call in self.account.calls if call.status == 200}
        accepted = {name for name, taker in self.takers.items() if taker == member.key}
        self.lost |= accepted - served
        unread_since = time.time() - UNREAD_ANSWERS
        recent = {call.mail for call in self.account.calls if call.ended > unread_since}
        self.account.killed |= self.lost | (accepted & recent)

    def forgive_lost(self) -> None:
        """Mails that were lost with a killed member are not asked for, until copies are kept."""
        for name in self.lost:
            if (mail := self.account.handed[name]).word == TAKEN:
                mail.word = GONE

    def open_mails(self) -> int:
        """Accepted mails that no receiver has answered, and whose lifetime is not over."""
        now = time.time()
        served = {call.mail for call in self.account.calls if call.status == 200}
        return sum(
            mail.word == TAKEN and name not in served and now < mail.end
            for name, mail in self.account.handed.items()
        )

    def read_notices(self, member: MemberProcess) -> None:
        """Account for the lines that came to a member's file of notices."""
        lines, member.notices_read = new_lines(member.notices, member.notices_read)
        for line in lines:
            notice = json.loads(line)
            name = notice["message"]
            mail = self.account.handed.get(name)
            if mail is None:
                self.account.strays.append(name)
            elif name not in self.lost or not mail.notices:
                mail.notices.append((time.time(), notice["outcome"]))

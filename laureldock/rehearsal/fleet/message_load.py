"""Messages of a rehearsed fleet: submitted at a steady rate, and accounted for until their final outcomes.

Only what clients and stub receivers observed counts.
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

from laureldock.rehearsal.fleet.configuration import FRONT_PORT, LIFETIME
from laureldock.rehearsal.fleet.member_process import MemberProcess
from laureldock.rehearsal.rule_checks import ABANDONED, ACCEPTED, BUSY, FAILED, RunRecord, SubmittedMessage
from laureldock.rehearsal.scripted_run import QUEUE_CLASSES, new_lines

CLIENT_TIMEOUT = 5  # seconds
ORDERING_KEYS = 6  # number of ordering keys
UNREAD_REPLY_TIME = 0.5  # seconds before a kill; the member may not have read responses from that time


class MessageLoad:
    """Submits messages to the members of a fleet, `rate` per second in total, and accounts for them."""

    def __init__(
        self, record: RunRecord, members: Mapping[str, MemberProcess], seed: int, rate: float
    ) -> None:
        self.record, self.members, self.rate = record, members, rate
        self.random = random.Random(seed)
        self.submitted_to: dict[str, str] = {}  # key of the member that each message was submitted to
        self.lost_messages: set[str] = set()  # messages that were pending at a killed member
        self.clients: dict[str, redis.Redis] = {}
        self.key_locks: dict[str, asyncio.Lock] = {}

    async def run(self) -> None:
        """Submit messages until cancelled: open-loop, each to a running member, as a load balancer does."""
        number, tasks = 0, set()
        submitted_at = time.monotonic()
        while self.rate:
            submitted_at += self.random.expovariate(self.rate)
            await asyncio.sleep(max(0.0, submitted_at - time.monotonic()))
            if running := self.running_members():
                task = asyncio.create_task(self.submit_random(running, number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                number += 1

    async def close(self) -> None:
        """Close the connections to all members."""
        for client in self.clients.values():
            await client.aclose()

    def running_members(self) -> list[MemberProcess]:
        """Return the members that a load balancer would choose from."""
        members = self.members.values()
        return [each for each in members if each.is_running and not each.stopped and not each.duplicate]

    def submit_random(self, running: list[MemberProcess], number: int) -> Coroutine[Any, Any, None]:
        """Draw one message at random, and submit it."""
        queue_class = self.random.choices(list(QUEUE_CLASSES), [6, 2, 2])[0]
        key = f"k{self.random.randrange(ORDERING_KEYS)}" if queue_class == "order" else ""
        # Messages of one key go to one member while it runs, since each member orders its own messages only.
        key_index = zlib.crc32(key.encode()) % len(running)
        member = running[key_index] if key else self.random.choice(running)
        destination = "bank" if queue_class == "payment" else self.random.choice(["bank", "bakery"])
        return self.submit(member, number, queue_class, destination, key)

    async def submit(
        self, member: MemberProcess, number: int, queue_class: str, destination: str, key: str
    ) -> None:
        """Submit one message, and record the reply."""
        now, name = time.time(), f"m{number:05d}"
        # Order is kept by the member that accepts the message, not across members.
        order = f"{key}@{member.key}" if key else ""
        message = SubmittedMessage(
            name, queue_class, QUEUE_CLASSES[queue_class], order, destination, now, now + LIFETIME, number
        )
        self.record.messages[name] = message
        self.submitted_to[name] = member.key
        fields = f"c={queue_class},d={round(LIFETIME * 1000)},dest={destination},k=t{name}"
        client = self.client_for(member)
        ordering_lock = (
            self.key_locks.setdefault(order, asyncio.Lock()) if order else contextlib.nullcontext()
        )
        try:
            # Messages of one key are submitted one after another, each after the reply to the previous one.
            async with ordering_lock:
                message.submitted_at = time.time()
                message.expires_at = message.submitted_at + LIFETIME
                reply = await client.execute_command("MSG.PUT", key or "0", name, fields, b"hello")  # type: ignore[no-untyped-call]
            message.reply = ACCEPTED if reply in (b"OK", "OK") else FAILED
        except redis.ResponseError as error:
            message.reply = BUSY if str(error).startswith("BUSY") else FAILED
        except (OSError, redis.RedisError, asyncio.CancelledError):
            message.reply = ABANDONED
        message.replied_at = time.time()

    def client_for(self, member: MemberProcess) -> redis.Redis:
        """Return the client of a member; it connects with the first command."""
        client = self.clients.get(member.key)
        if client is None:
            client = self.clients[member.key] = redis.Redis(
                host=member.host, port=FRONT_PORT, protocol=2, retry=Retry(NoBackoff(), 0),
                socket_timeout=CLIENT_TIMEOUT,
            )  # fmt: skip
        return client

    def record_kill(self, member: MemberProcess) -> None:
        """Record a kill: messages pending at the member are lost, and its latest outcomes may be unknown."""
        served = {call.message for call in self.record.calls if call.status == 200}
        accepted = {name for name, member_key in self.submitted_to.items() if member_key == member.key}
        self.lost_messages |= accepted - served
        unread_since = time.time() - UNREAD_REPLY_TIME
        recently_called = {call.message for call in self.record.calls if call.ended_at > unread_since}
        self.record.pending_at_kill |= self.lost_messages | (accepted & recently_called)

    def excuse_lost_messages(self) -> None:
        """Expect no outcome for messages lost with a killed member, since members keep no copies of them."""
        for name in self.lost_messages:
            if (message := self.record.messages[name]).reply == ACCEPTED:
                message.reply = ABANDONED

    def pending_messages(self) -> int:
        """Return the number of accepted messages that are neither served nor past their lifetime."""
        now = time.time()
        served = {call.message for call in self.record.calls if call.status == 200}
        return sum(
            message.reply == ACCEPTED and name not in served and now < message.expires_at
            for name, message in self.record.messages.items()
        )

    def read_notices(self, member: MemberProcess) -> None:
        """Account for the new lines in a member's file of notices."""
        lines, member.notices_read = new_lines(member.notices_path, member.notices_read)
        for line in lines:
            notice = json.loads(line)
            name = notice["message"]
            message = self.record.messages.get(name)
            if message is None:
                self.record.unknown_notices.append(name)
            elif name not in self.lost_messages or not message.notices:
                message.notices.append((time.time(), notice["outcome"]))

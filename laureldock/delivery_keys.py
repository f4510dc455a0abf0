"""Decisions about ordering keys: messages of a key go one at a time, in the order of their acceptance.

After a call that may still run the key cools down: until then only the message of that call may go again.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator, Mapping
from math import inf

from laureldock.delivery_state import KeyQueue, MessageStage, MessageState


class KeyOrder:
    """The ordering keys of one instance. Times are seconds of the monotonic clock.

    `enqueue` is called with a message whose turn has come; `sequence` numbers the entries of heaps.
    """

    def __init__(self, enqueue: Callable[[float, MessageState], None], sequence: Iterator[int]) -> None:
        self.queues: dict[str, KeyQueue] = {}
        self._enqueue, self._sequence = enqueue, sequence
        self._cooldowns: list[
            tuple[float, int, KeyQueue]
        ] = []  # when the cooldown of each key ends, as a heap
        # When the first pending message of each key was accepted by a peer process.
        self._first_at_peers: Mapping[str, float] = {}

    def add(self, key: str, message: MessageState) -> None:
        """Put a message in its place, whichever process of the dispatcher accepted it and its neighbours."""
        message.key_queue = queue = self.queues.setdefault(key, KeyQueue(key))
        accepted_at, place = message.submitted.accepted_at, len(queue.messages)
        while (
            place
            and not (before := queue.messages[place - 1]).outstanding
            and accepted_at < before.submitted.accepted_at
        ):
            place -= 1
        queue.messages.insert(place, message)

    def call_broke(self, message: MessageState, until: float) -> None:
        """Cool the key of a message down, whose call may still run; it may itself go again."""
        if (queue := message.key_queue) is not None:
            queue.cooldown_until, queue.cooldown_exempt = max(queue.cooldown_until, until), message

    def cool_down(self, now: float, key: str, until: float) -> None:
        """Start no message of the key before `until`: a broken call of another process may still run."""
        queue = self.queues.setdefault(key, KeyQueue(key))
        if until > queue.cooldown_until:
            queue.cooldown_until, queue.cooldown_exempt = until, None
        self.start_next(now, queue)

    def end_cooldowns(self, now: float) -> None:
        """Start the messages of keys that have cooled down."""
        while self._cooldowns and self._cooldowns[0][0] <= now:
            self.start_next(now, heapq.heappop(self._cooldowns)[2])

    def peers_changed(self, now: float, first_accepted_at: Mapping[str, float]) -> None:
        """Peer processes have these keys pending now, by when their first message was accepted."""
        before, self._first_at_peers = self._first_at_peers, first_accepted_at
        for key in before:
            if (queue := self.queues.get(key)) is not None:
                self.start_next(now, queue)

    def leave(self, now: float, message: MessageState) -> None:
        """Let the next message of a key go, once this one is finished and has nothing outstanding."""
        if message.key_queue and not message.outstanding:
            message.key_queue.messages.remove(message)
            self.start_next(now, message.key_queue)

    def start_next(self, now: float, queue: KeyQueue) -> None:
        """Pass the first message of a key on if it may go; else this is called again when that changes."""
        head = queue.messages[0] if queue.messages else None
        if queue.cooldown_until > now and (head is None or head is not queue.cooldown_exempt):
            heapq.heappush(self._cooldowns, (queue.cooldown_until, next(self._sequence), queue))
        elif head is None:
            # Unless this queue was removed before, and later messages of the key have a new one.
            if self.queues.get(queue.key) is queue:
                del self.queues[queue.key]
        elif head.stage is MessageStage.WAITING and not head.queued and self.has_turn(now, head):
            self._enqueue(now, head)

    def has_turn(self, now: float, message: MessageState) -> bool:
        """Whether a message's key is not cooling down, and has no earlier message pending in any process."""
        if (queue := message.key_queue) is None:
            return True
        first_at_peers = self._first_at_peers.get(queue.key, inf)
        cooling_down = queue.cooldown_until > now and queue.cooldown_exempt is not message
        is_first = bool(queue.messages) and queue.messages[0] is message
        return is_first and message.submitted.accepted_at <= first_at_peers and not cooling_down

"""A controller: it accepts changes one after the other, keeps them on disk, and has them told."""

from __future__ import annotations

import os
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from math import inf
from pathlib import Path
from typing import Any

import structlog
from twisted.internet.defer import Deferred, DeferredLock, succeed
from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure

from laureldock.controller.server import Server
from laureldock.controller.state import AcceptedState, SnapshotCancelledError, SnapshotJob
from laureldock.replication.messages import MAX_TEXT_LENGTH, Accepted, Rejected, Status, fault_report
from laureldock.replication.publisher import Close, Effect, Publisher, Report, Send
from laureldock.setup.catalog import RefusedChangeError
from laureldock.setup.changes import Change
from laureldock.setup.faults import Fault
from laureldock.setup.plan import Plan

# A change of more entries is checked beside the reactor, which goes on meanwhile.
MAX_INLINE_ENTRIES = 500
MAX_WAITING_CHANGES = 16
MIN_TURN_INTERVAL = 0.001  # seconds, between turns that only the clock asks for
COMPACTION_RETRY = 60.0  # seconds after one that failed
MAX_TOLD_FAULTS = 1000

Answer = Accepted | Rejected


def rejected(*faults: Fault) -> Rejected:
    return Rejected(tuple(map(fault_report, faults[:MAX_TOLD_FAULTS])), len(faults))


class ControllerService:
    """`ended`: called with the reason where it cannot go on. `wall` and `reactor.seconds` are its clocks."""

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        reactor: Any,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """OSError; LogInUseError where another controller holds the folder."""
        assert plan.controller is not None
        self.settings, self.reactor, self.wall = plan.controller, reactor, wall
        self.log = structlog.get_logger().bind(controller=plan.name)
        self.counters: Counter[str] = Counter()
        self.state = AcceptedState(plan, folder)
        self.publisher: Publisher
        self.server = Server(self)
        self._lock = DeferredLock()  # who holds it may read and change the catalog
        self._job: SnapshotJob | None = None
        self._compacting = False
        self._no_compaction_until = -inf
        self._timer: Any = None
        self._turning = False
        self.stopping = False

    # The life of the process

    def start(self) -> None:
        """CorruptedLogError, RefusedChangeError, OSError."""
        now, wall = self.reactor.seconds(), self.wall()
        accepted = []
        for record in self.state.load(new_epoch=int.from_bytes(os.urandom(7), "big") | 1):
            accepted.append((len(record.body), now - max(0.0, wall - record.accepted_at)))
        state = self.state
        self.publisher = Publisher(
            now, state.log, state.position, state.digest, self.settings.pace, self.settings.subscribers
        )
        first = state.position.version - len(accepted) + 1
        for version, (size, at) in enumerate(accepted, first):
            self.publisher.record_restored(version, size, at)
        self.server.listen(self.settings.listen)
        self.log.info(
            "controller ready",
            version=state.position.version,
            epoch=state.position.epoch,
            entries=len(state.catalog),
            torn_bytes=state.log.torn_bytes,
        )
        self._compact_soon()

    def stop(self) -> None:
        """In order: no more is accepted, and what is on disk is whole."""
        if self.stopping:
            return
        self.stopping = True
        if self._job is not None:
            self._job.cancelled = True
        self.server.close()
        self.reactor.addSystemEventTrigger("after", "shutdown", self._stopped)
        self.reactor.callLater(0, self.reactor.stop)

    def _stopped(self) -> None:
        """No thread runs any more."""
        if self._job is not None:
            self._job.writer.discard()
        self.log.info("controller stopped", version=self.state.position.version, **self.figures())
        self.state.log.close()

    def figures(self) -> dict[str, int]:
        sums = self.counters + self.publisher.counters
        held = {"dispatchers": len(self.publisher.streams), "streams": self.server.streams}
        return {**held, "entries": len(self.state.catalog), **dict(sorted(sums.items()))}

    def log_counters(self) -> None:
        self.log.info("counters", **self.figures())

    def status(self) -> Status:
        accepted_at = self.state.accepted_at
        ago = max(0.0, self.wall() - accepted_at) if accepted_at else -1.0
        return self.publisher.status(self.reactor.seconds(), len(self.state.catalog), ago)

    def _in_thread(self, call: Callable[..., Any], *words: Any) -> Deferred[Any]:
        return deferToThreadPool(self.reactor, self.reactor.getThreadPool(), call, *words)

    # Accepting

    def propose(self, change: Change, expected_version: int) -> Deferred[Answer]:
        """Accepted: it is on disk and told from now on. Rejected: nothing was changed."""
        if len(self._lock.waiting) >= MAX_WAITING_CHANGES:
            self.counters["changes refused: busy"] += 1
            return succeed(rejected(Fault((), "too many changes wait", "propose it again later")))
        return self._lock.run(self._accept, change, expected_version)

    def _accept(self, change: Change, expected_version: int) -> Any:
        if self.stopping:
            return rejected(Fault((), "the controller stops"))
        version = self.state.position.version
        if expected_version not in (-1, version):
            self.counters["changes refused: race"] += 1
            reason = f"version {version} is the newest, not {expected_version}"
            return rejected(Fault((), reason, "look what changed, then propose it again"))
        if len(change.puts) + len(change.removals) <= MAX_INLINE_ENTRIES:
            try:
                return self._accept_prepared(change, self.state.prepare(change))
            except RefusedChangeError as refused:
                return self._refuse(refused)
        prepared = self._in_thread(self.state.prepare, change)
        prepared.addCallback(partial(self._accept_prepared, change))
        prepared.addErrback(self._refused_in_thread)
        return prepared

    def _refused_in_thread(self, failure: Failure) -> Rejected:
        failure.trap(RefusedChangeError)
        assert isinstance(failure.value, RefusedChangeError)
        return self._refuse(failure.value)

    def _refuse(self, refused: RefusedChangeError) -> Rejected:
        self.counters["changes refused"] += 1
        self.log.info("change refused", faults=len(refused.faults), first=str(refused)[:MAX_TEXT_LENGTH])
        return rejected(*refused.faults)

    def _accept_prepared(self, change: Change, prepared: tuple[bytes, Change] | None) -> Answer:
        state = self.state
        if self.stopping:
            return rejected(Fault((), "the controller stops"))
        if prepared is None:
            self.counters["changes without effect"] += 1
            return Accepted(state.position, state.digest)
        try:
            record = state.commit(*prepared, accepted_at=self.wall())
        except OSError as fault:
            self.counters["changes refused: log"] += 1
            self.log.error("log cannot be written, the change is refused", fault=str(fault))
            return rejected(Fault((), f"the controller's log cannot be written: {fault.strerror or fault}"))
        self.counters["changes accepted"] += 1
        self.log.info(
            "change accepted",
            version=record.position.version,
            puts=len(change.puts),
            removals=len(change.removals),
            bytes=len(record.body),
            entries=len(state.catalog),
        )
        self.publisher.change_accepted(self.reactor.seconds(), record)
        self.turn_soon()
        self._compact_soon()
        return Accepted(record.position, record.digest)

    # Compacting

    def _compaction_due(self) -> bool:
        log, publisher = self.state.log, self.publisher
        if publisher.newest_large_version > log.snapshot_version:
            return True
        if publisher.compaction_wanted and self.state.position.version > log.snapshot_version:
            return True
        return log.compaction_due

    def _compact_soon(self) -> None:
        if self._compacting or self.stopping or not self._compaction_due():
            return
        self._compacting = True
        wait = max(0.0, self._no_compaction_until - self.reactor.seconds())
        self.reactor.callLater(wait, self._compact)

    def _compact(self) -> None:
        """A snapshot of the entries as they are; changes are accepted again while it is written."""
        began = self.reactor.seconds()
        done: Deferred[Any] = self._lock.run(self._in_thread, self._begin_snapshot)
        done.addCallback(lambda job: self._in_thread(job.run))
        done.addCallback(lambda _: self._finish_snapshot(began))
        done.addErrback(self._snapshot_failed)
        done.addErrback(self._defect)

    def _begin_snapshot(self) -> SnapshotJob:
        """In a thread, while no change is made. OSError."""
        if self.stopping:
            raise SnapshotCancelledError
        state = self.state
        entries = list(state.catalog.entries())
        writer = state.log.begin_compaction(state.position, state.digest, len(entries))
        self._job = SnapshotJob(writer, entries)
        self._job.cancelled = self.stopping
        return self._job

    def _finish_snapshot(self, began: float) -> None:
        job, self._job = self._job, None
        assert job is not None
        if self.stopping:
            job.writer.discard()
            return
        self.state.log.finish_compaction(job.writer)
        self._compacting = False
        self.counters["snapshots written"] += 1
        took = round(self.reactor.seconds() - began, 3)
        version, size = job.writer.position.version, job.writer.size
        self.log.info("snapshot written", version=version, bytes=size, took=took)
        self.publisher.compacted(self.reactor.seconds())
        self.turn_soon()
        self._compact_soon()

    def _snapshot_failed(self, failure: Failure) -> None:
        self._job, self._compacting = None, False
        if self.stopping:
            return
        failure.trap(OSError)
        self.counters["snapshots failed"] += 1
        self.log.error("snapshot cannot be written", fault=str(failure.value))
        self._no_compaction_until = self.reactor.seconds() + COMPACTION_RETRY
        self._compact_soon()

    def _defect(self, failure: Failure) -> None:
        self._compacting = False
        self.counters["faults"] += 1
        self.log.error("fault", call="compact", exc_info=failure.value)

    # Turns of the publisher

    def turn_soon(self) -> None:
        """Once all that has come in is read."""
        if not self._turning and not self.stopping:
            self._turning = True
            self.reactor.callLater(0, self._turn)

    def _turn(self) -> None:
        self._turning = False
        if self.stopping:
            return
        try:
            for effect in self.publisher.poll(self.reactor.seconds()):
                self._carry_out(effect)
        except Exception:  # a defect ends no other stream: what is due is looked at again
            self.counters["faults"] += 1
            self.log.exception("fault", call="turn")
        if self.publisher.compaction_wanted:
            self._compact_soon()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self.publisher.due_at < inf:
            wait = max(MIN_TURN_INTERVAL, self.publisher.due_at - self.reactor.seconds())
            self._timer = self.reactor.callLater(wait, self.turn_soon)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Send(stream, payload):
                self.server.send(stream, payload)
            case Close(stream):
                self.server.abort(stream)
            case Report(event, dispatcher, fields, serious):
                write = self.log.warning if serious else self.log.info
                write(event, dispatcher=dispatcher, **fields)

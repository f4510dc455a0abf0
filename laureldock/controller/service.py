"""The controller service: accepts changes one at a time, stores them, and has them distributed."""

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

# A change of more entries is validated in a thread, so that it does not block the reactor.
MAX_INLINE_ENTRIES = 500
MAX_WAITING_CHANGES = 16
MIN_POLL_INTERVAL = 0.001  # seconds, between polls of the publisher by the timer
COMPACTION_RETRY = 60.0  # seconds after a failed compaction
MAX_REPORTED_FAULTS = 1000

ProposalResult = Accepted | Rejected


def rejected(*faults: Fault) -> Rejected:
    return Rejected(tuple(map(fault_report, faults[:MAX_REPORTED_FAULTS])), len(faults))


class ControllerService:
    """The state, publisher and server of one controller.

    `wall_clock` returns seconds since 1970, `reactor.seconds` monotonic seconds.
    """

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        reactor: Any,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Raises OSError; LogInUseError if another controller has locked the folder."""
        assert plan.controller is not None
        self.settings, self.reactor, self.wall_clock = plan.controller, reactor, wall_clock
        self.log = structlog.get_logger().bind(controller=plan.name)
        self.counters: Counter[str] = Counter()
        self.state = AcceptedState(plan, folder)
        self.publisher: Publisher
        self.server = Server(self)
        self._lock = DeferredLock()  # required to read or change the catalog
        self._snapshot_job: SnapshotJob | None = None
        self._compacting = False
        self._compaction_blocked_until = -inf
        self._timer: Any = None
        self._poll_scheduled = False
        self.stopping = False

    # Start and stop

    def start(self) -> None:
        """Load the state and listen. Raises CorruptedLogError, RefusedChangeError, OSError."""
        now, wall_time = self.reactor.seconds(), self.wall_clock()
        accepted = []
        for record in self.state.load(new_epoch=int.from_bytes(os.urandom(7), "big") | 1):
            accepted.append((len(record.body), now - max(0.0, wall_time - record.accepted_at)))
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
        self._schedule_compaction()

    def stop(self) -> None:
        """Stop gracefully: no further changes are accepted, and the files are complete."""
        if self.stopping:
            return
        self.stopping = True
        if self._snapshot_job is not None:
            self._snapshot_job.cancelled = True
        self.server.close()
        self.reactor.addSystemEventTrigger("after", "shutdown", self._stopped)
        self.reactor.callLater(0, self.reactor.stop)

    def _stopped(self) -> None:
        """Called after shutdown, when no thread runs any more."""
        if self._snapshot_job is not None:
            self._snapshot_job.writer.discard()
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
        seconds_ago = max(0.0, self.wall_clock() - accepted_at) if accepted_at else -1.0
        return self.publisher.status(self.reactor.seconds(), len(self.state.catalog), seconds_ago)

    def _run_in_thread(self, function: Callable[..., Any], *args: Any) -> Deferred[Any]:
        return deferToThreadPool(self.reactor, self.reactor.getThreadPool(), function, *args)

    # Accepting changes

    def propose(self, change: Change, expected_version: int) -> Deferred[ProposalResult]:
        """Accepted: the change is on disk and will be distributed. Rejected: nothing was changed."""
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
        prepared = self._run_in_thread(self.state.prepare, change)
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

    def _accept_prepared(self, change: Change, prepared: tuple[bytes, Change] | None) -> ProposalResult:
        state = self.state
        if self.stopping:
            return rejected(Fault((), "the controller stops"))
        if prepared is None:
            self.counters["changes without effect"] += 1
            return Accepted(state.position, state.digest)
        try:
            record = state.commit(*prepared, accepted_at=self.wall_clock())
        except OSError as error:
            self.counters["changes refused: log"] += 1
            self.log.error("log cannot be written, the change is refused", fault=str(error))
            return rejected(Fault((), f"the controller's log cannot be written: {error.strerror or error}"))
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
        self.schedule_poll()
        self._schedule_compaction()
        return Accepted(record.position, record.digest)

    # Compacting

    def _compaction_due(self) -> bool:
        log, publisher = self.state.log, self.publisher
        if publisher.newest_large_version > log.snapshot_version:
            return True
        if publisher.compaction_wanted and self.state.position.version > log.snapshot_version:
            return True
        return log.compaction_due

    def _schedule_compaction(self) -> None:
        if self._compacting or self.stopping or not self._compaction_due():
            return
        self._compacting = True
        wait = max(0.0, self._compaction_blocked_until - self.reactor.seconds())
        self.reactor.callLater(wait, self._compact)

    def _compact(self) -> None:
        """Write a snapshot of the current entries; changes are accepted while it is being written."""
        started_at = self.reactor.seconds()
        done: Deferred[Any] = self._lock.run(self._run_in_thread, self._begin_snapshot)
        done.addCallback(lambda job: self._run_in_thread(job.run))
        done.addCallback(lambda _: self._finish_snapshot(started_at))
        done.addErrback(self._snapshot_failed)
        done.addErrback(self._internal_error)

    def _begin_snapshot(self) -> SnapshotJob:
        """Runs in a thread while the lock is held, so that the catalog does not change. Raises OSError."""
        if self.stopping:
            raise SnapshotCancelledError
        state = self.state
        entries = list(state.catalog.entries())
        writer = state.log.begin_compaction(state.position, state.digest, len(entries))
        self._snapshot_job = SnapshotJob(writer, entries)
        self._snapshot_job.cancelled = self.stopping
        return self._snapshot_job

    def _finish_snapshot(self, started_at: float) -> None:
        job, self._snapshot_job = self._snapshot_job, None
        assert job is not None
        if self.stopping:
            job.writer.discard()
            return
        self.state.log.finish_compaction(job.writer)
        self._compacting = False
        self.counters["snapshots written"] += 1
        took = round(self.reactor.seconds() - started_at, 3)
        version, size = job.writer.position.version, job.writer.size
        self.log.info("snapshot written", version=version, bytes=size, took=took)
        self.publisher.compacted(self.reactor.seconds())
        self.schedule_poll()
        self._schedule_compaction()

    def _snapshot_failed(self, failure: Failure) -> None:
        self._snapshot_job, self._compacting = None, False
        if self.stopping:
            return
        failure.trap(OSError)
        self.counters["snapshots failed"] += 1
        self.log.error("snapshot cannot be written", fault=str(failure.value))
        self._compaction_blocked_until = self.reactor.seconds() + COMPACTION_RETRY
        self._schedule_compaction()

    def _internal_error(self, failure: Failure) -> None:
        self._compacting = False
        self.counters["faults"] += 1
        self.log.error("fault", call="compact", exc_info=failure.value)

    # Polling the publisher

    def schedule_poll(self) -> None:
        """Poll the publisher once all received data has been processed."""
        if not self._poll_scheduled and not self.stopping:
            self._poll_scheduled = True
            self.reactor.callLater(0, self._poll)

    def _poll(self) -> None:
        self._poll_scheduled = False
        if self.stopping:
            return
        try:
            for effect in self.publisher.poll(self.reactor.seconds()):
                self._carry_out(effect)
        except Exception:  # an internal error must not stop the other streams: polling continues
            self.counters["faults"] += 1
            self.log.exception("fault", call="turn")
        if self.publisher.compaction_wanted:
            self._schedule_compaction()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self.publisher.due_at < inf:
            wait = max(MIN_POLL_INTERVAL, self.publisher.due_at - self.reactor.seconds())
            self._timer = self.reactor.callLater(wait, self.schedule_poll)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Send(stream, payload):
                self.server.send(stream, payload)
            case Close(stream):
                self.server.abort(stream)
            case Report(event, dispatcher, fields, serious):
                write = self.log.warning if serious else self.log.info
                write(event, dispatcher=dispatcher, **fields)

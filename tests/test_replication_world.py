"""The way of a change from controller to dispatchers under faults, and that sabotaged copies are caught."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from replication_world import RecordingSink, World, play

from laureldock.controller.service import ControllerService, ProposalResult
from laureldock.replication.change_log import Record
from laureldock.replication.messages import ChangeMessage, Position
from laureldock.replication.subscriber import Subscriber
from laureldock.setup.changes import Change

SEEDS = range(6)


@pytest.mark.parametrize("seed", SEEDS)
def test_under_faults_only_what_was_accepted_is_in_force_and_all_have_it_in_time(
    tmp_path: Path, seed: int
) -> None:
    assert play(World(tmp_path, seed)) == []


class ToldBeforeOnDisk(ControllerService):
    def _accept_prepared(self, change: Change, prepared: Any) -> ProposalResult:
        if prepared is not None:
            here = self.state.position
            position = Position(here.epoch, here.version + 1)
            record = Record(position, self.state.catalog.digest, self.wall_clock(), prepared[0])
            self.publisher.change_accepted(self.reactor.seconds(), record)
            self._poll()
        return super()._accept_prepared(change, prepared)


class GapNotAskedFor(Subscriber):
    def _resubscribe(self, now: float, reason: str) -> None:
        """Waits for it to come by itself."""


class GapNotSeen(Subscriber):
    def _handle_change(self, now: float, message: ChangeMessage) -> None:
        if message.position.epoch == self._received.epoch:
            self._received = Position(message.position.epoch, message.position.version - 1)
        super()._handle_change(now, message)


class HalfApplied(RecordingSink):
    """Entry by entry, with what was applied left in force where one is refused."""

    def apply(self, change: Change) -> None:
        for key in change.removals:
            self.catalog.apply(Change(removals=(key,)), missing_ok=True)
        for entry in change.puts:
            self.catalog.apply(Change(puts=(entry,)))


NEVER_ACCEPTED, NOT_IN_TIME = "in force is what was never accepted", "not in force on all in time"


@pytest.mark.parametrize(
    ("sabotage", "fault"),
    [
        ({"service_class": ToldBeforeOnDisk}, NEVER_ACCEPTED),
        ({"subscriber_class": GapNotAskedFor}, NOT_IN_TIME),
        ({"subscriber_class": GapNotSeen}, NEVER_ACCEPTED),
        ({"sink_class": HalfApplied}, NEVER_ACCEPTED),
    ],
    ids=["told before on disk", "gap not asked for", "gap not seen", "half applied"],
)
def test_each_sabotaged_copy_is_caught(tmp_path: Path, sabotage: dict[str, Any], fault: str) -> None:
    """By the check above, in the seeds that it plays."""
    found = []
    for seed in SEEDS:
        folder = tmp_path / str(seed)
        folder.mkdir()
        found += play(World(folder, seed, **sabotage))
    assert any(fault in each for each in found), found

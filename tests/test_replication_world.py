"""Replication from controller to dispatchers under faults; the checks detect deliberately broken variants."""

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
def test_under_faults_only_accepted_states_are_in_force_and_all_dispatchers_have_the_newest_in_time(
    tmp_path: Path, seed: int
) -> None:
    assert play(World(tmp_path, seed)) == []


class SentBeforeOnDisk(ControllerService):
    def _accept_prepared(self, change: Change, prepared: Any) -> ProposalResult:
        if prepared is not None:
            position_before = self.state.position
            position = Position(position_before.epoch, position_before.version + 1)
            record = Record(position, self.state.catalog.digest, self.wall_clock(), prepared[0])
            self.publisher.change_accepted(self.reactor.seconds(), record)
            self._poll()
        return super()._accept_prepared(change, prepared)


class GapNotRequested(Subscriber):
    def _resubscribe(self, now: float, reason: str) -> None:
        """Never requests missing changes."""


class GapNotDetected(Subscriber):
    def _handle_change(self, now: float, message: ChangeMessage) -> None:
        if message.position.epoch == self._received.epoch:
            self._received = Position(message.position.epoch, message.position.version - 1)
        super()._handle_change(now, message)


class PartiallyApplied(RecordingSink):
    """Applies entry by entry; if one is refused, the earlier ones stay in force."""

    def apply(self, change: Change) -> None:
        for key in change.removals:
            self.catalog.apply(Change(removals=(key,)), missing_ok=True)
        for entry in change.puts:
            self.catalog.apply(Change(puts=(entry,)))


NEVER_ACCEPTED, NOT_IN_TIME = "a state in force was never accepted", "not in force everywhere in time"


@pytest.mark.parametrize(
    ("broken_class", "fault"),
    [
        ({"service_class": SentBeforeOnDisk}, NEVER_ACCEPTED),
        ({"subscriber_class": GapNotRequested}, NOT_IN_TIME),
        ({"subscriber_class": GapNotDetected}, NEVER_ACCEPTED),
        ({"sink_class": PartiallyApplied}, NEVER_ACCEPTED),
    ],
    ids=["sent before on disk", "gap not requested", "gap not detected", "partially applied"],
)
def test_each_broken_variant_is_detected(tmp_path: Path, broken_class: dict[str, Any], fault: str) -> None:
    """At least one of the seeds above reports the fault."""
    found = []
    for seed in SEEDS:
        folder = tmp_path / str(seed)
        folder.mkdir()
        found += play(World(folder, seed, **broken_class))
    assert any(fault in each for each in found), found

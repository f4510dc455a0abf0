"""Peer processes of a dispatcher, whose records this process has to respect during a handover."""

from __future__ import annotations

from typing import TYPE_CHECKING

from laureldock.core.peer_view import PeerView

if TYPE_CHECKING:
    from laureldock.core.dispatcher import Dispatcher


class PeerProcesses:
    """Reads the records of peer processes, and passes them on to the delivery policy.

    Order and limits depend on everything recorded so far, not on the last poll: the records are read
    whenever a message is accepted and whenever one is sent. While they cannot be read, neither is done.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self._failing = False
        self.view = PeerView()

    @property
    def may_exist(self) -> bool:
        """Whether there may be a peer process: the listening socket is shared, or one was seen."""
        core = self._dispatcher
        return core.shares_listening_socket or core.store.is_shared

    def read(self) -> bool:
        """Read and apply what peer processes have recorded up to now; false if it cannot be read."""
        if not self.may_exist:
            return True
        core = self._dispatcher
        try:
            view = core.store.read_peers()
        except OSError as error:
            self._failed(error)
            return False
        self._failing = False
        if view is not self.view:
            self._apply_view(view)
        return True

    def all_ended(self) -> None:
        """The last peer process has ended and was taken over: its records bind no more."""
        if self.view.processes:
            self._apply_view(PeerView())

    def _failed(self, error: OSError) -> None:
        core = self._dispatcher
        core.counters["reads of other processes failed"] += 1
        if not self._failing:
            self._failing = True
            core.log.error("records of another process cannot be read", fault=str(error))
        core.record_keeping.hold_sends()

    def _apply_view(self, view: PeerView) -> None:
        core = self._dispatcher
        if view.processes != self.view.processes:
            core.log.info("other processes", count=view.processes, owed=len(view.accepted_at))
            core.guard(core.on_process_count, 1 + view.processes)
        self.view = view
        core.call_policy(core.policy.update_peer_load, view.to_peer_load())
        core.binding_records.apply(view)

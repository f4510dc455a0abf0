"""Ports that are named before a process listens on them."""

from __future__ import annotations

import socket

from laureldock.rehearsal.ports import first_ephemeral_port, free_port


def test_a_free_port_is_not_taken_by_outgoing_connections() -> None:
    """A port of their range was taken between its choice and the start of a process, which then ended."""
    drawn = {free_port() for _ in range(20)}
    assert len(drawn) > 10 and max(drawn) < first_ephemeral_port()
    address = "127.0.0.1", free_port()
    with socket.create_server(address), socket.create_connection(address) as client:
        assert client.getsockname()[1] >= first_ephemeral_port()

"""The connections to one route, and which of them carries the next call."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from laureldock.delivery_connections import ConnectionReuse, ExtraBytes, RestTimes, choose_connection
from laureldock.interface import ListedState, Route
from laureldock.sockets.http_client import HttpConnection


@dataclass(frozen=True, slots=True)
class IdleConnection:
    """A connection that was idle, taken for a call."""

    connection: HttpConnection
    idle_since: float


class ConnectionPool:
    """The connections to one route.

    `all_idle` holds the idle connections of all routes with their pools, the longest idle first.
    `on_extra_bytes` is called when bytes that answer no call arrived on a connection.
    """

    def __init__(
        self,
        route: Route,
        address: str,
        now: Callable[[], float],
        all_idle: dict[HttpConnection, ConnectionPool],
        rest_times: RestTimes,
        on_extra_bytes: Callable[[str, ExtraBytes], None],
    ) -> None:
        self.route, self.address, self.now, self.all_idle = route, address, now, all_idle
        self.reuse = ConnectionReuse(rest_times)
        self.on_extra_bytes = on_extra_bytes
        self.idle: list[
            tuple[float, HttpConnection]
        ] = []  # each with when it became idle, longest idle first

    def adopt(self, connection: HttpConnection) -> None:
        """Take responsibility for a new connection to the route."""
        connection.on_idle, connection.on_extra_bytes = self.response_ended, self.extra_bytes_received

    def close_idle(self, idle_for: float = 0.0) -> None:
        """Close the connections that have been idle for at least this many seconds."""
        while self.idle and self.idle[0][0] <= self.now() - idle_for:
            self.close_oldest()

    def close_oldest(self) -> None:
        _, connection = self.idle.pop(0)
        del self.all_idle[connection]
        connection.discard()

    def take(self, max_idle_time: float, time_limit: float) -> IdleConnection | None:
        """Remove and return the connection for the next call; None if a new one is to be opened.

        It may have to rest until its `ready_at`, within `time_limit` seconds. Connections on which something
        is unread are closed: it would be read as the response to the next call. So are those that have been
        idle for over `max_idle_time` seconds.
        """
        while (index := choose_connection(self.idle, self.now(), max_idle_time, time_limit)) is not None:
            since, connection = self.idle.pop(index)
            del self.all_idle[connection]
            if not connection.discard_if_unread():
                return IdleConnection(connection, since)
        self.close_idle(max_idle_time)
        return None

    def response_ended(self, connection: HttpConnection) -> None:
        """The call of a connection has its response: take the connection back, or close it."""
        connection.ready_at = self.reuse.ready_at(self.now())
        self.release(connection)

    def release(self, connection: HttpConnection) -> None:
        """Take back a connection that carries no call; close it if it cannot carry another one.

        It cannot if its route drains or is gone, or has moved to another address since it was opened.
        """
        usable = self.route.listed_state is ListedState.UP and connection.address == self.address
        if usable and connection.ready_at < inf:
            self.idle.append((self.now(), connection))
            self.all_idle[connection] = self
        else:
            connection.discard()

    def extra_bytes_received(self, connection: HttpConnection, data: bytes) -> None:
        kind = self.reuse.extra_bytes_received(self.now(), data, connection.history)
        self.on_extra_bytes(self.route.name, kind)

    def connection_closed(self, connection: HttpConnection) -> None:
        if self.all_idle.pop(connection, None):
            self.idle = [(since, other) for since, other in self.idle if other is not connection]

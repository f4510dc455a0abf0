"""Every way in which a connection, and what is out on it, can end; and what the decisions hear of it."""

from __future__ import annotations

from enum import Enum

from laureldock.interface import AttemptResult


class End(Enum):
    DELIVERED = "200"
    TOO_LATE = "200, after the mail's lifetime"
    FAULT = "500"
    TOLD_TO_WAIT = "429"
    TURNED_AWAY = "503"
    NO_SLOT = "503, all slots taken"
    SPENT = "504, no connect left"
    OVER = "410, the mail is over"
    STRANGE = "another status"
    GARBLED = "an answer that cannot be read"
    UNREACHED = "no connection, or broken before the last byte was written"
    BROKEN = "broken after that"
    SILENT = "no answer in time"
    CALLED_OFF = "called off"
    HELD_BACK = "not begun: it may not begin any more"


# What each means to the decisions, and whether the mail is over by it.
OUTCOMES: dict[End, tuple[AttemptResult, bool]] = {
    End.DELIVERED: (AttemptResult.SERVED, True),
    End.TOO_LATE: (
        AttemptResult.SERVED,
        False,
    ),  # it ran, and its client no longer counts it: an end is still owed
    End.FAULT: (AttemptResult.ERROR, False),
    End.TOLD_TO_WAIT: (AttemptResult.REFUSED, False),
    End.TURNED_AWAY: (AttemptResult.REFUSED, False),
    End.NO_SLOT: (AttemptResult.MOOT, False),
    End.SPENT: (AttemptResult.MOOT, False),
    End.OVER: (AttemptResult.MOOT, True),
    End.STRANGE: (AttemptResult.ERROR, False),
    End.GARBLED: (AttemptResult.ERROR, False),
    End.UNREACHED: (AttemptResult.NO_CONNECTION, False),
    End.BROKEN: (AttemptResult.RESET, False),
    End.SILENT: (AttemptResult.TIMEOUT, False),
    End.CALLED_OFF: (AttemptResult.CANCELLED, False),
    End.HELD_BACK: (AttemptResult.MOOT, False),
}
STATUSES = {
    200: End.DELIVERED,
    410: End.OVER,
    429: End.TOLD_TO_WAIT,
    500: End.FAULT,
    503: End.TURNED_AWAY,
    504: End.SPENT,
}

"""How a call to a receiver can end, and what each of these ends means to the delivery policy."""

from __future__ import annotations

from enum import Enum

from laureldock.interface import AttemptResult


class CallResult(Enum):
    """How a call ended. The values are names of counters and of log fields."""

    DELIVERED = "200"
    DELIVERED_LATE = "200, after the mail's lifetime"
    SERVER_ERROR = "500"
    WAIT_REQUESTED = "429"
    REFUSED = "503"
    NO_SLOT = "503, all slots taken"
    ATTEMPTS_EXHAUSTED = "504, no connect left"
    MESSAGE_FINISHED = "410, the mail is over"
    UNEXPECTED_STATUS = "another status"
    MALFORMED_RESPONSE = "an answer that cannot be read"
    NOT_CONNECTED = "no connection, or broken before the last byte was written"
    CONNECTION_LOST = "broken after that"
    TIMED_OUT = "no answer in time"
    CANCELLED = "called off"
    NOT_STARTED = "not begun: it may not begin any more"


# The attempt result that the delivery policy is given for each, and whether the message is finished by it.
ATTEMPT_RESULTS: dict[CallResult, tuple[AttemptResult, bool]] = {
    CallResult.DELIVERED: (AttemptResult.SERVED, True),
    # The message ran, but too late for its client to count it: it still needs a final outcome.
    CallResult.DELIVERED_LATE: (AttemptResult.SERVED, False),
    CallResult.SERVER_ERROR: (AttemptResult.ERROR, False),
    CallResult.WAIT_REQUESTED: (AttemptResult.REFUSED, False),
    CallResult.REFUSED: (AttemptResult.REFUSED, False),
    CallResult.NO_SLOT: (AttemptResult.MOOT, False),
    CallResult.ATTEMPTS_EXHAUSTED: (AttemptResult.MOOT, False),
    CallResult.MESSAGE_FINISHED: (AttemptResult.MOOT, True),
    CallResult.UNEXPECTED_STATUS: (AttemptResult.ERROR, False),
    CallResult.MALFORMED_RESPONSE: (AttemptResult.ERROR, False),
    CallResult.NOT_CONNECTED: (AttemptResult.NO_CONNECTION, False),
    CallResult.CONNECTION_LOST: (AttemptResult.RESET, False),
    CallResult.TIMED_OUT: (AttemptResult.TIMEOUT, False),
    CallResult.CANCELLED: (AttemptResult.CANCELLED, False),
    CallResult.NOT_STARTED: (AttemptResult.MOOT, False),
}
# By status of the HTTP response.
RESULTS_BY_STATUS = {
    200: CallResult.DELIVERED,
    410: CallResult.MESSAGE_FINISHED,
    429: CallResult.WAIT_REQUESTED,
    500: CallResult.SERVER_ERROR,
    503: CallResult.REFUSED,
    504: CallResult.ATTEMPTS_EXHAUSTED,
}

"""Between the delivery policy and the adapters: events in, effects out, through typed protocols."""

MAX_BODY_BYTES = 65536  # of a message, the same for every front

"""Between the decisions and their peers: events in, effects out, through small typed seams."""

MAX_BODY_BYTES = 65536  # bytes in a mail, by every protocol in front of it

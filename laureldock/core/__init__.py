"""Between the decisions and their peers: events in, effects out, through small typed seams."""

MOST_BODY = 65536  # bytes in a mail, by every protocol in front of it

"""The dispatcher on sockets: a file for each peer, and what they share. Decides nothing."""

MOST_BODY = 65536  # bytes in a mail or an answer, by the protocol

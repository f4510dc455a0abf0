"""The dispatcher on sockets: a file for each peer, and what they share. Decides nothing."""

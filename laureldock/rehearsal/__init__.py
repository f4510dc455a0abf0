"""A rehearsal on loopback: stand-in receivers that fail by a script, clients, and an account of the rules."""

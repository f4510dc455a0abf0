"""Membership of a fleet of dispatchers: a SWIM-style protocol without a leader or consensus.

`MembershipView` in `view.py` composes the parts of the protocol, which do no I/O; `transport.py` sends and
receives datagrams and streams. Nothing here is imported unless the configuration has `[fleet]`.
"""

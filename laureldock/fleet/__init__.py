"""The fleet as its dispatchers see it: who is there, kept by themselves, without leader or consensus.

`MembershipView` in `view.py` composes the parts of the protocol, which do no I/O; `transport.py` carries
datagrams and streams. Nothing here is imported unless the configuration has `[fleet]`.
"""

"""The fleet as its dispatchers see it: who is there, kept by themselves, without leader or consensus.

`view.py` decides and does no I/O; `transport.py` carries its datagrams and streams. Nothing here is imported
unless the configuration has `[fleet]`.
"""

"""Scale run: hollow and real dispatchers and a controller on loopback, with simulated network delays.

A hollow dispatcher (also: hollow member) runs the production membership protocol and the production client of
the controller's configuration stream over real sockets, without the rest of a dispatcher: it accepts no
messages and has no spool, so that many of them fit in one process. `runner.py` plays the phases that
`script.py` defines.
"""

"""The scale run: hollow dispatchers, real ones and the control machines on loopback, with modelled delays.

A hollow dispatcher runs the real view and the real following of the configuration over real sockets; it takes
no mails and keeps no spool, so that many fit in one process. `runner.py` plays the scripts of `script.py`.
"""

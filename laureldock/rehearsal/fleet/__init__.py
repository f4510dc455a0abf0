"""The rig: a fleet of real dispatchers on loopback, relays that cut and spoil what passes, scripts.

The same scripts drive the processes (`processes.py`) and the model on one clock (`simulated.py`).
"""

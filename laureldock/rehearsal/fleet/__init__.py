"""Rehearsals of a fleet: real dispatchers on loopback, relays that cut and impair links, and fault scripts.

The same scripts drive processes (`processes.py`) and the simulation on one clock (`simulated.py`).
"""

"""Test runs on loopback: real dispatcher processes, stub receivers with faults, clients, and rule checks."""

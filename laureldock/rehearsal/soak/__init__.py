"""The soak: real processes on loopback under overlapping random faults, and the rules checked throughout."""

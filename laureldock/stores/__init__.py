"""Stores: keep pending messages beyond the end of the process."""

"""Stores: what is owed outlives the process."""

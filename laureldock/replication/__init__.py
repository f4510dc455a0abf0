"""Replication of the configuration as versioned changes from a controller to its dispatchers."""

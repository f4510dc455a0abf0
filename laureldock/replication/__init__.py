"""Configuration as versioned changes: what a controller and its dispatchers exchange and keep on disk."""

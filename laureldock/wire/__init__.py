"""Protocol parsers without I/O: they take bytes and return requests or responses."""

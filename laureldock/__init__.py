"""laureldock, a dispatcher of notifications to external receivers."""

__version__ = "0.2.0"

"""laureldock: a dispatcher of notifications to outside receivers."""

__version__ = "0.2.0"

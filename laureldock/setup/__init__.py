"""Reads the operators' or the platform's configuration and validates it into one plan."""

"""Carriers: how attempts are sent to receivers."""

"""Fronts: they listen for clients, which submit messages."""

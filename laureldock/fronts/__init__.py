"""Fronts: where mails are handed in."""

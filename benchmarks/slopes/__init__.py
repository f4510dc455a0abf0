"""Slopes: what one destination, owed mail, member or change more costs. Results are kept here as JSON."""

"""Slopes: the cost of one more destination, pending message, member or change. Results are saved as JSON."""

"""Outlets: where notices of messages that ended undelivered are sent."""

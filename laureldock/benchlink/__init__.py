"""The bench's wire in front of the decisions. Decides nothing."""

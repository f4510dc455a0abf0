"""The adapter of the decisions to the simulator: JSON lines on pipes. Decides nothing."""

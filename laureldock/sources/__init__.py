"""Sources: where the list of receivers comes from."""

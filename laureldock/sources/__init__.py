"""Sources: where the endpoint list comes from."""

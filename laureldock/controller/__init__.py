"""The controller: accepts changes of the configuration and distributes them to the dispatchers."""

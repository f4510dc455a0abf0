"""The controller: it accepts changes of the configuration and carries them to the dispatchers."""

"""The soak: many real processes on loopback, troubles that overlap, and rules that are held all the while."""

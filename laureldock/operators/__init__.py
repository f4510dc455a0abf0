"""The HTTP interface for operators: readiness, metrics and lameduck."""

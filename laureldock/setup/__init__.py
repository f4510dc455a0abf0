"""From what operators write, or the platform tells, to one checked plan. Nothing here decides."""

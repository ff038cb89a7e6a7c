"""The `tanager-state` program: one member of the replicated state store."""

"""The program tanager-state."""

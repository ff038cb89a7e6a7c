"""The program tanager-entry."""

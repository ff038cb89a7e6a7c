"""The program tanager-control."""

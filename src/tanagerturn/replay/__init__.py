"""The program tanager-replay."""

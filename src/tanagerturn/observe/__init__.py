"""Logs, state dumps and the operations listener of a process."""

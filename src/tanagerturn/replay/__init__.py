"""Recorded traces, their replay, checks of outcomes and reports."""

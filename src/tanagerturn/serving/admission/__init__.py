"""Admission control: which requests start, wait or are refused."""

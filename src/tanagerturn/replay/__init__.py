"""Trace files, their replay against a deployment, outcome checks and reports."""

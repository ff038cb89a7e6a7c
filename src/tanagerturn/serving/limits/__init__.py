"""Limits of client accounts on entry hosts and over many gateways."""

"""Limits of client accounts: shares on entry hosts, and limits over many gateways."""

"""Retries: budget, backoff, hedging and ejection of failing backend servers."""

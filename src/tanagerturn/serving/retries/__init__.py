"""Retries: which failures may be retried, budgets, backoff and hedging."""

"""Retries: which failures are retryable, budgets, backoff and hedging."""

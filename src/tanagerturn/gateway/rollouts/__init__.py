"""Rollouts at a gateway: orders, permissions, evidence and the lease holder."""

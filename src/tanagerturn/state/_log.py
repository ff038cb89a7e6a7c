"""Logger of `tanager-state`."""

from __future__ import annotations

from loguru import logger

log = logger.bind(part="state")
"""Logger whose records carry `part="state"`."""

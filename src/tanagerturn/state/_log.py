"""The logger of tanager-state."""

from __future__ import annotations

from loguru import logger

log = logger.bind(part="state")
"""Logger with the part's prefix."""

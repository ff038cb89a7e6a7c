"""Store keys by which entry processes register in the requests group."""

from __future__ import annotations

from typing import Final

ENTRY_KEY_PREFIX: Final = "entry/"
"""Prefix of the store key of each live entry process; the process name follows."""

"""Keys by which entry processes tell of themselves in the requests group."""

from __future__ import annotations

from typing import Final

HOST_PREFIX: Final = "entry/"
"""Before the name of each live entry process."""

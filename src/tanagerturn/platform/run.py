"""Starts a gateway from a folder that is not on Python's path."""

from __future__ import annotations

import sys
from pathlib import Path

# The folder of this file would hide Python's own `platform` and `requests`.
sys.path[0] = str(Path(__file__).resolve().parents[2])

from tanagerturn.platform.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())

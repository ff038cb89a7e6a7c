"""Starts a gateway from a folder that is not on Python's path."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

# SIGHUP would end the process until the event loop handles it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# The folder of this file would hide Python's own `platform` and `requests`.
sys.path[0] = str(Path(__file__).resolve().parents[2])

from tanagerturn.platform.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())

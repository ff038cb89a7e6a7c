"""Starts a gateway from a source folder that is not on Python's path."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

# By default SIGHUP ends the process; ignore it until the event loop handles it.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# Python puts the folder of this file first on its path, where `requests.py` would
# shadow the installed package of that name. Put the source root there instead.
sys.path[0] = str(Path(__file__).resolve().parents[2])

from tanagerturn.platform.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())

"""Runs one state member for the benchmarks until its standard input is closed.

Prints the member's address first, then its dump as one JSON line for each input line.

usage: python bench/state_member.py SETTINGS_FILE (a serialized ProcessSettings)
"""

from __future__ import annotations

import sys
from pathlib import Path

import orjson
from loguru import logger

from tanagerturn.program import shorten_switch_interval
from tanagerturn.schema import settings_pb2
from tanagerturn.state.server import start_state


def main() -> None:
    """Start the member, print its address, and serve dumps until the input ends."""
    shorten_switch_interval()
    logger.remove()
    logger.add(sys.stderr, level="WARNING")
    data = Path(sys.argv[1]).read_bytes()
    server = start_state(settings_pb2.ProcessSettings.FromString(data))
    print(server.address, flush=True)
    for _ in sys.stdin:
        print(orjson.dumps(server.dump()).decode(), flush=True)
    server.stop(grace_s=1.0)


if __name__ == "__main__":
    main()

"""Measures ordinary requests while a crowd sends bodies in tiny chunks to a gateway.

Three gateways start as processes. For each size of the crowd, printed are: how many of
the ordinary requests at the loaded gateway were answered with 200 within their time
budget, the median and the longest time, the peak memory, and how long the gateway took
to stop after SIGTERM while the crowd went on. The last line is an honest upload of 1 MB
in calm: the processor time that it costs the gateway.

    PYTHONPATH=src:tests python bench/body_crowds.py --callers 300 --callers 600
"""

from __future__ import annotations

import os
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

import click
import urllib3

from support import chunk_crowd
from support.caller_crowds import CrowdWorld, head
from support.gateway_programs import CALLERS_PORT
from support.gateway_world import HOST
from support.process_load import MIB

BUDGET_S: Final = 1.5
"""Time budget of an ordinary request."""

BEGIN_S: Final = 3.0
"""Time from the start of a crowd to the first ordinary request."""

REQUEST_COUNT: Final = 40
PAUSE_S: Final = 0.2
MAX_FDS: Final = 4_100
MEMORY_MB: Final = 600

UPLOAD_BYTES: Final = MIB
UPLOAD_COUNT: Final = 200


def ask(world: CrowdWorld) -> float | None:
    """Return the time in seconds of an ordinary request; None without a 200 in time."""
    url = f"http://{world.gateway.ip}:{CALLERS_PORT}/look/ordinary"
    headers = {
        "Host": HOST,
        "X-Request-Id": f"r{os.urandom(6).hex()}",
        "X-Deadline-Ms": str(int(BUDGET_S * 1000)),
        "Connection": "close",
    }
    began_s = time.monotonic()
    try:
        answer = world.http.request(
            "POST", url, body=b"word", headers=headers, timeout=BUDGET_S
        )
    except urllib3.exceptions.HTTPError:
        return None
    return time.monotonic() - began_s if answer.status == 200 else None


def measure(callers: int, chunk_bytes: int) -> str:
    """Return a line with the figures of one crowd."""
    with tempfile.TemporaryDirectory() as folder:
        world = CrowdWorld(Path(folder), MEMORY_MB, MAX_FDS)
        world.start()
        address = f"{world.gateway.ip}:{CALLERS_PORT}"
        arguments = map(str, (address, callers, chunk_bytes))
        crowd = subprocess.Popen([sys.executable, chunk_crowd.__file__, *arguments])
        try:
            time.sleep(BEGIN_S)
            times_s = []
            for _ in range(REQUEST_COUNT):
                times_s.append(ask(world))
                time.sleep(PAUSE_S)
            peak_mb = world.loaded.memory("VmHWM") / MIB
            began_s = time.monotonic()
            world.gateway.signal(signal.SIGTERM)
            world.gateway.popen.wait()
            stop_s = time.monotonic() - began_s
        finally:
            crowd.kill()
            crowd.wait()
            world.close()
    served = [each for each in times_s if each is not None]
    middle_ms = statistics.median(served) * 1000 if served else 0
    longest_ms = max(served, default=0) * 1000
    return (
        f"{callers:7} {len(served):3} of {REQUEST_COUNT} {middle_ms:10.0f}"
        f" {longest_ms:11.0f} {peak_mb:8.0f} {stop_s:7.1f}"
    )


def measure_uploads(chunk_bytes: int) -> str:
    """Return a line with the processor time of honest uploads."""
    part = chunk_crowd.make_chunks(chunk_bytes, UPLOAD_BYTES)
    request = head("/look/tiny", "Transfer-Encoding: chunked", "Connection: close")
    with tempfile.TemporaryDirectory() as folder:
        world = CrowdWorld(Path(folder), MEMORY_MB, MAX_FDS)
        world.start()
        try:
            before_s = world.loaded.processor_s()
            for _ in range(UPLOAD_COUNT):
                world.send(request + part + b"0\r\n\r\n")
            used_s = world.loaded.processor_s() - before_s
        finally:
            world.close()
    each_ms = used_s / UPLOAD_COUNT * 1000
    return f"upload of 1 MB in chunks of {chunk_bytes} bytes: {each_ms:.1f} ms"


@click.command()
@click.option("--callers", type=int, multiple=True, default=(150, 300, 600, 1200))
@click.option("--chunk", default=1, help="Size of a chunk in bytes.")
@click.option("--upload-chunk", type=int, multiple=True, default=(40, 65_536))
def main(callers: tuple[int, ...], chunk: int, upload_chunk: tuple[int, ...]) -> None:
    """Print the figures of each crowd and of uploads."""
    click.echo("callers    answered  median ms  longest ms  peak MB  stop s")
    for count in callers:
        click.echo(measure(count, chunk))
    for chunk_bytes in upload_chunk:
        click.echo(measure_uploads(chunk_bytes))


if __name__ == "__main__":
    main()

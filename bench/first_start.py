"""Measures first starts during which one host with a disk is lost.

Four gateways with a disk and two without start as processes. One with a disk is killed
or frozen at a time on a grid. Printed is, for each kind of trouble and each host, the
time from the trouble until a manifest that was sent after it is confirmed at one of the
other gateways with a disk: the median, the longest, and how many never were.

    PYTHONPATH=src:tests python bench/first_start.py --until 3 --jobs 4
"""

from __future__ import annotations

import shutil
import signal
import statistics
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from enum import Enum
from pathlib import Path
from typing import Final

import click
import orjson
import urllib3

from support.gateway_programs import CONTROL_PORT, GatewayProgram, make_programs
from support.gateway_world import manifest

STEP_S: Final = 0.25
GIVE_UP_S: Final = 15.0
FROZEN_S: Final = 5.0
DOWN_S: Final = 1.0
HOST_COUNT: Final = 4


class Trouble(Enum):
    """What happens to a host."""

    NONE = "none"
    KILLED = "killed for good"
    RESTARTED = "killed, back after 1 s, first start"
    RESTARTED_LATER = "killed, back after 1 s, later start"
    FROZEN = "frozen for 5 s"


class Start:
    """One first start.

    Args:
        trouble: What happens.
        number: Index of the host to which it happens.
        at_s: Time after the start at which it happens, in seconds.
        source: Import path of the measured build; None for this one.
    """

    def __init__(
        self, trouble: Trouble, number: int, at_s: float, source: Path | None
    ) -> None:
        self.trouble = trouble
        self.number = number
        self.at_s = at_s
        self.source = source
        self.http = urllib3.PoolManager(retries=False)
        self.version = 0

    def run(self) -> float | None:
        """Return the time in seconds until a confirmation; None if there was none."""
        folder = Path(tempfile.mkdtemp())
        programs = make_programs(folder, HOST_COUNT, 2)
        try:
            return self._run(programs)
        finally:
            for program in programs:
                program.kill()
            shutil.rmtree(folder, ignore_errors=True)

    def _run(self, programs: list[GatewayProgram]) -> float | None:
        for program in programs:
            if self.source is not None:
                program.source = self.source
                program.script = self.source / "tanagerturn/platform/run.py"
            program.start()
        began_s = time.monotonic()
        time.sleep(self.at_s)
        disturbed = programs[self.number]
        back_s = self._disturb(disturbed)
        troubled_s = time.monotonic()
        others = [p for p in programs[:HOST_COUNT] if p is not disturbed]
        while time.monotonic() - troubled_s < GIVE_UP_S:
            if back_s is not None and time.monotonic() - troubled_s >= back_s:
                self._end(disturbed)
                back_s = None
            if self._is_confirmed(others[self.version % len(others)]):
                since_s = began_s if self.trouble is Trouble.NONE else troubled_s
                return time.monotonic() - since_s
            time.sleep(0.05)
        return None

    def _disturb(self, program: GatewayProgram) -> float | None:
        """Begin the trouble; return its length in seconds, None if it never ends."""
        if self.trouble is Trouble.NONE:
            return None
        if self.trouble is Trouble.FROZEN:
            program.signal(signal.SIGSTOP)
            return FROZEN_S
        program.kill()
        return None if self.trouble is Trouble.KILLED else DOWN_S

    def _end(self, program: GatewayProgram) -> None:
        if self.trouble is Trouble.FROZEN:
            program.signal(signal.SIGCONT)
        else:
            program.start(is_first_start=self.trouble is Trouble.RESTARTED)

    def _is_confirmed(self, program: GatewayProgram) -> bool:
        self.version += 1
        body = orjson.dumps(manifest(version=self.version))
        url = f"http://{program.ip}:{CONTROL_PORT}/v1/config"
        try:
            return self.http.request("PUT", url, body=body, timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False


def describe(times_s: list[float | None]) -> str:
    """Return the median and longest time, and the number of missing confirmations."""
    confirmed = [each for each in times_s if each is not None]
    missing = len(times_s) - len(confirmed)
    if not confirmed:
        return f"never, of {missing}"
    median_s = statistics.median(confirmed)
    return f"{median_s:.1f}, {max(confirmed):.1f}, {missing} of {len(times_s)} never"


@click.command()
@click.option("--until", default=3.0, help="Last time of the grid in seconds.")
@click.option("--jobs", default=4, help="Number of first starts at a time.")
@click.option("--source", type=click.Path(path_type=Path), help="Build to measure.")
def main(until: float, jobs: int, source: Path | None) -> None:
    """Measure all kinds of trouble on the grid."""
    grid_s = [n * STEP_S for n in range(int(until / STEP_S) + 1)]
    with ThreadPoolExecutor(jobs) as pool:
        for trouble in Trouble:
            for number in range(1 if trouble is Trouble.NONE else HOST_COUNT):
                starts = [Start(trouble, number, at_s, source) for at_s in grid_s]
                if trouble is Trouble.NONE:
                    starts = [Start(trouble, number, 0.0, source) for _ in range(8)]
                times_s = list(pool.map(Start.run, starts))
                click.echo(f"{trouble.value}, host {number + 1}: {describe(times_s)}")


if __name__ == "__main__":
    main()

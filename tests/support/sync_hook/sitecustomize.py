"""Imported by Python at the start of a child process, see `support.host_disks`."""

import runpy
from pathlib import Path

# The import path of the child process may be that of an earlier build without tests.
module = runpy.run_path(str(Path(__file__).parents[1] / "host_disks.py"))
module["simulate_syncs_of_environment"]()

"""Builds the system at the repository root: installed packages, sources, byte code.

Packages contain machine code, so those that another kind of processor or another Python
has installed are replaced.
"""

from __future__ import annotations

import compileall
import hashlib
import platform
import shutil
import subprocess
import sys
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).resolve().parents[1]
"""The repository."""

REQUIREMENTS: Final = ROOT / "deploy" / "requirements.txt"
"""Packages that the processes need, with their versions."""

STAMP_NAME: Final = "built-for"
"""Name of the file in the folder of packages that states what they were built for."""


def make_stamp(requirements: bytes, machine: str, python: str) -> str:
    """Return what installed packages depend on.

    Args:
        requirements: Contents of the requirements file.
        machine: Kind of processor, as `platform.machine` returns it.
        python: Implementation and version of Python, as in names of byte code files.
    """
    return f"{machine} {python} {hashlib.sha256(requirements).hexdigest()}\n"


def is_current(packages: Path, stamp: str) -> bool:
    """Return whether a folder holds packages that were installed for a stamp."""
    try:
        return (packages / STAMP_NAME).read_text(encoding="utf-8") == stamp
    except (OSError, UnicodeDecodeError):
        return False


def install(packages: Path, stamp: str) -> None:
    """Install the packages in an empty folder and stamp it last.

    Raises:
        subprocess.CalledProcessError: A package can't be installed.
    """
    shutil.rmtree(packages, ignore_errors=True)
    command = [sys.executable, "-m", "pip", "install", "--quiet"]
    command += ["--target", str(packages), "-r", str(REQUIREMENTS)]
    subprocess.run(command, check=True)
    compileall.compile_dir(packages, quiet=1)
    (packages / STAMP_NAME).write_text(stamp, encoding="utf-8")


def main() -> int:
    """Build the system.

    Returns:
        Exit code: 0 if everything was built.
    """
    target = ROOT / "target"
    stamp = make_stamp(
        REQUIREMENTS.read_bytes(),
        platform.machine(),
        sys.implementation.cache_tag or platform.python_version(),
    )
    packages = target / "deps"
    if not is_current(packages, stamp):
        try:
            install(packages, stamp)
        except subprocess.CalledProcessError as error:
            print(f"build: pip exited with status {error.returncode}", file=sys.stderr)
            return 1
    sources = target / "tanagerturn"
    shutil.rmtree(sources, ignore_errors=True)
    shutil.copytree(ROOT / "src" / "tanagerturn", sources / "tanagerturn")
    return 0 if compileall.compile_dir(sources, quiet=1) else 1


if __name__ == "__main__":
    sys.exit(main())

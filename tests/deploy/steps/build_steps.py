"""Steps of build.feature; nothing is installed."""

from __future__ import annotations

import importlib.util
import tempfile
from pathlib import Path

from behave import given, then, when

ROOT = Path(__file__).parents[3]

REQUIREMENTS = b"h11==0.16.0\n"


def load_build():
    spec = importlib.util.spec_from_file_location("build", ROOT / "deploy" / "build.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def stamp(requirements, machine, python):
    return load_build().make_stamp(requirements, machine, python)


@given("packages that were installed {how}")
def packages_installed(context, how):
    folder = tempfile.TemporaryDirectory()
    context.closers.append(folder.cleanup)
    context.packages = Path(folder.name) / "deps"
    if how == "nowhere":
        return
    context.packages.mkdir()
    (context.packages / "h11").mkdir()
    stamps = {
        "on arm64 with Python 3.11": (REQUIREMENTS, "aarch64", "cpython-311"),
        "on x86-64 with Python 3.11": (REQUIREMENTS, "x86_64", "cpython-311"),
        "on arm64 with Python 3.12": (REQUIREMENTS, "aarch64", "cpython-312"),
        "for other requirements": (b"h11==0.15.0\n", "aarch64", "cpython-311"),
    }
    name = load_build().STAMP_NAME
    if how in stamps:
        (context.packages / name).write_text(stamp(*stamps[how]), encoding="utf-8")
    elif how == "by a build that was cut short":
        (context.packages / name).write_bytes(b"\xff\x00")


@when("the system is built on arm64 with Python 3.11")
def built(context):
    expected = stamp(REQUIREMENTS, "aarch64", "cpython-311")
    context.is_current = load_build().is_current(context.packages, expected)


@then("the packages are {what}")
def packages_are(context, what):
    assert context.is_current == (what == "kept"), context.is_current


@then("the requirements of the deployment are pinned, and the lock file has the same")
def requirements_pinned(context):
    lines = (ROOT / "deploy" / "requirements.txt").read_text().split()
    locked = set((ROOT / "requirements.lock").read_text().lower().split())
    assert lines
    for line in lines:
        assert "==" in line, line
        assert line in locked, line

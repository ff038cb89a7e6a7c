"""Steps of crowds.feature."""

from __future__ import annotations

import shutil
import tempfile
from pathlib import Path

from behave import given, then, when

from support.caller_crowds import (
    BUDGET_MB,
    CROWDS,
    MAX_FDS,
    SINGLE_REQUEST_MB,
    CrowdWorld,
)
from support.entry_crowds import (
    BUDGET_BYTES,
    ENTRY_CROWDS,
    ENTRY_MAX_FDS,
    EntryCrowdWorld,
)
from support.process_load import MIB


@given("gateway processes on hosts with 128 MB and 256 descriptors")
def processes(context):
    folder = Path(tempfile.mkdtemp())
    context.closers.append(lambda: shutil.rmtree(folder, ignore_errors=True))
    context.world = CrowdWorld(folder)
    context.closers.append(context.world.close)
    context.world.start()
    context.log_paths += [program.log_path for program in context.world.programs]


@when("many callers at once send {what}")
def crowd_sends(context, what):
    context.world.loaded.load(CROWDS[what])


@when("one caller sends 4 MiB in chunks of 2 bytes")
def single_sends(context):
    context.single = context.world.send_single()


@then("the process runs within its memory and descriptors")
def within_bounds(context):
    context.world.loaded.check_bounds(BUDGET_MB * MIB, MAX_FDS)


@then("an ordinary request is answered")
def ordinary_answered(context):
    assert context.world.is_served(), getattr(context.world, "last_answer", None)


@then("the request is answered with at most 20 MB more")
def single_answered(context):
    loaded = context.world.loaded
    status, peak_bytes = context.single
    assert status == 200, status
    assert peak_bytes <= loaded.rest_bytes + SINGLE_REQUEST_MB * MIB, loaded.summary()


@given("an entry process with a service")
def entry_process(context):
    context.world = EntryCrowdWorld()
    context.closers.append(context.world.close)
    context.world.start()
    context.log_paths += context.world.cluster.log_paths


@when("many callers of the entry process at once send {what}")
def entry_crowd_sends(context, what):
    context.world.loaded.load(ENTRY_CROWDS[what])


@then("the entry process runs within its memory and descriptors")
def entry_within_bounds(context):
    context.world.loaded.check_bounds(BUDGET_BYTES, ENTRY_MAX_FDS)

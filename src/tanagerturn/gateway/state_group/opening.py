"""Opens the state group member of a gateway, whatever its disk holds."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from tanagerturn.clocks import wall_ms
from tanagerturn.coordination.ids import MemberId
from tanagerturn.coordination.storage.files import DamageError, DiskFiles
from tanagerturn.coordination.storage.folder import open_folder
from tanagerturn.gateway.logs import component_log
from tanagerturn.gateway.state_group.member import CLUSTER, StateMember

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from tanagerturn.gateway.links import Links
    from tanagerturn.gateway.settings import GatewaySettings
    from tanagerturn.schema import coordination_pb2 as pb

STATE_FOLDER: Final = "state"
DAMAGED_FOLDER: Final = "damaged"

log = component_log("member")


def open_member(
    settings: GatewaySettings,
    links: Links,
    loop: asyncio.AbstractEventLoop,
    on_batch: Callable[[pb.WatchBatch], None],
) -> StateMember:
    """Open the member of a gateway, moving damaged files aside.

    A damaged folder counts as a lost disk: the member joins under a new id and receives
    the state from the other members.

    Raises:
        StepError: The data folder can't be used now.
    """
    assert settings.data_folder is not None
    try:
        return _open(settings, links, loop, on_batch)
    except DamageError as error:
        folder = settings.data_folder / STATE_FOLDER
        damaged_folder = settings.data_folder / f"{DAMAGED_FOLDER}-{wall_ms()}"
        log.error("state_set_aside", reason=str(error), kept=str(damaged_folder))
        folder.rename(damaged_folder)
    # Whatever the member has voted at the first start is lost.
    settings = replace(settings, is_first_start=False)
    return _open(settings, links, loop, on_batch)


def _open(
    settings: GatewaySettings,
    links: Links,
    loop: asyncio.AbstractEventLoop,
    on_batch: Callable[[pb.WatchBatch], None],
) -> StateMember:
    assert settings.data_folder is not None
    files = DiskFiles(settings.data_folder / STATE_FOLDER)
    folder = open_folder(files, CLUSTER, MemberId(settings.host))
    try:
        return StateMember(settings, folder, links, loop, on_batch)
    except BaseException:
        # Another attempt needs the lock.
        folder.close()
        raise

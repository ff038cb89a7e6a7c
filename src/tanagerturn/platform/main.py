"""Entry point of `tanager-gateway`: runs one gateway on the hosting platform."""

from __future__ import annotations

import asyncio
import gc
import sys

from tanagerturn.clocks import to_ms
from tanagerturn.coordination.errors import StepError
from tanagerturn.gateway.gateway import run_gateway
from tanagerturn.gateway.logs import component_log, set_up_logs
from tanagerturn.platform.dialect import PlatformDialect
from tanagerturn.platform.settings import read_settings
from tanagerturn.shared.heap import set_up_heap


def main() -> int:
    """Run the gateway until a signal ends the process.

    Returns:
        Exit code: 0 after a graceful stop, 1 if the gateway could not start.
    """
    try:
        set_up_heap()
        settings = read_settings()
        set_up_logs(settings.host)
        # Imported modules live as long as the process; the garbage collector does
        # not scan frozen objects.
        gc.freeze()
        dialect = PlatformDialect(
            settings.heartbeat_ms,
            to_ms(settings.drain_s),
            has_rollouts=settings.rollouts is not None,
        )
        asyncio.run(run_gateway(settings, dialect, read_settings))
    except (StepError, OSError) as error:
        component_log("main").error("not_started", reason=str(error))
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Signal handling: SIGTERM and SIGINT shut down gracefully, SIGHUP reloads settings."""

import logging
import signal
from collections.abc import Callable

import trio

logger = logging.getLogger(__name__)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def ignore_early_reloads() -> None:
    """Ignore SIGHUP until the process can reload.

    Its default action ends the process. A process that has not read its settings yet
    will read the new ones anyway.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


async def watch_signals(
    reload: Callable[[str], None],
    stop: trio.Event,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Set ``stop`` on SIGTERM or SIGINT; call ``reload`` on each SIGHUP.

    It runs until the process exits: a signal during the graceful shutdown would
    otherwise have its default action and cut the requests that the shutdown waits for.
    """
    with trio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as signals:
        task_status.started()
        async for number in signals:
            name = signal.Signals(number).name
            if number in STOP_SIGNALS:
                logger.info("signal", extra={"signal": name, "again": stop.is_set()})
                stop.set()
            else:
                reload(name)

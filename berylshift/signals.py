"""Signals of the process: SIGTERM ends it gracefully, SIGHUP has settings read anew."""

import logging
import signal
from collections.abc import Callable

import trio

logger = logging.getLogger(__name__)

STOP = (signal.SIGTERM, signal.SIGINT)


def ignore_early_reloads() -> None:
    """Let SIGHUP pass until the process can reload.

    Its default action ends the process. One that has not read its settings yet is
    about to read the new ones.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


async def watch_signals(
    reload: Callable[[str], None],
    stop: trio.Event,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Set ``stop`` at the first signal to end; call ``reload`` at each SIGHUP.

    It runs until the process ends: a signal that came during the graceful shutdown
    would otherwise take its default action, and cut the requests that the shutdown
    waits for.
    """
    with trio.open_signal_receiver(*STOP, signal.SIGHUP) as signals:
        task_status.started()
        async for number in signals:
            name = signal.Signals(number).name
            if number in STOP:
                logger.info("signal", extra={"signal": name, "again": stop.is_set()})
                stop.set()
            else:
                reload(name)

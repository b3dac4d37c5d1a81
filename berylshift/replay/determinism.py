"""Makes a run on the virtual clock the same each time."""

import random

import trio._core._run as _trio_run


def fix_schedule(seed: int) -> None:
    """Have the loop run ready tasks in an order that follows from ``seed``.

    The loop shuffles ready tasks on purpose. Its own test support offers no public
    way to turn that off, so this sets the two names that its test plugin sets.
    """
    _trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _trio_run._r = random.Random(seed)

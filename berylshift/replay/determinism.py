"""Makes runs on the virtual clock reproducible."""

import random

import trio._core._run as _trio_run


def seed_scheduler(seed: int) -> None:
    """Make the event loop run ready tasks in an order determined by ``seed``.

    Trio shuffles ready tasks deliberately and has no public way to turn that off, so
    this sets the two private names that Trio's own test plugin sets.
    """
    _trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    _trio_run._r = random.Random(seed)

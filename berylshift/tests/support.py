"""Shared by the tests: table rows, tables, virtual time."""

import random
import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing
from hypothesis import HealthCheck, settings

from berylshift.ids import TableVersion
from berylshift.process.directory.replica_set import ReplicaSet
from berylshift.process.targets.limit_shares import LimitShare
from berylshift.process.targets.rate_limits import RateLimits
from berylshift.process.targets.throttle import Throttle
from berylshift.replay.determinism import seed_scheduler
from berylshift.version.rows import OrderCheck, Row, RowKind
from berylshift.version.table import Table

# Explores the same examples in each run, on any machine.
EXPLORE = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=50,
    deadline=None,
    database=None,
    print_blob=False,
    report_multiple_bugs=False,
    suppress_health_check=list(HealthCheck),
)
SEED = 1
MODEL = "match-note"
FLEET = "nestwatch"


def engine_row(name: str, **changes) -> Row:
    """Return the row of an engine."""
    number = int(name.rpartition("-")[2])
    values = {
        "serves": MODEL,
        "address": f"10.0.0.{number}:8000",
        "domain": f"domain-{number % 4 + 1}",
        "orders": OrderCheck.REFUSES,
    }
    return Row(RowKind.ENGINE, name, **{**values, **changes})


def service_row(name: str, serves: str = "booking", **changes) -> Row:
    """Return the row of a plain service's replica."""
    number = int(name.rpartition("-")[2])
    values = {
        "serves": serves,
        "address": f"10.0.1.{number}:8000",
        "domain": f"domain-{number % 4 + 1}",
    }
    return Row(RowKind.SERVICE, name, **{**values, **changes})


def route_row(name: str, fleet: str = FLEET, **changes) -> Row:
    """Return the row that routes a fleet's work to a target."""
    return Row(RowKind.ROUTE, name, fleet=fleet, **changes)


def engines_table(count: int, version: int = 1) -> Table:
    """Return a table of engines that one fleet may use."""
    rows = []
    for number in range(1, count + 1):
        rows += [engine_row(f"engine-{number}"), route_row(f"engine-{number}")]
    return Table(TableVersion(version), rows)


def no_limits(replicas: ReplicaSet | None = None) -> Throttle:
    """Return the throttle of a single host that has received no limits yet."""
    limits = RateLimits(lambda name, rate: LimitShare(1.0, True), random.Random(SEED))
    listed = ReplicaSet() if replicas is None else replicas
    return Throttle(limits, listed.instance_of)


def run_virtual(task: Callable[..., Awaitable], *args):
    """Run a task on a virtual clock that skips waits, with a deterministic schedule."""
    seed_scheduler(SEED)
    return trio.run(task, *args, clock=trio.testing.MockClock(autojump_threshold=0))


class VirtualTestCase(unittest.TestCase):
    """Test case with asynchronous code on a virtual clock."""

    def run_virtual(self, task: Callable[..., Awaitable], *args):
        """Run a task on a virtual clock and return its result."""
        return run_virtual(task, *args)

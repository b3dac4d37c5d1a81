"""Compares the routing policy with its baselines on traces, on a virtual clock."""

import logging
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from bench.report import print_rows
from berylshift.replay.policies import POLICIES
from berylshift.replay.trace import EventKind, Expect, Trace, TraceEvent
from berylshift.replay.virtual import replay_virtual
from berylshift.replay.virtual_fleet import DOMAINS, ENGINES, FleetSpec
from berylshift.replay.workloads import CONSORCIO, NESTWATCH, Mixture, Phase, make_trace
from berylshift.stand_ins.engine_costs import EngineCosts

BASE_MIX = Mixture(prompt=1500, output=120, plain_share=0.1)
PROMPT_HEAVY = Mixture(prompt=4500, output=60, plain_share=0.1)
OUTPUT_HEAVY = Mixture(prompt=500, output=280, plain_share=0.1)
BASE_PER_SECOND = 50.0
CAPACITY_PER_SECOND = 85.0
NO_EXPECTATIONS = Expect()


@dataclass(frozen=True)
class Case:
    """A trace and the fleet that it is replayed on."""

    trace: Trace
    spec: FleetSpec = field(default_factory=FleetSpec)


def cases() -> list[Case]:
    """Return the traces that the policies are compared on."""
    drains = [
        TraceEvent(25_000, EventKind.DRAIN, "engine-1"),
        TraceEvent(30_000, EventKind.DRAIN, "engine-2"),
    ]
    domain_lost = [
        TraceEvent(30_000, EventKind.KILL, f"engine-{number + 1}")
        for number in range(ENGINES)
        if number % DOMAINS == 0
    ]
    domain_lost += [TraceEvent(30_000, EventKind.KILL, f"host-{n}") for n in (4, 8)]
    swing = [
        Phase(20, 30.0, BASE_MIX),
        Phase(40, 30.0, PROMPT_HEAVY),
        Phase(30, 30.0, BASE_MIX),
    ]
    outputs = [
        Phase(20, BASE_PER_SECOND, BASE_MIX),
        Phase(40, 40.0, OUTPUT_HEAVY),
        Phase(30, BASE_PER_SECOND, BASE_MIX),
    ]
    drift = [Phase(3600, 7.0, PROMPT_HEAVY, OUTPUT_HEAVY)]
    small = FleetSpec(hosts=3, engines=4)
    late_reports = FleetSpec(cost=EngineCosts(report_lag=5.0))
    return [
        _case("steady", [Phase(60, BASE_PER_SECOND, BASE_MIX)]),
        _case("prompt-swing", swing),
        _case("output-swing", outputs),
        _case("drift-hour", drift, spec=small),
        _case("swing-with-drains", swing, drains),
        _case("swing-reports-5s-late", swing, spec=late_reports),
        _case("capacity", [Phase(60, CAPACITY_PER_SECOND, BASE_MIX)]),
        _case("overload-1.3", [Phase(60, 1.3 * CAPACITY_PER_SECOND, BASE_MIX)]),
        _case("domain-lost", [Phase(60, BASE_PER_SECOND, BASE_MIX)], domain_lost),
    ]


def _case(
    name: str,
    phases: list[Phase],
    events: list[TraceEvent] = (),
    spec: FleetSpec | None = None,
) -> Case:
    deployment = CONSORCIO if "prompt" in name else NESTWATCH
    trace = make_trace(name, deployment, phases, NO_EXPECTATIONS, list(events))
    return Case(trace, spec or FleetSpec())


def run_one(index: int, policy: str) -> dict:
    """Replay one case with one policy; return its row."""
    logging.disable(logging.CRITICAL)
    case = cases()[index]
    spec = FleetSpec(**{**case.spec.__dict__, "policy": policy})
    result = replay_virtual(case.trace, spec)
    return {
        "trace": result.trace,
        "policy": policy,
        "requests": result.requests,
        "goodput": result.goodput,
        "first_token_p95": result.first_token_p95,
        "role_changes": result.role_changes,
        "refused": result.not_run,
        "late": result.late,
        "unknown": result.unknown,
        "lost": result.lost,
        "doubled": result.doubled,
        "cut": result.cut,
    }


def main() -> None:
    """Print one row per trace and policy; ``BENCH_TRACES`` selects traces by name."""
    selected = os.environ.get("BENCH_TRACES", "")
    names = [case.trace.name for case in cases()]
    indexes = [
        i for i, name in enumerate(names) if not selected or name in selected.split(",")
    ]
    workers = max(1, min(8, os.cpu_count() or 1) - 1)
    with ProcessPoolExecutor(workers) as pool:
        jobs = [
            pool.submit(run_one, index, policy)
            for index in sorted(indexes, key=lambda i: "hour" not in names[i])
            for policy in POLICIES
        ]
        rows = [job.result() for job in jobs]
    order = {name: index for index, name in enumerate(names)}
    rows.sort(key=lambda row: order[row["trace"]])
    print_rows(rows)
    sys.stdout.flush()

"""The policy and its baselines over a set of traces, on the virtual clock."""

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

BASE = Mixture(prompt=1500, output=120, plain_share=0.1)
PROMPTS = Mixture(prompt=4500, output=60, plain_share=0.1)
OUTPUTS = Mixture(prompt=500, output=280, plain_share=0.1)
RATE = 50.0
CAPACITY_RATE = 85.0
NOTHING = Expect()


@dataclass(frozen=True)
class Case:
    """One trace and the fleet that it runs on."""

    trace: Trace
    spec: FleetSpec = field(default_factory=FleetSpec)


def cases() -> list[Case]:
    """Return the traces that the policies are compared on."""
    drains = [
        TraceEvent(25_000, EventKind.DRAIN, "engine-1"),
        TraceEvent(30_000, EventKind.DRAIN, "engine-2"),
    ]
    lost = [
        TraceEvent(30_000, EventKind.KILL, f"engine-{number + 1}")
        for number in range(ENGINES)
        if number % DOMAINS == 0
    ]
    lost += [TraceEvent(30_000, EventKind.KILL, f"host-{n}") for n in (4, 8)]
    swing = [Phase(20, 30.0, BASE), Phase(40, 30.0, PROMPTS), Phase(30, 30.0, BASE)]
    outputs = [Phase(20, RATE, BASE), Phase(40, 40.0, OUTPUTS), Phase(30, RATE, BASE)]
    drift = [Phase(3600, 7.0, PROMPTS, OUTPUTS)]
    small = FleetSpec(hosts=3, engines=4)
    slow = FleetSpec(cost=EngineCosts(report_lag=5.0))
    return [
        _case("steady", [Phase(60, RATE, BASE)]),
        _case("prompt-swing", swing),
        _case("output-swing", outputs),
        _case("drift-hour", drift, spec=small),
        _case("swing-with-drains", swing, drains),
        _case("swing-reports-5s-late", swing, spec=slow),
        _case("capacity", [Phase(60, CAPACITY_RATE, BASE)]),
        _case("overload-1.3", [Phase(60, 1.3 * CAPACITY_RATE, BASE)]),
        _case("domain-lost", [Phase(60, RATE, BASE)], lost),
    ]


def _case(
    name: str,
    phases: list[Phase],
    events: list[TraceEvent] = (),
    spec: FleetSpec | None = None,
) -> Case:
    deployment = CONSORCIO if "prompt" in name else NESTWATCH
    trace = make_trace(name, deployment, phases, NOTHING, list(events))
    return Case(trace, spec or FleetSpec())


def run_one(place: int, policy: str) -> dict:
    """Replay one case under one policy."""
    logging.disable(logging.CRITICAL)
    case = cases()[place]
    spec = FleetSpec(**{**case.spec.__dict__, "policy": policy})
    found = replay_virtual(case.trace, spec)
    return {
        "trace": found.trace,
        "policy": policy,
        "requests": found.requests,
        "goodput": found.goodput,
        "first_token_p95": found.first_token_p95,
        "role_changes": found.role_changes,
        "refused": found.not_run,
        "late": found.late,
        "unknown": found.unknown,
        "lost": found.lost,
        "doubled": found.doubled,
        "cut": found.cut,
    }


def main() -> None:
    """Print one row a trace and policy; ``BENCH_TRACES`` names some of them."""
    wanted = os.environ.get("BENCH_TRACES", "")
    names = [case.trace.name for case in cases()]
    places = [
        i for i, name in enumerate(names) if not wanted or name in wanted.split(",")
    ]
    workers = max(1, min(8, os.cpu_count() or 1) - 1)
    with ProcessPoolExecutor(workers) as pool:
        jobs = [
            pool.submit(run_one, place, policy)
            for place in sorted(places, key=lambda i: "hour" not in names[i])
            for policy in POLICIES
        ]
        rows = [job.result() for job in jobs]
    order = {name: place for place, name in enumerate(names)}
    rows.sort(key=lambda row: order[row["trace"]])
    print_rows(rows)
    sys.stdout.flush()

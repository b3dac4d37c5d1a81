"""Writes the recorded traces under ``traces/`` anew; each has a fixed seed."""

import sys
from pathlib import Path

from berylshift.replay.trace import (
    EventKind,
    Expect,
    Trace,
    TraceEvent,
    TraceHeader,
    write_trace,
)
from berylshift.replay.workloads import (
    CONSORCIO,
    NESTWATCH,
    Mixture,
    Phase,
    make_trace,
)

STRICT = Expect(lost=0, doubled=0, cut=0, goodput_min=0.95, role_changes_max=4)


def nestwatch() -> Trace:
    """Return Nestwatch's evening: long histories, then notes, then histories."""
    histories = Mixture(prompt=3000, output=60, plain_share=0.3)
    notes = Mixture(prompt=700, output=220, plain_share=0.3)
    phases = [
        Phase(40, 16, notes, histories),
        Phase(40, 16, histories, notes),
        Phase(40, 16, notes),
        Phase(40, 16, histories),
    ]
    events = [
        TraceEvent(30_000, EventKind.DRAIN, "engine-2"),
        TraceEvent(60_000, EventKind.KILL, "host-4"),
        TraceEvent(70_000, EventKind.RESUME, "host-4"),
        TraceEvent(80_000, EventKind.EDIT, "engine-2", column="state", value="active"),
        TraceEvent(100_000, EventKind.STORE_DOWN),
        TraceEvent(110_000, EventKind.STORE_UP),
    ]
    return make_trace("nestwatch-evening", NESTWATCH, phases, STRICT, events)


def consorcio() -> Trace:
    """Return the Consorcio's morning: spec sheets and quote drafts in turn."""
    sheets = Mixture(prompt=4500, output=80, plain_share=0.35)
    quotes = Mixture(prompt=600, output=260, plain_share=0.35)
    phases = [
        Phase(40, 14, quotes),
        Phase(40, 14, quotes, sheets),
        Phase(40, 14, sheets),
        Phase(40, 14, sheets, quotes),
    ]
    events = [
        TraceEvent(35_000, EventKind.KILL, "engine-5"),
        TraceEvent(55_000, EventKind.RESUME, "engine-5"),
        TraceEvent(70_000, EventKind.PAUSE, "host-6"),
        TraceEvent(78_000, EventKind.RESUME, "host-6"),
        TraceEvent(90_000, EventKind.DRAIN, "inventory-3"),
        TraceEvent(120_000, EventKind.CUT, "host-2", to="store"),
        TraceEvent(135_000, EventKind.HEAL, "host-2", to="store"),
    ]
    return make_trace("consorcio-morning", CONSORCIO, phases, STRICT, events)


def main() -> None:
    """Write all recorded traces."""
    directory = Path(sys.argv[1] if len(sys.argv) > 1 else "traces")
    for trace in (nestwatch(), consorcio()):
        items = [*trace.requests, *trace.events]
        path = directory / f"{trace.name}.jsonl"
        write_trace(path, TraceHeader(trace.name, trace.expect), items)
        sys.stdout.write(f"{path}: {len(items)} lines\n")


if __name__ == "__main__":
    main()

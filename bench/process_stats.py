"""Memory and CPU time of a process, from /proc."""

import os
from pathlib import Path

RESIDENT_LABEL = "VmRSS"
# Indexes of /proc/PID/stat fields after the command's closing parenthesis (proc(5)).
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12


def resident_kb(pid: int) -> int:
    """Return the resident memory in KB."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    return int(
        next(line for line in lines if line.startswith(RESIDENT_LABEL)).split()[1]
    )


def read_cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time used so far."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")

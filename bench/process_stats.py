"""What a process uses, as the kernel counts it."""

import os
from pathlib import Path

RESIDENT = "VmRSS"
# Fields of /proc/PID/stat behind the command's closing parenthesis (proc(5)).
USER_TICKS = 11
SYSTEM_TICKS = 12


def resident_kb(pid: int) -> int:
    """Return the resident memory in KB."""
    lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    return int(next(line for line in lines if line.startswith(RESIDENT)).split()[1])


def processor_seconds(pid: int) -> float:
    """Return the processor time used so far."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])
    return ticks / os.sysconf("SC_CLK_TCK")

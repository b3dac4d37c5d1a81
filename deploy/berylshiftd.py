"""Starts the daemon from a checkout, where the package is not installed."""

import signal
import sys
from pathlib import Path

# SIGHUP ends a process that does not take it. Loading the modules takes 0.15 s, and
# the settings that it announces are read after that.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from berylshift.daemon import main  # noqa: E402

if __name__ == "__main__":
    main()

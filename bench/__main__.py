"""Runs the named benchmarks, or all of them."""

import logging
import sys

from bench import (
    memory,
    micro,
    placement,
    policies,
    relay,
    startup,
    store_writes,
    table_propagation,
    unit_costs,
)

BENCHMARKS = {
    "store": store_writes.main,
    "in-force": table_propagation.main,
    "micro": micro.main,
    "slopes": unit_costs.main,
    "memory": memory.main,
    "placing": placement.main,
    "relay": relay.main,
    "policies": policies.main,
    "start": startup.main,
}


def main() -> int:
    """Run the benchmarks named on the command line; return the exit status."""
    logging.disable(logging.CRITICAL)
    names = sys.argv[1:] or list(BENCHMARKS)
    unknown = [name for name in names if name not in BENCHMARKS]
    if unknown:
        sys.stderr.write(f"unknown benchmark: {', '.join(unknown)}\n")
        return 2
    for name in names:
        sys.stdout.write(f"== {name}\n")
        BENCHMARKS[name]()
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())

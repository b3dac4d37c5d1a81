"""Runs the measurements that are named, or all."""

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

MEASUREMENTS = {
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
    """Run measurements by name."""
    logging.disable(logging.CRITICAL)
    names = sys.argv[1:] or list(MEASUREMENTS)
    unknown = [name for name in names if name not in MEASUREMENTS]
    if unknown:
        sys.stderr.write(f"no such measurement: {', '.join(unknown)}\n")
        return 2
    for name in names:
        sys.stdout.write(f"== {name}\n")
        MEASUREMENTS[name]()
        sys.stdout.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())

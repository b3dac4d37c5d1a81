"""Policies that a replay can run: the system's own and the baselines."""

import msgspec

from berylshift.settings import PolicySettings

POLICIES = {
    "berylshift": ("least-lateness", "hysteresis"),
    "round-robin": ("round-robin", "fixed"),
    "least-reported": ("least-reported", "fixed"),
    "fixed-roles": ("least-lateness", "fixed"),
    "threshold-roles": ("least-lateness", "threshold"),
}


def policy_settings(name: str, base: PolicySettings) -> PolicySettings:
    """Return ``base`` with the router and planner of the named policy."""
    router, planner = POLICIES[name]
    return msgspec.structs.replace(base, router=router, planner=planner)

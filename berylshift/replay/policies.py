"""The policies that a replay can run: ours and the baselines."""

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
    """Return the settings of a policy by name."""
    router, planner = POLICIES[name]
    return msgspec.structs.replace(base, router=router, planner=planner)

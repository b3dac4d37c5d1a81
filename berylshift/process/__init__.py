"""Process-wide state: load view, limits, membership, leases, orders.

Each package states whether it serves the native API, the routed API or both.
"""

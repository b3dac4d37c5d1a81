"""Process-wide state: load view, limits, membership, leases, orders."""

"""What lives for the process: load view, limits, membership, leases, orders."""

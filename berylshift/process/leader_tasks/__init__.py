"""Tasks that one host performs at a time: leases, and the phases of engines.

Serves the routed API.
"""

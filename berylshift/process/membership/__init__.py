"""Membership of hosts: which are live, their digests, and this host's readiness.

Serves the native API; ``gossip`` is its counterpart for the routed API.
"""

"""Membership of hosts: which are live, their digests, and this host's readiness."""

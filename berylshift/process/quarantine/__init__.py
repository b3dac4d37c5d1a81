"""Quarantine of requests that crash replicas."""

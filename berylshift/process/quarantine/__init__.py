"""Quarantine of requests that crash replicas.

Serves both the native and the routed API.
"""

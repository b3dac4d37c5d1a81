"""Paths to replicas: direct ones, and tunnels through other hosts."""

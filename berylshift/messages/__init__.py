"""Typed messages between the core and the adapters for external protocols."""

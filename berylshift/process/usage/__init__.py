"""Counts of started requests by customer and time window, and their reporting.

Serves the routed API.
"""

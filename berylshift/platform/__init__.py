"""Adapter to the platform: its names, formats and calls; it makes no decisions."""

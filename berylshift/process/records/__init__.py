"""Confirmation rows: deferred writes and removal of expired rows.

Serves the native API.
"""

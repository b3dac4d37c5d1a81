"""Immutable versions of the operators' table and of the routes."""

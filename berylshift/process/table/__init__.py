"""This process's copy of the operators' table, kept up to date.

Serves the native API.
"""

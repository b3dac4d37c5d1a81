"""Routes and replicas in force, and reading their feeds from the store.

Serves the routed API.
"""

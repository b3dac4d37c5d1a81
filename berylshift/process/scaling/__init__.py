"""Scaling: how many replicas of each kind a service gets per failure domain.

Serves the routed API.
"""

"""State of engines behind the native API: reports, health, costs, cached prefixes.

Serves the native API only; ``targets`` is its counterpart for the routed API.
"""

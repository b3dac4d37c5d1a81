"""Load gossip: the digests that hosts exchange, and the collectors that sum them up.

Serves the routed API; ``membership`` is its counterpart for the native API.
"""

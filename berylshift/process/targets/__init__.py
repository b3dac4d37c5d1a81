"""What a host knows of targets: load, speed, cached prefix blocks and durations.

Serves the routed API; ``engine_state`` is its counterpart for the native API, which
uses ``backoffs``, too.
"""

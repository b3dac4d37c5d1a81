"""Scheduling: which replica serves a request, in which order, and who is refused.

Its modules are decisions without I/O: they are handed state, events and the time, and
return typed results, so tests play them without a network.
"""

"""A simulation of the fleet: engines, traffic and hosts, on a virtual clock.

It runs the real placement code over simulated engines, so that a change can be tried on
many seeds within seconds. Its limits are described in docs/design/model.md.
"""

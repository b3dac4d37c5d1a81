"""A model of the fleet: engines, traffic and hosts, on a virtual clock.

It runs the real placement over modelled engines, so that an idea can be tried on many
seeds in seconds. What it leaves out is said in docs/design/model.md.
"""

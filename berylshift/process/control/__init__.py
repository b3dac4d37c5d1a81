"""Engines under the lease of a pool: roles, plans, orders and moves."""

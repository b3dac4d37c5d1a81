"""Control of a pool's engines by its lease holder: roles, plans, orders, moves.

Serves the native API.
"""

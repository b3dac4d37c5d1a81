"""Duties that one host has at a time: leases, and the orders given under them."""

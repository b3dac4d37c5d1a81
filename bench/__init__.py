"""Benchmarks: ``make bench`` runs all, ``python -m bench NAME ...`` the named ones."""

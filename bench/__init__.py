"""Measurements: ``make bench``, or ``python -m bench NAME ...`` for some of them."""

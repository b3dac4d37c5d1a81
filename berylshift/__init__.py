"""Berylshift: routes callers' work to engines and services of a fixed fleet."""

__version__ = "0.1.0"

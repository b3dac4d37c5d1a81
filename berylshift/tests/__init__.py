"""Tests of the package, one module each."""
